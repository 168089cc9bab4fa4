"""Scheduling delay of an entry's tasks, measured by a timer.

Entries with 0.27 cores next to some with 2.15 get their share of callers. When one needs more CPU
time than it has, all of its tasks run late, and callers notice pauses in their streams.
"""

from __future__ import annotations

from collections import deque

TIMER_S = 0.05
"""Period of the timer whose delay is measured."""

WINDOW_S = 2.0
"""Period over which delays are considered."""

MAX_LAG_S = 0.1
"""Delay above which an entry is overloaded: half of the shortest pause that callers accept."""

STUCK_LAG_S = 1.0
STUCK_TIME_S = 3.0
"""An entry whose delay stays above a second for three seconds isn't ready: callers would time out
before it reads their requests. Shorter overload is left to the shedding of streams."""

MIN_SAMPLES = 5
"""Samples needed for a verdict, so that the load of the start itself doesn't count."""

PERCENTILE = 0.9


class LagWindow:
    """Delays of the last two seconds."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._stuck_since_s: float | None = None

    def record(self, now_s: float, lag_s: float) -> None:
        """Record the delay of one timer."""
        self._samples.append((now_s, lag_s))
        while self._samples[0][0] <= now_s - WINDOW_S and len(self._samples) > MIN_SAMPLES:
            self._samples.popleft()
        if lag_s <= STUCK_LAG_S:
            self._stuck_since_s = None
        elif self._stuck_since_s is None:
            self._stuck_since_s = now_s - lag_s

    def clear(self) -> None:
        """Forget all delays."""
        self._samples.clear()
        self._stuck_since_s = None

    @property
    def lag_s(self) -> float:
        """90th percentile of the delays; 0 while there are too few."""
        if len(self._samples) < MIN_SAMPLES:
            return 0.0
        lags = sorted(lag_s for _, lag_s in self._samples)
        return lags[min(int(PERCENTILE * len(lags)), len(lags) - 1)]

    @property
    def longest_lag_s(self) -> float:
        """Longest of the delays; 0 without any."""
        return max((lag_s for _, lag_s in self._samples), default=0.0)

    @property
    def is_overloaded(self) -> bool:
        """Whether the entry's tasks run too late."""
        return self.lag_s > MAX_LAG_S

    def is_stuck(self, now_s: float) -> bool:
        """Return whether the entry's tasks have run so late for so long that it isn't ready."""
        return self._stuck_since_s is not None and now_s - self._stuck_since_s >= STUCK_TIME_S
