"""The key-value service as the request path uses it: snapshots and changes in batches."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

# KvEntry and KvEvent at run time too: they are fields of named tuples.
from sassafrastally.core import CodedError, KvEntry, KvEvent, error

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.core import KvWrite


@error(10002)
class HistoryGone(CodedError):
    """The store no longer has the changes after a revision: everything has to be read again."""


@error(10003)
class AnswerLost(CodedError):
    """No whole answer to a call came: the connection failed or time ran out."""


class Snapshot(NamedTuple):
    """Entries under a prefix, and a revision from which a watch may continue."""

    entries: tuple[KvEntry, ...]
    revision: int


class Changes(NamedTuple):
    """What a watch brought."""

    events: tuple[KvEvent, ...]
    revision: int


class Store(Protocol):
    """Calls of the store; each raises `sassafrastally.core.KvUnavailable` when it did nothing."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        ...

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix; raises `HistoryGone`."""
        ...

    async def write(self, writes: Sequence[KvWrite]) -> int:
        """Do all writes or none; raises `KvConflict`, `LeaseLost` and `MaybeApplied`."""
        ...

    async def grant_lease(self, time_to_live_s: float) -> int:
        """Return the id of a new lease; raises `MaybeApplied`."""
        ...

    async def keep_lease(self, lease_id: int) -> float:
        """Renew a lease; return its time to live; raises `LeaseLost` and `MaybeApplied`."""
        ...
