"""Blocks a whole event loop for a while at a chosen step."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


class LagInstrument(trio.abc.Instrument):
    """Counts the steps of an event loop from `arm` on, and blocks it at some of them.

    Steps are the begins of task steps and of waits for input, and the ends of such waits. The end
    of a task step isn't one: nothing runs between it and the next of these.

    Attributes
    ----------
    steps
        Steps so far.
    is_blocking
        Whether the loop is blocked now.
    blocked_s
        For how long the loop was blocked in total.
    end_s
        When it ran again, on the clock of `time.perf_counter`; 0 if it wasn't blocked.
    """

    def __init__(self) -> None:
        self.steps = 0
        self.blocked_s = self.end_s = 0.0
        self.is_blocking = False
        self._steps: frozenset[int] = frozenset()
        self._lag_s = 0.0
        self._is_armed = False

    def arm(self, steps: Iterable[int] = (), lag_s: float = 0.0) -> None:
        """Count from 0, and block the loop for some seconds at each of some steps."""
        self.steps = 0
        self.blocked_s = self.end_s = 0.0
        self._steps, self._lag_s = frozenset(steps), lag_s
        self._is_armed = True

    def disarm(self) -> int:
        """Block and count no more; return the number of steps."""
        self._is_armed = False
        return self.steps

    def block(self, lag_s: float) -> None:
        """Block the loop now; to be called in it."""
        self.is_blocking = True
        time.sleep(lag_s)
        self.blocked_s += lag_s
        self.end_s = time.perf_counter()
        self.is_blocking = False

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count the begin of a task step."""
        self._count()

    def before_io_wait(self, timeout: float) -> None:
        """Count the begin of a wait for input."""
        self._count()

    def after_io_wait(self, timeout: float) -> None:
        """Count the end of a wait for input: what arrives from here on is seen a turn later."""
        self._count()

    def _count(self) -> None:
        if not self._is_armed:
            return
        step, self.steps = self.steps, self.steps + 1
        if step in self._steps:
            self.block(self._lag_s)
