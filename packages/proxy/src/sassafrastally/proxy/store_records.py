"""The store's records as this process knows them, with the position up to which they are known.

Revisions are only compared within an epoch: a store that was restored from a copy gives them out
again. Records that are kept from an earlier epoch are marked as carried over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

# Runtime import: KvEntry and KvEvent are field types of a named tuple.
from sassafrastally.core import KvEntry, KvEvent
from sassafrastally.proxy.store import NO_POSITION, StorePosition

if TYPE_CHECKING:
    from collections.abc import Iterable

CARRIED_OVER = 0
"""Revision of a record that is kept from an earlier epoch: the store either doesn't have it or has
an older one."""

MAX_KEPT_CHANGES = 512
"""Maximum number of keys whose last change is kept for peers that are behind; a peer that is
further behind gets a full snapshot. Only the last change of a key is kept, so that many
configuration versions in quick succession, half a megabyte each, take the memory and bandwidth of
one."""


class Delta(NamedTuple):
    """Changes after a position, or a full snapshot when those are no longer kept."""

    entries: tuple[KvEntry, ...] | None
    """All entries; ``None`` if `events` contains every change."""
    events: tuple[KvEvent, ...]
    position: StorePosition


class StoreRecords:
    """Records by key, and the last changes of each."""

    def __init__(self) -> None:
        self.position = NO_POSITION
        """Position up to which all changes are known."""
        self._entries: dict[str, KvEntry] = {}
        self._changes: dict[str, KvEvent] = {}
        self._changes_from = 0

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def keys(self) -> set[str]:
        """Return all keys."""
        return set(self._entries)

    def entries(self) -> tuple[KvEntry, ...]:
        """Return all records."""
        return tuple(self._entries.values())

    def get(self, key: str) -> KvEntry | None:
        """Return the record of a key, if it is known."""
        return self._entries.get(key)

    def put(self, entry: KvEntry) -> None:
        """Set a record."""
        self._entries[entry.key] = entry

    def remove(self, key: str) -> None:
        """Remove a record, if it is known."""
        self._entries.pop(key, None)

    def begin_epoch(self, epoch: int) -> None:
        """Start an epoch: no revision known so far can be compared with those that follow."""
        self.position = StorePosition(epoch, 0)
        self._entries = {
            key: entry._replace(mod_revision=CARRIED_OVER) for key, entry in self._entries.items()
        }
        self.forget_changes(0)

    def forget_changes(self, revision: int) -> None:
        """Drop the kept changes: they are complete from a revision on."""
        self._changes.clear()
        self._changes_from = revision

    def has(self, record: KvEntry | KvEvent) -> bool:
        """Return whether the latest known record of a key has the revision of another one."""
        return self._revision_of(record.key) == record.mod_revision != CARRIED_OVER

    def is_news(self, entry: KvEntry) -> bool:
        """Return whether a record of the present epoch isn't known yet."""
        known = self._entries.get(entry.key)
        return (
            known is None
            or entry.mod_revision == CARRIED_OVER
            or known.mod_revision < entry.mod_revision
        )

    def unknown_changes(self, events: Iterable[KvEvent]) -> list[KvEvent]:
        """Return the last change of each key that isn't known yet, oldest first.

        Peers may send changes that the store has already delivered. Applying an old change after a
        newer one would bring back a server that has left.
        """
        latest = {event.key: event for event in events}
        # Sorted by revision: when too many changes are kept, the oldest are dropped first, and the
        # last one dropped gives the revision from which the kept changes are complete.
        return [
            event
            for event in sorted(latest.values(), key=lambda event: event.mod_revision)
            if event.mod_revision == CARRIED_OVER
            or event.mod_revision > max(self.position.revision, self._revision_of(event.key))
        ]

    def remember_change(self, event: KvEvent) -> None:
        """Keep a change for peers that are behind."""
        if event.mod_revision == CARRIED_OVER:
            return
        self._changes.pop(event.key, None)
        self._changes[event.key] = event
        if len(self._changes) > MAX_KEPT_CHANGES:
            oldest = next(iter(self._changes))
            self._changes_from = self._changes.pop(oldest).mod_revision

    def delta_after(self, position: StorePosition) -> Delta:
        """Return the changes that a peer at a position is missing."""
        is_comparable = position.epoch == self.position.epoch and position.revision > 0
        if not is_comparable or position.revision < self._changes_from:
            return Delta(self.entries(), (), self.position)
        missed = [
            event for event in self._changes.values() if event.mod_revision > position.revision
        ]
        carried_over = (
            KvEvent(entry.key, entry.value, CARRIED_OVER)
            for entry in self._entries.values()
            if entry.mod_revision == CARRIED_OVER
        )
        return Delta(None, (*missed, *carried_over), self.position)

    def _revision_of(self, key: str) -> int:
        known = self._entries.get(key)
        return known.mod_revision if known else 0
