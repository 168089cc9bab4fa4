"""Memory of what is leaving or gone, which outlasts a restore of the store.

A store that is restored from a copy may name a server as ready that has since announced that it is
leaving, or that was removed. Nothing in such a record tells it from a recent one, so each process
compares it with what it knew before the restore.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_KEPT = 4096
"""Maximum number of keys remembered of each kind: some hours of replacements at 1,500 servers. A
store is restored from a copy some seconds old."""

MAX_ANNOUNCED = 32
"""Maximum number of servers announced to the peers at a time, so that a datagram has room for
loads."""


Key = TypeVar("Key")
Value = TypeVar("Value")


class Removals(Generic[Key]):
    """Keys whose records were removed from the store."""

    def __init__(self) -> None:
        self._epochs: dict[Key, int] = {}

    def record(self, key: Key, epoch: int) -> None:
        """Record that a key's record was removed in an epoch."""
        _remember(self._epochs, key, epoch)

    def forget(self, key: Key) -> None:
        """Record that a key's record was written again."""
        self._epochs.pop(key, None)

    def was_before(self, key: Key, epoch: int) -> bool:
        """Return whether a record was removed in an earlier epoch and not written since."""
        return self._epochs.get(key, epoch) < epoch


class Departures:
    """Servers that are leaving or gone, by hash of the incarnation's id."""

    def __init__(self) -> None:
        self._draining: dict[int, None] = {}
        self._removals: Removals[int] = Removals()
        self._contradicted: dict[int, None] = {}

    def record_draining(self, key: int) -> None:
        """Record that a server's record names it as draining."""
        _remember(self._draining, key, None)
        self._contradicted.pop(key, None)

    def is_draining(self, key: int) -> bool:
        """Return whether a server has ever been draining, which is final."""
        return key in self._draining

    def record_contradiction(self, key: int) -> bool:
        """Record that the store names a draining server as ready; return whether this is new."""
        is_new = key not in self._contradicted
        self._contradicted[key] = None
        return is_new

    def end_contradiction(self, key: int) -> None:
        """Record that a server isn't in the store any more, or not in this incarnation."""
        self._contradicted.pop(key, None)

    def record_announced(self, keys: Iterable[int]) -> list[int]:
        """Record servers that a peer knows to be draining; return those that are new."""
        new = [key for key in keys if key not in self._draining]
        for key in new:
            _remember(self._draining, key, None)
        return new

    def to_announce(self) -> tuple[int, ...]:
        """Return draining servers that the store names as ready.

        Peers that learn of these servers from the store alone would use them.
        """
        return tuple(self._contradicted)[-MAX_ANNOUNCED:]

    def record_removed(self, key: int, epoch: int) -> None:
        """Record that a server's record was removed from the store in an epoch."""
        self._removals.record(key, epoch)

    def was_removed_before(self, key: int, epoch: int) -> bool:
        """Return whether a server was removed in an earlier epoch and not registered since."""
        return self._removals.was_before(key, epoch)

    def record_registered(self, key: int) -> None:
        """Record that a server that had been removed is registered."""
        self._removals.forget(key)


def _remember(known: dict[Key, Value], key: Key, value: Value) -> None:
    """Set a key as the latest one and drop the oldest if there are too many."""
    known.pop(key, None)
    known[key] = value
    if len(known) > MAX_KEPT:
        del known[next(iter(known))]
