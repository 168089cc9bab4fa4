"""Servers that send more than one response to a request, or break one off."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from sassafrastally.stores.bounded_transport import BoundedTransport
from sassafrastally.stores.http_connection import MAX_INTERIM_RESPONSES

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


class TestInterimResponses:
    async def test_response_after_too_many_is_not_read(self) -> None:
        """Guards against interim responses without end: they are read until the time limit of the
        call, thousands of them in a step without other tasks."""
        async with Server(before=INTERIM * MAX_INTERIM_RESPONSES).client() as client:
            assert (await client.get("/sound")).text == "/sound"
        async with Server(before=INTERIM * (MAX_INTERIM_RESPONSES + 1)).client() as client:
            with pytest.raises(httpx.RemoteProtocolError, match="too many interim responses"):
                await client.get("/endless")

    async def test_bound_counts_for_each_response_alone(self) -> None:
        """Guards against a kept connection that ends after some sound responses."""
        server = Server(before=INTERIM * MAX_INTERIM_RESPONSES)
        async with server.client() as client:
            for path in ("/first", "/second", "/third"):
                assert (await client.get(path)).text == path
        assert server.connections == 1


class TestHeads:
    async def test_head_without_end_is_bounded(self) -> None:
        """Guards against many connections that each hold a large head."""
        head = b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 8_000

        async def handle(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some()
                await stream.send_all(head)
                await stream.receive_some()

        server = Server()
        server.handle = handle  # type: ignore[method-assign]
        async with server.client() as client:
            with trio.fail_after(5), pytest.raises(httpx.RemoteProtocolError, match="too long"):
                await client.get("/endless")


class TestEarlyResponses:
    """Responses from a server that closes without reading its long request, which is a reset."""

    async def _post(self, answer: bytes) -> str | None:
        """Send a long request; return the text of the response, or ``None`` if it is broken."""

        async def handle(stream: trio.SocketStream) -> None:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            async with stream:
                await stream.receive_some(1)
                await stream.send_all(answer)

        server = Server()
        server.handle = handle  # type: ignore[method-assign]
        async with server.client() as client:
            try:
                return (await client.post("/", content=b"x" * 8_000_000)).text
            except httpx.RemoteProtocolError:
                return None

    @pytest.mark.parametrize("content", [b"", b"part"])
    async def test_without_length_is_not_whole(self, content: bytes) -> None:
        """Guards against a reset that passes for the end of a body: the failed write takes the
        reset from the operating system, and the next read returns the end of the stream."""
        assert await self._post(b"HTTP/1.1 200 OK\r\n\r\n" + content) is None

    async def test_with_an_end_of_its_own_is_read(self) -> None:
        """Guards against the loss of a whole response because its request couldn't be sent."""
        assert await self._post(response(b"whole")) == "whole"
