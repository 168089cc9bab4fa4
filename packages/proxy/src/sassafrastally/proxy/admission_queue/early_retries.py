"""Callers that come back before the time that they were given.

Some clients ignore Retry-After and ask again at once, several times. They wait behind the others of
their priority, so that ignoring the time brings no advantage.
"""

from __future__ import annotations

MAX_REMEMBERED = 2048
"""Refused requests whose time is remembered; the oldest are forgotten first."""


class EarlyRetries:
    """The time that callers of refused requests were given, by the request's fingerprint."""

    def __init__(self) -> None:
        self._due_s: dict[int, float] = {}

    def record_refusal(self, fingerprint: int, due_s: float) -> None:
        """Record when the caller of a refused request may come back."""
        self._due_s.pop(fingerprint, None)
        self._due_s[fingerprint] = due_s
        if len(self._due_s) > MAX_REMEMBERED:
            del self._due_s[next(iter(self._due_s))]

    def is_early(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the caller of a request was told to come back later than now."""
        due_s = self._due_s.get(fingerprint)
        if due_s is not None and due_s <= now_s:
            del self._due_s[fingerprint]
        return due_s is not None and now_s < due_s
