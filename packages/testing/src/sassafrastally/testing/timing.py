"""Processor time of a call, for benchmarks."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 7


def median_us(call: Callable[[], object], times: int) -> float:
    """Return the processor time of a call in microseconds, the median of some rounds.

    Parameters
    ----------
    call
        What is measured.
    times
        How often it is called in a round.
    """
    found = []
    for _ in range(ROUNDS):
        begin_s = time.process_time()
        for _ in range(times):
            call()
        found.append(1e6 * (time.process_time() - begin_s) / times)
    return statistics.median(found)
