"""The budget of repeats that all entries share.

The load that it answers: many backend servers fail at once, each request is sent twice, and the
second half of the load keeps the servers down. Each entry takes its part of the budget from the
number of live entries, so that no message is needed before a repeat.
"""

from __future__ import annotations

from collections import deque

SAFETY_SHARE = 0.6
"""Part of the budget that is used. Counts of requests that all entries see differ by what is under
way, entries that restart forget what they sent, and a window of the callers' clock isn't ours."""


class RetryBudget:
    """Requests and repeats of this entry over a sliding window.

    Parameters
    ----------
    ratio
        Repeats that are allowed as a share of requests.
    extra
        Repeats that all entries together may send beside the share.
    window_s
        Length of the window.
    """

    def __init__(self, ratio: float, extra: int, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def count_request(self, service: str, now_s: float) -> None:
        """Count a caller's request to a service."""
        self._window(self._requests, service, now_s).append(now_s)

    def repeats(self, service: str, now_s: float) -> int:
        """Return the repeats of the window."""
        return len(self._window(self._repeats, service, now_s))

    def allowed(self, service: str, entries: int, now_s: float) -> float:
        """Return how many repeats this entry may send in a window."""
        requests = len(self._window(self._requests, service, now_s))
        return SAFETY_SHARE * (self._ratio * requests + self._extra / max(1, entries))

    def take(self, service: str, entries: int, now_s: float) -> bool:
        """Count a repeat, if the budget still has one."""
        if self.repeats(service, now_s) + 1 > self.allowed(service, entries, now_s):
            return False
        self._repeats[service].append(now_s)
        return True

    def _window(self, times: dict[str, deque[float]], service: str, now_s: float) -> deque[float]:
        window = times.setdefault(service, deque())
        while window and window[0] < now_s - self._window_s:
            window.popleft()
        return window
