"""Responses to callers."""

from __future__ import annotations

import h11
import pytest
import trio

from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.reply import Reply


class RecordedStream(HttpStream):
    """A connection that records whether closing it would reset it."""

    is_reset_on_close = False

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Record the choice."""
        self.is_reset_on_close = is_reset


@pytest.fixture
async def connection():
    """A connection whose caller with HTTP/1.0 has sent a request."""
    ours, _ = trio.testing.memory_stream_pair()
    stream = RecordedStream(ours, h11.SERVER)
    stream.http.receive_data(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n")
    for _ in range(2):
        await stream.receive()
    return stream


class TestEndOfConnection:
    """Responses whose end is that of their connection."""

    async def test_failure_in_place_of_a_stream_isnt_reset(self, connection):
        """Guards against a failure whose last bytes a reset takes from the caller, since the header
        of a stream was to come before it."""
        reply = Reply(connection, lambda: False)
        await reply.begin(200, [])
        await reply.send_complete(504, [], b"late")
        assert reply.has_ended
        assert not connection.is_reset_on_close

    async def test_stream_is_reset_until_its_end_is_sent(self, connection):
        """Guards against a part of a stream that looks complete."""
        reply = Reply(connection, lambda: False)
        await reply.begin(200, [])
        await reply.send(b"data: x\n\n")
        assert connection.is_reset_on_close
        await reply.end()
        assert not connection.is_reset_on_close

    async def test_kept_rest_is_reset_until_it_is_sent(self, connection):
        """Guards against a stream that looks complete although its caller took only a part of what
        was kept for it."""
        reply = Reply(connection, lambda: False)
        reply.keep_rest(200, [], b"data: x\n\n")
        assert connection.is_reset_on_close
        await reply.send_rest()
        assert not connection.is_reset_on_close
