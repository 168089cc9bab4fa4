"""Interface of the key-value service, with its types and errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core.errors import CodedError, error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from contextlib import AbstractAsyncContextManager

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the KV service accepts."""


class KvEntry(NamedTuple):
    """A key and its value."""

    key: str
    value: bytes
    mod_revision: int
    """Store revision at which the value was written; increases with every write."""
    lease_id: int = 0
    """Lease that the key is attached to; 0 for none."""


class KvWrite(NamedTuple):
    """One write of a transaction, applied only if the key has the expected revision."""

    key: str
    value: bytes | None
    """``None`` deletes the key."""
    expected_revision: int
    """`KvEntry.mod_revision` that the key must have; 0 if it must not exist, -1 for any."""
    lease_id: int = 0


class KvEvent(NamedTuple):
    """A change reported by a watch."""

    key: str
    value: bytes | None
    """``None`` if the key was deleted."""
    mod_revision: int


@error(3001)
class KvUnavailable(CodedError):
    """The KV service didn't accept the call, which definitely had no effect."""

    retry_after_s: float = 0.0
    """Seconds to wait before retrying; 0 if unknown."""


@error(3002)
class MaybeApplied(CodedError):
    """The response to a write was lost: the write may or may not have been applied."""


@error(3003)
class KvConflict(CodedError):
    """A compare-and-swap found an unexpected revision and had no effect."""


@error(3004)
class KvBudgetSpent(KvUnavailable):
    """The process's call budget for the purpose is exhausted: the call was not sent."""


@error(3005)
class LeaseLost(CodedError):
    """The lease has expired or was revoked."""


class Kv(Protocol):
    """The platform's key-value service.

    Every call has a time limit and a purpose; budgets and metrics are kept for each purpose. Read
    calls raise `KvUnavailable`; write calls also raise `MaybeApplied`.
    """

    async def get(self, key: str, *, purpose: str) -> KvEntry | None:
        """Return an entry by a linearizable read; ``None`` if the key doesn't exist."""
        ...

    async def get_prefix(self, prefix: str, *, purpose: str, limit: int = 0) -> list[KvEntry]:
        """Return the entries with a key prefix, sorted by key; a limit of 0 means no limit."""
        ...

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        """Apply all writes or none; return the revision.

        Raises
        ------
        KvConflict
            If a key doesn't have the expected revision.
        """
        ...

    async def grant_lease(self, time_to_live_s: float, *, purpose: str) -> int:
        """Create a lease and return its id."""
        ...

    async def keep_lease(self, lease_id: int, *, purpose: str) -> float:
        """Renew a lease and return its remaining time in seconds.

        Raises
        ------
        LeaseLost
            If it has expired.
        """
        ...

    async def revoke_lease(self, lease_id: int, *, purpose: str) -> None:
        """Revoke a lease and delete its keys."""
        ...

    def watch(
        self, prefix: str, *, from_revision: int, purpose: str
    ) -> AbstractAsyncContextManager[AsyncIterator[KvEvent]]:
        """Watch the keys with a prefix, starting at a revision.

        The iteration raises `KvUnavailable` if the watch is interrupted; the caller then reads the
        keys again and starts a new watch.
        """
        ...
