"""The end of a drain and of a shutdown that pass while the process doesn't run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio
import trio.testing
from quart_trio import QuartTrio

from sassafrastally.core import Address
from sassafrastally.entry.asgi import AsgiServer, ServerBounds
from sassafrastally.entry.http import HttpService
from sassafrastally.entry.settings import EntrySettings, HttpSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LAGS_S = [0.0, 0.01, 0.05, 0.25, 3.0]
"""How late the process runs after the limit."""

DRAIN_S = 1.0
BOUNDS = ServerBounds(close_limit_s=5.0)
HEAD = b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n"
BODY = b'{"model":"yeso-small","prompt":"A wall.","stream":true}'
COMPLETION = (
    b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
    b"Authorization: Bearer a-key-of-yeso-justo\r\nContent-Length: %d\r\n\r\n%b"
) % (len(BODY), BODY)


@pytest.fixture
def entry_settings() -> EntrySettings:
    return EntrySettings(routing_policy="round-robin", drain_s=DRAIN_S)


@pytest.fixture
def http_settings() -> HttpSettings:
    return HttpSettings(Address("127.0.0.1", 0))


@pytest.fixture
async def release() -> trio.Event:
    """Set when the handler may answer."""
    return trio.Event()


@pytest.fixture
async def server(nursery: trio.Nursery, release: trio.Event) -> AsyncIterator[AsgiServer]:
    app = QuartTrio("test")

    @app.route("/slow")
    async def slow() -> str:
        await release.wait()
        for _ in range(5):
            await trio.lowlevel.checkpoint()
        return "whole"

    served = AsgiServer(app, Address("127.0.0.1", 0), BOUNDS)
    await nursery.start(served.run)
    yield served
    nursery.cancel_scope.cancel()


async def read_until(stream: trio.SocketStream, end: bytes) -> bytes:
    """Read until the end is found or the connection is closed."""
    data = b""
    while end not in data and (part := await stream.receive_some()):
        data += part
    return data


class TestEndOfTheDrain:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_request_that_has_arrived_is_served(
        self, world: Any, mock_clock: trio.testing.MockClock, lag_s: float
    ) -> None:
        """Guards against a whole request whose connection is closed without an answer: it arrives
        in the drain time and the process runs again after it."""
        port = world.kernel.get("http", HttpService).bound_address.port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(HEAD % b"/readyz")
            assert (await read_until(stream, b"ready\n")).startswith(b"HTTP/1.1 200")
            world.kernel.request_stop()
            await trio.testing.wait_all_tasks_blocked()
            await stream.send_all(COMPLETION)
            mock_clock.jump(DRAIN_S + lag_s)
            mock_clock.rate = 1.0
            answer = await read_until(stream, b"data: [DONE]\n\n")
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"data: [DONE]\n\n" in answer


class TestClose:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_answer_that_is_ready_is_sent(
        self,
        server: AsgiServer,
        release: trio.Event,
        nursery: trio.Nursery,
        mock_clock: trio.testing.MockClock,
        lag_s: float,
    ) -> None:
        """Guards against a connection that is closed although its answer is ready."""
        port = server.bound_address.port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(HEAD % b"/slow")
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(server.close)
            await trio.testing.wait_all_tasks_blocked()
            release.set()
            mock_clock.jump(BOUNDS.close_limit_s + lag_s)
            assert (await read_until(stream, b"whole")).endswith(b"whole")

    async def test_connections_are_closed_at_the_limit(
        self, server: AsgiServer, nursery: trio.Nursery, mock_clock: trio.testing.MockClock
    ) -> None:
        async with await trio.open_tcp_stream("127.0.0.1", server.bound_address.port) as stream:
            await stream.send_all(HEAD % b"/slow")
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(server.close)
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.jump(BOUNDS.close_limit_s)
            assert await stream.receive_some() == b""
