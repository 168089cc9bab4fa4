"""Engines that send more than their answers."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import Address
from sassafrastally.sidecar.dialects import OpenAiDialect
from sassafrastally.sidecar.engine import EngineRequest

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
