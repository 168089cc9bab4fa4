"""Engines that report odd values: out of range, of the wrong type, nested, or no text."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.sidecar.dialects import OpenAiDialect
from sassafrastally.sidecar.engine import (
    EngineFailed,
    EngineInfo,
    EngineLoad,
    EngineRefused,
    EngineRequest,
)
from sassafrastally.sidecar.openai_form import engine_body, parse_load
from sassafrastally.wire.codec import encode_frame
from sassafrastally.wire.messages import Frame, LoadReport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SOUND_INFO: dict[str, Any] = {
    "incarnation": "e1",
    "models": ["m"],
    "block_tokens": 16,
    "total_blocks": 100,
    "free_blocks": 100,
    "checks_fencing": True,
    "role": "general",
}
NESTED = b"[" * 30_000 + b"]" * 30_000
ODD_VALUES: list[object] = [
    None,
    -1,
    1.5,
    1e308,
    2**32,
    2**64,
    10**400,
    "\ud800",
    [],
    [1],
    ["\ud800"],
    [None],
    {},
    "x" * 10_000,
]
ODD_BYTES = [
    b"",
    b"[]",
    b"{}",
    NESTED,
    b'{"total_blocks": ' + NESTED + b"}",
    b'{"total_blocks": ' + b"9" * 5_000 + b"}",
    b'{"total_blocks": 1e400}',
    b"\xff",
]


def odd_infos() -> list[bytes]:
    documents = [{**SOUND_INFO, name: value} for name in SOUND_INFO for value in ODD_VALUES]
    return [*ODD_BYTES, *(json.dumps(document).encode() for document in documents)]


class RawEngine:
    """An engine that answers each call with the present body."""

    def __init__(self) -> None:
        self.body = b""

    async def serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(65536)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
            await stream.send_all(head.encode() + self.body)


@asynccontextmanager
async def dialect_of(engine: RawEngine) -> AsyncIterator[OpenAiDialect]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, engine.serve, listeners)
        dialect = OpenAiDialect(Address(*listeners[0].socket.getsockname()))
        yield dialect
        await dialect.aclose()
        nursery.cancel_scope.cancel()


class TestOddReports:
    async def test_a_description_is_refused_or_fits_a_load_report(self) -> None:
        """Guards against a sidecar that ends by what its engine reports, and again at each start.

        Sizes beyond 32 bits and names that can't be encoded failed in the load report to the
        entries, nested answers in the poll itself.
        """
        engine = RawEngine()
        async with dialect_of(engine) as dialect:
            for body in odd_infos():
                engine.body = body
                try:
                    info = await dialect.describe()
                except EngineFailed as cause:
                    assert len(cause.detail) < 2_000
                    continue
                report = LoadReport(
                    models=info.models,
                    free_blocks=info.free_blocks,
                    total_blocks=info.total_blocks,
                    block_tokens=info.block_tokens,
                    digest=info.incarnation + info.role,
                )
                encode_frame(Frame(0, 1, report))
            engine.body = json.dumps(SOUND_INFO).encode()
            sound = EngineInfo(**{**SOUND_INFO, "models": ("m",)})
            assert await dialect.describe() == sound

    async def test_lists_of_any_form_are_failed_calls(self) -> None:
        """Guards against a sidecar that ends by a list of streams, exports or cache events."""
        engine = RawEngine()
        async with dialect_of(engine) as dialect:
            for value in (*ODD_VALUES, [[]], [{}], [{"stream_id": [], "kind": 1, "blocks": "x"}]):
                for call in (dialect.list_streams, lambda: dialect.cache_events(0)):
                    engine.body = json.dumps({"streams": value, "events": value}).encode()
                    if value == []:
                        assert await call() == []
                        continue
                    with pytest.raises(EngineFailed):
                        await call()
                engine.body = json.dumps({"blocks": value}).encode()
                with pytest.raises(EngineFailed):
                    await dialect.export_kv("s", "h")

    @pytest.mark.parametrize("value", ["NaN", "+Inf", "-Inf", "-1", "1e400", "9" * 5_000, "x", "²"])
    def test_a_load_out_of_range_counts_as_absent(self, value: str) -> None:
        """Guards against a failed poll of the load by a metric that is no finite number."""
        lines = f'vllm:num_requests_running{{m="x"}} {value}\nvllm:num_requests_waiting 2\n'
        assert parse_load(lines.encode()) == EngineLoad(0, 2, 0)


class TestOddAnswers:
    @pytest.mark.parametrize("value", ODD_VALUES, ids=range(len(ODD_VALUES)))
    async def test_an_odd_count_spoils_no_complete_answer(self, value: object) -> None:
        """Guards against an answer that is lost because its counts of tokens are out of range."""
        document = {
            "choices": [{"text": "word", "finish_reason": "stop"}],
            "usage": {"prompt_tokens": value, "completion_tokens": value},
        }
        engine = RawEngine()
        engine.body = json.dumps(document).encode()
        request = EngineRequest("s", "m", "POST /v1/completions", b"{}", 3, 8, 0)
        async with dialect_of(engine) as dialect, dialect.generate(request) as run:
            chunks = [chunk async for chunk in run]
        assert [chunk.data for chunk in chunks] == [engine.body]
        assert run.usage is not None
        assert (run.usage.prompt_tokens, run.usage.output_tokens) == (0, 0)

    async def test_a_finish_reason_that_cannot_be_sent_is_spelled_out(self) -> None:
        """Guards against a sidecar that ends by the finish reason of one answer."""
        engine = RawEngine()
        choices = [{"text": "word", "finish_reason": "\ud800"}]
        engine.body = json.dumps({"choices": choices, "usage": {}}).encode()
        request = EngineRequest("s", "m", "POST /v1/completions", b"{}", 3, 8, 0)
        async with dialect_of(engine) as dialect, dialect.generate(request) as run:
            assert len([chunk async for chunk in run]) == 1
        assert run.usage is not None
        assert run.usage.finish_reason == "\\ud800"

    def test_a_body_that_is_nested_too_deeply_is_refused(self) -> None:
        """Guards against a sidecar that ends by a caller's body.

        The entry's decoder has another depth of calls, so a body that it accepts may be too deep
        here.
        """
        for depth in (*range(850, 1_050), 30_000):
            body = b'{"a": ' + b"[" * depth + b"]" * depth + b"}"
            request = EngineRequest("s", "m", "POST /v1/completions", body, 3, 8, 0)
            try:
                engine_body(request)
            except EngineRefused as refused:
                assert refused.refusal_code == "bad-request"
