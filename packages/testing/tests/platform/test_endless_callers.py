"""Callers that send bytes without end."""

from __future__ import annotations

from itertools import repeat

import pytest
import trio

from sassafrastally.proxy import caller_listener
from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.http_stream import RECEIVE_BYTES, HttpStream
from sassafrastally.stand_ins.documents import HOST_NAME

FIELDS = f"Host: {HOST_NAME}\r\nAuthorization: Bearer key-of-ana\r\n"
UNKNOWN = f"GET /nowhere HTTP/1.1\r\n{FIELDS}\r\n".encode()
CHUNKED = f"POST /look/x HTTP/1.1\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n".encode()


class CallerStream(trio.abc.Stream):
    """A caller's connection with given pieces; what is sent to the caller is kept."""

    def __init__(self, pieces, gap_s: float = 0.0) -> None:
        self.sent = bytearray()
        self.received_pieces = 0
        self._pieces = iter(pieces)
        self._gap_s = gap_s

    async def receive_some(self, max_bytes=None) -> bytes:
        await trio.lowlevel.checkpoint_if_cancelled()
        if self._gap_s:
            await trio.sleep(self._gap_s)
        self.received_pieces += 1
        # As with a socket, bytes that are there are returned also if the read is cancelled.
        await trio.lowlevel.cancel_shielded_checkpoint()
        return next(self._pieces, b"")

    async def send_all(self, data) -> None:
        await trio.lowlevel.checkpoint()
        self.sent += data

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


@pytest.fixture
def held_bytes(monkeypatch):
    """Return a list of the bytes that callers' connections hold after each read."""
    held = []

    class ObservedStream(HttpStream):
        async def receive_bytes(self) -> bool:
            is_open = await super().receive_bytes()
            held.append(len(self.http.trailing_data[0]))
            return is_open

    monkeypatch.setattr(caller_listener, "HttpStream", ObservedStream)
    return held


def listener(fleet) -> CallerListener:
    """Return the listener of the only entry."""
    return fleet.kernels[0].get("callers", CallerListener)


class TestPipelinedRequests:
    """Requests that are sent before the responses to earlier ones."""

    async def test_are_read_one_buffer_at_a_time(self, small_fleet, held_bytes):
        """Guards against an entry whose memory grows by a read for each pipelined request.

        A request takes a hundred bytes, and the watch for a disconnect read another 64 KB for each.
        """
        pieces = 8
        stream = CallerStream(repeat(UNKNOWN * (RECEIVE_BYTES // len(UNKNOWN)), pieces))
        await listener(small_fleet).serve(stream)
        assert stream.sent.count(b"HTTP/1.1 404") == pieces * (RECEIVE_BYTES // len(UNKNOWN))
        assert max(held_bytes) <= 2 * RECEIVE_BYTES
