"""Servers that send more than one response to a request."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from sassafrastally.stores.bounded_transport import BoundedTransport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"


def response(content: bytes) -> bytes:
    """Return a response that leaves the connection open."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content) + content


class Server:
    """Sends something before and after each response, which contains the requested path."""

    def __init__(self, before: bytes = b"", after: bytes = b"") -> None:
        self.connections = 0
        self._before = before
        self._after = after

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        async with stream:
            try:
                while request := await stream.receive_some():
                    path = request.split(b" ")[1]
                    await stream.send_all(self._before + response(path) + self._after)
            except trio.BrokenResourceError:
                return

    @asynccontextmanager
    async def client(self) -> AsyncIterator[httpx.AsyncClient]:
        """Serve on a free port; yield a client."""
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, self.handle, 0, host="127.0.0.1")
            [listener] = await nursery.start(serve)
            port = listener.socket.getsockname()[1]
            with trio.fail_after(30):
                async with httpx.AsyncClient(
                    base_url=f"http://127.0.0.1:{port}", transport=BoundedTransport()
                ) as client:
                    yield client
            nursery.cancel_scope.cancel()


class TestBytesAfterResponses:
    @pytest.mark.parametrize("after", [response(b"extra"), b"x", b"x" * 200_000])
    async def test_next_request_gets_its_own_response(self, after: bytes) -> None:
        """Guards against an extra response that passes for that of the next request, which may be
        another caller's."""
        async with Server(after=after).client() as client:
            for path in ("/first", "/second", "/third"):
                assert (await client.get(path)).text == path

    async def test_connection_without_them_is_kept(self) -> None:
        server = Server(before=INTERIM)
        async with server.client() as client:
            for path in ("/first", "/second", "/third"):
                assert (await client.get(path)).text == path
        assert server.connections == 1
