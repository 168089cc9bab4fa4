"""What a process believes of configuration and backend servers, and how fresh that is.

The state is the store's entries under two prefixes, at a revision. It comes from the store or from
a peer; a higher revision wins, and a configuration with a lower version than the one in force is
never taken.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, NamedTuple

import trio

from sassafrastally.core import KvEntry, KvEvent, Service
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    ConfigurationInForce,
    DocumentRejected,
    FormerLifeIgnored,
    ServerGone,
    ServerKnown,
    ServerLapsed,
)
from sassafrastally.proxy.pools import divide
from sassafrastally.proxy.routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import BackendServer, Configuration
    from sassafrastally.proxy.store import Snapshot

KEPT_CHANGES = 512
"""Keys whose last change is kept for peers that are behind; one that is further behind gets
everything. Only the last change of a key counts, so that versions of the configuration in quick
succession, half a megabyte each, take the memory and the bytes of one."""

LAPSE_GRACE_S = 2.0
"""Backend servers whose entries lapsed during an outage of the store are back this long after its
return; the platform states the figure. Until then they still count as live."""


KEPT_LIVES = 4096
"""Ids whose latest life is remembered after they have left: some hours of replacements at 1,500
servers. A late entry of an earlier life comes within seconds."""


class Delta(NamedTuple):
    """Changes after a revision, or everything when those are no longer kept."""

    entries: tuple[KvEntry, ...] | None
    """All entries; ``None``: `events` are enough."""
    events: tuple[KvEvent, ...]
    revision: int


class _Index(NamedTuple):
    """Live backend servers that aren't draining."""

    by_service: dict[str, list[BackendServer]]
    pools: dict[str, dict[str, list[BackendServer]]]
    """By service and data centre, where these are fleets of their own."""


