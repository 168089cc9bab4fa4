"""Local view of the configuration and the backend servers, and its age.

The view is a snapshot of the store's keys at a revision, updated from the store or from a peer. A
higher revision wins. A configuration is only replaced by one with a higher version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, NamedTuple

import trio

from sassafrastally.core import KvEntry, KvEvent, Service
from sassafrastally.proxy.data_centre_pools import divide_by_data_centre
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    ConfigurationInForce,
    DocumentRejected,
    FormerLifeIgnored,
    ServerGone,
    ServerKnown,
    ServerLapsed,
    SnapshotIgnored,
    StoreRestored,
)
from sassafrastally.proxy.routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import BackendServer, Configuration
    from sassafrastally.proxy.store import Snapshot

MAX_KEPT_CHANGES = 512
"""Maximum number of keys whose last change is kept for peers that are behind; a peer that is
further behind gets a full snapshot. Only the last change of a key is kept, so that many
configuration versions in quick succession, half a megabyte each, take the memory and bandwidth of
one."""

LAPSE_GRACE_S = 2.0
"""Grace period after a store outage. Backend servers whose leases expired during the outage have
registered again within this time, as the platform specifies; until then they count as live."""


MAX_KEPT_INCARNATIONS = 4096
"""Maximum number of server ids whose latest incarnation is remembered, servers that have left
included: some hours of replacements at 1,500 servers. A late record of an earlier incarnation
arrives within seconds."""


class Delta(NamedTuple):
    """Changes after a revision, or a full snapshot when those are no longer kept."""

    entries: tuple[KvEntry, ...] | None
    """All entries; ``None`` if `events` contains every change."""
    events: tuple[KvEvent, ...]
    revision: int


class _Index(NamedTuple):
    """Index of the live backend servers that aren't draining."""

    by_service: dict[str, list[BackendServer]]
    pools: dict[str, dict[str, list[BackendServer]]]
    """By service and data centre, for services whose data centres are separate pools."""


