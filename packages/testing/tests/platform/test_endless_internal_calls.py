"""Clients of the internal ports that send bytes without end, or keep many connections open."""

from __future__ import annotations

import socket

import pytest
import trio
import trio.testing

from sassafrastally.proxy import peers
from sassafrastally.proxy.http_stream import RECEIVE_BYTES
from sassafrastally.proxy.internal_endpoints import (
    IDLE_TIME_S,
    MAX_REQUEST_BYTES,
    REQUEST_TIME_S,
    Endpoint,
    make_connections,
)

from .test_call_bounds import EndlessStream

HEAD = b"GET /readyz HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
REQUEST = HEAD + b"\r\n"

ENDLESS = {
    "head": (HEAD, b"x-filler: 0123456789\r\n"),
    "body": (HEAD + b"content-length: 99999999999\r\n\r\n", b"0123456789"),
    "tiny chunks": (CHUNKED, b"1\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"x-filler: 0123456789\r\n"),
}


def ready(_target: str) -> tuple[int, bytes]:
    """Handle a readiness check."""
    return 200, b"serving"


@pytest.mark.parametrize("place", ENDLESS)
class TestEndlessRequest:
    """Bytes without end, in each place of a request."""

    async def test_at_full_speed_ends_at_the_bound_in_bytes(self, place):
        """Guards against a client that keeps an entry at reading its body for half a minute."""
        stream = EndlessStream(*ENDLESS[place], RECEIVE_BYTES)
        await Endpoint(ready, make_connections(1)).serve(stream)
        assert stream.received_bytes <= MAX_REQUEST_BYTES + 2 * RECEIVE_BYTES
        assert stream.is_closed

    async def test_in_small_pieces_ends_at_the_time_limit(self, place, autojump_clock):
        """Guards against connections that hold what they have sent for half a minute each."""
        stream = EndlessStream(*ENDLESS[place], piece_bytes=4, gap_s=0.05)
        await Endpoint(ready, make_connections(1)).serve(stream)
        assert trio.current_time() <= REQUEST_TIME_S + 0.1
        assert stream.is_closed


class TestConnections:
    """Many open connections."""

    async def test_unused_ones_are_closed_for_a_new_one(self, autojump_clock):
        """Guards against idle connections that use up the memory, or keep out readiness checks."""
        endpoint = Endpoint(ready, make_connections(3))
        async with trio.open_nursery() as nursery:
            idle = [trio.testing.memory_stream_pair() for _ in range(5)]
            for client, server in idle:
                nursery.start_soon(endpoint.serve, server)
                await trio.testing.wait_all_tasks_blocked()
                if client is not idle[0][0]:
                    await idle[0][0].send_all(REQUEST)
                    assert b"200" in await idle[0][0].receive_some()
            closed = []
            for client, _ in idle:
                with trio.move_on_after(0.1) as scope:
                    assert await client.receive_some() == b""
                closed.append(not scope.cancelled_caught)
            assert closed == [False, True, True, False, False]
            assert trio.current_time() < IDLE_TIME_S
            nursery.cancel_scope.cancel()


class TestDatagrams:
    """Many datagrams at once."""

    async def test_other_tasks_run_between_two(self, small_fleet, monkeypatch):
        """Guards against decoding all datagrams in the socket before anything else runs."""
        datagrams = 100
        decoded, decoded_between = 0, []
        decode = peers.decode_hello

        def count(data):
            nonlocal decoded
            decoded += 1
            return decode(data)

        async def note_turns() -> None:
            nonlocal decoded
            while sum(decoded_between) < datagrams:
                decoded_between.append(decoded)
                decoded = 0
                await trio.lowlevel.checkpoint()

        monkeypatch.setattr(peers, "decode_hello", count)
        settings = small_fleet.entry_settings(1)
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            for _ in range(datagrams):
                sender.sendto(b"no datagram", (settings.host, settings.peer_port))
        with trio.fail_after(5):
            await note_turns()
        assert max(decoded_between) <= 2
