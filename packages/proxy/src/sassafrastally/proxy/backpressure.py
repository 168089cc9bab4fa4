"""Backpressure from backend servers, as learned by this entry and its peers."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, ClassVar

from sassafrastally.core import Service
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.cold_tracking import OWN_SOURCE, ColdTracking
from sassafrastally.proxy.cool_downs import CoolDowns
from sassafrastally.proxy.leaving_servers import DeclaredLeaving
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    ServerCoolingDown,
    ServerLeaving,
    ServerLimited,
    ServerLimitEnded,
    SharesGranted,
)
from sassafrastally.proxy.metrics import SERVER_CALLS
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.rate_limits import (
    MIN_LIMIT_PER_S,
    LimitChange,
    OwnShares,
    RetrySchedule,
    ServerLimits,
    own_share_per_s,
)
from sassafrastally.proxy.warm_up import ColdBound, WarmUpLimits

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    import trio

    from sassafrastally.proxy.model import BackendServer, BackpressureSignals
    from sassafrastally.proxy.rate_limits import LimitReport, ShareNews

ASSUMED_LIMIT_PER_S = 20.0
"""Assumed requests per second of a server without a stated limit once its cool-down is over."""


class CallKind(Enum):
    """Purpose of a request to a backend server."""

    ATTEMPT = "attempt"
    REPORT = "report"
    ORDER = "order"


class Backpressure(Service):
    """Decides whether a backend server accepts a further request of this entry.

    Parameters
    ----------
    own_host
        Host of this entry, as known to its peers.
    cold_bound
        The deployment's bound on the requests to one cold server.
    """

    name: ClassVar[str] = "backpressure"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "peers")

    def __init__(self, own_host: str, cold_bound: ColdBound) -> None:
        self._own_host = own_host
        self._cool_downs = CoolDowns()
        self._leaving = DeclaredLeaving()
        self._limits = ServerLimits()
        self._retry_schedule = RetrySchedule()
        self._warm_up = WarmUpLimits(own_host, cold_bound)
        self._shares = OwnShares(own_host, self._limits, self._warm_up)

    async def start(self, nursery: trio.Nursery) -> None:
        """Resolve the services that provide the servers and the peers."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._peers = self.kernel.get("peers", Peers)
        self._peers.limits = self
        self._cold_tracking = ColdTracking(
            self.kernel, self._cluster_state, self._peers, self._warm_up, self._sent_count
        )
        self._cold_tracking.begin()

    def gauges(self) -> dict[str, float]:
        """Return the number of servers by kind of backpressure."""
        self._cool_downs.forget_expired(self._now_s)
        return {
            "limited_servers": self._limits.count(),
            "resting_servers": len(self._cool_downs),
            "leaving_servers": len(self.leaving()),
            "shares_granted": self._shares.grants.turn,
            "shares_used": self._shares.grants.used,
            **self._cold_tracking.gauges(),
        }

    def count_request(self, server: BackendServer, kind: CallKind) -> None:
        """Count a request that is about to be sent."""
        SERVER_CALLS.add(1, {"kind": kind.value})
        self._shares.record_sent(server.incarnation_id, self._now_s)

    def count_part(self, server: BackendServer) -> None:
        """Count a part of a prompt that a server prefills for another one.

        Parts are counted for servers with a limit and for those that may turn cold: a server that
        does has already received them.
        """
        if (
            self._cold_tracking.may_turn_cold(server)
            or self.limit_of(server.incarnation_id) is not None
        ):
            self._shares.record_sent(server.incarnation_id, self._now_s)

    def record_answer(self, server: BackendServer, signals: BackpressureSignals) -> None:
        """Note the backpressure signals in a server's answer."""
        key = server_hash(server.incarnation_id)
        change = self._limits.record_answer_limit(key, signals.most_per_s, self._now_s)
        self._note_change(key, change, OWN_SOURCE)
        if signals.is_leaving:
            self._record_leaving(server)
        if signals.cool_down_s is not None:
            self._record_cool_down(server, signals.cool_down_s)
        self.record_cold_time(server, signals)

    def record_cold_time(self, server: BackendServer, signals: BackpressureSignals) -> None:
        """Note the cold time that a server states in an answer."""
        if signals.cold_left_s:
            self._cold_tracking.record_answer(server, signals.cold_left_s)

    def leaving(self) -> dict[str, float]:
        """Return the servers that recently announced leaving, with the remaining seconds."""
        return self._leaving.to_announce(self._now_s)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server has announced that it is leaving."""
        return server.incarnation_id in self._leaving

    def limit_of(self, incarnation_id: str) -> float | None:
        """Return the requests per second that a server accepts; ``None`` without a limit."""
        most_per_s = self._limits.of(server_hash(incarnation_id)) if self._limits else None
        if not self._cold_tracking.has_cold():
            return most_per_s
        cold_per_s = self._warm_up.servers.rate_per_s(incarnation_id, self._now_s)
        limits_per_s = [limit for limit in (most_per_s, cold_per_s) if limit is not None]
        return min(limits_per_s, default=None)

    def is_any_limited(self) -> bool:
        """Return whether any server may have a limit or be cold."""
        return bool(self._limits or self._warm_up)

    def is_cold(self, incarnation_id: str) -> bool:
        """Return whether a server is cold."""
        if not self._cold_tracking.has_cold():
            return False
        return self._warm_up.servers.left_s(incarnation_id, self._now_s) > 0

    def waits_s(self, servers: Iterable[BackendServer]) -> dict[str, float]:
        """Return the time until each server accepts a request; servers that do now are left out.

        The time is infinite for servers that are leaving and for those whose limit is shared by
        other entries only.
        """
        self._cool_downs.forget_expired(self._now_s)
        has_cold = self._cold_tracking.has_cold()
        if not (self._limits or self._leaving or self._cool_downs or has_cold):
            return {}
        others = self._peers.members()
        self._shares.set_entries(others)
        if has_cold:
            self._warm_up.record_entries(others, self._now_s)
        waits_s = ((one.incarnation_id, self._wait_s(one.incarnation_id)) for one in servers)
        return {incarnation_id: wait_s for incarnation_id, wait_s in waits_s if wait_s > 0}

    def is_open(self, server: BackendServer) -> bool:
        """Return whether a server accepts a request of this entry now."""
        return not self.waits_s([server])

    def available_in_s(
        self, service: str, servers: Sequence[BackendServer], time_left_s: float | None
    ) -> float | None:
        """Return the retry delay for a caller that no server accepts; ``None`` if it is unknown.

        Parameters
        ----------
        service
            The requested service.
        servers
            The servers of the service.
        time_left_s
            How long the caller waits for its answer; ``None`` without a limit.
        """
        waits_s = self.waits_s(servers)
        if len(waits_s) < len(servers):
            return None
        staying = [server for server in servers if server.incarnation_id not in self._leaving]
        if not staying:
            return None
        total_per_s = sum(self._accepted_per_s(server.incarnation_id) for server in staying)
        first_s = min(waits_s.values())
        if math.isinf(first_s):
            # Other entries share all limits; this is the average time until one has room.
            first_s = 1 / total_per_s
        if self._limits or self._cold_tracking.has_cold():
            self._shares.grants.record_unmet(service, self._now_s)
        entries = 1 + len(self._peers.members())
        warm_in_s = self._warm_in_s(staying)
        limit_s = warm_in_s if time_left_s is None else min(warm_in_s, time_left_s)
        delay_s = self._retry_schedule.next_retry_s(
            service, first_s, total_per_s / entries, limit_s, self._now_s
        )
        if delay_s <= warm_in_s:
            return delay_s
        # Once the first server is warm, it accepts far more than the rate of cold ones.
        return self._retry_schedule.next_retry_s(
            f"{service}, warm", warm_in_s, ASSUMED_LIMIT_PER_S, time_left_s, self._now_s
        )

    def _warm_in_s(self, servers: Iterable[BackendServer]) -> float:
        """Return the time until a server that is limited only while cold is warm."""
        if not self._cold_tracking.has_cold():
            return math.inf
        ids = (server.incarnation_id for server in servers)
        left_s = (
            self._warm_up.servers.left_s(one, self._now_s)
            for one in ids
            if self._limits.of(server_hash(one)) is None
            and not self._cool_downs.remaining_s(one, self._now_s)
        )
        return min((one_s for one_s in left_s if one_s > 0), default=math.inf)

    def limits_to_send(self) -> Mapping[int, LimitReport]:
        """Return the limits to send to peers, the latest first."""
        return self._limits.limits_to_send(self._now_s)

    def apply(self, limits: Mapping[int, LimitReport], host: str) -> None:
        """Record the limits that a peer has reported."""
        for key, limit in limits.items():
            change = self._limits.record_peer_limit(key, limit, self._now_s)
            self._note_change(key, change, host)

    def shares_to_send(self) -> ShareNews:
        """Return the unmet demand and the grants to send to peers."""
        return self._shares.grants.to_send(self._now_s)

    def apply_shares(self, news: ShareNews, host: str) -> None:
        """Record the grants of a peer, and grant what this entry can spare for its demand."""
        if not (news.demands or news.grants):
            return
        now_s = self._now_s
        self._shares.grants.receive(news.grants, host, now_s)
        for service_key, requests in self._shares.grants.new_demands(
            news.demands, host, now_s
        ).items():
            self._grant(service_key, requests, host)

    def forget_gone(self, known: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        now_s = self._now_s
        self._shares.forget_gone(known, now_s)
        self._leaving.forget_gone(known, now_s)
        self._cold_tracking.forget_gone(known)

    def _grant(self, service_key: int, requests: int, host: str) -> None:
        """Grant requests to the limited servers of a service to a peer."""
        now_s = self._now_s
        servers = [
            server
            for server in self._cluster_state.servers.known()
            if server_hash(server.service) == service_key and not server.is_draining
        ]
        if not servers or self._shares.grants.is_short(servers[0].service, now_s):
            return
        self._shares.set_entries(self._peers.members())
        accepting = [
            server.incarnation_id
            for server in servers
            if server.incarnation_id not in self._leaving
            and not self._cool_downs.remaining_s(server.incarnation_id, now_s)
        ]
        granters, draw = len(self._peers.live_hosts()), self.kernel.random.random
        decision = self._shares.grant(accepting, host, requests, granters, now_s, draw)
        if decision.granted:
            self.kernel.events.emit(SharesGranted(host, requests, *decision))

    def _note_change(self, key: int, change: LimitChange, source: str) -> None:
        if change is LimitChange.NOTHING:
            return
        server = next(
            (
                one
                for one in self._cluster_state.servers.known()
                if server_hash(one.incarnation_id) == key
            ),
            None,
        )
        if server is None:
            return
        self._shares.note_limit_changed(server.incarnation_id)
        if change is LimitChange.NEWS:
            self._log_limit(server, self._limits.of(key), source)
            if source == OWN_SOURCE:
                self._peers.send_now()

    def _log_limit(self, server: BackendServer, most_per_s: float | None, source: str) -> None:
        if most_per_s is None:
            self.kernel.events.emit(ServerLimitEnded(server.server_id, source))
            return
        others = self._peers.members()
        share_per_s = own_share_per_s(server.incarnation_id, most_per_s, self._own_host, others)
        sent = self._sent_count(server.incarnation_id)
        entries = 1 + len(others)
        self.kernel.events.emit(
            ServerLimited(
                server.server_id, most_per_s, round(share_per_s, 3), sent, entries, source
            )
        )

    def _accepted_per_s(self, incarnation_id: str) -> float:
        """Return the rate at which a server accepts requests once it accepts any."""
        most_per_s = self.limit_of(incarnation_id)
        return ASSUMED_LIMIT_PER_S if most_per_s is None else max(MIN_LIMIT_PER_S, most_per_s)

    def _wait_s(self, incarnation_id: str) -> float:
        if incarnation_id in self._leaving:
            return math.inf
        cool_down_s = self._cool_downs.remaining_s(incarnation_id, self._now_s)
        return max(cool_down_s, self._shares.wait_s(incarnation_id, self._now_s))

    def _record_leaving(self, server: BackendServer) -> None:
        if self._leaving.record(server.incarnation_id, self._now_s):
            self.kernel.events.emit(ServerLeaving(server.server_id))
            self._peers.send_now()

    def _record_cool_down(self, server: BackendServer, for_s: float) -> None:
        if self._cool_downs.record(server.incarnation_id, for_s, self._now_s):
            self.kernel.events.emit(ServerCoolingDown(server.server_id, for_s))

    def _sent_count(self, incarnation_id: str) -> int:
        return self._shares.sent_to(incarnation_id).count(self._now_s)

    @property
    def _now_s(self) -> float:
        return self.kernel.clock.now_s()
