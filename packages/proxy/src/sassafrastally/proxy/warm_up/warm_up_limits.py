"""Requests that this entry may send to each cold server.

Addresses servers that start or return under load, up to a whole data centre at once, before 25
entries that all have work for them.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sassafrastally.proxy.warm_up.cold_quota import ColdBound, own_quota, wait_s, window_s
from sassafrastally.proxy.warm_up.cold_servers import ColdServers
from sassafrastally.proxy.warm_up.known_entries import KnownEntries

if TYPE_CHECKING:
    from collections.abc import Collection

    from sassafrastally.proxy.rate_limits.rate_limit_sharing import SentRequests

JOIN_DELAY_S = 1.0
"""Time after its first snapshot from which an entry uses its whole quota of a cold server. By then,
it has heard of the other entries and they of it: each sends four datagrams within a second."""

JOINING_REQUESTS = 1
"""Requests to each cold server before that, if the snapshot or a peer has named other entries.
After a loss of power of all VMs, entries and servers start together, and each second in which no
entry may send anything is a second in which no caller is served."""


class WarmUpLimits:
    """This entry's quotas for cold servers.

    Parameters
    ----------
    own_host
        Host of this entry, as known to its peers.
    bound
        The deployment's bound.
    """

    def __init__(self, own_host: str, bound: ColdBound) -> None:
        self.servers = ColdServers()
        """The cold servers."""
        self._own_host = own_host
        self._bound = bound
        self._entries = KnownEntries()
        self._quotas: dict[tuple[str, float], int] = {}
        """Cache of the quotas by server and rate; valid until the known entries change."""
        self._joined_at_s = -math.inf
        self._has_begun = False

    def __bool__(self) -> bool:
        return bool(self.servers)

    def begin(self, now_s: float) -> None:
        """Start the delay after which this entry may send to cold servers."""
        if not self._has_begun:
            self._has_begun = True
            self._joined_at_s = now_s + JOIN_DELAY_S

    def record_entries(self, hosts: Collection[str], now_s: float) -> None:
        """Record the other entries that may send requests to servers."""
        if self._entries.record(hosts, now_s):
            self._quotas.clear()

    def entry_count(self) -> int:
        """Return the number of entries that share the quotas, this one included."""
        return 1 + len(self._entries.hosts)

    def quota(self, incarnation_id: str, cold_per_s: float) -> int:
        """Return how many requests this entry may send to a cold server in a window."""
        key = (incarnation_id, cold_per_s)
        if key not in self._quotas:
            requests = self._bound.requests(cold_per_s)
            self._quotas[key] = own_quota(
                incarnation_id, requests, self._own_host, self._entries.hosts
            )
        return self._quotas[key]

    def room(self, incarnation_id: str, sent: SentRequests, now_s: float) -> int | None:
        """Return how many requests of this entry a cold server accepts now; ``None`` if warm."""
        cold_per_s = self.servers.rate_per_s(incarnation_id, now_s)
        if cold_per_s is None:
            return None
        quota = self._usable_quota(incarnation_id, cold_per_s, now_s)
        return sent.room_in_window(quota, window_s(cold_per_s), now_s)

    def wait_s(self, incarnation_id: str, sent: SentRequests, now_s: float) -> float:
        """Return the time until a server accepts a request of this entry, as far as it is cold.

        Parameters
        ----------
        incarnation_id
            The server.
        sent
            This entry's requests to it.
        now_s
            Present time.
        """
        cold_per_s = self.servers.rate_per_s(incarnation_id, now_s)
        if cold_per_s is None:
            return 0.0
        quota = self._usable_quota(incarnation_id, cold_per_s, now_s)
        wait = wait_s(sent, quota, cold_per_s, now_s)
        if not quota and self._is_joining(now_s):
            wait = self._joined_at_s - now_s
        return min(self.servers.left_s(incarnation_id, now_s), wait)

    def _usable_quota(self, incarnation_id: str, cold_per_s: float, now_s: float) -> int:
        quota = self.quota(incarnation_id, cold_per_s)
        if not self._is_joining(now_s):
            return quota
        return min(quota, JOINING_REQUESTS) if self._entries.hosts else 0

    def _is_joining(self, now_s: float) -> bool:
        return now_s < self._joined_at_s
