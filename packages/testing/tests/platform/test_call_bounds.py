"""Calls to a party whose response doesn't end."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from itertools import chain, repeat

import h11
import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy import calls
from sassafrastally.proxy.calls import CallClient, ResponseBounds, ResponseTooLarge
from sassafrastally.proxy.http_stream import RECEIVE_BYTES
from sassafrastally.proxy.input_limits import MAX_READ_EVENTS
from sassafrastally.proxy.store import AnswerLost

BOUNDS = ResponseBounds(size_bytes=200_000, time_s=2.0)
TIME_LIMIT_S = 0.4

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"

ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"x-filler: 0123456789\r\n"),
    "head line": (b"HTTP/1.1 200 OK\r\nx-filler: ", b"0123456789"),
    "interim responses": (b"", INTERIM),
    "chunked body": (CHUNKED_HEAD, b"10\r\n0123456789abcdef\r\n"),
    "tiny chunks": (CHUNKED_HEAD, b"1\r\nx\r\n"),
    "chunk extensions": (CHUNKED_HEAD, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
    "chunk of any length": (CHUNKED_HEAD + b"ffffffffff\r\n", b"0123456789"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"x-filler: 0123456789\r\n"),
    "declared body": (b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", b"0123456789"),
    "body until the connection closes": (b"HTTP/1.1 200 OK\r\n\r\n", b"0123456789"),
}
"""Beginning of each response, and what follows again and again."""


class EndlessStream(trio.abc.Stream):
    """A connection on which bytes arrive without end.

    Parameters
    ----------
    begin, unit
        The first bytes, and what is repeated after them.
    piece_bytes
        Number of bytes that arrive together.
    gap_s
        Time between two pieces.
    """

    MAX_RECEIVED_BYTES = 20_000_000

    def __init__(self, begin: bytes, unit: bytes, piece_bytes: int, gap_s: float = 0.0) -> None:
        self.received_bytes = 0
        self.is_closed = False
        self._pieces = chain([begin], repeat(unit * max(1, piece_bytes // len(unit))))
        self._gap_s = gap_s

    async def receive_some(self, max_bytes=None) -> bytes:
        await trio.sleep(self._gap_s)
        piece = next(self._pieces) or next(self._pieces)
        assert max_bytes is None or len(piece) <= max_bytes
        self.received_bytes += len(piece)
        assert self.received_bytes < self.MAX_RECEIVED_BYTES, "the response is read without a bound"
        return piece

    async def send_all(self, data) -> None:
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        self.is_closed = True
        await trio.lowlevel.checkpoint()


@pytest.fixture
def connect_to(monkeypatch):
    """Return a function that makes the next connections of a client use a stream."""

    def use(stream: trio.abc.Stream) -> CallClient:
        async def connect(address, time_limit_s):
            await trio.lowlevel.checkpoint()
            return stream

        monkeypatch.setattr(calls, "connect", connect)
        return CallClient(Address("127.0.0.1", 1))

    return use


def outcome(place: str) -> AbstractContextManager[object]:
    """Return the context of a call: a body is complete without its trailers, nothing else is."""
    return nullcontext() if place == "trailers" else pytest.raises(AnswerLost)


@pytest.mark.parametrize("place", ENDLESS)
class TestEndlessResponse:
    """Bytes without end, in each place of a response."""

    async def test_at_full_speed_ends_at_the_bound_in_bytes(self, place, connect_to):
        """Guards against reading hundreds of megabytes until the time limit of the call."""
        stream = EndlessStream(*ENDLESS[place], RECEIVE_BYTES)
        client = connect_to(stream)
        with outcome(place):
            await client.exchange("GET", "/", [], b"", TIME_LIMIT_S, BOUNDS)
        assert stream.received_bytes <= BOUNDS.size_bytes + RECEIVE_BYTES
        assert stream.is_closed

    async def test_in_small_pieces_ends_at_the_time_limit(self, place, connect_to, autojump_clock):
        """Guards against a time limit that each received piece restarts."""
        stream = EndlessStream(*ENDLESS[place], piece_bytes=20, gap_s=0.05)
        client = connect_to(stream)
        begin_s = trio.current_time()
        with outcome(place):
            await client.exchange("GET", "/", [], b"", TIME_LIMIT_S, BOUNDS)
        assert trio.current_time() - begin_s <= BOUNDS.time_s + 0.2
        assert stream.is_closed


class TestOtherTasks:
    """What else runs while a response is read."""

    async def test_run_between_tiny_chunks_of_one_piece(self, connect_to):
        """Guards against ten thousand chunks of one piece that are parsed without a checkpoint."""
        stream = EndlessStream(*ENDLESS["tiny chunks"], RECEIVE_BYTES)
        client = connect_to(stream)
        events_between: list[int] = []
        events = 0
        next_event = h11.Connection.next_event

        def count(connection):
            nonlocal events
            events += 1
            return next_event(connection)

        async def note_turns() -> None:
            nonlocal events
            while True:
                events_between.append(events)
                events = 0
                await trio.lowlevel.checkpoint()

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(h11.Connection, "next_event", count)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(note_turns)
                with pytest.raises(AnswerLost):
                    await client.exchange("GET", "/", [], b"", TIME_LIMIT_S, BOUNDS)
                nursery.cancel_scope.cancel()
        assert max(events_between) <= 2 * MAX_READ_EVENTS

    async def test_response_over_the_bound_has_an_error_of_its_own(self, connect_to):
        client = connect_to(EndlessStream(*ENDLESS["declared body"], RECEIVE_BYTES))
        with pytest.raises(ResponseTooLarge, match="200000 bytes"):
            await client.exchange("GET", "/", [], b"", TIME_LIMIT_S, BOUNDS)
