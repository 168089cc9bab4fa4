"""How much slower than with a processor of its own an event loop runs.

The load is a process that has a tenth of a processor beside others, or that doesn't run in turns:
what takes a millisecond of processor time then takes ten, and its timers alone don't show it, as a
process that has slept is preferred when it wakes.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from sassafrastally.core.late_limits import LATE_TIMER_S

RECENT_S = 1.0
"""Period over which is considered how long the loop didn't run."""

LEAST_WORK_S = 0.02
"""Processor time below which the pace of the work itself says nothing."""

MAX_SLOWDOWN = 100.0
"""A loop that hardly ran in the recent period may run at any pace."""


class Turn(NamedTuple):
    """What an event loop did between two waits for input."""

    due_s: float
    """When its wait was to end; infinite if it had no timer."""
    begin_s: float
    end_s: float
    processor_s: float
    """Processor time that it took."""

    @property
    def idle_s(self) -> float:
        """Time for which the loop didn't run though it had work, before and in the turn."""
        late_s = max(0.0, self.begin_s - self.due_s)
        idle_s = late_s + max(0.0, self.end_s - self.begin_s - self.processor_s)
        return idle_s if idle_s > LATE_TIMER_S else 0.0


class LoopPace:
    """Pace of an event loop, from its turns."""

    def __init__(self) -> None:
        self._work_s = 0.0
        self._processor_s = 0.0
        self._idle: deque[tuple[float, float]] = deque()

    def record(self, turn: Turn) -> None:
        """Record a turn."""
        self._work_s += turn.end_s - turn.begin_s
        self._processor_s += turn.processor_s
        if turn.idle_s:
            self._idle.append((turn.begin_s, turn.idle_s))

    def slowdown(self, now_s: float) -> float:
        """Return how much longer the loop takes for its work than the work's processor time.

        The larger one of two: of all turns so far, and of the recent time in which it didn't
        run though it had work.
        """
        while self._idle and self._idle[0][0] <= now_s - RECENT_S:
            self._idle.popleft()
        idle_s = sum(idle_s for _, idle_s in self._idle)
        slowdown = RECENT_S / max(RECENT_S - idle_s, RECENT_S / MAX_SLOWDOWN)
        if self._processor_s >= LEAST_WORK_S:
            slowdown = max(slowdown, self._work_s / self._processor_s)
        return min(slowdown, MAX_SLOWDOWN)
