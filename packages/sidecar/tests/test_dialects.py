"""Tests of the engine dialects against an HTTP engine server over loopback."""

from __future__ import annotations

import json
import socket
from contextlib import asynccontextmanager, suppress
from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.sidecar import dialects
from sassafrastally.sidecar.dialects import OpenAiDialect
from sassafrastally.sidecar.engine import (
    ENGINE_DIALECTS,
    EngineFailed,
    EngineOrder,
    EngineRefused,
    EngineRequest,
    EngineUnavailable,
)
from sassafrastally.sidecar.openai_form import read_bounded
from sassafrastally.testing.engine_model import EngineModel, EngineShape
from sassafrastally.testing.engine_server import serve_engine

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.sidecar.engine import EngineRun

FAST = EngineShape(speed=50.0, total_blocks=256)

SLOW = FAST._replace(speed=0.5)

EVENT = b'data: {"choices":[{"index":0,"text":" word","finish_reason":null}]}\n\n'

USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1}}\n\n'


@asynccontextmanager
async def engine_at(model: EngineModel) -> AsyncIterator[OpenAiDialect]:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_engine, model, Address("127.0.0.1", 0))
        dialect = ENGINE_DIALECTS.get("openai")(address)
        assert isinstance(dialect, OpenAiDialect)
        with trio.fail_after(10):
            yield dialect
        await dialect.aclose()
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def raw_engine(answer: bytes) -> AsyncIterator[OpenAiDialect]:
    """Send fixed bytes on each connection, then close it."""

    async def handle(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            with suppress(trio.BrokenResourceError):  # The client may have given up.
                await stream.send_all(answer)
                await stream.send_eof()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        dialect = OpenAiDialect(Address(*listeners[0].socket.getsockname()))
        with trio.fail_after(10):
            yield dialect
        nursery.cancel_scope.cancel()


def make_request(stream_id: str, output: int = 12, stream: bool = True) -> EngineRequest:
    body = json.dumps({"prompt": "x" * 256, "stream": stream}).encode()
    return EngineRequest(stream_id, "small", "POST /v1/completions", body, 64, output, 0)


def texts(chunks: list[bytes]) -> str:
    return "".join(json.loads(chunk)["choices"][0]["text"] for chunk in chunks)


async def drain(run: EngineRun) -> list[bytes]:
    return [chunk.data async for chunk in run]


class TestRuns:
    async def test_streamed_whole_and_resumed_answers_agree(self) -> None:
        async with engine_at(EngineModel(FAST._replace(decode_stride=3))) as engine:
            async with engine.generate(make_request("a")) as run:
                chunks = [chunk async for chunk in run]
            assert sum(chunk.tokens for chunk in chunks) == 12
            assert run.usage and (run.usage.prompt_tokens, run.usage.output_tokens) == (64, 12)
            assert run.usage.finish_reason == "length"
            whole = texts([chunk.data for chunk in chunks])
            async with engine.generate(make_request("b", stream=False)) as run:
                assert texts(await drain(run)) == whole
            assert run.usage and run.usage.cached_tokens == 63
            async with engine.generate(make_request("c")._replace(resume_from_tokens=5)) as run:
                assert texts(await drain(run)).split() == whole.split()[5:]

    async def test_leaving_the_context_frees_the_engine(self) -> None:
        model = EngineModel(SLOW)
        async with engine_at(model) as engine:
            async with engine.generate(make_request("left", 1000)) as run:
                await anext(aiter(run))
                assert [stream.stream_id for stream in await engine.list_streams()] == ["left"]
            assert model.streams() == []
            assert model.memory.free_blocks == 256

    async def test_finished_prefill_is_exported_or_freed(self) -> None:
        model = EngineModel(FAST)
        async with engine_at(model) as engine:
            async with engine.generate(make_request("prefill", 0)) as run:
                await drain(run)
                assert await engine.export_kv("prefill", "kv") == 4
            assert [stream.kind for stream in await engine.list_streams()] == ["export"]
            assert await engine.free_export("kv")
            async with engine.generate(make_request("forgotten", 0)) as run:
                await drain(run)
            assert model.memory.free_blocks == 256


class TestFailures:
    async def test_refused_connection_is_unavailable(self) -> None:
        with socket.socket() as bound:  # Bound but not listening.
            bound.bind(("127.0.0.1", 0))
            engine = OpenAiDialect(Address(*bound.getsockname()))
            with pytest.raises(EngineUnavailable):
                async with engine.generate(make_request("unsent")):
                    pass

    async def test_rejection_by_the_engine_is_raised(self) -> None:
        model = EngineModel(FAST)
        async with engine_at(model) as engine:
            with pytest.raises(EngineRefused, match="of 256"):
                async with engine.generate(make_request("long", 5000)):
                    pass
        assert not model.started

    @pytest.mark.parametrize("stream", [True, False])
    async def test_answer_without_end_mark_is_a_failure(self, stream: bool) -> None:
        """A truncated answer must not be taken for a complete one.

        The engine closes the answer cleanly after a few words, without its end mark.
        """
        model = EngineModel(FAST)
        model.ends_without_mark = True
        async with engine_at(model) as engine:
            with pytest.raises(EngineFailed):
                async with engine.generate(make_request("short", stream=stream)) as run:
                    await drain(run)

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"HTTP/1.1 500 Wrong\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n" + EVENT + USAGE,
            b"HTTP/1.1 200 OK\r\n\r\n" + EVENT + b"data: [DONE]\n\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n" + EVENT,
            b"HTTP/1.1 200 OK\r\n\r\ndata: {broken\n\n",
            b'HTTP/1.1 200 OK\r\n\r\ndata: {"choices":["odd"]}\n\n',
            b'HTTP/1.1 200 OK\r\n\r\ndata: {"error":{"message":"cancelled"}}\n\n',
            b"HTTP/1.1 200 OK\r\n\r\ndata: " + b"x" * 1_200_000,
        ],
    )
    async def test_broken_answers_are_failures_not_unavailability(self, answer: bytes) -> None:
        async with raw_engine(answer) as engine:
            with pytest.raises(EngineFailed):
                async with engine.generate(make_request("broken")) as run:
                    await drain(run)

    async def test_events_without_usage_count_as_one_token_each(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\n\r\n" + EVENT * 2 + USAGE + b"data: [DONE]\n\n" + EVENT
        async with raw_engine(answer) as engine:
            async with engine.generate(make_request("plain")) as run:
                assert [chunk.tokens async for chunk in run] == [1, 1]
            assert run.usage is not None


class TestCalls:
    async def test_orders_carry_the_fencing_token(self) -> None:
        model = EngineModel(FAST)
        async with engine_at(model) as engine:
            await engine.order(EngineOrder(4, "load_adapter", "small", adapter="sondrio"))
            assert (await engine.describe()).models == ("small", "sondrio")
            with pytest.raises(EngineRefused, match="3 is below 4"):
                await engine.order(EngineOrder(3, "unload_adapter", "small", adapter="sondrio"))
            await engine.order(EngineOrder(5, "set_role", "small", role="prefill"))
            assert (await engine.describe()).role == "prefill"
            assert (await engine.load()).free_blocks == 256
            assert await engine.cancel("unknown") is False

    async def test_import_from_another_engine_over_http(self) -> None:
        async with (
            engine_at(EngineModel(FAST)) as source,
            engine_at(EngineModel(FAST)) as leader,
        ):
            async with source.generate(make_request("segment", 0)) as run:
                await drain(run)
                blocks = await source.export_kv("segment", "kv")
            await leader.import_kv("kv", source.address, blocks)
            async with leader.generate(make_request("led")._replace(import_handles=("kv",))) as run:
                assert len(await drain(run)) == 12
            assert [stream.kind for stream in await leader.list_streams()] == ["import"]
            with pytest.raises(EngineRefused):
                await leader.import_kv("other", source.address, blocks)


class CountedPiece(bytes):
    """A piece of a body that counts the bytes copied in order to append it."""

    copied_bytes = 0

    def __radd__(self, other):
        if isinstance(other, bytes):
            CountedPiece.copied_bytes += len(other)
        return NotImplemented


class TestEndlessAnswers:
    """Engines whose answers don't end."""

    async def test_body_in_tiny_pieces_is_copied_once(self):
        """Guards against work that grows with the square of the bytes received."""

        async def aiter_raw() -> AsyncIterator[bytes]:
            for _ in range(10_000):
                await trio.lowlevel.checkpoint()
                yield CountedPiece(b"x")

        CountedPiece.copied_bytes = 0
        body = await read_bounded(SimpleNamespace(aiter_raw=aiter_raw), 20_000)
        assert len(body) == 10_000
        assert CountedPiece.copied_bytes <= 10_000

    @pytest.mark.parametrize("gap_s", [0.0, 0.05])
    async def test_error_body_does_not_hide_the_status(self, gap_s):
        """Guards against a rejected run that counts as failed, or that waits for its time limit."""
        head = b"HTTP/1.1 503 Service Unavailable\r\n\r\n"
        async with endless_engine(head, b"x" * 100, gap_s) as dialect:
            with pytest.raises(EngineRefused, match="503"):
                async with dialect.generate(make_request("a")):
                    pass

    async def test_call_ends_while_bytes_keep_coming(self, monkeypatch):
        """Guards against a time limit that each received byte restarts."""
        monkeypatch.setattr(dialects, "ORDER_LIMIT_S", 0.5)
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        async with endless_engine(head, b" ", 0.05) as dialect:
            with pytest.raises(EngineFailed, match="within"):
                await dialect.order(EngineOrder(1, "load", "small"))


@asynccontextmanager
async def endless_engine(begin: bytes, unit: bytes, gap_s: float) -> AsyncIterator[OpenAiDialect]:
    """Send bytes on each connection until the client closes it."""

    async def handle(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            with suppress(trio.BrokenResourceError):
                await stream.send_all(begin)
                while True:
                    await stream.send_all(unit)
                    await trio.sleep(gap_s)

    async with trio.open_nursery() as nursery:
        [listener] = await nursery.start(partial(trio.serve_tcp, handle, 0, host="127.0.0.1"))
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        dialect = OpenAiDialect(address)
        with trio.fail_after(5):
            yield dialect
        await dialect.aclose()
        nursery.cancel_scope.cancel()
