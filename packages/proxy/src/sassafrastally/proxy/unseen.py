"""Requests at backend servers that no entry tells of.

The load that it answers: an entry is cut off from its peers and goes on serving callers. Neither
side counts the other's requests, and both fill the same engines. Answers carry the number of
requests at their server; what it exceeds the known ones by is somebody's whom nobody hears.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.proxy.model import ServerLoad

FRESH_S = 1.0
"""How long a count is believed: about half of a short answer's length."""

TOLERANCE = 1
"""Requests by which a count may exceed the known ones without meaning: what peers have sent within
the last datagram's time."""


class _Count(NamedTuple):
    requests: int
    at_s: float


class UnseenRequests:
    """The latest excess by backend server."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}

    def note(self, life_id: str, load: ServerLoad, known: int, now_s: float) -> None:
        """Note the load that an answer told, beside the requests known there."""
        excess = load.running + load.waiting - known - TOLERANCE
        if excess > 0:
            self._counts[life_id] = _Count(excess, now_s)
        else:
            self._counts.pop(life_id, None)

    def forget_old(self, now_s: float) -> None:
        """Forget counts that nobody would believe any more, also of servers that have left."""
        self._counts = {
            life_id: count
            for life_id, count in self._counts.items()
            if now_s - count.at_s < FRESH_S
        }

    def at(self, life_id: str, now_s: float) -> int:
        """Return the requests at a server that nobody tells of."""
        count = self._counts.get(life_id)
        return count.requests if count and now_s - count.at_s < FRESH_S else 0
