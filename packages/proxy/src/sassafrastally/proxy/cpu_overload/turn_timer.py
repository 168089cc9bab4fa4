"""Measures the turns of an event loop."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.cpu_overload.loop_pace import Turn

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.proxy.cpu_overload.loop_pace import LoopPace


class TurnTimer(trio.abc.Instrument):
    """Records the turns of the event loop between its waits for input.

    Parameters
    ----------
    pace
        Gets them.
    """

    def __init__(self, pace: LoopPace) -> None:
        self._pace = pace
        self._due_s = 0.0
        self._begin: tuple[float, float] | None = None

    def before_io_wait(self, timeout: float) -> None:
        """Record a turn, unless the loop only looks for input before its next tasks."""
        if timeout <= 0:
            return
        now_s = trio.current_time()
        if self._begin is not None:
            begin_s, processor_s = self._begin
            spent_s = time.thread_time() - processor_s
            self._pace.record(Turn(self._due_s, begin_s, now_s, spent_s))
        self._begin = None
        self._due_s = now_s + timeout

    def after_io_wait(self, timeout: float) -> None:
        """Begin a turn."""
        if timeout > 0:
            self._begin = (trio.current_time(), time.thread_time())


@contextmanager
def timed_turns(pace: LoopPace) -> Iterator[None]:
    """Record the turns of the event loop in the context."""
    timer = TurnTimer(pace)
    trio.lowlevel.add_instrument(timer)
    try:
        yield
    finally:
        trio.lowlevel.remove_instrument(timer)
