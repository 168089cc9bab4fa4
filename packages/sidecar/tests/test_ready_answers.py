"""Answers that lie ready when a time limit passes while the sidecar doesn't run."""

from __future__ import annotations

import os
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.sidecar.dialects import CALL_LIMIT_S, OpenAiDialect
from sassafrastally.sidecar.engine import EngineChunk, EngineFailed, EngineUsage
from sassafrastally.sidecar.plain import PlainBackend
from sassafrastally.sidecar.plain_client import PlainClient, PlainMaybeRan, PlainNotSent
from sassafrastally.sidecar.queue import WorkQueue
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


class TestWorkPastTheLimit:
    """An attempt's turn comes while the limit that passed in a pause acts."""

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_run_is_not_started(self, autojump_clock, rig, monkeypatch, lag_s):
        """Guards against a prompt that is computed past its limit and reported as failed."""
        _pause_after(monkeypatch, WorkQueue, "wait_turn", autojump_clock, LIMIT_S + lag_s)
        result = await rig.run(rig.reserve(1, time_limit_s=LIMIT_S))
        assert (result.end.outcome, result.end.code) == ("not_run", "time-limit-passed")
        assert not rig.executions(1)
        rig.check_memory()

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_call_is_not_sent(self, autojump_clock, make_rig, monkeypatch, lag_s):
        """Guards against a booking that is made past its limit and reported as unknown."""
        called = []

        class Service:
            @asynccontextmanager
            async def call(self, *arguments):
                called.append(arguments)
                await trio.sleep_forever()
                yield

        _pause_after(monkeypatch, PlainBackend, "_wait_turn", autojump_clock, LIMIT_S + lag_s)
        own = (PlainServiceSettings("bookings", Address("10.0.0.1", 8080), max_concurrent=2),)
        rig = await make_rig(callers={"bookings": Service()}, services=own)
        operation = {"model": "", "service": "bookings", "operation": "POST /bookings"}
        result = await rig.run(rig.reserve(1, time_limit_s=LIMIT_S, **operation))
        assert (result.end.outcome, result.end.code) == ("not_run", "time-limit-passed")
        assert not called


class TestEngineWatch:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_engine_that_has_answered_is_not_lost(self, autojump_clock, rig, lag_s):
        """Guards against a sound engine that is taken for unreachable after a pause: its exported
        segments are given up and new requests refused."""
        limit_s = rig.service._settings.cancel_limit_s
        describe = rig.engine.describe

        async def ready_description():
            info = await describe()
            autojump_clock.jump(limit_s + lag_s)
            for _ in range(3):
                await trio.lowlevel.checkpoint()
            return info

        rig.engine.describe = ready_description
        await rig.service.watch.look()
        assert not rig.kernel.events.records({"detail": "no answer in time"})
        assert rig.service.watch.info is not None


class TestEngineCall:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_is_read(self, mock_clock, nursery, lag_s):
        """Guards against an engine's answer in the socket that counts as missing."""
        document = b'{"found": true, "padding": "%b"}' % (b"x" * 90_000)  # Two reads.
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(document), document)
        address = await _serve_once(nursery, mock_clock, CALL_LIMIT_S + lag_s, answer)
        dialect = OpenAiDialect(address)
        assert await dialect.cancel("stream-1")
        await dialect.aclose()
        nursery.cancel_scope.cancel()

    async def test_limit_acts_on_an_answer_without_its_end(self, mock_clock, nursery):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"
        mock_clock.rate = 1.0
        address = await _serve_once(nursery, mock_clock, CALL_LIMIT_S + 3.0, answer)
        dialect = OpenAiDialect(address)
        with pytest.raises(EngineFailed):
            await dialect.cancel("stream-1")
        await dialect.aclose()
        nursery.cancel_scope.cancel()


class TestPlainClient:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_is_read(self, mock_clock, nursery, lag_s):
        """Guards against an answer in the socket that counts as broken off."""
        body = b"ready" * 18_000  # Two reads.
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

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_call_is_not_sent_past_its_limit(self, mock_clock, nursery, monkeypatch, lag_s):
        """Guards against a booking that is sent past its limit, over a connection that was opened
        before a pause, and reported as unknown."""
        received = bytearray()

        async def serve(stream):
            async for data in stream:
                received.extend(data)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        _pause_after(monkeypatch, trio, "open_tcp_stream", mock_clock, LIMIT_S + lag_s)
        mock_clock.rate = 0.1  # A limit that acts 0.1 s late leaves the call time to be sent.
        client = PlainClient(Address(*listeners[0].socket.getsockname()))
        with pytest.raises(PlainNotSent):
            async with client.call("POST", "/bookings", {}, b"{}", LIMIT_S) as answer:
                async for _ in answer:
                    pass
        await trio.testing.wait_all_tasks_blocked(cushion=0.02)
        assert not received
        await client.aclose()
        nursery.cancel_scope.cancel()


def _pause_after(monkeypatch, owner, name, clock, pause_s):
    """Let the process pause each time a function has returned."""
    function = getattr(owner, name)

    async def pausing(*arguments, **options):
        result = await function(*arguments, **options)
        clock.jump(pause_s)
        return result

    monkeypatch.setattr(owner, name, pausing)


@asynccontextmanager
async def _client_of(nursery, clock, pause_s, answer):
    """Yield the client of a service that answers once, after which the process pauses."""
    client = PlainClient(await _serve_once(nursery, clock, pause_s, answer))
    yield client
    await client.aclose()
    nursery.cancel_scope.cancel()


async def _serve_once(nursery, clock, pause_s, answer):
    """Answer one call, after which the process pauses; return the address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

    async def serve():
        stream = await listeners[0].accept()
        await stream.receive_some()
        await trio.testing.wait_all_tasks_blocked()
        # Sent without a checkpoint, so that nothing is read before the pause.
        assert os.write(stream.socket.fileno(), answer) == len(answer)
        clock.jump(pause_s)
        await trio.sleep_forever()

    nursery.start_soon(serve)
    return Address(*listeners[0].socket.getsockname())
