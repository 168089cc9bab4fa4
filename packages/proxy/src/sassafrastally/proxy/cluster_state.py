"""Local view of the configuration and the backend servers, and its age.

The view is a snapshot of the store's keys at a position, updated from the store or from a peer. A
later position wins. After the store was restored from a copy, what is known from before stays in
force where the copy is older: a configuration is only replaced by one with a higher version, a
server that has been draining stays so, and a removed one isn't used again at once.
"""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING, ClassVar, NamedTuple

import trio

from sassafrastally.core import KvEntry, KvEvent, Service
from sassafrastally.proxy.configuration_decoder import ConfigurationDecoder
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.departures import Removals
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.evacuation import DataCentres
from sassafrastally.proxy.log_events import (
    ConfigurationIgnored,
    ConfigurationInForce,
    DataCentresIgnored,
    DocumentRejected,
    StaleRecordsSkipped,
    StoreRestored,
)
from sassafrastally.proxy.rejected_documents import RejectedDocumentLog
from sassafrastally.proxy.routes import RouteTable
from sassafrastally.proxy.server_decoder import ServerDecoder
from sassafrastally.proxy.server_registry import UNKNOWN_S, ServerRegistry
from sassafrastally.proxy.store import NO_POSITION
from sassafrastally.proxy.store_records import CARRIED_OVER, StoreRecords
from sassafrastally.proxy.work_steps import filter_in_steps

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import Configuration
    from sassafrastally.proxy.store import Snapshot, StorePosition
    from sassafrastally.proxy.store_records import Delta


class FailedRecord(NamedTuple):
    """A record whose application ended with an unexpected error."""

    record: KvEntry | KvEvent
    source: str
    may_be_copied: bool