class ClusterState(Service):
    """The configuration in force and the known backend servers."""

    name: ClassVar[str] = "beliefs"

    def __init__(self, dialect: Dialect) -> None:
        self.configuration: Configuration | None = None
        """The configuration in force; ``None`` until one is known."""
        self.routes = RouteTable(())
        """Routes of the configuration in force."""
        self.revision = 0
        """Store revision up to which all changes are known; 0 before the first snapshot."""
        self.epoch = 0
        """Number of times that the store was restored; 0 if unknown."""
        self.confirmed_s = float("-inf")
        """When the store or a peer last confirmed the revision."""
        self.configuration_known = trio.Event()
        """Set when the first configuration is known."""
        self.store_answered_s = float("-inf")
        """When the store itself last answered this process."""
        self.store_returned_s = float("-inf")
        """When the store was last reached again after an outage."""
        self.on_newer_revision: Callable[[], None] | None = None
        """Called when a newer revision is known, so that peers are notified at once."""
        self.on_incarnation_ended: Callable[[BackendServer], None] | None = None
        """Called with each incarnation of a backend server that has left or been replaced."""
        self.on_quarantine_record: Callable[[KvEntry | KvEvent], None] | None = None
        """Called when the record of a quarantined request is written or removed."""
        self._dialect = dialect
        self._entries: dict[str, KvEntry] = {}
        self._servers: dict[str, BackendServer] = {}
        self._lapse_ends_s: dict[str, float] = {}
        self._latest_born_ms: dict[str, int] = {}
        self._index: _Index | None = None
        self._changes: dict[str, KvEvent] = {}
        self._changes_from = 0

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return a service's live, non-draining servers in the order shared by all entries."""
        return self._current_index().by_service.get(service, [])

    def pool(self, service: str, data_centre: str) -> list[BackendServer] | None:
        """Return a data centre's live, non-draining servers of a service.

        ``None`` if they aren't a separate pool.
        """
        return self._current_index().pools.get(service, {}).get(data_centre)

    def is_divided(self, service: str) -> bool:
        """Return whether each data centre's servers of a service form a separate pool."""
        return bool(self._current_index().pools.get(service))

    def server(self, server_id: str) -> BackendServer | None:
        """Return a known backend server."""
        return self._servers.get(server_id)

    def is_current(self, server: BackendServer) -> bool:
        """Return whether no newer incarnation of a backend server is known."""
        known = self._servers.get(server.server_id)
        return known is None or known.incarnation_id == server.incarnation_id

    def servers(self) -> list[BackendServer]:
        """Return all known backend servers, draining ones included."""
        return list(self._servers.values())

    def server_count(self) -> int:
        """Return the number of known backend servers, draining ones included."""
        return len(self._servers)

    def record_epoch(self, epoch: int, source: str) -> None:
        """Record the store's epoch, as named by an answer."""
        if epoch != self.epoch:
            if self.epoch:
                self.kernel.events.emit(StoreRestored(epoch, self.epoch, self.revision, source))
            self.epoch = epoch

    def confirm(self, revision: int) -> None:
        """Record that the view is complete up to a revision."""
        self.confirmed_s = self.kernel.clock.now_s()
        if revision > self.revision:
            self.revision = revision
            if self.on_newer_revision is not None:
                self.on_newer_revision()

    def replace(self, snapshot: Snapshot, source: str) -> None:
        """Replace the view by a snapshot; a snapshot of a lower revision is ignored."""
        self.record_epoch(snapshot.position.epoch, source)
        revision = snapshot.position.revision
        if revision < self.revision:
            self.kernel.events.emit(SnapshotIgnored(revision, self.revision, source))
            return
        present = {
            entry.key: entry for entry in snapshot.entries if self._is_relevant_key(entry.key)
        }
        for key in list(self._entries):
            if key not in present:
                self._remove(key, source)
        for entry in present.values():
            known = self._entries.get(entry.key)
            if known is None or known.mod_revision < entry.mod_revision:
                self._put(entry, source)
        self._changes.clear()
        self._changes_from = revision
        self.confirm(revision)

    def apply(self, events: Iterable[KvEvent], revision: int, source: str) -> None:
        """Apply changes that follow the current revision."""
        latest = {event.key: event for event in events}
        # Sorted by revision: when too many changes are kept, the oldest are dropped first, and the
        # last one dropped gives the revision from which the kept changes are complete.
        for event in sorted(latest.values(), key=lambda event: event.mod_revision):
            # Peers may send changes that the store has already delivered. Applying an old change
            # after a newer one would bring back a server that has left.
            known = max(self.revision, self._known_revision(event.key))
            if not self._is_relevant_key(event.key) or event.mod_revision <= known:
                continue
            self._remember_change(event)
            if event.value is None:
                self._remove(event.key, source)
            else:
                self._put(KvEntry(event.key, event.value, event.mod_revision), source)
        self.confirm(revision)

    def delta_after(self, revision: int) -> Delta:
        """Return the changes that a peer at a revision is missing."""
        if revision < self._changes_from or revision == 0:
            return Delta(tuple(self._entries.values()), (), self.revision)
        missed = (event for event in self._changes.values() if event.mod_revision > revision)
        return Delta(None, tuple(missed), self.revision)

    def _remember_change(self, event: KvEvent) -> None:
        self._changes.pop(event.key, None)
        self._changes[event.key] = event
        if len(self._changes) > MAX_KEPT_CHANGES:
            oldest = next(iter(self._changes))
            self._changes_from = self._changes.pop(oldest).mod_revision

    def _known_revision(self, key: str) -> int:
        known = self._entries.get(key)
        return known.mod_revision if known else 0

    def _is_relevant_key(self, key: str) -> bool:
        keys = self._dialect.keys
        prefixes = (keys.servers_prefix, keys.quarantine_prefix)
        return key == keys.configuration or key.startswith(prefixes)

    def quarantine_records(self) -> list[KvEntry]:
        """Return the records of quarantined requests."""
        prefix = self._dialect.keys.quarantine_prefix
        return [entry for key, entry in self._entries.items() if key.startswith(prefix)]

    def has_key(self, key: str) -> bool:
        """Return whether a key exists in the store, according to the local view."""
        return key in self._entries

    def _put(self, entry: KvEntry, source: str) -> None:
        self._entries[entry.key] = entry
        if self._is_quarantine_record(entry.key):
            self._notify_quarantine_record(entry)
            return
        is_server = entry.key != self._dialect.keys.configuration
        try:
            if is_server:
                self._apply_server(
                    self._dialect.decode_server(entry.key, entry.value), entry, source
                )
            else:
                self._apply_configuration(self._dialect.decode_configuration(entry.value), source)
        except DocumentInvalid as cause:
            self.kernel.events.emit(
                DocumentRejected(entry.key, entry.mod_revision, source, cause.detail)
            )
            if is_server:
                self._drop_overwritten(entry.key, source)

    def _drop_overwritten(self, key: str, source: str) -> None:
        """Drop a server whose record another writer has overwritten.

        The record no longer gives the server's address and drain state, so routing would rely on
        outdated data. The server is added again when it next writes its record.
        """
        server = self._servers.get(key.removeprefix(self._dialect.keys.servers_prefix))
        if server is not None:
            self._lapse_ends_s.pop(server.server_id, None)
            self._drop(server, source)

    def _apply_configuration(self, configuration: Configuration, source: str) -> None:
        # A delayed read, or a peer that is behind, may deliver an older version. Applying it would
        # restore routes and keys that operators have since changed, so only newer versions count.
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self.configuration_known.set()
        self.kernel.events.emit(
            ConfigurationInForce(configuration.version, len(configuration.routes), source)
        )

    def _apply_server(self, server: BackendServer, entry: KvEntry, source: str) -> None:
        latest_ms = self._latest_born_ms.get(server.server_id)
        if latest_ms is not None and (server.born_ms is None or server.born_ms < latest_ms):
            # A write by a crashed server may be applied seconds later, after its next incarnation
            # has written its first record. Accepting it would mark the new incarnation as draining
            # or set an address on which nothing listens.
            self.kernel.events.emit(
                FormerLifeIgnored(
                    server.server_id, server.born_ms, latest_ms, entry.mod_revision, source
                )
            )
            return
        self._remember_incarnation(server)
        known = self._servers.get(server.server_id)
        self._lapse_ends_s.pop(server.server_id, None)
        if known == server:
            return
        self._servers[server.server_id] = server
        self._index = None
        if known is not None and known.incarnation_id != server.incarnation_id:
            self._record_incarnation_ended(known)
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

    def _remember_incarnation(self, server: BackendServer) -> None:
        if server.born_ms is None:
            return
        self._latest_born_ms.pop(server.server_id, None)
        self._latest_born_ms[server.server_id] = server.born_ms
        if len(self._latest_born_ms) > MAX_KEPT_INCARNATIONS:
            del self._latest_born_ms[next(iter(self._latest_born_ms))]

    def _is_quarantine_record(self, key: str) -> bool:
        return key.startswith(self._dialect.keys.quarantine_prefix)

    def _notify_quarantine_record(self, record: KvEntry | KvEvent) -> None:
        if self.on_quarantine_record is not None:
            self.on_quarantine_record(record)

    def _remove(self, key: str, source: str) -> None:
        self._entries.pop(key, None)
        if self._is_quarantine_record(key):
            if self.kernel.clock.now_s() >= self.store_returned_s + LAPSE_GRACE_S:
                self._notify_quarantine_record(KvEvent(key, None, self.revision))
            return
        server = self._servers.get(key.removeprefix(self._dialect.keys.servers_prefix))
        if server is None:
            return
        removed_at_s = self.store_returned_s + LAPSE_GRACE_S
        if self.kernel.clock.now_s() < removed_at_s and not server.is_draining:
            self._lapse_ends_s[server.server_id] = removed_at_s
            self.kernel.events.emit(ServerLapsed(server.server_id, server.service, source))
            return
        self._drop(server, source)

    def _drop(self, server: BackendServer, source: str) -> None:
        del self._servers[server.server_id]
        self._index = None
        self._record_incarnation_ended(server)
        self.kernel.events.emit(ServerGone(server.server_id, server.service, source))

    def _record_incarnation_ended(self, server: BackendServer) -> None:
        if self.on_incarnation_ended is not None:
            self.on_incarnation_ended(server)

    def _expire_lapsed(self) -> None:
        now_s = self.kernel.clock.now_s()
        for server_id, removed_at_s in list(self._lapse_ends_s.items()):
            if now_s >= removed_at_s:
                del self._lapse_ends_s[server_id]
                self._drop(self._servers[server_id], "not registered again after a store outage")

    def _current_index(self) -> _Index:
        """Return the index of live servers.

        Built lazily: a starting process applies hundreds of records at once, and rebuilding the
        index for each of them took longer than the rest of their processing.
        """
        if self._lapse_ends_s:
            self._expire_lapsed()
        if self._index is None:
            by_service: dict[str, list[BackendServer]] = {}
            for server in sorted(
                self._servers.values(), key=lambda one: server_hash(one.incarnation_id)
            ):
                if not server.is_draining:
                    by_service.setdefault(server.service, []).append(server)
            pools = {
                service: divide_by_data_centre(servers) for service, servers in by_service.items()
            }
            self._index = _Index(by_service, pools)
        return self._index
