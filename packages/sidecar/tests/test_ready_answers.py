"""Answers that lie ready when a time limit passes while the sidecar doesn't run."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.sidecar.engine import EngineChunk, EngineUsage
from sassafrastally.sidecar.plain_client import PlainClient, PlainMaybeRan
from sassafrastally.sidecar.settings import PlainServiceSettings

LIMIT_S = 60.0
LAGS_S = [0.0, 0.01, 0.05, 0.25, 3.0]
"""How late the process runs after the limit."""


class ReadyRun:
    """A run whose whole answer lies in the socket; reading each piece is a checkpoint."""

    status = 200
    content_type = "application/json"
    is_complete = True

    def __init__(self, pieces):
        self.usage = None
        self._pieces = list(pieces)

    def __aiter__(self):
        return self

    async def __anext__(self):
        await trio.lowlevel.checkpoint()
        if not self._pieces:
            self.usage = EngineUsage(16, 0, 8, "stop")
            raise StopAsyncIteration
        return self._pieces.pop(0)


class TestRun:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_of_the_engine_is_delivered(self, autojump_clock, rig, lag_s):
        """Guards against an engine's complete answer that is dropped for a limit found late."""

        @asynccontextmanager
        async def generate(request):
            autojump_clock.jump(LIMIT_S + lag_s)
            yield ReadyRun([EngineChunk(b"{}", 1)] * 3)

        rig.engine.generate = generate
        result = await rig.run(rig.reserve(1, time_limit_s=LIMIT_S))
        assert (result.end.outcome, result.end.code) == ("completed", "")
        assert result.tokens == 3

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_of_a_service_is_delivered(self, autojump_clock, make_rig, lag_s):
        """Guards against a booking that is confirmed by its service and reported as failed."""

        class Service:
            @asynccontextmanager
            async def call(self, method, path, headers, body, timeout_s):
                autojump_clock.jump(LIMIT_S + lag_s)
                yield ReadyRun([b'{"booked": ', b"true}"])

        own = (PlainServiceSettings("bookings", Address("10.0.0.1", 8080), max_concurrent=2),)
        rig = await make_rig(callers={"bookings": Service()}, services=own)
        operation = {"model": "", "service": "bookings", "operation": "POST /bookings"}
        result = await rig.run(rig.reserve(1, time_limit_s=LIMIT_S, **operation))
        assert result.end.outcome == "completed"
        assert b"".join(chunk.data for chunk in result.chunks) == b'{"booked": true}'


class TestPlainClient:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_is_read(self, mock_clock, nursery, lag_s):
        """Guards against an answer in the socket that counts as broken off."""
        body = b"ready" * 30_000  # Several reads.
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        async with _client_of(nursery, mock_clock, LIMIT_S + lag_s, answer) as client:
            async with client.call("GET", "/", {}, b"", LIMIT_S) as received:
                assert b"".join([piece async for piece in received]) == body
            assert received.is_complete

    async def test_limit_acts_on_an_answer_without_its_end(self, mock_clock, nursery):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nready"
        async with _client_of(nursery, mock_clock, LIMIT_S + 3.0, answer) as client:
            mock_clock.rate = 1.0
            with pytest.raises(PlainMaybeRan):
                async with client.call("GET", "/", {}, b"", LIMIT_S) as received:
                    async for _ in received:
                        pass


@asynccontextmanager
async def _client_of(nursery, clock, pause_s, answer):
    """Yield the client of a service that answers once, after which the process pauses."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

    async def serve():
        stream = await listeners[0].accept()
        await stream.receive_some()
        await trio.testing.wait_all_tasks_blocked()
        await stream.send_all(answer)
        clock.jump(pause_s)
        await trio.sleep_forever()

    nursery.start_soon(serve)
    client = PlainClient(Address(*listeners[0].socket.getsockname()))
    yield client
    await client.aclose()
    nursery.cancel_scope.cancel()
