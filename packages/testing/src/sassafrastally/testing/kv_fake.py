"""The KV service in process, for tests on the mock clock."""

from __future__ import annotations

import math
from contextlib import aclosing, asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

import trio

from sassafrastally.stores import KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.stores.budget import PurposeBudgets
from sassafrastally.stores.requests import check_writes

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Callable, Sequence

    from sassafrastally.stores import KvEntry, KvEvent, KvWrite
    from sassafrastally.testing.kv_model import KvModel

T = TypeVar("T")

CALL_TIME_LIMIT_S = 2.0


class FakeKv:
    """A client of a `KvModel`, with the errors of the HTTP client and neither budget nor gate.

    Parameters
    ----------
    model
        The service; several clients may share it.
    call_time_limit_s
        Time limit of one call.
    """

    def __init__(self, model: KvModel, call_time_limit_s: float = CALL_TIME_LIMIT_S) -> None:
        self.model = model
        self._time_limit_s = call_time_limit_s
        self._budgets = PurposeBudgets()

    async def get(self, key: str, *, purpose: str) -> KvEntry | None:
        """Return an entry; ``None`` when there is none."""
        return await self._read("range", lambda: self.model.range(key), purpose)

    async def get_prefix(self, prefix: str, *, purpose: str, limit: int = 0) -> list[KvEntry]:
        """Return the entries whose key starts with a prefix, by key; 0 is no limit."""
        return await self._read("range", lambda: self.model.range_prefix(prefix, limit), purpose)

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        """Do all writes or none; return the revision."""
        check_writes(writes)
        return await self._mutate("txn", lambda: self.model.transact(writes), purpose)

    async def grant_lease(self, time_to_live_s: float, *, purpose: str) -> int:
        """Return the id of a new lease; its time is rounded up to whole seconds."""
        whole_s = math.ceil(time_to_live_s)
        return await self._mutate("lease_grant", lambda: self.model.grant(whole_s), purpose)

    async def keep_lease(self, lease_id: int, *, purpose: str) -> float:
        """Renew a lease; return its remaining time in seconds."""
        remaining_s = await self._mutate(
            "lease_keepalive", lambda: self.model.keep_alive(lease_id), purpose
        )
        if remaining_s <= 0:
            raise LeaseLost(f"lease {lease_id} has lapsed")
        return float(remaining_s)

    async def revoke_lease(self, lease_id: int, *, purpose: str) -> None:
        """End a lease and delete its keys."""
        await self._mutate("lease_revoke", lambda: self.model.revoke(lease_id), purpose)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int, purpose: str
    ) -> AsyncIterator[AsyncIterator[KvEvent]]:
        """Watch the keys under a prefix from a revision on; 0 is from now on."""
        self._budgets.require(purpose)
        await trio.lowlevel.checkpoint()
        first_revision = self.model.begin_watch(from_revision)
        async with aclosing(self._events(prefix, first_revision)) as events:
            yield events

    async def _events(self, prefix: str, first_revision: int) -> AsyncGenerator[KvEvent, None]:
        async with aclosing(self.model.changes(prefix, first_revision)) as moments:
            async for changes in moments:
                for change in changes:
                    yield change

    async def _read(self, method: str, operation: Callable[[], T], purpose: str) -> T:
        self._budgets.require(purpose)
        try:
            with trio.fail_after(self._time_limit_s):
                return await self.model.read(method, operation)
        except trio.TooSlowError as cause:
            raise KvUnavailable(f"{method}: no answer in time") from cause

    async def _mutate(self, method: str, operation: Callable[[], T], purpose: str) -> T:
        self._budgets.require(purpose)
        try:
            with trio.fail_after(self._time_limit_s):
                return await self.model.mutate(method, operation)
        except trio.TooSlowError as cause:
            raise MaybeApplied(f"{method}: no answer in time") from cause
