"""Cold times that this entry announces to its peers.

Addresses a server that loses its caches under load and says so only in its responses: one of 25
entries reads it, and until the others know, each sends what a warm server accepts. Only times that
this entry has read itself are announced. Times from peers aren't passed on, except in a data
centre's sum: each hop adds its transit time to the end, and entries that repeat each other's values
would keep a server cold for good.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.proxy.warm_up.cold_servers import ColdServers

MAX_COLDS_SENT = 20
"""Maximum number of servers in one datagram: a whole data centre of load A that turns cold."""

MIN_DIFFERENCE_S = 0.25
"""Ends that differ by less are the same: both are computed from a remaining time that doesn't
include its transit, and each response of a cold server states it anew."""


class ColdAnnouncements:
    """Ends of cold times according to responses to this entry, by incarnation."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def record_answer(self, incarnation_id: str, until_s: float, known_until_s: float) -> bool:
        """Record the end of a cold time that a response has stated.

        Parameters
        ----------
        incarnation_id
            The server.
        until_s
            End of its cold time.
        known_until_s
            The end that this entry knew before, from any source.

        Returns
        -------
        bool
            Whether peers have to be told at once: they don't know it from the sources that this
            entry knows.
        """
        self._until_s[incarnation_id] = max(self._until_s.get(incarnation_id, until_s), until_s)
        return until_s > known_until_s + MIN_DIFFERENCE_S

    def to_send(self, servers: ColdServers, now_s: float) -> dict[int, float]:
        """Return the remaining cold times to send, by hash of the incarnation, longest first.

        Servers whose record states the same time are left out, since peers read the record.
        """
        if not self._until_s:
            return {}
        # A server that is no longer known, or whose service has no cold servers, isn't cold.
        self._until_s = {
            one: until_s
            for one, until_s in self._until_s.items()
            if until_s > now_s and servers.left_s(one, now_s) > 0
        }
        return longest_first(
            {
                server_hash(one): until_s - now_s
                for one, until_s in self._until_s.items()
                if until_s > servers.record_until_s(one) + MIN_DIFFERENCE_S
            }
        )


def longest_first(colds: Mapping[int, float]) -> dict[int, float]:
    """Return the remaining cold times that fit into a datagram, without those that have ended."""
    ordered = sorted(colds.items(), key=lambda item: -item[1])
    return {key: left_s for key, left_s in ordered[:MAX_COLDS_SENT] if left_s > 0}


def age_colds(colds: Mapping[int, float], age_s: float) -> dict[int, float]:
    """Return what is left of remaining cold times that were received some time ago."""
    return {key: left_s - age_s for key, left_s in colds.items()} if colds else {}


def known_until_s(servers: ColdServers, incarnation_id: str, now_s: float) -> float:
    """Return the end of a server's cold time as known so far; negative infinity if it is warm."""
    left_s = servers.left_s(incarnation_id, now_s)
    return now_s + left_s if left_s > 0 else -math.inf
