"""Engine clients for the published HTTP interfaces of model engines."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, TypeVar

import httpx
import trio

from sassafrastally.core import time_limit
from sassafrastally.core.held_input import HeldInput
from sassafrastally.core.http_patterns import use_linear_patterns
from sassafrastally.sidecar.content_end import ends_with_connection
from sassafrastally.sidecar.engine import (
    ENGINE_DIALECTS,
    CacheEvent,
    EngineFailed,
    EngineInfo,
    EngineRefused,
    EngineStream,
    EngineUnavailable,
)
from sassafrastally.sidecar.engine_input import MAX_HELD_BYTES, RunInput
from sassafrastally.sidecar.engine_values import count_or, decode_fields
from sassafrastally.sidecar.openai_form import (
    MAX_CALL_BYTES,
    OpenAiDocument,
    OpenAiEventStream,
    engine_body,
    parse_load,
    parse_object,
    raise_status,
    read_bounded,
)
from sassafrastally.stores.bounded_transport import BoundedTransport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from sassafrastally.core import Address
    from sassafrastally.sidecar.engine import EngineLoad, EngineOrder, EngineRequest

use_linear_patterns()

T = TypeVar("T")

CONNECT_LIMIT_S = 2.0

CALL_LIMIT_S = 10.0
"""Timeout of a call that is not a run; a run is bounded by its time limit."""

ORDER_LIMIT_S = 600.0
"""Timeout of a placement order, which may load a model."""

CANCEL_LIMIT_S = 2.0
"""Timeout of the cancellation at the end of a run; the sweep frees what it misses."""

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Failures after which the engine has certainly received nothing."""

_ADAPTER_PATHS = {
    "load_adapter": "/v1/load_lora_adapter",
    "unload_adapter": "/v1/unload_lora_adapter",
}


