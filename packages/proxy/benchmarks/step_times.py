"""Processor time of the longest steps of the event loop, at the largest input that others can send.

While a step runs, an entry answers nobody. Run: ``python packages/proxy/benchmarks/step_times.py``;
arguments name the cases to run.
"""

from __future__ import annotations

import sys

import step_cases_exchange  # noqa: F401 - registers its cases.
import step_cases_quarantine  # noqa: F401 - registers its cases.
from step_cases import CASES, longest_step_s

__all__ = ["CASES", "longest_step_s"]


def main() -> None:
    """Run the cases named by the arguments, or all; print their longest steps."""
    for name in sys.argv[1:] or CASES:
        print(f"{1e3 * longest_step_s(name):9.1f} ms  {name} ({CASES[name].source})", flush=True)


if __name__ == "__main__":
    main()
