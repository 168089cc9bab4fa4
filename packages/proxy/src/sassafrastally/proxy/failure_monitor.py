"""Failures of servers counted over all entries: what this entry counts, sends and avoids.

Connects the decisions of `failure_rates` with the fleet view, the peers and the log.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.admission_queue import QueueingCache
from sassafrastally.proxy.failure_rates import FailureRates, ServerState
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import ServerAvoided, ServerUsedAgain

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from collections.abc import Set as AbstractSet

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.cluster_state import ClusterState
    from sassafrastally.proxy.failure_rates import AvoidanceChange, FailureCounts
    from sassafrastally.proxy.load import Ledger, WorkView
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.peers import Peers


class FailureMonitor:
    """Counts outcomes at this entry and avoids servers that fail too often at all entries.

    Parameters
    ----------
    kernel
        Clock, random number generator and log.
    cluster_state
        Configuration and backend servers.
    peers
        Exchange of the counts.
    ledger
        Told of new failures, so that the next datagram leaves early.
    """

    def __init__(
        self, kernel: Kernel, cluster_state: ClusterState, peers: Peers, ledger: Ledger
    ) -> None:
        self._kernel = kernel
        self._cluster_state = cluster_state
        self._peers = peers
        self._ledger = ledger
        self._rates = FailureRates(kernel.random)
        self._queueing = QueueingCache()
        peers.own_failures = self._own_failures

    @property
    def applies(self) -> bool:
        """Whether failures are counted over all entries.

        Operators who give routes different priorities ask for protection of what can't wait. With
        uneven links, small entries hardly ever see two consecutive failures of one server.
        """
        configuration = self._cluster_state.configuration
        if configuration is None:
            return False
        return self._queueing.applies_anywhere(configuration) or self._peers.has_uneven_links()

    @property
    def avoided_count(self) -> int:
        """Number of servers that are avoided for their failures over all entries."""
        return len(self._rates.avoided)

    def record(self, server: BackendServer, *, is_failure: bool) -> None:
        """Count the outcome of a request that a server got."""
        if not self.applies:
            return
        key = server_hash(server.incarnation_id)
        self._rates.record(key, self._kernel.clock.now_s(), is_failure=is_failure)
        if is_failure:
            self._ledger.note_change()  # Sends the next datagram early.

    def record_sent(self, server: BackendServer) -> None:
        """Note a request to a server, which may be the trial of one that is avoided."""
        now_s = self._kernel.clock.now_s()
        self._rates.record_sent(server_hash(server.incarnation_id), self._entries(), now_s)

    def avoided(
        self, work: Callable[[], WorkView], avoided_otherwise: AbstractSet[str | int]
    ) -> frozenset[int]:
        """Return the servers to avoid, by hash of the incarnation id.

        Parameters
        ----------
        work
            Returns the work of all entries.
        avoided_otherwise
            Servers that are avoided for other reasons, by incarnation id or its hash. They can't
            take over the load.
        """
        now_s = self._kernel.clock.now_s()
        if self._rates.is_due(now_s):
            received = self._peers.failure_counts() if self.applies else []
            if self._rates.is_idle(received, now_s):
                self._rates.note_idle(now_s)
            else:
                services = self._services(work(), avoided_otherwise) if self.applies else []
                self._log(self._rates.decide(services, received, self._entries(), now_s))
        return self._rates.avoided

    def due_trials(self) -> set[int]:
        """Return the avoided servers that may get a trial request, by hash."""
        return self._rates.due_trials(self._kernel.clock.now_s())

    def _services(
        self, work: WorkView, avoided_otherwise: AbstractSet[str | int]
    ) -> list[list[ServerState]]:
        configuration = self._cluster_state.configuration
        names = configuration.services if configuration else ()
        return [list(self._states(name, work, avoided_otherwise)) for name in names]

    def _states(
        self, service: str, work: WorkView, avoided_otherwise: AbstractSet[str | int]
    ) -> Iterator[ServerState]:
        for server in self._cluster_state.servers.of_service(service):
            key = server_hash(server.incarnation_id)
            is_usable = avoided_otherwise.isdisjoint((key, server.incarnation_id))
            requests = work.at(server.incarnation_id).requests
            yield ServerState(key, server.slots, requests, is_usable)

    def _own_failures(self) -> dict[int, FailureCounts]:
        if not self.applies:
            return {}
        return self._rates.to_send(self._peers.failure_counts(), self._kernel.clock.now_s())

    def _entries(self) -> int:
        return self._peers.live_count() + 1

    def _log(self, changes: list[AvoidanceChange]) -> None:
        names = {
            server_hash(server.incarnation_id): server.server_id
            for server in (self._cluster_state.servers.known() if changes else ())
        }
        for change in changes:
            kind = ServerAvoided if change.is_avoided else ServerUsedAgain
            failures, responses = change.counts
            name = names.get(change.key, "gone")
            self._kernel.events.emit(kind(name, failures, responses, change.entries))
