"""Replays of load A's floods with and without the exchange of contention state between entries.

Usage: ``python packages/proxy/benchmarks/contention.py [--seeds 5] [--engines 40] [--hasty 0.2]``
"""

from __future__ import annotations

import argparse
from collections import Counter
from typing import NamedTuple

from sassafrastally.proxy.admission_queue import request_work_ms
from sassafrastally.proxy.model import EngineProfile
from sassafrastally.testing.load_arrivals import Burst, Deployment, Kind, make_arrivals
from sassafrastally.testing.load_callers import Callers
from sassafrastally.testing.load_replay import LoadReplay, Outcome
from sassafrastally.testing.mock_run import run_on_mock_clock

PROFILE = EngineProfile(
    slots=6,
    memory_tokens=382_500,
    step_ms=0.925,
    per_request_ms=0.00483,
    context_ms_per_k=0.00254,
    prefill_tokens_per_ms=256.0,
    attention_ms_per_million_pairs=0.0917,
    chunk_tokens=2048,
    steps_per_pass=52,
    distributed_step_overhead_ms=0.1,
)

KINDS = (
    Kind("question", 38.3, 5000, 0.9, 23_800, 33, 0.271, 0.2, 10.8, 1.4, 0.34, 0),
    Kind("invoice", 6.1, 45_000, 0.5, 110_000, 20, 1.53, 0.5, 10.2, 2.6, 0.66, 1),
    Kind("dossier", 1.04, 300_000, 0.55, 1_000_000, 16, 8.06, 0.8, 15.1, 30.0, 7.5, 2),
)

LARGE = "large"
CUSTOMERS = ((LARGE, 8.0), *((f"small-{number}", 1.0) for number in range(8)))
"""Nine customers, of which one has half of the traffic."""

LENGTH_S = 26.0


def floods(factor: float) -> list[Burst]:
    """Return floods of dossiers and of questions by turns."""
    turns = [
        Burst(2.0, 8.0, 2.8, ("dossier",)),
        Burst(8.0, 13.0, 2.4, ("question",)),
        Burst(13.0, 19.0, 2.8, ("dossier",)),
        Burst(19.0, 24.0, 2.4, ("question",)),
    ]
    return [Burst(0.0, LENGTH_S, factor), *turns]


class Totals(NamedTuple):
    """Requests, lost ones and engine time, by group of callers."""

    asked: Counter[str]
    lost: Counter[str]
    late: Counter[str]
    asked_ms: Counter[str]
    served_ms: Counter[str]
    early: Counter[str]
    """Waits behind others of requests that had come back early."""


def count(outcomes: list[Outcome], totals: Totals) -> None:
    """Add the outcomes of a replay."""
    for one in outcomes:
        arrival = one.arrival
        whose = LARGE if arrival.customer == LARGE else "others"
        who = "hasty" if one.is_hasty else "patient"
        work_ms = request_work_ms(PROFILE, arrival.prompt)
        for group in ("all", whose, who, f"{whose} {who}", arrival.kind.name):
            totals.asked[group] += 1
            totals.lost[group] += not one.is_whole
            totals.early[group] += one.early_waits
            totals.late[group] += one.is_whole and not one.is_timely
            totals.asked_ms[group] += int(work_ms)
            totals.served_ms[group] += int(work_ms) if one.is_whole else 0


def main() -> None:
    """Run the replays and print the totals."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--engines", type=int, default=40)
    parser.add_argument("--entries", type=int, default=25)
    parser.add_argument("--factor", type=float, default=1.5)
    parser.add_argument("--rate", type=float, default=1.0, help="share of the usual rates")
    parser.add_argument("--hasty", type=float, default=0.0)
    arguments = parser.parse_args()
    kinds = tuple(kind._replace(rate_per_s=kind.rate_per_s * arguments.rate) for kind in KINDS)
    deployment = Deployment(PROFILE, arguments.engines, arguments.entries, kinds, 0.1, CUSTOMERS)
    callers = Callers(arguments.hasty)
    totals = {shares: Totals(*(Counter() for _ in Totals._fields)) for shares in (False, True)}
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        arrivals = make_arrivals(deployment, floods(arguments.factor), LENGTH_S, seed)
        for shares, total in totals.items():

            async def replay(seed: int, *, shares: bool) -> list[Outcome]:
                replay = LoadReplay(deployment, seed, shares_contention=shares, callers=callers)
                return await replay.run(arrivals)  # noqa: B023

            outcomes = run_on_mock_clock(lambda: replay(seed, shares=shares), 1)  # noqa: B023
            count(outcomes, total)
            lost = Counter(
                "large" if one.arrival.customer == LARGE else "others"
                for one in outcomes
                if not one.is_whole
            )
            print(f"seed {seed}, exchange {shares}: {len(outcomes)} asked, lost {dict(lost)}")
    print("group: asked; lost, late, waits as early, share of work served: without, with exchange")
    for group in sorted(totals[True].asked):
        cells = [
            f"{total.lost[group]:4} {total.late[group]:5} {total.early[group]:4} "
            f"{total.served_ms[group] / max(1, total.asked_ms[group]):.3f}"
            for total in totals.values()
        ]
        print(f"{group:16} {totals[True].asked[group]:6} | " + " | ".join(cells))


if __name__ == "__main__":
    main()
