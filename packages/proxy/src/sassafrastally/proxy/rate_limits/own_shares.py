"""What this entry may send to limited and cold servers: own shares, and those granted by peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.rate_limits.rate_limit_sharing import SentRequests, own_share_per_s
from sassafrastally.proxy.rate_limits.share_grants import (
    COLD_GRANT_VALID_S,
    GRANT_VALID_S,
    ShareGrants,
    decide_grants,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from sassafrastally.proxy.rate_limits.server_limits import ServerLimits
    from sassafrastally.proxy.warm_up import WarmUpLimits


class GrantDecision(NamedTuple):
    """Grants to one peer, with the figures that they follow from."""

    granted: int
    spare: int
    """Requests that this entry could have sent."""
    kept: int
    """Requests that it sent in the last second, and keeps for itself."""


class OwnShares:
    """Requests of this entry, and its shares of the limits of servers.

    Parameters
    ----------
    own_host
        Host of this entry, as known to its peers.
    limits
        Limits that servers state.
    warm_up
        Limits of cold servers.
    """

    def __init__(self, own_host: str, limits: ServerLimits, warm_up: WarmUpLimits) -> None:
        self.grants = ShareGrants(own_host)
        """Demand and grants."""
        self._own_host = own_host
        self._limits = limits
        self._warm_up = warm_up
        self._sent: dict[str, SentRequests] = {}
        self._shares: dict[str, float] = {}
        """Cache of this entry's shares by server; valid until the entries or the limits change."""
        self._shared_among: Collection[str] = set()

    def set_entries(self, others: Collection[str]) -> None:
        """Set the other entries that share limits with this one."""
        if others != self._shared_among:
            self._shared_among = others
            self._shares.clear()

    def note_limit_changed(self, incarnation_id: str) -> None:
        """Compute this entry's share of a server's limit anew when it is next needed."""
        self._shares.pop(incarnation_id, None)

    def sent_to(self, incarnation_id: str) -> SentRequests:
        """Return the requests that this entry has sent to a server."""
        return self._sent.setdefault(incarnation_id, SentRequests())

    def record_sent(self, incarnation_id: str, now_s: float) -> None:
        """Count a request: for the granter, if this entry's own share is used up."""
        if (
            self.grants
            and self.own_wait_s(incarnation_id, now_s) > 0
            and self.grants.use(server_hash(incarnation_id), now_s)
        ):
            return
        self.sent_to(incarnation_id).record(now_s)

    def wait_s(self, incarnation_id: str, now_s: float) -> float:
        """Return the time until a share of a server's limits has room; infinite without one."""
        wait_s = self.own_wait_s(incarnation_id, now_s)
        if wait_s > 0 and self.grants.has_grant(server_hash(incarnation_id), now_s):
            return 0.0
        return wait_s

    def own_wait_s(self, incarnation_id: str, now_s: float) -> float:
        """Return the time as `wait_s` does, without the shares granted by peers."""
        sent = self.sent_to(incarnation_id)
        wait_s = 0.0
        if self._warm_up:
            wait_s = self._warm_up.wait_s(incarnation_id, sent, now_s)
        if self._limits and self._limits.of(server_hash(incarnation_id)) is not None:
            wait_s = max(wait_s, sent.wait_s(self._share_per_s(incarnation_id), now_s))
        return wait_s

    def grant(
        self,
        incarnation_ids: Iterable[str],
        host: str,
        requests: int,
        granters: int,
        now_s: float,
        draw: Callable[[], float],
    ) -> GrantDecision:
        """Grant a peer requests that this entry doesn't need.

        Parameters
        ----------
        incarnation_ids
            The servers of the service that accept requests of this entry.
        host
            The peer.
        requests
            Its unmet requests.
        granters, draw
            As for `decide_grants`.
        now_s
            Present time.
        """
        servers = {server_hash(one): one for one in incarnation_ids}
        room = {key: self._room(one, now_s) for key, one in servers.items()}
        spare = {key: number for key, number in room.items() if number}
        kept = sum(self.sent_to(one).used(now_s - 1.0, now_s) for one in servers.values())
        demands = {server_hash(host): requests}
        granted = decide_grants(spare, kept, demands, granters, self.grants.turn, draw)
        for key, grantee in granted:
            is_cold = self._warm_up.servers.left_s(servers[key], now_s) > 0
            valid_s = COLD_GRANT_VALID_S if is_cold else GRANT_VALID_S
            until_s = self.grants.give(key, grantee, now_s, valid_s)
            self.sent_to(servers[key]).record_granted(until_s)
        return GrantDecision(len(granted), sum(spare.values()), kept)

    def forget_gone(self, known: Collection[str], now_s: float) -> None:
        """Forget servers that no longer exist and other entries that left."""
        for incarnation_id in self._sent.keys() - known:
            if self._sent[incarnation_id].count(now_s) == 0:
                del self._sent[incarnation_id]
        self.grants.forget_gone(self._shared_among, now_s)

    def _room(self, incarnation_id: str, now_s: float) -> int:
        """Return how many requests of this entry a server accepts now; 0 if it has no limit."""
        sent = self.sent_to(incarnation_id)
        rooms = [self._warm_up.room(incarnation_id, sent, now_s)]
        if self._limits.of(server_hash(incarnation_id)) is not None:
            rooms.append(sent.room(self._share_per_s(incarnation_id), now_s))
        return min((room for room in rooms if room is not None), default=0)

    def _share_per_s(self, incarnation_id: str) -> float:
        if incarnation_id not in self._shares:
            most_per_s = self._limits.of(server_hash(incarnation_id)) or 0.0
            self._shares[incarnation_id] = own_share_per_s(
                incarnation_id, most_per_s, self._own_host, self._shared_among
            )
        return self._shares[incarnation_id]
