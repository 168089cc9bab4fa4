"""Local view of the configuration and the backend servers, and its age.

The view is a snapshot of the store's keys at a position, updated from the store or from a peer. A
later position wins. After the store was restored from a copy, what is known from before stays in
force where the copy is older: a configuration is only replaced by one with a higher version, a
server that has been draining stays so, and a removed one isn't used again at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, NamedTuple

import trio

from sassafrastally.core import KvEntry, KvEvent, Service
from sassafrastally.proxy.data_centre_pools import divide_by_data_centre
from sassafrastally.proxy.departures import Departures
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    ConfigurationIgnored,
    ConfigurationInForce,
    DocumentRejected,
    FormerLifeIgnored,
    ServerGone,
    ServerHeld,
    ServerKeptDraining,
    ServerKnown,
    ServerLapsed,
    StaleRecordsSkipped,
    StoreRestored,
)
from sassafrastally.proxy.routes import RouteTable
from sassafrastally.proxy.store import NO_POSITION
from sassafrastally.proxy.store_records import CARRIED_OVER, StoreRecords

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import BackendServer, Configuration
    from sassafrastally.proxy.store import Snapshot, StorePosition
    from sassafrastally.proxy.store_records import Delta

LAPSE_GRACE_S = 2.0
"""Grace period after a store outage. Backend servers whose leases expired during the outage have
registered again within this time, as the platform specifies; until then they count as live."""


MAX_KEPT_INCARNATIONS = 4096
"""Maximum number of server ids whose latest incarnation is remembered, servers that have left
included: some hours of replacements at 1,500 servers. A late record of an earlier incarnation
arrives within seconds."""


class _Index(NamedTuple):
    """Index of the live backend servers that aren't draining."""

    by_service: dict[str, list[BackendServer]]
    pools: dict[str, dict[str, list[BackendServer]]]
    """By service and data centre, for services whose data centres are separate pools."""