@ENGINE_DIALECTS.register("openai")
class OpenAiDialect:
    """Implements `Engine` over the OpenAI-compatible interface that most engines publish.

    Functions missing from that interface (stream list, KV export and import, cache events, orders)
    use paths under ``/extension``.

    Parameters
    ----------
    address
        The engine's address.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._held: HeldInput[RunInput] = HeldInput(MAX_HELD_BYTES)
        self._client = _make_client(address, kept_connections=32)
        # What an engine sends late on a kept connection would pass for the next run's answer, and a
        # connection that it closes while idle for a run that may have begun.
        self._runs_client = _make_client(address, kept_connections=0)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
        await self._runs_client.aclose()

    async def describe(self) -> EngineInfo:
        """Return the engine's identity, models and memory."""
        document = await self._call("GET", "/extension/describe")
        return decode_fields({**document, "models": document.get("models") or ()}, EngineInfo)

    @asynccontextmanager
    async def generate(
        self, request: EngineRequest
    ) -> AsyncIterator[OpenAiEventStream | OpenAiDocument]:
        """Start a run; leaving the context cancels it if it is unfinished."""
        body = engine_body(request)
        run: OpenAiEventStream | OpenAiDocument | None = None
        may_run = True
        try:
            async with self._stream(request, body.content) as response:
                run_input = RunInput(response.aiter_raw(), self._held)
                if body.is_streamed:
                    run = OpenAiEventStream(run_input, body.shows_usage)
                else:
                    run = OpenAiDocument(run_input)
                try:
                    yield run
                finally:
                    run_input.release()
        except (EngineUnavailable, EngineRefused):
            may_run = run is not None
            raise
        finally:
            # A finished prefill-only run holds its memory until it is exported or cancelled.
            is_over = run is not None and run.usage is not None and request.max_output_tokens > 0
            if may_run and not is_over:
                await self._cancel_quietly(request.stream_id)

    async def cancel(self, stream_id: str) -> bool:
        """Cancel a run and free its memory; return whether the engine knew the run."""
        document = await self._call("POST", "/abort_request", {"rid": stream_id})
        return bool(document.get("found", True))

    async def list_streams(self) -> list[EngineStream]:
        """Return all runs, exports and imports that hold memory."""
        document = await self._call("GET", "/extension/streams")
        return _parse_list(document, "streams", EngineStream)

    async def export_kv(self, stream_id: str, handle: str) -> int:
        """Export the KV cache of a finished prefill under a handle; return its block count."""
        body = {"stream_id": stream_id, "handle": handle}
        document = await self._call("POST", "/extension/exports", body)
        blocks = document.get("blocks", 0)
        if count_or(blocks, -1) < 0:
            raise EngineFailed("the engine sent no number of exported blocks")
        return int(blocks)

    async def import_kv(self, handle: str, source: Address, blocks: int) -> None:
        """Fetch an export from another engine and store it under the same handle."""
        body = {"handle": handle, "source": str(source), "blocks": blocks}
        await self._call("POST", "/extension/imports", body)

    async def free_export(self, handle: str) -> bool:
        """Free an export or import; return whether the engine knew the handle."""
        document = await self._call("DELETE", f"/extension/exports/{handle}")
        return bool(document.get("found"))

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports, which lags."""
        return parse_load(await self._fetch("GET", "/metrics"))

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events known so far after a sequence number."""
        document = await self._call("GET", f"/extension/cache_events?after={after}")
        return _parse_list(document, "events", CacheEvent)

    async def order(self, order: EngineOrder) -> None:
        """Send a placement order; raises `EngineRefused` when the engine rejects an old fence."""
        path = _ADAPTER_PATHS.get(order.action)
        if path is None:
            await self._call("POST", "/extension/orders", order._asdict(), ORDER_LIMIT_S)
        else:
            body = {"lora_name": order.adapter, "lora_path": order.adapter, "fence": order.fence}
            await self._call("POST", path, body, ORDER_LIMIT_S)

    @asynccontextmanager
    async def _stream(
        self, request: EngineRequest, content: bytes
    ) -> AsyncIterator[httpx.Response]:
        method, _, path = request.operation.partition(" ")
        built = self._runs_client.build_request(
            method,
            path,
            content=content,
            headers={"X-Request-Id": request.stream_id, "Content-Type": "application/json"},
            # No read timeout, since prefill may be long; the request's time limit applies instead.
            timeout=httpx.Timeout(None, connect=CONNECT_LIMIT_S),
        )
        response = await self._send(self._runs_client, built)
        try:
            if response.status_code != httpx.codes.OK:
                await raise_status(response)
            yield response
        finally:
            with trio.move_on_after(CANCEL_LIMIT_S, shield=True):
                await response.aclose()

    async def _send(self, client: httpx.AsyncClient, built: httpx.Request) -> httpx.Response:
        try:
            return await client.send(built, stream=True)
        except _NOT_SENT as cause:
            raise EngineUnavailable(f"no connection: {cause}") from cause
        except httpx.HTTPError as cause:
            raise EngineFailed(f"the connection broke: {cause!r}") from cause

    async def _call(
        self, method: str, path: str, body: Any = None, limit_s: float = CALL_LIMIT_S
    ) -> dict[str, Any]:
        content = await self._fetch(method, path, body, limit_s)
        return parse_object(content) if content else {}

    async def _fetch(
        self, method: str, path: str, body: Any = None, limit_s: float = CALL_LIMIT_S
    ) -> bytes:
        async with time_limit(trio.current_time() + limit_s):
            return await self._fetch_all(method, path, body)
        raise EngineFailed(f"no whole answer within {limit_s:g} s")

    async def _fetch_all(self, method: str, path: str, body: Any) -> bytes:
        # The client's own timeout restarts with each received byte, and drops ready answers when it
        # is found late.
        timeout = httpx.Timeout(None, connect=CONNECT_LIMIT_S)
        built = self._client.build_request(method, path, json=body, timeout=timeout)
        response = await self._send(self._client, built)
        try:
            if response.status_code != httpx.codes.OK:
                await raise_status(response)
            content = await read_bounded(response, MAX_CALL_BYTES)
            if not content and ends_with_connection(response):
                # An engine that crashes closes its connection too; an empty answer means "done".
                raise EngineFailed("the connection ended without an answer")
            return content
        finally:
            with trio.move_on_after(CANCEL_LIMIT_S, shield=True):
                await response.aclose()

    async def _cancel_quietly(self, stream_id: str) -> None:
        with trio.move_on_after(CANCEL_LIMIT_S, shield=True):
            try:
                await self.cancel(stream_id)
            except (EngineUnavailable, EngineFailed, EngineRefused):
                return  # The sweep will find the stream in the engine's list.


def _make_client(address: Address, kept_connections: int) -> httpx.AsyncClient:
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=kept_connections)
    return httpx.AsyncClient(
        base_url=f"http://{address}",
        timeout=httpx.Timeout(CALL_LIMIT_S, connect=CONNECT_LIMIT_S),
        transport=BoundedTransport(max_bytes=None, limits=limits),
        # Bodies are read without decoding, so that size limits apply to the received bytes.
        headers={"Accept-Encoding": "identity"},
        trust_env=False,
    )


def _parse_list(document: dict[str, Any], key: str, kind: type[T]) -> list[T]:
    items = document.get(key)
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise EngineFailed(f"the engine sent no list of {key}")
    return [decode_fields(item, kind) for item in items]
