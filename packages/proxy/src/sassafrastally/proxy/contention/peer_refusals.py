"""Refusals that peers have announced: whose callers come back too early."""

from __future__ import annotations

MAX_PEER_REFUSALS = 2048
"""Refusals that are kept; the oldest are forgotten first. With 25 entries that send 32 a second
each, they are those of the last 2.5 s; clients that ignore Retry-After come back earlier."""

DELIVERY_MARGIN_S = 0.1
"""Part of the announced time that doesn't count. Only durations are sent, so that a late datagram
prolongs the time; a caller that respects it must not count as early. Tasks of an entry that isn't
overloaded run at most this late."""


class PeerRefusals:
    """Until when callers of requests that peers have refused are early, by fingerprint."""

    def __init__(self) -> None:
        self._due_s: dict[int, float] = {}

    def record(self, fingerprint: int, left_s: float, now_s: float) -> bool:
        """Record an announced refusal; return whether it is a new one.

        The same refusal arrives several times. The earliest time counts, since the others were
        delivered later; a time that is later by more than the margin belongs to another refusal.
        """
        due_s = now_s + left_s - DELIVERY_MARGIN_S
        known_s = self._due_s.get(fingerprint)
        if due_s <= now_s or (known_s is not None and due_s <= known_s + DELIVERY_MARGIN_S):
            return False
        self._due_s.pop(fingerprint, None)
        self._due_s[fingerprint] = due_s
        if len(self._due_s) > MAX_PEER_REFUSALS:
            del self._due_s[next(iter(self._due_s))]
        return True

    def is_early(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a peer told the caller of a request to come back later than now."""
        due_s = self._due_s.get(fingerprint)
        if due_s is not None and due_s <= now_s:
            del self._due_s[fingerprint]
        return due_s is not None and now_s < due_s
