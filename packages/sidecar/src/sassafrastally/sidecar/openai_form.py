"""Bodies, answers and metrics of the OpenAI-compatible interface that most engines publish."""

from __future__ import annotations

import json
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn

import httpx
import trio

from sassafrastally.core import EventTooLong
from sassafrastally.sidecar.engine import (
    EngineChunk,
    EngineFailed,
    EngineLoad,
    EngineRefused,
    EngineUsage,
)
from sassafrastally.sidecar.engine_values import MAX_COUNT, count_or, printable
from sassafrastally.sidecar.event_stream import EventReader

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.sidecar.engine import EngineRequest
    from sassafrastally.sidecar.engine_input import RunInput

MAX_ERROR_BYTES = 4096
"""Maximum size of the part of an error body that is included in the message."""

ERROR_BODY_LIMIT_S = 1.0
"""Time for that part. The status alone tells what has happened to the request, and a body without
end must not hide it."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer that is read as a whole. An entry accepts no more by default."""

MAX_CALL_BYTES = 4 * 1024 * 1024
"""Maximum size of the answer to a call that isn't a run."""

MAX_READ_EVENTS = 64
"""Number of events after which other tasks run. One read may hold thousands of small ones."""

END_MARK = b"[DONE]"

_FORM_ERRORS = (AttributeError, IndexError, KeyError, RecursionError, TypeError, ValueError)
"""Errors of the decoders for an answer of another form."""

REJECTED_STATUSES = frozenset({400, 401, 403, 404, 405, 409, 413, 415, 422, 429, 503})
"""Statuses with which an engine rejects a call without processing any of it."""

LOAD_METRICS = ("vllm:num_requests_running", "vllm:num_requests_waiting", "kv_cache_free_blocks")
"""Names of the metrics in the field order of `EngineLoad`; the last one is an extension."""


class EngineBody(NamedTuple):
    """The request body for the engine and the options that determine the answer's format."""

    content: bytes
    is_streamed: bool
    """Whether the caller requested events; otherwise the answer is a single JSON document."""
    shows_usage: bool
    """Whether the caller requested the usage event."""


