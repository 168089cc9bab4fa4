"""Cold servers as this entry learns of them: from records, responses and peers, with log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import ColdTimeRejected, ServerCold, ServerWarm
from sassafrastally.proxy.warm_up import (
    MIN_DIFFERENCE_S,
    ColdAnnouncements,
    ColdNotice,
    is_plausible,
    known_until_s,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.cluster_state import ClusterState
    from sassafrastally.proxy.model import BackendServer, Configuration
    from sassafrastally.proxy.peers import Peers
    from sassafrastally.proxy.warm_up import WarmUpLimits

OWN_SOURCE = "answer"
"""Log source of what this entry has read in a response."""


class ColdTracking:
    """Keeps `WarmUpLimits` up to date, and exchanges cold times with peers.

    Parameters
    ----------
    kernel
        Clock and log.
    cluster_state
        Servers and configuration.
    peers
        The other entries.
    warm_up
        Limits of cold servers.
    sent_count
        Returns how many requests this entry has lately sent to a server.
    """

    def __init__(
        self,
        kernel: Kernel,
        cluster_state: ClusterState,
        peers: Peers,
        warm_up: WarmUpLimits,
        sent_count: Callable[[str], int],
    ) -> None:
        self._kernel = kernel
        self._cluster_state = cluster_state
        self._peers = peers
        self._warm_up = warm_up
        self._sent_count = sent_count
        self._announcements = ColdAnnouncements()
        self._configuration: Configuration | None = None
        self._server_ids: dict[str, str] = {}
        """Ids of cold servers by incarnation, for the log."""
        self._from_peers = 0

    def begin(self) -> None:
        """Read the known servers, and register as receiver of records and peers' news."""
        servers = self._cluster_state.servers
        if servers.has_snapshot:
            self._warm_up.begin(self._now_s)
        for server in servers.known():
            self._warm_up.servers.record_registration(server, self._now_s, is_new=False)
        servers.on_registration = self._record_registration
        self._peers.colds = self

    def gauges(self) -> dict[str, float]:
        """Return the number of cold servers, and those that this entry and its peers announce."""
        return {
            "cold_servers": len(self._warm_up.servers) if self.has_cold() else 0,
            "cold_servers_announced": len(self.colds_to_send()),
            "cold_servers_from_peers": self._from_peers,
        }

    def has_cold(self) -> bool:
        """Return whether a server is cold; log those that no longer are."""
        if not self._warm_up:
            return False
        for incarnation_id in self._warm_up.servers.take_warm(self._now_s):
            server_id = self._server_ids.pop(incarnation_id, incarnation_id)
            self._kernel.events.emit(ServerWarm(server_id, self._sent_count(incarnation_id)))
        return bool(self._warm_up)

    def may_turn_cold(self, server: BackendServer) -> bool:
        """Return whether a server's service has cold servers."""
        services = self._configuration.services if self._configuration else {}
        service = services.get(server.service)
        return service is not None and service.cold_per_s > 0

    def record_answer(self, server: BackendServer, left_s: float) -> None:
        """Record the cold time in a response, and tell the peers if it is news."""
        self._apply_configuration()
        servers, now_s = self._warm_up.servers, self._now_s
        known_s = known_until_s(servers, server.incarnation_id, now_s)
        notice = servers.record_answer(server, left_s, now_s)
        self._note(server, notice, left_s, OWN_SOURCE)
        if not is_plausible(left_s) or not servers.left_s(server.incarnation_id, now_s):
            return
        until_s = now_s + left_s
        if self._announcements.record_answer(server.incarnation_id, until_s, known_s):
            self._peers.send_now()

    def colds_to_send(self) -> Mapping[int, float]:
        """Return the remaining cold times to send to peers."""
        return self._announcements.to_send(self._warm_up.servers, self._now_s)

    def apply_colds(self, colds: Mapping[int, float], host: str) -> bool:
        """Record the cold times that a peer or a data centre's sum states."""
        self._apply_configuration()
        servers, now_s = self._warm_up.servers, self._now_s
        is_news = False
        for server in self._cluster_state.servers.known():
            left_s = colds.get(server_hash(server.incarnation_id))
            if left_s is None:
                continue
            known_s = known_until_s(servers, server.incarnation_id, now_s)
            notice = servers.record_peer(server, left_s, now_s)
            self._note(server, notice, left_s, host)
            self._from_peers += notice is ColdNotice.COLD
            until_s = known_until_s(servers, server.incarnation_id, now_s)
            is_news |= until_s > known_s + MIN_DIFFERENCE_S
        return is_news

    def forget_gone(self, known: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        now_s = self._now_s
        self._apply_configuration()
        if self._cluster_state.servers.has_snapshot:
            self._warm_up.begin(now_s)
        self._warm_up.record_entries(self._peers.members(), now_s)
        self._warm_up.servers.forget_gone(known, now_s)
        self.has_cold()
        self._server_ids = {
            incarnation_id: server_id
            for incarnation_id, server_id in self._server_ids.items()
            if self._warm_up.servers.left_s(incarnation_id, now_s) > 0
        }

    def _record_registration(self, server: BackendServer, source: str) -> None:
        self._apply_configuration()
        self._warm_up.begin(self._now_s)
        is_new = self._cluster_state.servers.has_snapshot
        notice = self._warm_up.servers.record_registration(server, self._now_s, is_new=is_new)
        self._note(server, notice, server.cold_left_s, source)

    def _note(
        self, server: BackendServer, notice: ColdNotice, stated_s: float, source: str
    ) -> None:
        if notice is ColdNotice.REJECTED:
            self._kernel.events.emit(ColdTimeRejected(server.server_id, stated_s, source))
        if notice is not ColdNotice.COLD:
            return
        incarnation_id, now_s = server.incarnation_id, self._now_s
        self._server_ids[incarnation_id] = server.server_id
        self._warm_up.record_entries(self._peers.members(), now_s)
        cold_per_s = self._warm_up.servers.rate_per_s(incarnation_id, now_s) or 0.0
        self._kernel.events.emit(
            ServerCold(
                server.server_id,
                round(self._warm_up.servers.left_s(incarnation_id, now_s), 3),
                cold_per_s,
                self._warm_up.quota(incarnation_id, cold_per_s),
                self._sent_count(incarnation_id),
                self._warm_up.entry_count(),
                source,
            )
        )

    def _apply_configuration(self) -> None:
        """Apply the rates of the configuration in force if it has changed."""
        configuration = self._cluster_state.configuration
        if configuration is not self._configuration and configuration is not None:
            self._configuration = configuration
            self._warm_up.servers.configure(configuration.services, self._now_s)

    @property
    def _now_s(self) -> float:
        return self._kernel.clock.now_s()
