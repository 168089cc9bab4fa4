"""Backpressure from backend servers, as learned by this entry and its peers."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, ClassVar

from sassafrastally.core import Service
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.cool_downs import CoolDowns
from sassafrastally.proxy.leaving_servers import DeclaredLeaving
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    ServerCoolingDown,
    ServerLeaving,
    ServerLimited,
    ServerLimitEnded,
)
from sassafrastally.proxy.metrics import SERVER_CALLS
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.rate_limit_sharing import (
    MIN_LIMIT_PER_S,
    RetrySchedule,
    SentRequests,
    own_share_per_s,
)
from sassafrastally.proxy.server_limits import LimitChange, ServerLimits

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    import trio

    from sassafrastally.proxy.limit_exchange import LimitReport
    from sassafrastally.proxy.model import BackendServer, BackpressureSignals

ASSUMED_LIMIT_PER_S = 20.0
"""Assumed requests per second of a server without a stated limit once its cool-down is over."""

OWN_SOURCE = "answer"
"""Log source of limits that this entry has received in an answer."""


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
    """

    name: ClassVar[str] = "backpressure"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "peers")

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._cool_downs = CoolDowns()
        self._leaving = DeclaredLeaving()
        self._sent: dict[str, SentRequests] = {}
        self._limits = ServerLimits()
        self._shares: dict[str, float] = {}
        """Cache of this entry's shares by server; valid until the entries or the limits change."""
        self._shared_among: set[str] = set()
        self._retry_schedule = RetrySchedule()

    async def start(self, nursery: trio.Nursery) -> None:
        """Resolve the services that provide the servers and the peers."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._peers = self.kernel.get("peers", Peers)
        self._peers.limits = self

    def gauges(self) -> dict[str, float]:
        """Return the number of servers by kind of backpressure."""
        self._cool_downs.forget_expired(self._now_s)
        return {
            "limited_servers": self._limits.count(),
            "resting_servers": len(self._cool_downs),
            "leaving_servers": len(self.leaving()),
        }

    def count_request(self, server: BackendServer, kind: CallKind) -> None:
        """Count a request that is about to be sent."""
        SERVER_CALLS.add(1, {"kind": kind.value})
        self._sent_to(server.incarnation_id).record(self._now_s)

    def count_part(self, server: BackendServer) -> None:
        """Count a part of a prompt that a limited server prefills for another one."""
        if self.limit_of(server.incarnation_id) is not None:
            self._sent_to(server.incarnation_id).record(self._now_s)

    def record_answer(self, server: BackendServer, signals: BackpressureSignals) -> None:
        """Note the backpressure signals in a server's answer."""
        key = server_hash(server.incarnation_id)
        change = self._limits.record_answer_limit(key, signals.most_per_s, self._now_s)
        self._note_change(key, change, OWN_SOURCE)
        if signals.is_leaving:
            self._record_leaving(server)
        if signals.cool_down_s is not None:
            self._record_cool_down(server, signals.cool_down_s)

    def leaving(self) -> dict[str, float]:
        """Return the servers that recently announced leaving, with the remaining seconds."""
        return self._leaving.to_announce(self._now_s)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server has announced that it is leaving."""
        return server.incarnation_id in self._leaving

    def limit_of(self, incarnation_id: str) -> float | None:
        """Return the requests per second that a server accepts; ``None`` without a limit."""
        return self._limits.of(server_hash(incarnation_id)) if self._limits else None

    def waits_s(self, servers: Iterable[BackendServer]) -> dict[str, float]:
        """Return the time until each server accepts a request; servers that do now are left out.

        The time is infinite for servers that are leaving and for those whose limit is shared by
        other entries only.
        """
        self._cool_downs.forget_expired(self._now_s)
        if not (self._limits or self._leaving or self._cool_downs):
            return {}
        if (others := self._peers.members()) != self._shared_among:
            self._shared_among = others
            self._shares.clear()
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
        own_per_s = total_per_s / (1 + len(self._peers.members()))
        return self._retry_schedule.next_retry_s(
            service, first_s, own_per_s, time_left_s, self._now_s
        )

    def limits_to_send(self) -> Mapping[int, LimitReport]:
        """Return the limits to send to peers, the latest first."""
        return self._limits.limits_to_send(self._now_s)

    def apply(self, limits: Mapping[int, LimitReport], host: str) -> None:
        """Record the limits that a peer has reported."""
        for key, limit in limits.items():
            change = self._limits.record_peer_limit(key, limit, self._now_s)
            self._note_change(key, change, host)

    def forget_gone(self, known: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        now_s = self._now_s
        for incarnation_id in self._sent.keys() - known:
            if self._sent[incarnation_id].count(now_s) == 0:
                del self._sent[incarnation_id]
        self._leaving.forget_gone(known, now_s)

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
        self._shares.pop(server.incarnation_id, None)
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
        sent = self._sent_to(server.incarnation_id).count(self._now_s)
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
        most_per_s = self.limit_of(incarnation_id)
        if most_per_s is None:
            return cool_down_s
        if incarnation_id not in self._shares:
            self._shares[incarnation_id] = own_share_per_s(
                incarnation_id, most_per_s, self._own_host, self._shared_among
            )
        wait_s = self._sent_to(incarnation_id).wait_s(self._shares[incarnation_id], self._now_s)
        return max(cool_down_s, wait_s)

    def _record_leaving(self, server: BackendServer) -> None:
        if self._leaving.record(server.incarnation_id, self._now_s):
            self.kernel.events.emit(ServerLeaving(server.server_id))
            self._peers.send_now()

    def _record_cool_down(self, server: BackendServer, for_s: float) -> None:
        if self._cool_downs.record(server.incarnation_id, for_s, self._now_s):
            self.kernel.events.emit(ServerCoolingDown(server.server_id, for_s))

    def _sent_to(self, incarnation_id: str) -> SentRequests:
        return self._sent.setdefault(incarnation_id, SentRequests())

    @property
    def _now_s(self) -> float:
        return self.kernel.clock.now_s()
