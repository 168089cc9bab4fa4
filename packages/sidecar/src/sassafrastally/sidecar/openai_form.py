"""The completion interface that most engines publish: bodies, answers and metrics."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn

import httpx

from sassafrastally.sidecar.engine import (
    EngineChunk,
    EngineFailed,
    EngineLoad,
    EngineRefused,
    EngineUsage,
)
from sassafrastally.sidecar.event_stream import BadEventStream, EventReader

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.sidecar.engine import EngineRequest

MAX_ERROR_BYTES = 4096
"""Most of an error's body that is shown."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest answer that is read whole."""

END_MARK = b"[DONE]"

REFUSING_STATUSES = frozenset({400, 401, 403, 404, 405, 409, 413, 415, 422, 429, 503})
"""Statuses by which an engine says that it took no part of a call."""

LOAD_METRICS = ("vllm:num_requests_running", "vllm:num_requests_waiting", "kv_cache_free_blocks")
"""Published metrics in the order of `EngineLoad`; the last one is an extension."""


class EngineBody(NamedTuple):
    """The body as the engine gets it, and what of it shapes the answer."""

    content: bytes
    is_streamed: bool
    """Whether the caller asked for events; otherwise the answer is one chunk, the whole JSON."""
    shows_usage: bool
    """Whether the caller asked for the event with the usage."""


class OpenAiWhole:
    """A run whose answer is one JSON document."""

    def __init__(self, response: httpx.Response) -> None:
        self.usage: EngineUsage | None = None
        self._response = response

    def __aiter__(self) -> AsyncIterator[EngineChunk]:
        return self

    async def __anext__(self) -> EngineChunk:
        if self.usage is not None:
            raise StopAsyncIteration
        data = await read_bounded(self._response, MAX_ANSWER_BYTES)
        document = parse_object(data)
        try:
            reason = str(document["choices"][0]["finish_reason"] or "")
            self.usage = _parse_usage(document["usage"])._replace(finish_reason=reason)
        except (AttributeError, IndexError, KeyError, TypeError, ValueError) as cause:
            raise EngineFailed(f"the answer lacks its end mark: {cause!r}") from cause
        return EngineChunk(data, self.usage.output_tokens)


class OpenAiEvents:
    """A run whose answer comes as server-sent events."""

    def __init__(self, response: httpx.Response, shows_usage: bool) -> None:
        self.usage: EngineUsage | None = None
        self._pieces = response.aiter_raw()
        self._shows_usage = shows_usage
        self._reader = EventReader()
        self._ready: deque[EngineChunk] = deque()
        self._pending_usage: EngineUsage | None = None
        self._finish_reason = ""
        self._counted_tokens = 0

    def __aiter__(self) -> AsyncIterator[EngineChunk]:
        return self

    async def __anext__(self) -> EngineChunk:
        while not self._ready:
            if self.usage is not None:
                raise StopAsyncIteration
            await self._read()
        return self._ready.popleft()

    async def _read(self) -> None:
        try:
            piece = await anext(self._pieces)
            for data in self._reader.feed(piece):
                self._take(data)
        except StopAsyncIteration:
            # A short answer must not pass for a whole one: without the mark it is a failure.
            raise EngineFailed("the answer ended without its end mark") from None
        except (httpx.HTTPError, BadEventStream) as cause:
            raise EngineFailed(f"the answer broke off: {cause}") from cause

    def _take(self, data: bytes) -> None:
        if self.usage is not None:
            return
        if data == END_MARK:
            if self._pending_usage is None:
                raise EngineFailed("the answer ended without its usage")
            self.usage = self._pending_usage._replace(finish_reason=self._finish_reason)
            return
        document = parse_object(data)
        if "error" in document:
            raise EngineFailed(f"the engine broke off: {_message(document)}")
        try:
            self._take_document(document, data)
        except (AttributeError, KeyError, TypeError, ValueError) as cause:
            raise EngineFailed(f"the engine sent an event of another form: {cause!r}") from cause

    def _take_document(self, document: dict[str, Any], data: bytes) -> None:
        choices = document.get("choices")
        usage = document.pop("usage", None)
        if choices:
            self._take_choice(document, choices[0], usage)
        elif usage:
            self._pending_usage = _parse_usage(usage)
            if self._shows_usage:
                self._ready.append(EngineChunk(data, 0))

    def _take_choice(self, document: dict[str, Any], choice: Any, usage: Any) -> None:
        self._finish_reason = choice.get("finish_reason") or self._finish_reason
        tokens = 1
        if usage:
            counted = int(usage.get("completion_tokens", self._counted_tokens + 1))
            tokens, self._counted_tokens = max(0, counted - self._counted_tokens), counted
        data = json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()
        self._ready.append(EngineChunk(data, tokens))


