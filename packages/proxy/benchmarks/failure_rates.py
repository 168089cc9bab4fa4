"""Callers lost and late with faulty servers, by way of counting failures over all entries.

Run: python packages/proxy/benchmarks/failure_rates.py [seconds] [seeds]
"""

from __future__ import annotations

import sys

from sassafrastally.testing.failure_replay import FailureReplay, Faults

FAULTY_ENGINES = dict.fromkeys(range(0, 60, 7), 0.4)
CASES = {
    "faulty engines, 1 plain server": Faults(FAULTY_ENGINES, {0: 0.4}),
    "faulty engines, 2 plain servers": Faults(FAULTY_ENGINES, {0: 0.4, 1: 0.4}),
    "all servers 5 %": Faults(dict.fromkeys(range(60), 0.05), dict.fromkeys(range(3), 0.05)),
    "one entry's link 50 %": Faults(entries={0: 0.5}),
    "all servers 40 %": Faults(dict.fromkeys(range(60), 0.4), dict.fromkeys(range(3), 0.4)),
    "calm": Faults(),
}


def main() -> None:
    """Print one line for each case and method."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else 60.0
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    for name, faults in CASES.items():
        faulty = {f"e{number}" for number in faults.engines}
        faulty |= {f"p{number}" for number in faults.plain}
        for method in ("none", "consecutive", "shares"):
            lost: dict[str, int] = {}
            late: dict[str, int] = {}
            callers = times = 0
            healthy_s = faulty_s = 0.0
            for seed in range(1, seeds + 1):
                results = FailureReplay(method, faults, seed).run(duration_s)
                callers += results.callers.total()
                times += results.times_avoided
                for sums, figures in ((lost, results.lost), (late, results.late)):
                    for kind, number in figures.items():
                        sums[kind] = sums.get(kind, 0) + number
                for server, avoided_s in results.avoided_s.items():
                    if server in faulty:
                        faulty_s += avoided_s
                    else:
                        healthy_s += avoided_s
            print(
                f"{name:32} {method:12} callers {callers:6} lost {sum(lost.values()):5} {lost} "
                f"late {sum(late.values()):5} {late} avoided: faulty {faulty_s:.0f} s, "
                f"healthy {healthy_s:.0f} s, {times} times"
            )


if __name__ == "__main__":
    main()
