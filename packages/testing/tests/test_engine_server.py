"""Tests of the model engine's HTTP server."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from typing import Any

import httpx
import trio

from sassafrastally.core import Address
from sassafrastally.testing.engine_model import EngineModel, EngineShape
from sassafrastally.testing.engine_server import make_engine_app, serve_engine

FAST = EngineShape(speed=50.0)

START_LIMIT_S = 15.0


class TestPublishedForms:
    async def test_stream_and_whole_say_the_same(self) -> None:
        asked = {"model": "small", "messages": [{"role": "user", "content": "who comes?"}]}
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_engine, EngineModel(FAST), Address("127.0.0.1", 0))
            async with httpx.AsyncClient(base_url=f"http://{address}", trust_env=False) as client:
                path = "/v1/chat/completions"
                whole = (await client.post(path, json=asked)).json()
                streamed = (await client.post(path, json={**asked, "stream": True})).text
                metrics = (await client.get("/metrics")).text
                listed = (await client.get("/v1/models")).json()
            nursery.cancel_scope.cancel()
        *events, end, rest = streamed.split("\n\n")
        assert (end, rest) == ("data: [DONE]", "")
        choices = [json.loads(item.removeprefix("data: "))["choices"][0] for item in events]
        text = "".join(choice["delta"]["content"] for choice in choices)
        assert text == whole["choices"][0]["message"]["content"]
        assert choices[-1]["finish_reason"] == "length"
        assert whole["usage"]["completion_tokens"] == 16
        assert "kv_cache_free_blocks 4096" in metrics
        assert listed["data"][0]["id"] == "small"


class TestCallerGone:
    async def test_run_ends_when_the_caller_goes_before_the_first_look_at_the_answer(self) -> None:
        """Engines would work on for nobody, and short requests would wait for them.

        The run is queued, the head of the answer goes out, the caller has gone; the request's
        tasks are cancelled before the answer's generator has begun.
        """
        model = EngineModel(FAST)
        app = make_engine_app(model)
        gone = trio.Event()
        body = json.dumps({"model": "small", "prompt": "x", "stream": True}).encode()
        messages = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive() -> dict[str, Any]:
            if messages:
                return messages.pop()
            await gone.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            assert message["type"] == "http.response.start"
            assert [stream.kind for stream in model.streams()] == ["run"]
            gone.set()
            await trio.sleep_forever()

        scope = {
            "type": "http",
            "http_version": "1.1",
            "method": "POST",
            "scheme": "http",
            "path": "/v1/completions",
            "raw_path": b"/v1/completions",
            "query_string": b"",
            "root_path": "",
            "headers": [(b"host", b"test")],
            "extensions": {},
        }
        with trio.fail_after(5):
            await app(scope, receive, send)  # type: ignore[arg-type]
        assert model.streams() == []


class TestProgram:
    async def test_sigterm_ends_the_process_cleanly(self) -> None:
        command = [sys.executable, "-m", "sassafrastally.testing.engine_server"]
        arguments = ["--listen", "127.0.0.1:0", "--blocks", "16"]
        process = await trio.lowlevel.open_process([*command, *arguments], stdout=subprocess.PIPE)
        assert process.stdout is not None
        try:
            with trio.fail_after(START_LIMIT_S):
                line = await process.stdout.receive_some()
                assert line.startswith(b"listening on 127.0.0.1:")
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
        finally:
            process.kill()
            await process.wait()
