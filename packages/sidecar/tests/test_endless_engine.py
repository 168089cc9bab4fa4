"""Engines that send more than their answers."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.core.held_input import HeldInput
from sassafrastally.sidecar import dialects
from sassafrastally.sidecar.dialects import OpenAiDialect
from sassafrastally.sidecar.engine import EngineFailed, EngineRequest
from sassafrastally.sidecar.engine_input import RunInput
from sassafrastally.sidecar.openai_form import MAX_READ_EVENTS, OpenAiEventStream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sassafrastally.sidecar.engine import EngineRun


@asynccontextmanager
async def engine_with(
    handle: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[OpenAiDialect]:
    """Serve connections with a handler; yield a client."""

    async def serve_connection(stream: trio.SocketStream) -> None:
        async with stream:
            try:
                await handle(stream)
            except trio.BrokenResourceError:
                return

    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, serve_connection, 0, host="127.0.0.1")
        [listener] = await nursery.start(serve)
        dialect = OpenAiDialect(Address("127.0.0.1", listener.socket.getsockname()[1]))
        with trio.fail_after(30):
            yield dialect
        await dialect.aclose()
        nursery.cancel_scope.cancel()


def make_request(stream_id: str, is_streamed: bool = False) -> EngineRequest:
    body = json.dumps({"prompt": "x", "stream": is_streamed}).encode()
    return EngineRequest(stream_id, "small", "POST /v1/completions", body, 64, 12, 0)


def whole_answer(text: str) -> bytes:
    """Return a response that leaves the connection open."""
    choice = {"index": 0, "text": text, "finish_reason": "stop"}
    usage = {"prompt_tokens": 3, "completion_tokens": 1}
    content = json.dumps({"choices": [choice], "usage": usage}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content) + content


async def receive_request(stream: trio.SocketStream) -> bytes:
    """Return a request with its body; empty at the end of the connection."""
    request = b""
    while not request.endswith(b"}"):
        piece = await stream.receive_some()
        if not piece:
            return b""
        request += piece
    return request


async def drain(run: EngineRun) -> bytes:
    return b"".join([chunk.data async for chunk in run])


class TestLateAnswers:
    async def test_late_extra_answer_is_not_that_of_the_next_run(self) -> None:
        """Guards against an answer that an engine sends once more when the next run's request
        comes: it would go to the caller of that run."""

        async def handle(stream: trio.SocketStream) -> None:
            extra = b""
            while request := await receive_request(stream):
                name = request.lower().partition(b"x-request-id: ")[2].partition(b"\r")[0].decode()
                await stream.send_all(extra + whole_answer(name))
                extra = whole_answer(f"extra of {name}")

        async with engine_with(handle) as engine:
            for stream_id in ("first", "second", "third"):
                async with engine.generate(make_request(stream_id)) as run:
                    answer = json.loads(await drain(run))
                assert answer["choices"][0]["text"] == stream_id


class TestManyRuns:
    """Answers without end, each below the bound of one answer, in many runs at once."""

    @pytest.mark.parametrize("is_streamed", [False, True], ids=["documents", "events"])
    async def test_largest_gives_way_and_small_ones_are_read(
        self, monkeypatch: pytest.MonkeyPatch, is_streamed: bool
    ) -> None:
        """Guards against an engine that sends all its runs bytes without end: the bounds of all
        runs together exceed the memory, and the sidecar ends with the runs of sound callers."""
        monkeypatch.setattr(dialects, "MAX_HELD_BYTES", 10_000_000)
        part = b"x" * 50_000

        async def handle(stream: trio.SocketStream) -> None:
            request = await receive_request(stream)
            if b"sound" in request or b"abort_request" in request:
                await stream.send_all(whole_answer("sound"))
                return
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\ndata: ")
            for _ in range(20):
                await stream.send_all(part)
                await trio.sleep(0.01)
            await trio.sleep_forever()

        failures: list[str] = []

        async def run_endless(engine: OpenAiDialect, stream_id: str) -> None:
            try:
                async with engine.generate(make_request(stream_id, is_streamed)) as run:
                    await drain(run)
            except EngineFailed as failure:
                failures.append(failure.detail)

        async with engine_with(handle) as engine, trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(run_endless, engine, f"endless-{number}")
            # One run reaches 1 MB, nine of them the budget.
            while len(failures) < 11:
                await trio.sleep(0.01)
            assert set(failures) == {"too many bytes of unfinished answers were held"}
            for number in range(10):
                async with engine.generate(make_request(f"sound-{number}")) as run:
                    assert b"sound" in await drain(run)
            assert len(failures) <= 12
            nursery.cancel_scope.cancel()

    async def test_document_counts_until_its_run_is_over(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against complete documents that wait for slow readers and count nowhere."""
        monkeypatch.setattr(dialects, "MAX_HELD_BYTES", 1_000_000)

        async def handle(stream: trio.SocketStream) -> None:
            await receive_request(stream)
            await stream.send_all(whole_answer("x" * 600_000))

        async with engine_with(handle) as engine:
            async with engine.generate(make_request("first")) as first:
                await drain(first)
                with pytest.raises(EngineFailed, match="too many bytes"):
                    async with engine.generate(make_request("second")) as second:
                        await drain(second)
            async with engine.generate(make_request("third")) as third:
                await drain(third)


class TestManyEvents:
    async def test_other_tasks_run_between_the_events_of_one_read(self) -> None:
        """Guards against thousands of events without words that are parsed in one step."""
        events, parsed, most_between = 5000, 0, 0

        async def pieces() -> AsyncIterator[bytes]:
            yield b"data: {}\n\n" * events
            await trio.sleep_forever()

        class CountingStream(OpenAiEventStream):
            def _parse_event(self, data: bytes) -> None:
                nonlocal parsed
                parsed += 1
                super()._parse_event(data)

        async def note_turns() -> None:
            nonlocal most_between
            seen = 0
            while True:
                most_between, seen = max(most_between, parsed - seen), parsed
                await trio.lowlevel.checkpoint()

        run = CountingStream(RunInput(pieces(), HeldInput()), shows_usage=False)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(note_turns)
            nursery.start_soon(anext, run)
            with trio.fail_after(10):
                while parsed < events:
                    await trio.sleep(0)
            nursery.cancel_scope.cancel()
        assert most_between <= 2 * MAX_READ_EVENTS
