"""Client of the KV service over the JSON gateway of etcd v3."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any

import trio

from sassafrastally.core import CodedError, counter
from sassafrastally.core.kv import KvConflict, KvEntry, KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.stores import gateway
from sassafrastally.stores.backoff import BackoffLimits, Gate
from sassafrastally.stores.budget import PurposeBudgets
from sassafrastally.stores.gateway_client import GatewayClient
from sassafrastally.stores.requests import check_writes
from sassafrastally.stores.watch import EtcdWatch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
    from random import Random

    import httpx

    from sassafrastally.core.kv import KvEvent, KvWrite
    from sassafrastally.stores.gateway_client import Lost
    from sassafrastally.stores.settings import KvSettings

KV_CALLS = counter("sassafrastally.kv.calls", "1", "Calls of the KV service by purpose and result.")


class EtcdKv:
    """The KV service over HTTP.

    Parameters
    ----------
    settings
        Address, time limits and budgets.
    random
        Source of jitter.
    """

    def __init__(self, settings: KvSettings, random: Random) -> None:
        self._settings = settings
        self._client = GatewayClient(settings)
        self._budgets = PurposeBudgets(settings.budgets)
        # The wait for re-entry comes out of the call's time limit; half of it stays for the call.
        reentry_s = min(settings.reentry_s, settings.call_time_limit_s / 2)
        limits = BackoffLimits(settings.backoff_base_s, settings.backoff_cap_s, reentry_s)
        self._gates = {purpose: Gate(limits, random) for purpose in self._budgets.purposes}

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def get(self, key: str, *, purpose: str) -> KvEntry | None:
        """Return an entry, linearizably; ``None`` when there is none."""
        request = gateway.RangeRequest(key=gateway.encode_key(key))
        body = await self._call(gateway.RANGE_PATH, request, purpose, KvUnavailable)
        entries = body.get("kvs", [])
        return gateway.decode_entry(entries[0]) if entries else None

    async def get_prefix(self, prefix: str, *, purpose: str, limit: int = 0) -> list[KvEntry]:
        """Return the entries whose key starts with a prefix, by key; 0 is no limit."""
        request = gateway.prefix_request(prefix, limit)
        body = await self._call(gateway.RANGE_PATH, request, purpose, KvUnavailable)
        return [gateway.decode_entry(entry) for entry in body.get("kvs", [])]

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        """Do all writes or none; return the revision."""
        check_writes(writes)
        request = gateway.encode_txn(writes)
        body = await self._call(gateway.TXN_PATH, request, purpose, MaybeApplied)
        if not body.get("succeeded", False):
            raise KvConflict(f"{writes[0].key}: another revision than expected")
        return gateway.revision_of(body)

    async def grant_lease(self, time_to_live_s: float, *, purpose: str) -> int:
        """Return the id of a new lease; its time is rounded up to whole seconds."""
        request = {"TTL": str(math.ceil(time_to_live_s))}
        body = await self._call(gateway.LEASE_GRANT_PATH, request, purpose, MaybeApplied)
        return int(body["ID"])

    async def keep_lease(self, lease_id: int, *, purpose: str) -> float:
        """Renew a lease; return its remaining time in seconds."""
        request = {"ID": str(lease_id)}
        body = await self._call(gateway.LEASE_KEEPALIVE_PATH, request, purpose, MaybeApplied)
        remaining_s = float(body.get("result", {}).get("TTL", 0))
        if remaining_s <= 0.0:
            raise LeaseLost(f"lease {lease_id} has lapsed")
        return remaining_s

    async def revoke_lease(self, lease_id: int, *, purpose: str) -> None:
        """End a lease and delete its keys."""
        request = {"ID": str(lease_id)}
        await self._call(gateway.LEASE_REVOKE_PATH, request, purpose, MaybeApplied)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int, purpose: str
    ) -> AsyncIterator[AsyncIterator[KvEvent]]:
        """Watch the keys under a prefix from a revision on; 0 is from now on."""

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
            on_cut=lambda: self._gate(purpose).report_failure(),
        )
        try:
            await watch.open()
            yield watch
        finally:
            await watch.aclose()

    async def _call(
        self, path: str, body: Mapping[str, Any], purpose: str, lost: Lost
    ) -> dict[str, Any]:
        limit_s = self._settings.call_time_limit_s
        with self._admission(purpose) as wait_s:
            await trio.sleep(wait_s)
            return await self._client.post(path, body, lost, limit_s - wait_s)

    def _gate(self, purpose: str) -> Gate:
        self._budgets.require(purpose)
        return self._gates[purpose]

    @contextmanager
    def _admission(self, purpose: str) -> Iterator[float]:
        """Let one call through, count it and yield the seconds that it must wait first."""
        result = "ok"
        try:
            gate = self._gate(purpose)
            with gate.admit() as wait_s:
                self._budgets.spend(purpose)
                yield wait_s
        except CodedError as cause:
            result = type(cause).__name__
            raise
        finally:
            KV_CALLS.add(1, {"purpose": purpose, "result": result})
