"""Callers of an entry that has little CPU time."""

from __future__ import annotations

import socket
import time
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio
from quart import request
from quart_trio import QuartTrio

from sassafrastally.core import Address
from sassafrastally.entry import http_connection
from sassafrastally.entry.asgi import AsgiServer, ServerBounds

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_CONNECTIONS = 1
TURN_S = 0.05
"""How long each turn of the entry's event loop takes."""

BODY_BYTES = 6_000_000
HEAD = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture
async def server(nursery: trio.Nursery) -> AsyncIterator[AsgiServer]:
    app = QuartTrio("test")

    @app.route("/refused", methods=["POST"])
    async def refused() -> tuple[str, int]:
        return "too large", 413

    @app.route("/body", methods=["POST"])
    async def body() -> str:
        await request.get_data()
        return "whole"

    @app.route("/held", methods=["GET"])
    async def held() -> str:
        await trio.sleep_forever()
        return ""

    served = AsgiServer(app, Address("127.0.0.1", 0), ServerBounds(max_connections=MAX_CONNECTIONS))
    await nursery.start(served.run)
    yield served
    nursery.cancel_scope.cancel()


async def take_cpu_time() -> None:
    """Leave the event loop a turn each `TURN_S`."""
    while True:
        time.sleep(TURN_S)
        await trio.lowlevel.checkpoint()


def begin_request(address: Address, target: bytes) -> socket.socket:
    """Return a connection on which the header of a request is sent.

    Called in the thread of the event loop, it leaves the entry no turn between the connect and the
    header.
    """
    caller = socket.create_connection((address.host, address.port), timeout=20.0)
    caller.sendall(HEAD % (target, BODY_BYTES))
    return caller


def hand_over(caller: socket.socket) -> bytes:
    """Send the body at once, then return the response."""
    with caller:
        caller.sendall(bytes(BODY_BYTES))
        response = b""
        while part := caller.recv(65_536):
            response += part
        return response


class TestRefusedUpload:
    async def test_response_arrives_although_the_entry_is_slow(
        self, server: AsgiServer, nursery: trio.Nursery
    ) -> None:
        """Guards against a refusal that is lost with its connection, which is closed while the body
        still waits for the entry: its caller gets a reset and can't tell whether it ran."""
        nursery.start_soon(take_cpu_time)
        send = partial(hand_over, begin_request(server.bound_address, b"refused"))
        with trio.fail_after(20):
            response = await trio.to_thread.run_sync(send)
        assert response.startswith(b"HTTP/1.1 413")
        assert response.endswith(b"too large")

    @pytest.mark.parametrize("pause_s", [0.05, 60.0])
    async def test_caller_that_sends_slowly_is_cut_soon(
        self, server: AsgiServer, monkeypatch: pytest.MonkeyPatch, pause_s: float
    ) -> None:
        monkeypatch.setattr(http_connection, "LINGER_S", 0.3)
        address = server.bound_address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(HEAD % (b"refused", BODY_BYTES))
            start_s = trio.current_time()
            while await stream.receive_some():
                pass
            is_open = server._config.connections.__len__
            assert is_open()
            while is_open() and trio.current_time() - start_s < 5.0:
                with trio.move_on_after(pause_s):
                    while is_open():
                        await trio.sleep(0.01)
                with suppress(trio.BrokenResourceError):
                    await stream.send_all(b"x")
        assert trio.current_time() - start_s < 2.0


class TestRefusedConnection:
    async def test_refusal_arrives_although_the_entry_is_slow(
        self, server: AsgiServer, nursery: trio.Nursery
    ) -> None:
        """Guards against a refusal beyond the bound of connections that is lost, since its
        connection is closed while the body still waits for the entry."""
        address = server.bound_address
        async with AsyncExitStack() as stack:
            # One connection beyond the bound is kept for its first request.
            for _ in range(MAX_CONNECTIONS + 1):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stack.enter_async_context(stream)
                await stream.send_all(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
            await trio.sleep(0.1)
            nursery.start_soon(take_cpu_time)
            # An empty connection beyond the bound is closed unread, and gets no refusal.
            send = partial(hand_over, begin_request(address, b"refused"))
            with trio.fail_after(20):
                response = await trio.to_thread.run_sync(send)
        assert response.startswith(b"HTTP/1.1 503")
        assert response.endswith(b"has not run.\r\n")
