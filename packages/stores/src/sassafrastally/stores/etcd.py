"""Client of the KV service over the JSON gateway of etcd v3."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any, TypeVar

import trio

from sassafrastally.core import CodedError, counter
from sassafrastally.core.kv import KvConflict, KvEntry, KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.stores import gateway
from sassafrastally.stores.backoff import BackoffLimits, CircuitBreaker
from sassafrastally.stores.budget import PurposeBudgets
from sassafrastally.stores.gateway_client import GatewayClient
from sassafrastally.stores.ignored_entries import IgnoredEntries
from sassafrastally.stores.requests import check_writes
from sassafrastally.stores.watch import EtcdWatch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator, Mapping, Sequence
    from random import Random

    import httpx

    from sassafrastally.core.kv import KvEvent, KvWrite
    from sassafrastally.stores.gateway_client import LostAnswerError
    from sassafrastally.stores.settings import KvSettings

T = TypeVar("T")

KV_CALLS = counter("sassafrastally.kv.calls", "1", "Calls of the KV service by purpose and result.")


class EtcdKv:
    """`Kv` implementation over HTTP.

    Parameters
    ----------
    settings
        Address, time limits and budgets.
    random
        Random number generator for the jitter.
    ignored
        Reports the entries of other writers that are ignored.
    """

    def __init__(
        self, settings: KvSettings, random: Random, ignored: IgnoredEntries | None = None
    ) -> None:
        self._settings = settings
        self._ignored = ignored or IgnoredEntries()
        self._client = GatewayClient(settings)
        self._budgets = PurposeBudgets(settings.budgets)
        # The recovery delay counts against the call's time limit; half of it is left for the call.
        reentry_s = min(settings.reentry_s, settings.call_time_limit_s / 2)
        limits = BackoffLimits(settings.backoff_base_s, settings.backoff_cap_s, reentry_s)
        self._breakers = {
            purpose: CircuitBreaker(limits, random) for purpose in self._budgets.purposes
        }

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def get(self, key: str, *, purpose: str) -> KvEntry | None:
        """Return an entry by a linearizable read; ``None`` if the key doesn't exist."""
        request = gateway.RangeRequest(key=gateway.encode_key(key))
        entries = await self._call(
            gateway.RANGE_PATH, request, purpose, KvUnavailable, self._decode_entries
        )
        return entries[0] if entries else None

    async def get_prefix(self, prefix: str, *, purpose: str, limit: int = 0) -> list[KvEntry]:
        """Return the entries with a key prefix, sorted by key; a limit of 0 means no limit."""
        request = gateway.prefix_request(prefix, limit)
        return await self._call(
            gateway.RANGE_PATH, request, purpose, KvUnavailable, self._decode_entries
        )

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        """Apply all writes or none; return the revision."""
        check_writes(writes)

        def decode(body: dict[str, Any]) -> int:
            if not body.get("succeeded", False):
                raise KvConflict(f"{writes[0].key}: unexpected revision")
            return gateway.revision_of(body)

        request = gateway.encode_txn(writes)
        return await self._call(gateway.TXN_PATH, request, purpose, MaybeApplied, decode)

    async def grant_lease(self, time_to_live_s: float, *, purpose: str) -> int:
        """Create a lease and return its id; its time to live is rounded up to whole seconds."""

        def decode(body: dict[str, Any]) -> int:
            return gateway.decode_integer(body["ID"])

        request = {"TTL": str(math.ceil(time_to_live_s))}
        return await self._call(gateway.LEASE_GRANT_PATH, request, purpose, MaybeApplied, decode)

    async def keep_lease(self, lease_id: int, *, purpose: str) -> float:
        """Renew a lease and return its remaining time in seconds."""

        def decode(body: dict[str, Any]) -> float:
            remaining_s = float(gateway.decode_integer(body.get("result", {}).get("TTL", 0)))
            if remaining_s <= 0.0:
                raise LeaseLost(f"lease {lease_id} has expired")
            return remaining_s

        request = {"ID": str(lease_id)}
        path = gateway.LEASE_KEEPALIVE_PATH
        return await self._call(path, request, purpose, MaybeApplied, decode)

    async def revoke_lease(self, lease_id: int, *, purpose: str) -> None:
        """Revoke a lease and delete its keys."""
        request = {"ID": str(lease_id)}
        await self._call(gateway.LEASE_REVOKE_PATH, request, purpose, MaybeApplied, dict)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int, purpose: str
    ) -> AsyncIterator[AsyncIterator[KvEvent]]:
        """Watch the keys with a prefix, starting at a revision; 0 starts at the current one."""

        async def open_stream(request: Mapping[str, Any]) -> httpx.Response:
            limit_s = self._settings.call_time_limit_s
            with self._admission(purpose) as wait_s:
                await trio.sleep(wait_s)
                return await self._client.open_stream(gateway.WATCH_PATH, request, limit_s - wait_s)

        watch = EtcdWatch(
            prefix,
            from_revision,
            open_stream,
            self._settings.watch_renewal_s,
            on_interrupted=lambda: self._breaker(purpose).report_failure(),
            ignored=self._ignored,
        )
        try:
            await watch.open()
            yield watch
        finally:
            await watch.aclose()

    async def _call(
        self,
        path: str,
        body: Mapping[str, Any],
        purpose: str,
        lost_answer_error: LostAnswerError,
        decode: Callable[[dict[str, Any]], T],
    ) -> T:
        limit_s = self._settings.call_time_limit_s
        with self._admission(purpose) as wait_s:
            await trio.sleep(wait_s)
            answer = await self._client.post(path, body, lost_answer_error, limit_s - wait_s)
            try:
                return decode(answer)
            except gateway.DECODE_ERRORS as cause:
                raise lost_answer_error(f"{path}: invalid response: {cause!r:.200}") from cause

    def _decode_entries(self, body: dict[str, Any]) -> list[KvEntry]:
        return gateway.decode_entries(body, self._ignored)

    def _breaker(self, purpose: str) -> CircuitBreaker:
        self._budgets.require(purpose)
        return self._breakers[purpose]

    @contextmanager
    def _admission(self, purpose: str) -> Iterator[float]:
        """Admit and count one call; yield the delay in seconds before it may be sent."""
        result = "ok"
        try:
            breaker = self._breaker(purpose)
            with breaker.admit() as wait_s:
                self._budgets.spend(purpose)
                yield wait_s
        except CodedError as cause:
            result = type(cause).__name__
            raise
        finally:
            KV_CALLS.add(1, {"purpose": purpose, "result": result})
