"""Monotonic and wall clock of a process."""

from __future__ import annotations

import time

import trio


class Clock:
    """Monotonic and wall time derived from trio's clock.

    Under trio's mock clock the wall clock advances with the mock clock, so tests are deterministic.

    Parameters
    ----------
    wall_offset_s
        Error added to the wall clock, in seconds; tests use it to simulate clock skew.
    epoch_s
        Wall time when the clock is created, in seconds since the Unix epoch; defaults to the
        system time.
    """

    def __init__(self, wall_offset_s: float = 0.0, epoch_s: float | None = None) -> None:
        start_s = time.time() if epoch_s is None else epoch_s
        self.wall_offset_s = wall_offset_s
        self._epoch_s = start_s - trio.current_time()

    def now_s(self) -> float:
        """Return monotonic time in seconds; only differences are meaningful."""
        return trio.current_time()

    def wall_s(self) -> float:
        """Return wall time in seconds since the Unix epoch, including `wall_offset_s`."""
        return self._epoch_s + trio.current_time() + self.wall_offset_s