class ClusterState(Service):
    """The configuration in force and the known backend servers.

    Parameters
    ----------
    dialect
        Decodes the store's records.
    registration_expiry_s
        Time without a heartbeat after which the platform removes a server's record.
    data_centres
        The data centres in the settings.
    """

    name: ClassVar[str] = "beliefs"

    def __init__(
        self,
        dialect: Dialect,
        registration_expiry_s: float,
        data_centres: DataCentres = DataCentres(),  # noqa: B008 (immutable)
    ) -> None:
        self.configuration: Configuration | None = None
        """The configuration in force; ``None`` until one is known."""
        self.routes = RouteTable(())
        """Routes of the configuration in force."""
        self.confirmed_s = float("-inf")
        """Up to when the position was known to be the store's latest one, as the store or a peer
        last confirmed."""
        self.configuration_known = trio.Event()
        """Set when the first configuration is known."""
        self.store_answered_s = float("-inf")
        """When the store itself last answered this process."""
        self.on_newer_position: Callable[[], None] | None = None
        """Called when there is news for the peers, so that they are notified at once."""
        self.on_quarantine_record: Callable[[KvEntry | KvEvent], None] | None = None
        """Called when the record of a quarantined request is written or removed."""
        self.data_centres = data_centres
        """The data centres in the settings."""
        self.rejected_documents = RejectedDocumentLog()
        self._dialect = dialect
        self._configurations = ConfigurationDecoder(dialect)
        self._server_records = ServerDecoder(dialect)
        self._records = StoreRecords()
        self._lifted: Removals[str] = Removals()
        self._records_since_s = UNKNOWN_S
        """Earliest moment at which the records that are being applied may have been written."""
        self._failed: dict[str, FailedRecord] = {}
        """Records to apply again with the next answer, by key."""
        self.servers = ServerRegistry(
            registration_expiry_s,
            # The kernel is known only once this service is added to it.
            lambda: self.kernel.clock.now_s(),
            lambda event: self.kernel.events.emit(event),
            data_centres.regions,
        )
        """The known backend servers."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Log the parts of the settings' data centres that are ignored."""
        for problem in self.data_centres.problems:
            self.kernel.events.emit(DataCentresIgnored(problem))

    @cached_property
    def _containment(self) -> Containment:
        # The kernel is known only once this service is added to it.
        return Containment(self.kernel, "record of the store")

    @property
    def position(self) -> StorePosition:
        """Position of the store up to which all changes are known."""
        return self._records.position

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 until one is known."""
        return self.configuration.version if self.configuration else 0

    def confirm(self, position: StorePosition, as_of_s: float | None = None) -> None:
        """Record that the view is complete up to a position.

        Parameters
        ----------
        position
            The position.
        as_of_s
            When the store had no later one; ``None``: now.
        """
        as_of_s = self.kernel.clock.now_s() if as_of_s is None else as_of_s
        self.confirmed_s = max(self.confirmed_s, as_of_s)
        if position > self.position:
            self._records.position = position
            if self.on_newer_position is not None:
                self.on_newer_position()

    async def decode_ahead(self, records: Iterable[KvEntry | KvEvent]) -> None:
        """Decode what takes long, right before the records are passed to `replace` or `apply`."""
        keys = self._dialect.keys
        latest_by_key = {record.key: record for record in records}
        with self._containment:
            await self._server_records.decode_ahead(
                record
                for key, record in latest_by_key.items()
                if key.startswith(keys.servers_prefix) and not self._records.has(record)
            )
        latest = latest_by_key.get(keys.configuration)
        if latest is not None and latest.value is not None and not self._records.has(latest):
            # `replace` and `apply` decode it again, and apply the other records after an error.
            with self._containment:
                await self._configurations.decode_ahead(latest.value)

    def replace(self, snapshot: Snapshot, source: str, as_of_s: float | None = None) -> None:
        """Replace the view by a snapshot; of an earlier one, only a newer configuration is used.

        Parameters
        ----------
        snapshot
            All records.
        source
            Where they come from, for the log.
        as_of_s
            When they were the latest ones; ``None``: now.
        """
        if snapshot.position < self.position:
            self._skip(snapshot.entries, snapshot.position, source)
            return
        self._retry_failed()
        is_restored = snapshot.position.epoch > self.position.epoch
        if is_restored:
            self._begin_epoch(snapshot.position.epoch, source)
        # Records that are news were written after the position that was known before.
        self._records_since_s = UNKNOWN_S if is_restored else self.confirmed_s
        present = {
            entry.key: entry for entry in snapshot.entries if self._is_relevant_key(entry.key)
        }
        # The configuration in force is passed on to peers even if the store has lost its record.
        missing = self._records.keys() - {*present, self._dialect.keys.configuration}
        for key in sorted(missing):
            # A restored store has lost the latest records of quarantined requests and evacuations,
            # which doesn't lift them.
            if is_restored and self._is_quarantine_record(key):
                self._records.remove(key)
            elif is_restored and self._is_evacuation(key):
                self._records.remove(key)
                self.servers.evacuations.record_lost(self._data_centre(key), source)
            else:
                self._apply_record(KvEvent(key, None, snapshot.position.revision), source)
        for entry in present.values():
            if self._records.is_news(entry):
                self._apply_record(entry, source, may_be_copied=True)
        self.servers.check_evacuations()
        self.servers.has_snapshot = True
        self._records.forget_changes(snapshot.position.revision)
        self._configurations.forget_decoded()
        self._server_records.forget_decoded()
        self.confirm(snapshot.position, as_of_s)

    def apply(
        self,
        events: Iterable[KvEvent],
        position: StorePosition,
        source: str,
        as_of_s: float | None = None,
    ) -> None:
        """Apply changes that follow the current position; those of another epoch are skipped.

        Parameters
        ----------
        events
            The changes.
        position
            Position up to which they are complete.
        source
            Where they come from, for the log.
        as_of_s
            When the position was the store's latest one; ``None``: now.
        """
        if position.epoch != self.position.epoch:
            self._skip(events, position, source)
            return
        self._retry_failed()
        self._records_since_s = self.confirmed_s
        for event in self._records.unknown_changes(events):
            if self._is_relevant_key(event.key):
                self._records.remember_change(event)
                self._apply_record(event, source)
        self.servers.check_evacuations()
        self._configurations.forget_decoded()
        self._server_records.forget_decoded()
        self.confirm(position, as_of_s)

    async def used_events(self, events: Iterable[KvEvent]) -> list[KvEvent]:
        """Return the changes of keys that entries use, selected in steps.

        `apply` takes a single step. Other writers may change any number of other keys.
        """
        keys = self._dialect.keys
        return await filter_in_steps(lambda event: keys.are_used(event.key), events)

    def delta_after(self, position: StorePosition) -> Delta:
        """Return the changes that a peer at a position is missing."""
        return self._records.delta_after(position)

    def _apply_record(
        self, record: KvEntry | KvEvent, source: str, *, may_be_copied: bool = False
    ) -> None:
        """Apply a record; after an unexpected error, apply it again with the next answer."""
        self._failed[record.key] = FailedRecord(record, source, may_be_copied)
        with self._containment:
            if isinstance(record, KvEntry):
                self._put(record, source, may_be_copied=may_be_copied)
            elif record.value is None:
                self._remove(record.key, source)
            else:
                entry = KvEntry(record.key, record.value, record.mod_revision)
                self._put(entry, source, may_be_copied=may_be_copied)
            del self._failed[record.key]

    def _retry_failed(self) -> None:
        self._records_since_s = UNKNOWN_S
        for failed in list(self._failed.values()):
            self._apply_record(failed.record, failed.source, may_be_copied=failed.may_be_copied)

    def _begin_epoch(self, epoch: int, source: str) -> None:
        if self.position != NO_POSITION:
            self.kernel.events.emit(
                StoreRestored(epoch, self.position.epoch, self.position.revision, source)
            )
        self._records.begin_epoch(epoch)
        self.servers.begin_epoch(epoch)

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
                with self._containment:
                    self._put_configuration(carried_over, source)

    def _is_relevant_key(self, key: str) -> bool:
        keys = self._dialect.keys
        prefixes = (keys.servers_prefix, keys.quarantine_prefix, keys.evacuations_prefix)
        return key == keys.configuration or key.startswith(prefixes)

    def quarantine_records(self) -> list[KvEntry]:
        """Return the records of quarantined requests."""
        return [entry for entry in self._records.entries() if self._is_quarantine_record(entry.key)]

    def has_key(self, key: str) -> bool:
        """Return whether a key exists in the store, according to the local view."""
        return key in self._records

    def record(self, key: str) -> KvEntry | None:
        """Return the record of a key in the store, according to the local view."""
        return self._records.get(key)

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
            self._put_quarantine_record(entry, may_be_copied=may_be_copied)
            return
        if self._is_evacuation(entry.key):
            self.servers.evacuations.record_written(
                self._data_centre(entry.key),
                entry.mod_revision,
                source,
                may_be_copied=may_be_copied,
            )
            return
        try:
            server = self._server_records.decode(entry.key, entry.value)
        except DocumentInvalid as cause:
            self._reject(entry, source, cause)
            self.servers.drop_overwritten(self._server_id(entry.key), source)
            return
        if may_be_copied:
            self.servers.apply_copied(server, entry.mod_revision, source, self._records_since_s)
        else:
            self.servers.apply(server, entry.mod_revision, source, self._records_since_s)

    def _put_configuration(self, entry: KvEntry, source: str) -> None:
        try:
            configuration = self._configurations.decode(entry.value)
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

    def _put_quarantine_record(self, entry: KvEntry, *, may_be_copied: bool) -> None:
        if may_be_copied and self._lifted.was_before(entry.key, self.position.epoch):
            # The restored store has the record of a verdict that was lifted.
            self._notify_quarantine_record(KvEvent(entry.key, None, entry.mod_revision))
            return
        self._lifted.forget(entry.key)
        self._notify_quarantine_record(entry)

    def _reject(self, entry: KvEntry, source: str, cause: DocumentInvalid) -> None:
        event = DocumentRejected(entry.key, entry.mod_revision, source, cause.detail)
        self.rejected_documents.record(self.kernel, event)

    def _apply_configuration(self, configuration: Configuration, source: str) -> None:
        routes = RouteTable(configuration.routes)
        self.configuration, self.routes = configuration, routes
        self.configuration_known.set()
        self.kernel.events.emit(
            ConfigurationInForce(configuration.version, len(configuration.routes), source)
        )
        if configuration.has_home_regions and not self.data_centres.has_regions:
            problem = "home regions aren't enforced: the settings name no region"
            self.kernel.events.emit(DataCentresIgnored(problem))

    def _is_quarantine_record(self, key: str) -> bool:
        return key.startswith(self._dialect.keys.quarantine_prefix)

    def _is_evacuation(self, key: str) -> bool:
        return key.startswith(self._dialect.keys.evacuations_prefix)

    def _data_centre(self, key: str) -> str:
        return key.removeprefix(self._dialect.keys.evacuations_prefix)

    def _notify_quarantine_record(self, record: KvEntry | KvEvent) -> None:
        if self.on_quarantine_record is not None:
            self.on_quarantine_record(record)

    def _remove(self, key: str, source: str) -> None:
        self._records.remove(key)
        if self._is_quarantine_record(key):
            if not self.servers.is_in_grace_period():
                self._lifted.record(key, self.position.epoch)
                self._notify_quarantine_record(KvEvent(key, None, self.position.revision))
            return
        if self._is_evacuation(key):
            self.servers.evacuations.record_removed(self._data_centre(key), source)
            return
        self.servers.remove(self._server_id(key), source)

    def _server_id(self, key: str) -> str:
        return key.removeprefix(self._dialect.keys.servers_prefix)