class ClusterState(Service):
    """The configuration in force and the known backend servers.

    Parameters
    ----------
    dialect
        Decodes the store's records.
    registration_expiry_s
        Time without a heartbeat after which the platform removes a server's record.
    """

    name: ClassVar[str] = "beliefs"

    def __init__(self, dialect: Dialect, registration_expiry_s: float) -> None:
        self.configuration: Configuration | None = None
        """The configuration in force; ``None`` until one is known."""
        self.routes = RouteTable(())
        """Routes of the configuration in force."""
        self.confirmed_s = float("-inf")
        """When the store or a peer last confirmed the position."""
        self.configuration_known = trio.Event()
        """Set when the first configuration is known."""
        self.store_answered_s = float("-inf")
        """When the store itself last answered this process."""
        self.store_returned_s = float("-inf")
        """When the store was last reached again after an outage."""
        self.on_newer_position: Callable[[], None] | None = None
        """Called when there is news for the peers, so that they are notified at once."""
        self.on_incarnation_ended: Callable[[BackendServer], None] | None = None
        """Called with each incarnation of a backend server that has left or been replaced."""
        self.on_quarantine_record: Callable[[KvEntry | KvEvent], None] | None = None
        """Called when the record of a quarantined request is written or removed."""
        self._dialect = dialect
        self._registration_expiry_s = registration_expiry_s
        self._records = StoreRecords()
        self._departures = Departures()
        self._held: dict[str, BackendServer] = {}
        self._servers: dict[str, BackendServer] = {}
        self._lapse_ends_s: dict[str, float] = {}
        self._latest_born_ms: dict[str, int] = {}
        self._index: _Index | None = None

    @property
    def position(self) -> StorePosition:
        """Position of the store up to which all changes are known."""
        return self._records.position

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 until one is known."""
        return self.configuration.version if self.configuration else 0

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

    def confirm(self, position: StorePosition) -> None:
        """Record that the view is complete up to a position."""
        self.confirmed_s = self.kernel.clock.now_s()
        if position > self.position:
            self._records.position = position
            if self.on_newer_position is not None:
                self.on_newer_position()

    def replace(self, snapshot: Snapshot, source: str) -> None:
        """Replace the view by a snapshot; of an earlier one, only a newer configuration is used."""
        if snapshot.position < self.position:
            self._skip(snapshot.entries, snapshot.position, source)
            return
        is_restored = snapshot.position.epoch > self.position.epoch
        if is_restored:
            self._begin_epoch(snapshot.position.epoch, source)
        present = {
            entry.key: entry for entry in snapshot.entries if self._is_relevant_key(entry.key)
        }
        # The configuration in force is passed on to peers even if the store has lost its record.
        for key in self._records.keys() - {*present, self._dialect.keys.configuration}:
            # A restored store has lost the latest records of quarantined requests, which doesn't
            # lift them.
            if is_restored and self._is_quarantine_record(key):
                self._records.remove(key)
            else:
                self._remove(key, source)
        for entry in present.values():
            if self._records.is_news(entry):
                self._put(entry, source, may_be_copied=True)
        self._records.forget_changes(snapshot.position.revision)
        self.confirm(snapshot.position)

    def apply(self, events: Iterable[KvEvent], position: StorePosition, source: str) -> None:
        """Apply changes that follow the current position; those of another epoch are skipped."""
        if position.epoch != self.position.epoch:
            self._skip(events, position, source)
            return
        for event in self._records.unknown_changes(events):
            if not self._is_relevant_key(event.key):
                continue
            self._records.remember_change(event)
            if event.value is None:
                self._remove(event.key, source)
            else:
                entry = KvEntry(event.key, event.value, event.mod_revision)
                self._put(entry, source, may_be_copied=False)
        self.confirm(position)

    def delta_after(self, position: StorePosition) -> Delta:
        """Return the changes that a peer at a position is missing."""
        return self._records.delta_after(position)

    def record_announced_draining(self, keys: Iterable[int], source: str) -> None:
        """Record servers that a peer knows to be draining and the store names as ready.

        Parameters
        ----------
        keys
            Hashes of the incarnations' ids.
        source
            The peer, for the log.
        """
        new = set(self._departures.record_announced(keys))
        if not new:
            return
        for server in list(self._servers.values()):
            if server_hash(server.incarnation_id) in new and not server.is_draining:
                self._servers[server.server_id] = self._keep_draining(server, source)
                self._index = None

    def draining_to_announce(self) -> tuple[int, ...]:
        """Return the draining servers that the store names as ready, by hash."""
        return self._departures.to_announce()

    def _begin_epoch(self, epoch: int, source: str) -> None:
        if self.position != NO_POSITION:
            self.kernel.events.emit(
                StoreRestored(epoch, self.position.epoch, self.position.revision, source)
            )
        self._records.begin_epoch(epoch)

    def _skip(
        self, records: Iterable[KvEntry | KvEvent], position: StorePosition, source: str
    ) -> None:
        """Skip records from another position, but for a newer configuration.

        A peer that isn't aware of a restore yet may know a configuration that the store has lost.
        """
        self.kernel.events.emit(StaleRecordsSkipped(*position, *self.position, source))
        for record in records:
            if record.key == self._dialect.keys.configuration and record.value is not None:
                carried_over = KvEntry(record.key, record.value, CARRIED_OVER)
                self._put_configuration(carried_over, source)

    def _is_relevant_key(self, key: str) -> bool:
        keys = self._dialect.keys
        prefixes = (keys.servers_prefix, keys.quarantine_prefix)
        return key == keys.configuration or key.startswith(prefixes)

    def quarantine_records(self) -> list[KvEntry]:
        """Return the records of quarantined requests."""
        return [entry for entry in self._records.entries() if self._is_quarantine_record(entry.key)]

    def has_key(self, key: str) -> bool:
        """Return whether a key exists in the store, according to the local view."""
        return key in self._records

    def _put(self, entry: KvEntry, source: str, *, may_be_copied: bool) -> None:
        """Apply a record.

        Parameters
        ----------
        entry
            The record.
        source
            Where it comes from, for the log.
        may_be_copied
            Whether it may have been written before the store was restored.
        """
        if entry.key == self._dialect.keys.configuration:
            self._put_configuration(entry, source)
            return
        self._records.put(entry)
        if self._is_quarantine_record(entry.key):
            self._notify_quarantine_record(entry)
            return
        try:
            server = self._dialect.decode_server(entry.key, entry.value)
        except DocumentInvalid as cause:
            self._reject(entry, source, cause)
            self._drop_overwritten(entry.key, source)
            return
        if may_be_copied and self._must_hold(server):
            self._hold(server, source)
        else:
            self._apply_server(server, entry, source)

    def _put_configuration(self, entry: KvEntry, source: str) -> None:
        try:
            configuration = self._dialect.decode_configuration(entry.value)
        except DocumentInvalid as cause:
            self._reject(entry, source, cause)
            return
        known = self.configuration
        if known is not None and configuration.version < known.version:
            # A delayed read, a peer that is behind or a restored store may deliver an older
            # version. Applying it would restore routes and keys that operators have since changed.
            self.kernel.events.emit(
                ConfigurationIgnored(configuration.version, known.version, source)
            )
            return
        if known is None or configuration.version > known.version:
            self._apply_configuration(configuration, source)
        elif entry.mod_revision == CARRIED_OVER:
            return
        self._records.put(entry)

    def _reject(self, entry: KvEntry, source: str, cause: DocumentInvalid) -> None:
        self.kernel.events.emit(
            DocumentRejected(entry.key, entry.mod_revision, source, cause.detail)
        )

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
        self._held.pop(server.server_id, None)
        self._departures.record_registered(server_hash(server.incarnation_id))
        server = self._with_known_draining(server, source)
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

    def _with_known_draining(self, server: BackendServer, source: str) -> BackendServer:
        """Return a server as draining if it has ever been, and remember it if it is."""
        key = server_hash(server.incarnation_id)
        if server.is_draining:
            self._departures.record_draining(key)
        elif self._departures.is_draining(key):
            return self._keep_draining(server, source)
        return server

    def _keep_draining(self, server: BackendServer, source: str) -> BackendServer:
        if self._departures.record_contradiction(server_hash(server.incarnation_id)):
            self.kernel.events.emit(ServerKeptDraining(server.server_id, server.service, source))
            if self.on_newer_position is not None:
                self.on_newer_position()
        return server._replace(is_draining=True)

    def _must_hold(self, server: BackendServer) -> bool:
        """Return whether a server may be gone although the restored store has its record.

        The platform removes the record of a server that is gone once its heartbeats are missing.
        """
        key = server_hash(server.incarnation_id)
        return (
            not server.is_draining
            and self._departures.was_removed_before(key, self.position.epoch)
            and self.kernel.clock.now_s() < self._hold_ends_s
        )

    @property
    def _hold_ends_s(self) -> float:
        return self.store_returned_s + self._registration_expiry_s + LAPSE_GRACE_S

    def _hold(self, server: BackendServer, source: str) -> None:
        if server.server_id not in self._held:
            self.kernel.events.emit(ServerHeld(server.server_id, server.service, source))
        self._held[server.server_id] = server

    def held_servers(self) -> dict[str, float]:
        """Return the servers that aren't used yet after a restore, with the remaining seconds."""
        left_s = self._hold_ends_s - self.kernel.clock.now_s()
        return {server.incarnation_id: left_s for server in self._held.values() if left_s > 0}

    def _release_held(self) -> None:
        """Use the held servers whose records the platform hasn't removed."""
        if self.kernel.clock.now_s() < self._hold_ends_s:
            return
        held, self._held = self._held, {}
        for server in held.values():
            key = self._dialect.keys.servers_prefix + server.server_id
            self._apply_server(
                server, KvEntry(key, b"", CARRIED_OVER), "registered after a restore"
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
        self._records.remove(key)
        if self._is_quarantine_record(key):
            if self.kernel.clock.now_s() >= self.store_returned_s + LAPSE_GRACE_S:
                self._notify_quarantine_record(KvEvent(key, None, self.position.revision))
            return
        server_id = key.removeprefix(self._dialect.keys.servers_prefix)
        held = self._held.pop(server_id, None)
        if held is not None:
            self._record_removed(held)
        server = self._servers.get(server_id)
        if server is None:
            return
        removed_at_s = self.store_returned_s + LAPSE_GRACE_S
        if self.kernel.clock.now_s() < removed_at_s and not server.is_draining:
            self._lapse_ends_s[server.server_id] = removed_at_s
            self.kernel.events.emit(ServerLapsed(server.server_id, server.service, source))
            return
        self._record_removed(server)
        self._drop(server, source)

    def _record_removed(self, server: BackendServer) -> None:
        self._departures.record_removed(server_hash(server.incarnation_id), self.position.epoch)

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
                self._record_removed(self._servers[server_id])
                self._drop(self._servers[server_id], "not registered again after a store outage")

    def _current_index(self) -> _Index:
        """Return the index of live servers.

        Built lazily: a starting process applies hundreds of records at once, and rebuilding the
        index for each of them took longer than the rest of their processing.
        """
        if self._lapse_ends_s:
            self._expire_lapsed()
        if self._held:
            self._release_held()
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