class OpenAiDocument:
    """A run whose answer is one JSON document."""

    def __init__(self, run_input: RunInput) -> None:
        self.usage: EngineUsage | None = None
        self._input = run_input

    def __aiter__(self) -> AsyncIterator[EngineChunk]:
        return self

    async def __anext__(self) -> EngineChunk:
        if self.usage is not None:
            raise StopAsyncIteration
        data = await self._read_all()
        document = parse_object(data)
        try:
            reason = printable(str(document["choices"][0]["finish_reason"] or ""))
            self.usage = _parse_usage(document["usage"])._replace(finish_reason=reason)
        except _FORM_ERRORS as cause:
            raise EngineFailed(f"the answer lacks its end mark: {cause!r}") from cause
        return EngineChunk(data, self.usage.output_tokens)

    async def _read_all(self) -> bytes:
        content = bytearray()
        while (piece := await self._input.next_piece()) is not None:
            content += piece
            if len(content) > MAX_ANSWER_BYTES:
                raise EngineFailed(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
            self._input.hold(len(content))
        self._input.keep()
        return bytes(content)


class OpenAiEventStream:
    """A run whose answer is a stream of server-sent events."""

    def __init__(self, run_input: RunInput, shows_usage: bool) -> None:
        self.usage: EngineUsage | None = None
        self._input = run_input
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
        piece = await self._input.next_piece()
        if piece is None:
            # A truncated answer must not be taken for a complete one, so a missing end mark is an
            # error.
            raise EngineFailed("the answer ended without its end mark")
        try:
            for number, data in enumerate(self._reader.feed(piece), 1):
                self._parse_event(data)
                if number % MAX_READ_EVENTS == 0:
                    await trio.lowlevel.checkpoint()
        except EventTooLong as cause:
            raise EngineFailed(f"the answer broke off: {cause}") from cause
        self._input.hold(self._reader.held_bytes)

    def _parse_event(self, data: bytes) -> None:
        if self.usage is not None:
            return
        if data == END_MARK:
            if self._pending_usage is None:
                raise EngineFailed("the answer ended without its usage")
            self.usage = self._pending_usage._replace(finish_reason=self._finish_reason)
            return
        document = parse_object(data)
        if "error" in document:
            raise EngineFailed(f"the engine broke off: {_error_message(document)}")
        try:
            self._parse_event_document(document, data)
        except _FORM_ERRORS as cause:
            raise EngineFailed(f"the engine sent an event of another form: {cause!r}") from cause

    def _parse_event_document(self, document: dict[str, Any], data: bytes) -> None:
        choices = document.get("choices")
        usage = document.pop("usage", None)
        if choices:
            self._parse_choice(document, choices[0], usage)
        elif usage:
            self._pending_usage = _parse_usage(usage)
            if self._shows_usage:
                self._ready.append(EngineChunk(data, 0))

    def _parse_choice(self, document: dict[str, Any], choice: Any, usage: Any) -> None:
        reason = choice.get("finish_reason")
        self._finish_reason = printable(str(reason)) if reason else self._finish_reason
        tokens = 1
        if usage:
            total_tokens = count_or(usage.get("completion_tokens"), self._counted_tokens + 1)
            tokens, self._counted_tokens = max(0, total_tokens - self._counted_tokens), total_tokens
        data = json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()
        self._ready.append(EngineChunk(data, tokens))


def engine_body(request: EngineRequest) -> EngineBody:
    """Return the caller's body with the fields added that the engine needs.

    Raises
    ------
    EngineRefused
        When the body is not a JSON object.
    """
    try:
        document = json.loads(request.body)
        is_streamed = document.get("stream") is True
        options = document.pop("stream_options", None) or {}
        shows_usage = bool(options.get("include_usage"))
    except (ValueError, AttributeError) as cause:
        raise EngineRefused(f"the body is no JSON object: {cause}") from cause
    except RecursionError as cause:
        raise EngineRefused("the body is nested too deeply", "bad-request") from cause
    if is_streamed:
        # Every event needs a token count, because under load an engine joins several tokens into
        # one event.
        required = {"include_usage": True, "continuous_usage_stats": True}
        document["stream_options"] = {**options, **required}
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
    try:
        content = json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()
    except RecursionError as cause:
        raise EngineRefused("the body is nested too deeply", "bad-request") from cause
    return EngineBody(content, is_streamed, shows_usage)


def _parse_usage(usage: dict[str, Any]) -> EngineUsage:
    details = usage.get("prompt_tokens_details") or {}
    return EngineUsage(
        prompt_tokens=count_or(usage.get("prompt_tokens"), 0),
        cached_tokens=count_or(details.get("cached_tokens"), 0),
        output_tokens=count_or(usage.get("completion_tokens"), 0),
        finish_reason="",
    )


def parse_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object; raises `EngineFailed` when the data is not one."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as cause:
        raise EngineFailed(f"the engine sent no JSON: {cause}") from cause
    if not isinstance(document, dict):
        raise EngineFailed("the engine sent no JSON object")
    return document


def parse_load(content: bytes) -> EngineLoad:
    """Parse the load from Prometheus text format, summing the series of each metric.

    Raises
    ------
    EngineFailed
        When the text ends inside a line: the last value may lack digits.
    """
    if content and not content.endswith(b"\n"):
        raise EngineFailed("the metrics end inside a line")
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
    return EngineLoad(*(_count_of(metrics.get(name, 0.0)) for name in LOAD_METRICS))


def _count_of(value: float) -> int:
    return int(value) if 0.0 <= value <= MAX_COUNT else 0


def _error_message(document: dict[str, Any]) -> str:
    problem = document.get("error", document)
    message = problem.get("message", problem) if isinstance(problem, dict) else problem
    return printable(str(message))


async def read_bounded(response: httpx.Response, limit: int) -> bytes:
    """Read a whole body; raises `EngineFailed` when it is interrupted or exceeds the limit."""
    content = bytearray()
    try:
        async for piece in response.aiter_raw():
            content += piece
            if len(content) > limit:
                raise EngineFailed(f"the answer is longer than {limit} bytes")
    except httpx.HTTPError as cause:
        raise EngineFailed(f"the answer broke off: {cause!r}") from cause
    return bytes(content)


async def _read_beginning(response: httpx.Response) -> bytes:
    """Return the first part of an error body, as much as arrives in time."""
    content = bytearray()
    with trio.move_on_after(ERROR_BODY_LIMIT_S), suppress(httpx.HTTPError):
        async for piece in response.aiter_raw():
            content += piece
            if len(content) >= MAX_ERROR_BYTES:
                break
    return bytes(content[:MAX_ERROR_BYTES])


REQUEST_ERROR_STATUSES = frozenset({400, 413, 422})
"""Statuses caused by the request itself: neither another replica nor a retry would help."""


async def raise_status(response: httpx.Response) -> NoReturn:
    """Raise `EngineRefused` or `EngineFailed`, depending on the status."""
    content = await _read_beginning(response)
    text = f"status {response.status_code}: {content.decode(errors='replace')}"
    if response.status_code in REJECTED_STATUSES:
        is_request_error = response.status_code in REQUEST_ERROR_STATUSES
        raise EngineRefused(text, "bad-request" if is_request_error else "no-replica")
    raise EngineFailed(text)
