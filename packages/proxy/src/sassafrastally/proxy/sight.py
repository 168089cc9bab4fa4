"""What is known when a decision is made: live servers, their work, suspicion."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from sassafrastally.core import Service
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.load import Ledger, WorkView, merge, server_hash
from sassafrastally.proxy.log_events import ServerSuspected
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.placement import ServerView
from sassafrastally.proxy.suspicion import Suspicion

if TYPE_CHECKING:
    import trio

    from sassafrastally.core import Address


class Sight(Service):
    """Joins what this process knows with what its peers tell."""

    name: ClassVar[str] = "sight"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "peers")

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.suspicion = Suspicion()

    async def start(self, nursery: trio.Nursery) -> None:
        """Find the services whose knowledge is joined."""
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        self._peers = self.kernel.get("peers", Peers)

    @property
    def entries(self) -> int:
        """Number of live entries, this one included."""
        return self._peers.live_count() + 1

    @property
    def beliefs_age_s(self) -> float:
        """Time since what is known of the servers was last confirmed."""
        return self.kernel.clock.now_s() - self._beliefs.confirmed_s

    def work(self) -> WorkView:
        """Return the work of all entries."""
        now_s = self.kernel.clock.now_s()
        return merge(self.ledger.work(now_s), self._peers.loads())

    def views(self, service: str, avoid: set[str]) -> list[ServerView]:
        """Return the servers of a service in the order that all entries share.

        Suspects are left out unless nobody else is left.

        Parameters
        ----------
        service
            The service.
        avoid
            Servers that were tried for this request; left out.
        """
        now_s = self.kernel.clock.now_s()
        work = self.work()
        views = [
            ServerView(
                server,
                work.at(server.server_id),
                self.suspicion.is_suspect(server.server_id, now_s),
            )
            for server in self._beliefs.servers_of(service)
            if server.server_id not in avoid
        ]
        views.sort(key=lambda view: server_hash(view.server.server_id))
        trusted = [view for view in views if not view.is_suspect]
        return trusted or views

    def note_success(self, server_id: str) -> None:
        """Note a good answer."""
        self.suspicion.succeeded(server_id)

    def note_failure(
        self, server_id: str, reason: str, request_id: str, *, is_clear: bool = False
    ) -> None:
        """Note a failed answer."""
        now_s = self.kernel.clock.now_s()
        for_s = self.suspicion.failed(server_id, now_s, is_clear=is_clear)
        if for_s:
            self.kernel.events.emit(ServerSuspected(server_id, reason, for_s, request_id))

    def note_fault_at(self, service: str, address: Address, request_id: str) -> None:
        """Note that an answer named another server as the cause of its failure."""
        for server in self._beliefs.servers_of(service):
            if server.address == address:
                reason = "named as the cause by another server"
                self.note_failure(server.server_id, reason, request_id, is_clear=True)
