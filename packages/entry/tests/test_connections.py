"""Connections with input that isn't HTTP/1.1, beside those of other callers."""

from __future__ import annotations

import os
import socket
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest
import trio
from quart import Response
from quart_trio import QuartTrio

from sassafrastally.core import Address
from sassafrastally.entry.asgi import AsgiServer, ServerBounds
from sassafrastally.entry.http11 import Http11Protocol
from sassafrastally.entry.idle_connections import FIRST_REQUEST_S, Connections, OpenConnection

if TYPE_CHECKING:
    import h11

PLAIN = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
UPGRADE = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: "
WEBSOCKET = (
    b"websocket\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\x04\0\0\0\0\0"
POST_OF_HTTP2 = b"\0\0\x06\x01\x04\0\0\0\x01" + b"\x83\x86\x84\x41\x01a"
DATA_OF_HTTP2 = b"\0\0\x05\0\0\0\0\0\x01" + b"words"
PRIORITIES_OF_HTTP2 = b"".join(
    b"\0\0\x05\x02\0" + stream_id.to_bytes(4, "big") + b"\0\0\0\0\x05"
    for stream_id in range(1, 2401, 2)
)
READ_LIMIT_S = 5.0


@pytest.fixture
def bounds() -> ServerBounds:
    return ServerBounds()


@pytest.fixture
def release() -> trio.Event:
    """Event for which slow requests wait."""
    return trio.Event()


@pytest.fixture
async def server(nursery: trio.Nursery, bounds: ServerBounds, release: trio.Event) -> AsgiServer:
    async def answer() -> Response:
        return Response(b"answer")

    async def answer_later() -> Response:
        await release.wait()
        return Response(b"answer")

    app = QuartTrio("connections")
    app.add_url_rule("/", "answer", answer, methods=["GET", "POST"])
    app.add_url_rule("/slow", "slow", answer_later)
    served = AsgiServer(app, Address("127.0.0.1", 0), bounds)
    await nursery.start(served.run)
    return served


async def read_until(stream: trio.SocketStream, mark: bytes) -> bytes:
    """Read up to a mark, or to the end of the connection."""
    received = b""
    with trio.fail_after(READ_LIMIT_S):
        while mark not in received:
            piece = await stream.receive_some()
            if not piece:
                break
            received += piece
    return received


async def answers(stream: trio.SocketStream) -> bool:
    """Return whether a plain request on a connection is answered."""
    await stream.send_all(PLAIN)
    return (await read_until(stream, b"answer")).startswith(b"HTTP/1.1 200 ")


class TestOtherProtocols:
    """Proposals of other protocols, which hypercorn would accept."""

    @pytest.mark.parametrize(
        "parts",
        [
            (UPGRADE + b"h2c\r\nHTTP2-Settings: AAAAA\r\n\r\n",),
            (UPGRADE + b"h2c\r\nHTTP2-Settings: AAIAAAAH\r\n\r\n",),
            (PREFACE + PRIORITIES_OF_HTTP2,),
            (PREFACE + POST_OF_HTTP2, DATA_OF_HTTP2),
            (UPGRADE + WEBSOCKET + b"\xff" * 100,),
        ],
        ids=["settings not base64", "bad settings", "many priorities", "late data", "websocket"],
    )
    async def test_malformed_input_of_one_connection_leaves_the_others_open(
        self, server: AsgiServer, parts: tuple[bytes, ...]
    ) -> None:
        """Guards against one caller's bytes that end the server and all requests in progress."""
        address = server.bound_address
        sound = await trio.open_tcp_stream(address.host, address.port)
        odd = await trio.open_tcp_stream(address.host, address.port)
        async with sound, odd:
            assert await answers(sound)
            for part in parts:
                await odd.send_all(part)
                # Time for the response to the part before.
                await trio.sleep(0.1)
            assert await answers(sound)
            async with await trio.open_tcp_stream(address.host, address.port) as later:
                assert await answers(later)

    @pytest.mark.parametrize("protocol", [b"h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n", WEBSOCKET])
    async def test_proposed_upgrade_is_answered_in_http11(
        self, server: AsgiServer, protocol: bytes
    ) -> None:
        """Guards against a caller that proposes another protocol and gets no answer."""
        async with await trio.open_tcp_stream(*server.bound_address) as stream:
            await stream.send_all(UPGRADE + protocol)
            assert (await read_until(stream, b"answer")).startswith(b"HTTP/1.1 200 ")
            assert await answers(stream)

    async def test_http2_is_refused_with_its_status(self, server: AsgiServer) -> None:
        """Guards against a refusal that a caller can't tell from a broken connection."""
        async with await trio.open_tcp_stream(*server.bound_address) as stream:
            await stream.send_all(PREFACE)
            assert (await read_until(stream, b"\r\n\r\n")).startswith(b"HTTP/1.1 505 ")
            assert await read_until(stream, b"never") == b""


class TestUnexpectedErrors:
    async def test_unexpected_error_of_one_connection_leaves_the_others_open(
        self,
        server: AsgiServer,
        monkeypatch: pytest.MonkeyPatch,
        capfd: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against the next error of the HTTP library that nobody expects: it would end the
        server and all requests in progress."""
        create_stream = Http11Protocol._create_stream

        async def fail(self: Http11Protocol, request: h11.Request) -> None:
            if request.target == b"/fail":
                raise RuntimeError("unexpected")
            await create_stream(self, request)

        monkeypatch.setattr(Http11Protocol, "_create_stream", fail)
        address = server.bound_address
        sound = await trio.open_tcp_stream(address.host, address.port)
        odd = await trio.open_tcp_stream(address.host, address.port)
        async with sound, odd:
            assert await answers(sound)
            await odd.send_all(PLAIN.replace(b"/", b"/fail", 1))
            assert await read_until(odd, b"never") == b""
            assert await answers(sound)
        assert "closed by an unexpected error" in capfd.readouterr().err


class TestNumber:
    MAX_CONNECTIONS = 4

    @pytest.fixture
    def bounds(self) -> ServerBounds:
        return ServerBounds(max_connections=self.MAX_CONNECTIONS)

    async def test_longest_idle_one_gives_way(self, server: AsgiServer) -> None:
        """Guards against connections with half a header, or none, that take all memory or all file
        descriptors: the entry could neither accept callers nor reach sidecars."""
        address = server.bound_address
        async with AsyncExitStack() as stack:

            async def connect() -> trio.SocketStream:
                stream = await trio.open_tcp_stream(address.host, address.port)
                return await stack.enter_async_context(stream)

            sound = await connect()
            assert await answers(sound)
            silent = [await connect() for _ in range(self.MAX_CONNECTIONS - 1)]
            for stream in silent:
                await stream.send_all(PLAIN[:-4])
            # Time for the server to accept them.
            await trio.sleep(0.1)
            assert await answers(sound)
            for stream in silent:
                assert await answers(await connect())
                assert await read_until(stream, b"never") == b""
            assert await answers(await connect())

    async def test_request_in_progress_does_not_give_way(
        self, server: AsgiServer, release: trio.Event
    ) -> None:
        """Guards against cutting a request for a connection that may never send one."""
        address = server.bound_address
        async with AsyncExitStack() as stack:
            busy = [
                await stack.enter_async_context(
                    await trio.open_tcp_stream(address.host, address.port)
                )
                for _ in range(self.MAX_CONNECTIONS)
            ]
            for stream in busy:
                await stream.send_all(PLAIN.replace(b"/", b"/slow", 1))
            await trio.sleep(0.1)
            async with await trio.open_tcp_stream(address.host, address.port) as further:
                assert await read_until(further, b"never") == b""
            release.set()
            for stream in busy:
                assert (await read_until(stream, b"answer")).startswith(b"HTTP/1.1 200 ")

    async def test_flood_of_requests_keeps_to_the_bound(
        self, server: AsgiServer, release: trio.Event
    ) -> None:
        """Guards against requests that take all descriptors, as each is served whose connection
        came with it, and against a reset of those that have arrived."""
        callers = []
        for count in (self.MAX_CONNECTIONS + 1, 40):
            for _ in range(count):
                callers.append(socket.create_connection(server.bound_address))
                callers[-1].sendall(PLAIN.replace(b"/", b"/slow", 1))
            # Time for the server to accept them.
            await trio.sleep(0.2)
        release.set()
        heads = []
        for caller in callers:
            caller.setblocking(False)
            async with trio.SocketStream(trio.socket.from_stdlib_socket(caller)) as stream:
                heads.append((await read_until(stream, b"\r\n\r\n"))[9:12])
        assert heads == [b"200"] * (self.MAX_CONNECTIONS + 1) + [b"503"] * 40

    async def test_request_that_arrives_before_the_close_is_answered(
        self, server: AsgiServer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a look for input some time before the connection is closed."""
        address = server.bound_address
        add = Connections.add
        async with AsyncExitStack() as stack:
            idle = [
                await stack.enter_async_context(await trio.open_tcp_stream(*address))
                for _ in range(self.MAX_CONNECTIONS)
            ]
            await trio.sleep(FIRST_REQUEST_S)
            late = socket.socket(fileno=os.dup(idle[0].socket.fileno()))

            def add_and_send(connections: Connections, added: OpenConnection) -> None:
                add(connections, added)
                late.sendall(PLAIN)

            monkeypatch.setattr(Connections, "add", add_and_send)
            with late:
                further = await trio.open_tcp_stream(*address)
                await stack.enter_async_context(further)
                assert await answers(further)
            assert (await read_until(idle[0], b"answer")).startswith(b"HTTP/1.1 200 ")

    async def test_new_caller_is_answered_although_all_others_have_requests(
        self, server: AsgiServer, release: trio.Event
    ) -> None:
        """Guards against a new caller that is reset while its first request is on its way, and
        can't know whether that has run."""
        address = server.bound_address
        async with AsyncExitStack() as stack:
            for _ in range(self.MAX_CONNECTIONS):
                busy = await trio.open_tcp_stream(*address)
                await stack.enter_async_context(busy)
                await busy.send_all(PLAIN.replace(b"/", b"/slow", 1))
            await trio.sleep(0.1)
            further = await trio.open_tcp_stream(*address)
            await stack.enter_async_context(further)
            await trio.sleep(FIRST_REQUEST_S / 3)
            assert await answers(further)
            release.set()

    async def test_request_that_has_arrived_does_not_give_way(self, server: AsgiServer) -> None:
        """Guards against connections that are closed with a whole request unread: many are accepted
        in one turn of the event loop, before any of them is read."""
        address = server.bound_address
        clients = []
        for _ in range(5 * self.MAX_CONNECTIONS):
            client = socket.create_connection((address.host, address.port))
            client.sendall(PLAIN)
            client.setblocking(False)
            clients.append(trio.SocketStream(trio.socket.from_stdlib_socket(client)))
        async with AsyncExitStack() as stack:
            for client in clients:
                await stack.enter_async_context(client)
            for client in clients:
                assert (await read_until(client, b"answer")).startswith(b"HTTP/1.1 200 ")

    async def test_request_that_is_just_being_read_does_not_give_way(
        self, server: AsgiServer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a close in the turn of the event loop in which a request has left the
        socket, but hasn't reached the reading task."""
        add = Connections.add

        def add_and_close(connections: Connections, added: OpenConnection) -> None:
            add(connections, added)
            added.give_way(0.0)

        monkeypatch.setattr(Connections, "add", add_and_close)
        for _ in range(20):
            with socket.create_connection(tuple(server.bound_address)) as client:
                client.sendall(PLAIN)
                client.setblocking(False)
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(client))
                assert (await read_until(stream, b"answer")).startswith(b"HTTP/1.1 200 ")

    async def test_closed_ones_are_reported(self, nursery: trio.Nursery) -> None:
        """Guards against callers' connections that are closed without a line in the log."""
        reported: list[bool] = []
        bounds = ServerBounds(max_connections=1)
        address = Address("127.0.0.1", 0)
        server = AsgiServer(QuartTrio("log"), address, bounds, on_gave_way=reported.append)
        await nursery.start(server.run)
        async with AsyncExitStack() as stack:
            for data in (PLAIN[:-4], b"", b""):
                stream = await trio.open_tcp_stream(*server.bound_address)
                await stack.enter_async_context(stream)
                await stream.send_all(data)
                await trio.sleep(FIRST_REQUEST_S / 3)
            assert await read_until(stream, b"never") == b""
        assert reported == [False, True]