def engine_body(request: EngineRequest) -> EngineBody:
    """Return the caller's body with what the engine has to know besides.

    Raises
    ------
    EngineRefused
        When it is no JSON object.
    """
    try:
        document = json.loads(request.body)
        is_streamed = document.get("stream") is True
        options = document.pop("stream_options", None) or {}
        shows_usage = bool(options.get("include_usage"))
    except (ValueError, AttributeError) as cause:
        raise EngineRefused(f"the body is no JSON object: {cause}") from cause
    if is_streamed:
        # The count in every event is needed since an engine joins tokens into one under load.
        asked = {"include_usage": True, "continuous_usage_stats": True}
        document["stream_options"] = {**options, **asked}
    document["model"] = request.model
    document.pop("max_completion_tokens", None)
    document["max_tokens"] = request.max_output_tokens
    document["priority"] = request.priority
    if request.resume_from_tokens:
        document["resume_from_tokens"] = request.resume_from_tokens
    if request.import_handles:
        document["import_handles"] = request.import_handles
    if request.max_output_tokens == 0:
        document["prefill_tokens"] = request.prompt_tokens
    content = json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()
    return EngineBody(content, is_streamed, shows_usage)


def _parse_usage(usage: dict[str, Any]) -> EngineUsage:
    details = usage.get("prompt_tokens_details") or {}
    return EngineUsage(
        prompt_tokens=int(usage.get("prompt_tokens", 0)),
        cached_tokens=int(details.get("cached_tokens") or 0),
        output_tokens=int(usage.get("completion_tokens", 0)),
        finish_reason="",
    )


def parse_object(data: bytes) -> dict[str, Any]:
    """Return a JSON object; raises `EngineFailed` when it is none."""
    try:
        document = json.loads(data)
    except ValueError as cause:
        raise EngineFailed(f"the engine sent no JSON: {cause}") from cause
    if not isinstance(document, dict):
        raise EngineFailed("the engine sent no JSON object")
    return document


def parse_load(content: bytes) -> EngineLoad:
    """Read the load from Prometheus text; series of one name are added up."""
    metrics: dict[str, float] = {}
    for line in content.decode(errors="replace").splitlines():
        if line.startswith("#") or not line.strip():
            continue
        series, _, value = line.rpartition(" ")
        name = series.partition("{")[0]
        try:
            metrics[name] = metrics.get(name, 0.0) + float(value)
        except ValueError:
            continue
    return EngineLoad(*(int(metrics.get(name, 0)) for name in LOAD_METRICS))


def _message(document: dict[str, Any]) -> str:
    problem = document.get("error", document)
    return str(problem.get("message", problem)) if isinstance(problem, dict) else str(problem)


async def read_bounded(response: httpx.Response, limit: int) -> bytes:
    """Return a whole body; raises `EngineFailed` when it breaks off or is longer."""
    content = b""
    try:
        async for piece in response.aiter_raw():
            content += piece
            if len(content) > limit:
                raise EngineFailed(f"the answer is longer than {limit} bytes")
    except httpx.HTTPError as cause:
        raise EngineFailed(f"the answer broke off: {cause!r}") from cause
    return content


CALLERS_STATUSES = frozenset({400, 413, 422})
"""Refusals that lie in the request itself: another replica, or coming back, would not help."""


async def raise_status(response: httpx.Response) -> NoReturn:
    """Raise `EngineRefused` or `EngineFailed`, as the status says."""
    content = (await read_bounded(response, MAX_ANSWER_BYTES))[:MAX_ERROR_BYTES]
    text = f"status {response.status_code}: {content.decode(errors='replace')}"
    if response.status_code in REFUSING_STATUSES:
        is_callers = response.status_code in CALLERS_STATUSES
        raise EngineRefused(text, "bad-request" if is_callers else "no-replica")
    raise EngineFailed(text)
