"""Tests of the shared HTTP serving."""

from __future__ import annotations

import pytest
import trio
from quart_trio import QuartTrio

from sassafrastally.core import Address
from sassafrastally.testing import http_serving
from sassafrastally.testing.http_serving import serve_app


class TestUnreadAnswer:
    async def test_a_client_that_reads_nothing_does_not_hold_the_server(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An operator would stop a server that never ends; the engine would work on for nobody.

        A client asks for a long answer and reads none of it, the buffers fill, and the server's
        task is stuck in a send that can't be cancelled.
        """
        bounds = http_serving.BOUNDS._replace(unread_limit_s=0.5)
        monkeypatch.setattr(http_serving, "BOUNDS", bounds)
        app = QuartTrio(__name__)
        left = trio.Event()

        @app.get("/endless")
        async def endless() -> object:
            async def parts() -> object:
                try:
                    while True:
                        yield bytes(65536)
                finally:
                    left.set()

            return parts(), 200

        async with trio.open_nursery() as nursery:
            address: Address = await nursery.start(serve_app, app, Address("127.0.0.1", 0))
            stream = await trio.open_tcp_stream(*address)
            await stream.send_all(b"GET /endless HTTP/1.1\r\nHost: test\r\n\r\n")
            with trio.move_on_after(5):
                await left.wait()
            has_left = left.is_set()
            await stream.aclose()  # Ends the server also where the guard is missing.
            nursery.cancel_scope.cancel()
        assert has_left


class TestConnectionClose:
    @pytest.mark.parametrize("path", ["/whole", "/streamed"])
    async def test_the_connection_ends_with_the_answer(self, path: str) -> None:
        """A caller's program that reads to the end of the connection would hang.

        It sends ``Connection: close`` and gets its whole answer; then the request's tasks are
        cancelled while one of them is closing the connection, which stays open.
        """
        app = QuartTrio(__name__)

        @app.get("/whole")
        async def whole() -> str:
            return "done"

        @app.get("/streamed")
        async def streamed() -> object:
            async def parts() -> object:
                yield b"do"
                yield b"ne"

            return parts(), 200

        received = b""
        async with trio.open_nursery() as nursery:
            address: Address = await nursery.start(serve_app, app, Address("127.0.0.1", 0))
            stream = await trio.open_tcp_stream(*address)
            head = f"GET {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"
            await stream.send_all(head.encode())
            with trio.fail_after(2):
                async for data in stream:
                    received += data
            await stream.aclose()
            nursery.cancel_scope.cancel()
        assert received.startswith(b"HTTP/1.1 200")
        assert b"do" in received
