"""Responses of model engines that are cut at each byte."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.sidecar.dialects import OpenAiDialect
from sassafrastally.sidecar.engine import (
    EngineFailed,
    EngineOrder,
    EngineRefused,
    EngineRequest,
    EngineUnavailable,
)
from sassafrastally.testing.cut_server import (
    CLOSE,
    FRAMINGS,
    HEAD_END,
    LENGTH,
    CutServer,
    open_cut_server,
)

JSON = b"application/json"
EVENTS = b"text/event-stream"
METRICS = b"vllm:num_requests_running 12\nvllm:num_requests_waiting 3\nkv_cache_free_blocks 40\n"
STREAM = (
    b'data: {"choices":[{"text":" a"}]}\n\n'
    b'data: {"choices":[],"usage":{"completion_tokens":1}}\n\n'
    b"data: [DONE]\n\n"
)
DOCUMENT = b'{"choices":[{"text":" a","finish_reason":"stop"}],"usage":{"completion_tokens":1}}'
INFO = {
    "incarnation": "e1",
    "models": ["m"],
    "block_tokens": 16,
    "total_blocks": 9,
    "free_blocks": 9,
    "checks_fencing": True,
}
CALLS = {
    "describe": (lambda engine: engine.describe(), INFO),
    "cancel": (lambda engine: engine.cancel("s"), {}),
    "list": (lambda engine: engine.list_streams(), {"streams": []}),
    "export": (lambda engine: engine.export_kv("s", "h"), {"blocks": 3}),
    "import": (lambda engine: engine.import_kv("h", Address("10.0.0.1", 1), 3), {}),
    "free": (lambda engine: engine.free_export("h"), {"found": True}),
    "events": (lambda engine: engine.cache_events(0), {"events": []}),
    "order": (lambda engine: engine.order(EngineOrder(1, "load", "m")), {}),
}
ENGINE_ERRORS = (EngineFailed, EngineRefused, EngineUnavailable)


@asynccontextmanager
async def engine_of(server: CutServer):
    engine = OpenAiDialect(server.address)
    with trio.fail_after(60):
        yield engine
    await engine.aclose()


async def completes(work) -> bool:
    """Return whether work ends without an error of the engine."""
    try:
        await work
    except ENGINE_ERRORS:
        return False
    return True


async def run(engine: OpenAiDialect, *, is_streamed: bool, prompt: str = "x") -> None:
    body = json.dumps({"prompt": prompt, "stream": is_streamed}).encode()
    request = EngineRequest("s", "m", "POST /v1/completions", body, 1, 1, 0)
    async with engine.generate(request) as started:
        async for _ in started:
            pass
        if started.usage is None:
            raise EngineFailed("no end mark")


class TestCutRuns:
    @pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
    @pytest.mark.parametrize(
        ("is_streamed", "kind", "content"), [(True, EVENTS, STREAM), (False, JSON, DOCUMENT)]
    )
    async def test_none_is_complete(self, framing, is_streamed, kind, content):
        """Guards against a completion that is delivered as whole without the engine's end mark."""
        response = framing.respond(content, kind)
        # The content shows its end by itself, before the last chunk and the last blank line.
        content_end = response.rindex(b"[DONE]\n" if is_streamed else b"}}") + 7 * is_streamed
        async with open_cut_server() as server, engine_of(server) as engine:
            for cut_at in server.cuts(response):
                is_whole = await completes(run(engine, is_streamed=is_streamed))
                assert not is_whole or (is_streamed and cut_at > content_end), response[:cut_at]
            server.cut_at, server.is_reset = None, False
            await run(engine, is_streamed=is_streamed)

    async def test_none_is_complete_after_a_long_prompt(self):
        """As above, for a connection that has carried a long body."""
        async with open_cut_server() as server, engine_of(server) as engine:
            for framing in FRAMINGS:
                server.response = response = framing.respond(DOCUMENT, JSON)
                end = response.index(HEAD_END) + len(HEAD_END)
                for server.cut_at in (0, 1, end - 2, end - 1, end, end + 1, len(response) - 1):
                    work = run(engine, is_streamed=False, prompt="x" * 300_000)
                    assert not await completes(work)


class TestCutCalls:
    @pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
    @pytest.mark.parametrize("name", CALLS)
    async def test_none_is_taken_for_an_empty_answer(self, name, is_reused):
        """Guards against a call that counts as done because the engine crashed answering it.

        An empty answer stands for freed memory, a finished import or an applied order.
        """
        call, document = CALLS[name]
        earlier = LENGTH.respond(b"{}", JSON)
        async with open_cut_server() as server, engine_of(server) as engine:
            server.earlier_response = earlier if is_reused else b""
            for framing in (CLOSE,) if is_reused else FRAMINGS:
                for _ in server.cuts(framing.respond(json.dumps(document).encode(), JSON)):
                    if is_reused:
                        await engine.cancel("s")
                    assert not await completes(call(engine)), server.response[: server.cut_at]
                server.cut_at, server.is_reset = None, False
                if is_reused:
                    await engine.cancel("s")
                await call(engine)
            assert server.requests == server.connections * (1 + is_reused)

    async def test_empty_answer_with_a_length_is_an_answer(self):
        async with open_cut_server() as server, engine_of(server) as engine:
            server.response = LENGTH.respond(b"", JSON)
            assert await engine.cancel("s")

    async def test_metrics_do_not_end_inside_a_line(self):
        """Guards against a load of 1 from an engine that was cut in reporting 12."""
        response = CLOSE.respond(METRICS, b"text/plain")
        begin = response.index(METRICS)
        async with open_cut_server() as server, engine_of(server) as engine:
            for cut_at in server.cuts(response):
                is_line_end = cut_at > begin and response[cut_at - 1 : cut_at] == b"\n"
                is_regular = is_line_end and not server.is_reset
                assert await completes(engine.load()) == is_regular, response[:cut_at]
