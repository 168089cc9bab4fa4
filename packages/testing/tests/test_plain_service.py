"""Tests of the plain service's stand-in and of the sidecar's client against it."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.sidecar.plain_client import PlainClient, PlainMaybeRan, PlainNotSent
from sassafrastally.testing.plain_service import PlainService, serve_plain

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

BODY = b'{"marker": "house-7"}'


@asynccontextmanager
async def serving(service: PlainService) -> AsyncIterator[PlainClient]:
    async with trio.open_nursery() as nursery:
        client = PlainClient(await nursery.start(serve_plain, service, Address("127.0.0.1", 0)))
        yield client
        await client.aclose()
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def raw_service(answer: bytes) -> AsyncIterator[PlainClient]:
    """Send fixed bytes on each connection, then close it."""

    async def handle(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(answer)
            await stream.send_eof()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        yield PlainClient(Address(*listeners[0].socket.getsockname()))
        nursery.cancel_scope.cancel()


async def is_complete(answer: bytes) -> bool:
    """Return whether the client takes a service's bytes for a complete answer."""
    async with (
        raw_service(answer) as client,
        client.call("GET", "/events", {}, b"", 5.0) as received,
    ):
        async for _ in received:
            pass
        return received.is_complete


async def book(client: PlainClient, timeout_s: float = 5.0) -> bytes:
    async with client.call("POST", "/book", {}, BODY, timeout_s) as answer:
        assert answer.status == 200
        assert answer.content_type == "application/json"
        content = b"".join([piece async for piece in answer])
        assert answer.is_complete
    return content


class TestOutcomes:
    async def test_complete_answer_ran_once(self) -> None:
        service = PlainService()
        async with serving(service) as client:
            assert b"house-7" in await book(client)
        assert dict(service.executions) == {"house-7": 1}

    async def test_nobody_listening_is_not_sent(self) -> None:
        with socket.socket() as bound:  # Bound but not listening: connections are refused.
            bound.bind(("127.0.0.1", 0))
            client = PlainClient(Address(*bound.getsockname()))
            with pytest.raises(PlainNotSent):
                await book(client)

    async def test_answer_broken_off_may_have_run(self) -> None:
        """A crew leader would see half a confirmation taken for a whole one.

        The service books, sends the first part of its answer and dies.
        """
        service = PlainService()
        service.break_next()
        async with serving(service) as client:
            with pytest.raises(PlainMaybeRan):
                await book(client)
        assert service.executions["house-7"] == 1

    async def test_answer_lost_may_have_run_and_the_time_limit_holds(self) -> None:
        """A citizen would be told that nothing was booked while a crew is on its way.

        The service books and never answers; the caller's time is over.
        """
        service = PlainService()
        service.lose_next()
        async with serving(service) as client:
            with trio.fail_after(3), pytest.raises(PlainMaybeRan):
                await book(client, timeout_s=0.3)
        assert service.executions["house-7"] == 1


class TestAnswersWithoutFraming:
    """Answers with neither a length nor chunks, which end with their connection."""

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n"
    EVENTS = HEAD % b"text/event-stream; charset=utf-8" + b"id: 1\r\ndata: x\r\n\r\n"

    @pytest.mark.parametrize("rest", [b"id: 2", b"id: 2\r\n", b": c\ndata: y\n"])
    async def test_stream_that_ends_inside_an_event_is_not_complete(self, rest: bytes) -> None:
        """Guards against passing on a stream as complete whose service died."""
        assert not await is_complete(self.EVENTS + rest)

    @pytest.mark.parametrize("rest", [b"", b": comment\r\n", b"id: 2\rdata: y\r\r"])
    async def test_stream_that_ends_after_an_event_is_complete(self, rest: bytes) -> None:
        assert await is_complete(self.EVENTS + rest)

    @pytest.mark.parametrize("body", [b"id: 2", b"x" * 3_000_000])
    async def test_body_of_another_type_is_complete(self, body: bytes) -> None:
        assert await is_complete(self.HEAD % b"application/octet-stream" + body)

    async def test_event_beyond_the_maximum_size_is_passed_on(self) -> None:
        assert await is_complete(self.EVENTS + b"data: " + b"x" * 3_000_000 + b"\n\n")
