"""Requests at backend servers that no entry has reported.

An entry that is partitioned from its peers continues to serve callers. Neither side counts the
other's requests, and both fill the same engines. Answers state the number of requests at their
server; the excess over the known number comes from entries that can't be reached.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.proxy.model import ServerLoad

COUNT_VALID_S = 1.0
"""How long a count is valid: about half the duration of a short answer."""

IGNORED_EXCESS_REQUESTS = 1
"""Excess of requests that is ignored: those that peers have sent since their latest datagram."""


class _Count(NamedTuple):
    requests: int
    at_s: float


class UnreportedRequests:
    """Latest excess of requests by backend server."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}

    def record(self, incarnation_id: str, load: ServerLoad, known: int, now_s: float) -> None:
        """Note the load stated in an answer, given the number of known requests."""
        excess = load.running + load.waiting - known - IGNORED_EXCESS_REQUESTS
        if excess > 0:
            self._counts[incarnation_id] = _Count(excess, now_s)
        else:
            self._counts.pop(incarnation_id, None)

    def forget_old(self, now_s: float) -> None:
        """Forget expired counts, which also removes servers that have left."""
        self._counts = {
            incarnation_id: count
            for incarnation_id, count in self._counts.items()
            if now_s - count.at_s < COUNT_VALID_S
        }

    def count(self, incarnation_id: str, now_s: float) -> int:
        """Return the number of unreported requests at a server."""
        count = self._counts.get(incarnation_id)
        return count.requests if count and now_s - count.at_s < COUNT_VALID_S else 0