class Beliefs(Service):
    """Configuration in force and known backend servers."""

    name: ClassVar[str] = "beliefs"

    def __init__(self, dialect: Dialect) -> None:
        self.configuration: Configuration | None = None
        """The configuration in force; ``None`` until one is known."""
        self.routes = RouteTable(())
        """Its routes."""
        self.revision = 0
        """The store's revision up to which changes are known; 0 before the first."""
        self.confirmed_s = float("-inf")
        """When the store or a peer last confirmed the revision."""
        self.configuration_known = trio.Event()
        """Set when the first configuration is known."""
        self.store_answered_s = float("-inf")
        """When the store itself last answered this process."""
        self.store_returned_s = float("-inf")
        """When the store was last reached again after an outage."""
        self.on_news: Callable[[], None] | None = None
        """Called when a later revision is known, so that peers hear of it at once."""
        self.on_life_ended: Callable[[BackendServer], None] | None = None
        """Called with each life of a backend server that has left or was followed by another."""
        self.on_quarantine_record: Callable[[KvEntry | KvEvent], None] | None = None
        """Called with each record of a quarantined request that is written or removed."""
        self._dialect = dialect
        self._entries: dict[str, KvEntry] = {}
        self._servers: dict[str, BackendServer] = {}
        self._lapsing: dict[str, float] = {}
        self._latest_born_ms: dict[str, int] = {}
        self._index: _Index | None = None
        self._changes: dict[str, KvEvent] = {}
        self._changes_from = 0

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the live servers of a service that don't drain, in the order of all entries."""
        return self._indexed().by_service.get(service, [])

    def pool(self, service: str, data_centre: str) -> list[BackendServer] | None:
        """Return those in one data centre; ``None`` where they aren't a fleet of their own."""
        return self._indexed().pools.get(service, {}).get(data_centre)

    def is_divided(self, service: str) -> bool:
        """Return whether each data centre's servers of a service are a fleet of their own."""
        return bool(self._indexed().pools.get(service))

    def server(self, server_id: str) -> BackendServer | None:
        """Return a known backend server."""
        return self._servers.get(server_id)

    def is_current(self, server: BackendServer) -> bool:
        """Return whether nothing newer than this life of a backend server is known."""
        known = self._servers.get(server.server_id)
        return known is None or known.life_id == server.life_id

    def servers(self) -> list[BackendServer]:
        """Return all known backend servers, draining ones included."""
        return list(self._servers.values())

    def server_count(self) -> int:
        """Return the number of known backend servers, draining ones included."""
        return len(self._servers)

    def confirm(self, revision: int) -> None:
        """Note that nothing has changed up to a revision."""
        self.confirmed_s = self.kernel.clock.now_s()
        if revision > self.revision:
            self.revision = revision
            if self.on_news is not None:
                self.on_news()

    def replace(self, snapshot: Snapshot, source: str) -> None:
        """Take all entries at once; one of a lower revision than ours is ignored."""
        if snapshot.revision < self.revision:
            return
        present = {entry.key: entry for entry in snapshot.entries if self._is_ours(entry.key)}
        for key in list(self._entries):
            if key not in present:
                self._remove(key, source)
        for entry in present.values():
            known = self._entries.get(entry.key)
            if known is None or known.mod_revision < entry.mod_revision:
                self._put(entry, source)
        self._changes.clear()
        self._changes_from = snapshot.revision
        self.confirm(snapshot.revision)

    def apply(self, events: Iterable[KvEvent], revision: int, source: str) -> None:
        """Take changes that follow on what is known."""
        latest = {event.key: event for event in events}
        # In the order of their revisions: the oldest changes are dropped first when there are many,
        # and which revision they reach back to is read off the last one dropped.
        for event in sorted(latest.values(), key=lambda event: event.mod_revision):
            # Peers tell changes that the store told already; an old one after a newer one would
            # bring a server back that has left.
            known = max(self.revision, self._known_at(event.key))
            if not self._is_ours(event.key) or event.mod_revision <= known:
                continue
            self._keep_change(event)
            if event.value is None:
                self._remove(event.key, source)
            else:
                self._put(KvEntry(event.key, event.value, event.mod_revision), source)
        self.confirm(revision)

    def delta_after(self, revision: int) -> Delta:
        """Return what a peer at that revision lacks."""
        if revision < self._changes_from or revision == 0:
            return Delta(tuple(self._entries.values()), (), self.revision)
        missed = (event for event in self._changes.values() if event.mod_revision > revision)
        return Delta(None, tuple(missed), self.revision)

    def _keep_change(self, event: KvEvent) -> None:
        self._changes.pop(event.key, None)
        self._changes[event.key] = event
        if len(self._changes) > KEPT_CHANGES:
            oldest = next(iter(self._changes))
            self._changes_from = self._changes.pop(oldest).mod_revision

    def _known_at(self, key: str) -> int:
        known = self._entries.get(key)
        return known.mod_revision if known else 0

    def _is_ours(self, key: str) -> bool:
        keys = self._dialect.keys
        prefixes = (keys.servers_prefix, keys.quarantine_prefix)
        return key == keys.configuration or key.startswith(prefixes)

    def quarantine_records(self) -> list[KvEntry]:
        """Return the records of quarantined requests."""
        prefix = self._dialect.keys.quarantine_prefix
        return [entry for key, entry in self._entries.items() if key.startswith(prefix)]

    def is_recorded(self, key: str) -> bool:
        """Return whether a key stands in the store, as far as is known."""
        return key in self._entries

    def _put(self, entry: KvEntry, source: str) -> None:
        self._entries[entry.key] = entry
        if self._is_quarantine_record(entry.key):
            self._tell_of_record(entry)
            return
        is_server = entry.key != self._dialect.keys.configuration
        try:
            if is_server:
                self._take_server(
                    self._dialect.decode_server(entry.key, entry.value), entry, source
                )
            else:
                self._take_configuration(self._dialect.decode_configuration(entry.value), source)
        except DocumentInvalid as cause:
            self.kernel.events.emit(
                DocumentRejected(entry.key, entry.mod_revision, source, cause.detail)
            )
            if is_server:
                self._disown(entry.key, source)

    def _disown(self, key: str, source: str) -> None:
        """Drop the server whose entry somebody else has overwritten.

        Nothing says any more where it is or whether it drains, so requests would go by what is no
        longer stated. The server's own next entry brings it back.
        """
        server = self._servers.get(key.removeprefix(self._dialect.keys.servers_prefix))
        if server is not None:
            self._lapsing.pop(server.server_id, None)
            self._drop(server, source)

    def _take_configuration(self, configuration: Configuration, source: str) -> None:
        # A read that was answered late, or by a peer that is behind, brings an older version. It
        # would take routes and keys back that are in force already, so only newer ones count.
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self.configuration_known.set()
        self.kernel.events.emit(
            ConfigurationInForce(configuration.version, len(configuration.routes), source)
        )

    def _take_server(self, server: BackendServer, entry: KvEntry, source: str) -> None:
        latest_ms = self._latest_born_ms.get(server.server_id)
        if latest_ms is not None and (server.born_ms is None or server.born_ms < latest_ms):
            # A write of a server that has crashed may be carried out seconds later, after the first
            # entry of its next life. Taken, it would drain that one, or name an address of nobody.
            self.kernel.events.emit(
                FormerLifeIgnored(
                    server.server_id, server.born_ms, latest_ms, entry.mod_revision, source
                )
            )
            return
        self._note_life(server)
        known = self._servers.get(server.server_id)
        self._lapsing.pop(server.server_id, None)
        if known == server:
            return
        self._servers[server.server_id] = server
        self._index = None
        if known is not None and known.life_id != server.life_id:
            self._note_life_ended(known)
        self.kernel.events.emit(
            ServerKnown(
                server.server_id,
                server.born_ms,
                server.service,
                str(server.address),
                server.is_draining,
                entry.mod_revision,
                source,
            )
        )

    def _note_life(self, server: BackendServer) -> None:
        if server.born_ms is None:
            return
        self._latest_born_ms.pop(server.server_id, None)
        self._latest_born_ms[server.server_id] = server.born_ms
        if len(self._latest_born_ms) > KEPT_LIVES:
            del self._latest_born_ms[next(iter(self._latest_born_ms))]

    def _is_quarantine_record(self, key: str) -> bool:
        return key.startswith(self._dialect.keys.quarantine_prefix)

    def _tell_of_record(self, record: KvEntry | KvEvent) -> None:
        if self.on_quarantine_record is not None:
            self.on_quarantine_record(record)

    def _remove(self, key: str, source: str) -> None:
        self._entries.pop(key, None)
        if self._is_quarantine_record(key):
            if self.kernel.clock.now_s() >= self.store_returned_s + LAPSE_GRACE_S:
                self._tell_of_record(KvEvent(key, None, self.revision))
            return
        server = self._servers.get(key.removeprefix(self._dialect.keys.servers_prefix))
        if server is None:
            return
        gone_at_s = self.store_returned_s + LAPSE_GRACE_S
        if self.kernel.clock.now_s() < gone_at_s and not server.is_draining:
            self._lapsing[server.server_id] = gone_at_s
            self.kernel.events.emit(ServerLapsed(server.server_id, server.service, source))
            return
        self._drop(server, source)

    def _drop(self, server: BackendServer, source: str) -> None:
        del self._servers[server.server_id]
        self._index = None
        self._note_life_ended(server)
        self.kernel.events.emit(ServerGone(server.server_id, server.service, source))

    def _note_life_ended(self, server: BackendServer) -> None:
        if self.on_life_ended is not None:
            self.on_life_ended(server)

    def _expire_lapsed(self) -> None:
        now_s = self.kernel.clock.now_s()
        for server_id, gone_at_s in list(self._lapsing.items()):
            if now_s >= gone_at_s:
                del self._lapsing[server_id]
                self._drop(self._servers[server_id], "not back after an outage of the store")

    def _indexed(self) -> _Index:
        """Return the live servers by service.

        Made when it is asked for: a process that starts takes hundreds of entries at once, and an
        index for each of them took longer than all else that a start does with them.
        """
        if self._lapsing:
            self._expire_lapsed()
        if self._index is None:
            by_service: dict[str, list[BackendServer]] = {}
            for server in sorted(self._servers.values(), key=lambda one: server_hash(one.life_id)):
                if not server.is_draining:
                    by_service.setdefault(server.service, []).append(server)
            pools = {service: divide(servers) for service, servers in by_service.items()}
            self._index = _Index(by_service, pools)
        return self._index
