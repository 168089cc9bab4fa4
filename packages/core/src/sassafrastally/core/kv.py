"""The key-value service as an interface, with the types and errors of its calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core.errors import CodedError, error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from contextlib import AbstractAsyncContextManager

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the KV service takes."""


class KvEntry(NamedTuple):
    """A key with its value."""

    key: str
    value: bytes
    mod_revision: int
    """Revision of the service at which the value was written; grows with every write."""
    lease_id: int = 0
    """Lease that the key hangs on; 0 for none."""


class KvWrite(NamedTuple):
    """One write of a transaction, done only if the key is as expected."""

    key: str
    value: bytes | None
    """``None`` deletes the key."""
    expected_revision: int
    """`KvEntry.mod_revision` that the key must have; 0: it must not exist; -1: any."""
    lease_id: int = 0


class KvEvent(NamedTuple):
    """A change that a watch reports."""

    key: str
    value: bytes | None
    """``None`` when the key was deleted."""
    mod_revision: int


@error(3001)
class KvUnavailable(CodedError):
    """The KV service didn't take the call: it certainly had no effect."""

    retry_after_s: float = 0.0
    """After how many seconds to come back; 0 when it isn't known."""


@error(3002)
class MaybeApplied(CodedError):
    """The answer to a write was lost: the write may or may not have taken effect."""


@error(3003)
class KvConflict(CodedError):
    """A compare-and-swap found another revision than expected: it had no effect."""


@error(3004)
class KvBudgetSpent(KvUnavailable):
    """This process's call budget for the purpose is spent: the call was not sent."""


@error(3005)
class LeaseLost(CodedError):
    """The lease has lapsed or was revoked."""


class Kv(Protocol):
    """The platform's key-value service.

    Every call has a time limit and a purpose, under which calls are budgeted and counted. Calls
    that read raise `KvUnavailable`; calls that write also `MaybeApplied`.
    """

    async def get(self, key: str, *, purpose: str) -> KvEntry | None:
        """Return an entry, linearizably; ``None`` when there is none."""
        ...

    async def get_prefix(self, prefix: str, *, purpose: str, limit: int = 0) -> list[KvEntry]:
        """Return the entries whose key starts with a prefix, by key; 0 is no limit."""
        ...

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        """Do all writes or none; return the revision.

        Raises
        ------
        KvConflict
            When a key isn't as expected.
        """
        ...

    async def grant_lease(self, time_to_live_s: float, *, purpose: str) -> int:
        """Return the id of a new lease."""
        ...

    async def keep_lease(self, lease_id: int, *, purpose: str) -> float:
        """Renew a lease; return its remaining time in seconds.

        Raises
        ------
        LeaseLost
            When it has lapsed.
        """
        ...

    async def revoke_lease(self, lease_id: int, *, purpose: str) -> None:
        """End a lease and delete its keys."""
        ...

    def watch(
        self, prefix: str, *, from_revision: int, purpose: str
    ) -> AbstractAsyncContextManager[AsyncIterator[KvEvent]]:
        """Watch the keys under a prefix from a revision on.

        The iteration raises `KvUnavailable` when the watch is cut; the caller reads again and
        watches anew.
        """
        ...
