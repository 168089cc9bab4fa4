"""Processor time of an entry until the callers' port is open.

Starts processes that open the port as the program does and then end, in turn with processes that
import `socket` first and with the interpreter alone. Run it with
``python packages/proxy/benchmarks/open_port.py``; ``--flags`` gives flags of the interpreter.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
from pathlib import Path

SOURCE = Path(__file__).parents[1] / "src"
END = "import posix; posix._exit(0)"
OPEN = (
    "from sassafrastally.proxy.early_listener import listen_early; "
    "from sassafrastally.proxy.early_signals import EarlySignals; "
    "EarlySignals().record(); "
    "listener = listen_early('127.22.0.1', 0); assert listener is not None; "
)
VARIANTS = {
    "interpreter alone": END,
    "port open": OPEN + END,
    "port open, socket imported": "import socket; " + OPEN + END,
}


def processor_ms(run: list[str]) -> float:
    """Return the processor time of a process."""
    process = subprocess.Popen(run, env={"PATH": os.environ["PATH"], "PYTHONPATH": str(SOURCE)})
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    assert process.returncode == 0, run
    return 1000 * (usage.ru_utime + usage.ru_stime)


def main() -> None:
    """Measure several rounds and print the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=21)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--python", default="python3")
    parser.add_argument("--flags", default="-S -P")
    options = parser.parse_args()
    for number in range(1, options.rounds + 1):
        costs: dict[str, list[float]] = {name: [] for name in VARIANTS}
        for _ in range(options.runs + 1):
            for name, code in VARIANTS.items():
                run = [options.python, *options.flags.split(), "-c", code]
                costs[name].append(processor_ms(run))
        for name, values in costs.items():
            print(f"round {number}, {name}: median {statistics.median(values[1:]):.1f} ms")


if __name__ == "__main__":
    main()
