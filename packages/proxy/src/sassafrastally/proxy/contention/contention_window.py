"""Whether this entry is contended: requests wait, or lately have waited or been refused."""

from __future__ import annotations

from collections import deque

CONTENTION_WINDOW_S = 10.0
"""Time after the last wait or refusal for which an entry counts as contended: the time over which
customers' work counts, and most callers' deadline."""

MAX_COUNTED = 4096
"""Refusals that are counted; a log line doesn't need more."""


class ContentionWindow:
    """Waits and refusals for load in the last ten seconds."""

    def __init__(self) -> None:
        self._latest_s = float("-inf")
        self._refused_s: deque[float] = deque(maxlen=MAX_COUNTED)

    def record_wait(self, now_s: float) -> None:
        """Record that a request waits, or that its wait has ended."""
        self._latest_s = now_s

    def record_refusal(self, now_s: float) -> None:
        """Record that a request is refused for load."""
        self._latest_s = now_s
        self._refused_s.append(now_s)

    def is_contended(self, now_s: float) -> bool:
        """Return whether a request has waited or been refused in the window."""
        return now_s - self._latest_s < CONTENTION_WINDOW_S

    def refusals(self, now_s: float) -> int:
        """Return the number of refusals in the window."""
        while self._refused_s and now_s - self._refused_s[0] >= CONTENTION_WINDOW_S:
            self._refused_s.popleft()
        return len(self._refused_s)
