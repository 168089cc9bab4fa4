"""Interface of the key-value store for the request path: snapshots and batched changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

# Runtime import: KvEntry and KvEvent are field types of named tuples.
from sassafrastally.core import CodedError, KvEntry, KvEvent, error

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.core import KvWrite


@error(10002)
class HistoryGone(CodedError):
    """The store doesn't have the changes after a position; a new snapshot must be read."""


@error(10003)
class AnswerLost(CodedError):
    """A call got no complete answer: the connection failed or the time limit passed."""


class StorePosition(NamedTuple):
    """A point in the store's history; later points compare higher."""

    epoch: int
    """Number of times that the store was restored from a copy. A restore loses the latest changes,
    and their revisions are given out again, so revisions of different epochs aren't comparable."""
    revision: int


NO_POSITION = StorePosition(0, 0)
"""Position of a process that hasn't read the store."""


class Snapshot(NamedTuple):
    """Entries under a prefix, and the position from which a watch can continue."""

    entries: tuple[KvEntry, ...]
    position: StorePosition


class Changes(NamedTuple):
    """Changes returned by a watch."""

    events: tuple[KvEvent, ...]
    position: StorePosition


class Lease(NamedTuple):
    """A lease, which a restore of the store may lose; its id may then be given out again."""

    lease_id: int
    epoch: int
    """Epoch in which it was granted or last seen."""


class Store(Protocol):
    """Store operations; each raises `sassafrastally.core.KvUnavailable` if it had no effect."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        ...

    async def watch(self, prefix: str, after: StorePosition, wait_s: float) -> Changes:
        """Wait for changes under a prefix; raises `HistoryGone`."""
        ...

    async def write(self, writes: Sequence[KvWrite], lease: Lease | None = None) -> int:
        """Apply all writes atomically; raises `KvConflict`, `LeaseLost` and `MaybeApplied`."""
        ...

    async def grant_lease(self, time_to_live_s: float) -> Lease:
        """Return a new lease; raises `MaybeApplied`."""
        ...

    async def keep_lease(self, lease: Lease) -> float:
        """Renew a lease; return its time to live; raises `LeaseLost` and `MaybeApplied`."""
        ...
