"""The clock that all services read."""

from __future__ import annotations

import time

import trio


class Clock:
    """Monotonic and wall time that both follow trio's clock.

    Under trio's mock clock the wall clock moves with it, so that a test gives the same verdict
    on each run.

    Parameters
    ----------
    wall_offset_s
        Error of this process's wall clock in seconds; tests use it to let clocks differ.
    epoch_s
        Wall time at the creation of the clock, in seconds since 1970; the system's by default.
    """

    def __init__(self, wall_offset_s: float = 0.0, epoch_s: float | None = None) -> None:
        start_s = time.time() if epoch_s is None else epoch_s
        self.wall_offset_s = wall_offset_s
        self._epoch_s = start_s - trio.current_time()

    def now_s(self) -> float:
        """Return monotonic time in seconds; only differences mean something."""
        return trio.current_time()

    def wall_s(self) -> float:
        """Return wall time in seconds since 1970, with this process's error."""
        return self._epoch_s + trio.current_time() + self.wall_offset_s
