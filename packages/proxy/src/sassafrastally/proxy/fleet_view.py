"""View of the backend servers for routing decisions: liveness, load and suspicion."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.failure_monitor import FailureMonitor
from sassafrastally.proxy.lanes import ServerView
from sassafrastally.proxy.leaving_servers import (
    LEAVING_S,
    LeavingServers,
    is_explained_by_load,
    is_probably_leaving,
)
from sassafrastally.proxy.liveness import Liveness
from sassafrastally.proxy.load import (
    NO_WORK,
    Ledger,
    Work,
    WorkView,
    merge_work,
    server_hash,
    sum_work,
)
from sassafrastally.proxy.log_events import ServerSuspected
from sassafrastally.proxy.metrics import SUSPICIONS
from sassafrastally.proxy.outlier_ejection import OutlierEjection
from sassafrastally.proxy.pace import SLOW_PACE, USUAL_PACE, PaceReports
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.slow_event_detection import SLOW_EJECTION_S, SlowEventDetector
from sassafrastally.proxy.unreported_requests import UnreportedRequests
from sassafrastally.proxy.waiting_attempts import WaitingAttempts

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.proxy.evacuation import Unavailability
    from sassafrastally.proxy.model import BackendServer, ServerLoad


class FleetView(Service):
    """Combines this process's observations with those reported by its peers."""

    name: ClassVar[str] = "sight"
    needs: ClassVar[tuple[str, ...]] = ("backpressure", "beliefs", "peers")

    liveness: Liveness
    """Distinguishes servers that have died from those that broke off one answer."""

    failures: FailureMonitor
    """Servers that fail too often over all entries; set in `start`."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.outlier_ejection = OutlierEjection()
        self.waiting_attempts = WaitingAttempts()
        self._unreported = UnreportedRequests()
        self._slow_events = SlowEventDetector()
        self._leaving = LeavingServers()
        self._paces = PaceReports()
        self._probing: set[str] = set()
        self.request_report: Callable[[BackendServer, str], None] | None = None
        """Requests an engine's report on behalf of a request; records a failure if none arrives."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Look up the services whose state is combined and register the callbacks."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._peers = self.kernel.get("peers", Peers)
        self._backpressure = self.kernel.get("backpressure", Backpressure)
        self._peers.own_suspects = self._own_suspects
        self._peers.own_paces = self._own_paces
        self.ledger.others = self._peers.loads
        self.failures = FailureMonitor(self.kernel, self._cluster_state, self._peers, self.ledger)
        self._nursery = nursery
        self._containment = Containment(self.kernel, "probe of a server")
        evacuations = self._cluster_state.servers.evacuations
        self.liveness = Liveness(nursery, evacuations.is_evacuated, self._containment)

    @property
    def entries(self) -> int:
        """Number of live entries, this one included."""
        return self._peers.live_count() + 1

    @property
    def known_entries(self) -> int:
        """Number of entries that share what all of them may send, as `PeerTable.known_entries`."""
        return self._peers.known_count()

    @property
    def beliefs_age_s(self) -> float:
        """Time since the view of the servers was last confirmed."""
        return self.kernel.clock.now_s() - self._cluster_state.confirmed_s

    @property
    def update_age_s(self) -> float:
        """Age of the latest updates from other entries."""
        return self._peers.update_age_s

    def work(self) -> WorkView:
        """Return the work in progress of all entries."""
        now_s = self.kernel.clock.now_s()
        return merge_work(self.ledger.work(now_s), self._peers.loads())

    def views(
        self, service: str, avoid: set[str], homes: frozenset[str] | None = None
    ) -> list[ServerView]:
        """Return the servers of a service in the order shared by all entries.

        Servers whose backpressure excludes further requests from this entry now are left out.
        Suspects are included only if no other server remains.

        Parameters
        ----------
        service
            The service.
        avoid
            Servers to exclude, since they were already tried for this request.
        homes
            Data centres in which the request may run; ``None`` for any.
        """
        return self._views(self._servers(service, homes), avoid)

    def local_views(
        self, service: str, avoid: set[str], homes: frozenset[str] | None = None
    ) -> list[ServerView]:
        """Return the own data centre's servers as in `views`; none if they aren't preferred."""
        if not self.is_divided(service):
            return []
        if homes is not None and self.kernel.data_centre not in homes:
            return []
        pool = self._cluster_state.servers.pool(service, self.kernel.data_centre)
        return self._views(pool, avoid) if pool else []

    def has_uneven_links(self) -> bool:
        """Return whether the links of the entries heard are uneven."""
        return self._peers.has_uneven_links()

    def is_divided(self, service: str) -> bool:
        """Return whether each data centre's servers of a service form a separate pool.

        Without relays, every entry receives updates from all others directly. Load data is then
        equally fresh for all engines, and choosing among all of them is better.
        """
        return self._peers.receives_sums() and self._cluster_state.servers.is_divided(service)

    def _servers(self, service: str, homes: frozenset[str] | None) -> list[BackendServer]:
        servers = self._cluster_state.servers.of_service(service)
        if homes is None:
            return servers
        return [server for server in servers if server.data_centre in homes]

    def unavailability(self, service: str, homes: frozenset[str] | None) -> Unavailability:
        """Return why no server of a service may get a request, whatever its load."""
        return self._cluster_state.servers.unavailability(service, homes)

    def _views(self, servers: Sequence[BackendServer], avoid: set[str]) -> list[ServerView]:
        now_s = self.kernel.clock.now_s()
        work = self.work()
        to_avoid = self._servers_to_avoid(now_s)
        to_avoid |= self.failures.avoided(lambda: work, to_avoid)
        paces = self.paces()
        without_room = self._backpressure.waits_s(servers)
        is_any_limited = self._backpressure.is_any_limited()
        views = [
            ServerView(
                server,
                self._work_with_unreported(incarnation_id, work, now_s),
                incarnation_id in to_avoid or server_hash(incarnation_id) in to_avoid,
                paces.get(incarnation_id, USUAL_PACE),
                is_any_limited and self._backpressure.limit_of(incarnation_id) is not None,
                is_any_limited and self._backpressure.is_cold(incarnation_id),
            )
            for server in servers
            if (incarnation_id := server.incarnation_id) not in avoid
            and incarnation_id not in without_room
        ]
        trusted = [view for view in views if not view.is_suspect]
        return trusted or views

    def trial_views(
        self, service: str, avoid: set[str], homes: frozenset[str] | None = None
    ) -> list[ServerView]:
        """Return the server that is avoided for its failures and due for a trial request.

        Empty if there is none, or if it isn't usable for another reason.

        Parameters
        ----------
        service, avoid, homes
            As for `views`.
        """
        due = self.failures.due_trials()
        if not due:
            return []
        avoided_otherwise = self._servers_to_avoid(self.kernel.clock.now_s())
        servers = [
            server
            for server in self._servers(service, homes)
            if (key := server_hash(server.incarnation_id)) in due
            and avoided_otherwise.isdisjoint((key, server.incarnation_id))
        ]
        return self._views(servers, avoid)[:1]

    def available_in_s(
        self, service: str, time_left_s: float | None, homes: frozenset[str] | None = None
    ) -> float | None:
        """Return after how long a caller should retry when no server accepts a request now.

        ``None`` if some server accepts one, or if the time is unknown.
        """
        servers = self._servers(service, homes)
        return self._backpressure.available_in_s(service, servers, time_left_s)

    def _servers_to_avoid(self, now_s: float) -> set[str | int]:
        """Return the servers to avoid: own suspects by id, those of peers by the id's hash."""
        from_peers = (key for key, left_s in self._peers.suspects().items() if left_s > 0)
        return {*from_peers, *self._own_servers_to_avoid(now_s)}

    def _own_servers_to_avoid(self, now_s: float) -> dict[str, float]:
        """Return the servers that this process avoids, with the remaining seconds."""
        return {
            **self._slow_events.slow_servers(now_s),
            **self.outlier_ejection.suspects(now_s),
            **self._leaving.to_avoid(now_s, self._cluster_state.confirmed_s),
            **self._backpressure.leaving(),
        }

    def paces(self) -> dict[str, float]:
        """Return the pace of each slow engine, as reported to this process or to a peer."""
        from_peers = self._peers.paces()
        reported = {
            server.incarnation_id: from_peers[key]
            for server in (self._cluster_state.servers.known() if from_peers else ())
            if (key := server_hash(server.incarnation_id)) in from_peers
        }
        return {**reported, **self._paces.slow(self.kernel.clock.now_s())}

    def record_pace(self, server: BackendServer, pace: float) -> None:
        """Record the pace that an engine reports."""
        self._paces.record(server.incarnation_id, pace, self.kernel.clock.now_s())
        if pace >= SLOW_PACE:
            self.ledger.note_change()  # Sends the next datagram early.

    def _own_paces(self) -> dict[int, float]:
        slow = self._paces.slow(self.kernel.clock.now_s())
        return {server_hash(incarnation_id): pace for incarnation_id, pace in slow.items()}

    def _work_with_unreported(self, incarnation_id: str, work: WorkView, now_s: float) -> Work:
        known = work.at(incarnation_id)
        unreported = self._unreported.count(incarnation_id, now_s)
        return (
            known._replace(short_requests=known.short_requests + unreported)
            if unreported
            else known
        )

    def forget_gone(self) -> None:
        """Discard the state of servers that no longer exist."""
        known = {server.incarnation_id for server in self._cluster_state.servers.known()}
        self.outlier_ejection.forget_gone(known)
        self._slow_events.forget_gone(known)
        self._paces.forget_gone(known)
        self._backpressure.forget_gone(known)
        self._unreported.forget_old(self.kernel.clock.now_s())

    def record_load(self, incarnation_id: str, load: ServerLoad | None) -> None:
        """Record the load that a server reported with an answer."""
        if load is not None:
            now_s = self.kernel.clock.now_s()
            known = self._work_at(incarnation_id, now_s).requests
            self._unreported.record(incarnation_id, load, known, now_s)

    def record_event(
        self, server: BackendServer, waited_s: float, limit_s: float, request_id: str
    ) -> None:
        """Record how long an event of a stream took to arrive.

        Parameters
        ----------
        server
            Server that sent it.
        waited_s
            Time until it arrived.
        limit_s
            Longer waits count as slow unless the server is in prefill.
        request_id
            The request that it belongs to.
        """
        if waited_s <= limit_s:
            self._slow_events.record_usual(server.incarnation_id)
            return
        now_s = self.kernel.clock.now_s()
        if self._work_at(server.incarnation_id, now_s).prefill_requests:
            return  # Prefill explains the delay.
        servers = len(self._cluster_state.servers.of_service(server.service))
        if not self._slow_events.record_slow(server.incarnation_id, servers, now_s):
            return
        SUSPICIONS.add(1)
        self.ledger.note_change()  # Sends the next datagram early.
        reason = f"slow: events take more than {limit_s:.2f} s; the last took {waited_s:.2f} s"
        self.kernel.events.emit(
            ServerSuspected(server.server_id, reason, SLOW_EJECTION_S, request_id)
        )

    def _work_at(self, incarnation_id: str, now_s: float) -> Work:
        """Return the work at one server, without the cost of merging the work of all servers."""
        key = server_hash(incarnation_id)
        own = self.ledger.work(now_s).get(incarnation_id, NO_WORK)
        return sum_work([own, *(loads.get(key, NO_WORK) for loads in self._peers.loads())])

    def is_loaded(self, server: BackendServer) -> bool:
        """Return whether the load of a server explains that it refused an attempt in progress."""
        work = self._work_at(server.incarnation_id, self.kernel.clock.now_s())
        return is_explained_by_load(work, server.slots)

    def record_success(self, incarnation_id: str) -> None:
        """Record a successful answer."""
        self.outlier_ejection.record_success(incarnation_id)

    def record_failure(
        self, server: BackendServer, reason: str, request_id: str, *, is_conclusive: bool = False
    ) -> None:
        """Record a failed answer.

        Parameters
        ----------
        server
            Server that failed.
        reason
            Description of the failure, for the log.
        request_id
            The request that failed.
        is_conclusive
            Whether the server is known not to respond. Otherwise a connection is probed, to
            distinguish a server that has died from one that broke off one answer.
        """
        now_s = self.kernel.clock.now_s()
        for_s = self.outlier_ejection.record_failure(
            server.incarnation_id, now_s, is_conclusive=is_conclusive
        )
        if for_s:
            SUSPICIONS.add(1)
            self.ledger.note_change()  # Sends the next datagram early.
            self.kernel.events.emit(ServerSuspected(server.server_id, reason, for_s, request_id))
        elif server.incarnation_id not in self._probing:
            self._probing.add(server.incarnation_id)
            self._nursery.start_soon(self._containment.run, self._probe, server, request_id)

    def record_refusal(
        self, server: BackendServer, reason: str, request_id: str, *, is_conclusive: bool = False
    ) -> None:
        """Record that a server refused a request, or is named as the cause of a refusal.

        Parameters
        ----------
        server
            Server that refused, or is named.
        reason, request_id, is_conclusive
            As for `record_failure`.
        """
        now_s = self.kernel.clock.now_s()
        work = self._work_at(server.incarnation_id, now_s)
        if not is_probably_leaving(work, server.slots, self.beliefs_age_s):
            self.record_failure(server, reason, request_id, is_conclusive=is_conclusive)
            return
        SUSPICIONS.add(1)
        self._leaving.record(server.incarnation_id, now_s)
        self.ledger.note_change(is_urgent=True)
        reason = f"{reason}; its known load doesn't explain this, so it may be leaving"
        self.kernel.events.emit(ServerSuspected(server.server_id, reason, LEAVING_S, request_id))

    def record_timeout(self, server: BackendServer, request_id: str) -> None:
        """Record that a server sent nothing within the time limit.

        An overloaded engine is as silent as a dead one. Avoiding it would take capacity from a
        fleet that is already short of it and move its load to the others, so the engine's report
        decides.
        """
        if self.request_report is None or not self._has_engine(server.service):
            self.record_failure(server, "no response within the time limit", request_id)
        else:
            self.request_report(server, request_id)

    def _has_engine(self, service: str) -> bool:
        configuration = self._cluster_state.configuration
        known = configuration.services.get(service) if configuration else None
        return known is not None and known.engine is not None

    async def _probe(self, server: BackendServer, request_id: str) -> None:
        try:
            finding = await self.liveness.find(server)
        finally:
            self._probing.discard(server.incarnation_id)
        if not finding.is_listening:
            self.record_failure(server, f"probe: {finding.detail}", request_id, is_conclusive=True)

    def _own_suspects(self) -> dict[int, float]:
        left = self._own_servers_to_avoid(self.kernel.clock.now_s())
        # Entries that start after a restore of the store don't know that these may be gone.
        left.update(self._cluster_state.servers.held())
        return {server_hash(incarnation_id): left_s for incarnation_id, left_s in left.items()}
