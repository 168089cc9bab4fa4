"""Retry budget shared by all entries.

Guards against retry storms: when many backend servers fail at once and every request is sent twice,
the doubled load keeps the servers down. Each entry derives its part of the budget from the number
of live entries, so no message is needed before a retry.
"""

from __future__ import annotations

from collections import deque
from contextlib import suppress

USABLE_BUDGET_SHARE = 0.6
"""Share of the configured budget that is spent. The rest covers requests in flight that not all
entries have counted, the counts that a restarted entry has lost, and the offset between this
entry's window and the callers' window."""


class RetryBudget:
    """Requests and retries of this entry over a sliding window.

    Parameters
    ----------
    ratio
        Retries allowed as a share of requests.
    extra
        Retries that all entries together may send in addition to that share.
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

    def retry_count(self, service: str, now_s: float) -> int:
        """Return the number of retries in the window."""
        return len(self._window(self._repeats, service, now_s))

    def retry_allowance(self, service: str, entries: int, now_s: float) -> float:
        """Return how many retries this entry may send in a window."""
        requests = len(self._window(self._requests, service, now_s))
        return USABLE_BUDGET_SHARE * (self._ratio * requests + self._extra / max(1, entries))

    def try_spend(self, service: str, entries: int, now_s: float) -> bool:
        """Count a retry and return whether the budget allows it."""
        if self.retry_count(service, now_s) + 1 > self.retry_allowance(service, entries, now_s):
            return False
        self._repeats[service].append(now_s)
        return True

    def refund(self, service: str, spent_s: float) -> None:
        """Take back a retry that was counted at a time but never sent."""
        with suppress(ValueError):  # It may have left the window.
            self._repeats[service].remove(spent_s)

    def _window(self, times: dict[str, deque[float]], service: str, now_s: float) -> deque[float]:
        window = times.setdefault(service, deque())
        while window and window[0] < now_s - self._window_s:
            window.popleft()
        return window
