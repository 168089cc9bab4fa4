"""Clients of the internal ports that send bytes without end, or keep many connections open."""

from __future__ import annotations

import socket
import time

import pytest
import trio
import trio.testing

from sassafrastally.proxy import peers
from sassafrastally.proxy.datagram_reader import STEP_DATAGRAMS
from sassafrastally.proxy.http_stream import RECEIVE_BYTES
from sassafrastally.proxy.internal_endpoints import (
    IDLE_TIME_S,
    MAX_REQUEST_BYTES,
    REQUEST_TIME_S,
    Endpoint,
    make_connections,
)
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.peer_messages import encode_hello
from sassafrastally.testing.outside_values import hello

from .test_call_bounds import EndlessStream

HEAD = b"GET /readyz HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
REQUEST = HEAD + b"\r\n"

MOST_STEP_S = 0.05
"""Processor time after which a time limit must have been looked at."""

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


def largest_datagram(host: str) -> bytes:
    """Return a datagram of a peer, as large as they are."""
    loads = {number: Work(short_requests=number) for number in range(1, 90)}
    return encode_hello(hello(host=host, loads=loads))


class DecodedDatagrams:
    """Counts the datagrams that are decoded between two turns of the event loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.by_turn = [0]
        decode = peers.decode_hello

        def count(data):
            self.by_turn[-1] += 1
            return decode(data)

        monkeypatch.setattr(peers, "decode_hello", count)

    async def wait_for(self, most: int, turns: int) -> None:
        """Wait until so many have been decoded, or for some turns."""
        while sum(self.by_turn) < most and len(self.by_turn) < turns:
            self.by_turn.append(0)
            await trio.lowlevel.checkpoint()


def send_to_peer_port(fleet, datagrams: list[bytes]) -> None:
    """Send datagrams to an entry at once."""
    settings = fleet.entry_settings(1)
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for data in datagrams:
            sender.sendto(data, (settings.host, settings.peer_port))


class TestDatagrams:
    """Many datagrams at once."""

    DATAGRAMS = 60
    """They fit in the socket's buffer."""

    async def test_other_tasks_run_between_some(self, small_fleet, monkeypatch):
        """Guards against decoding all datagrams in the socket before anything else runs."""
        decoded = DecodedDatagrams(monkeypatch)
        hosts = [f"127.20.3.{number}" for number in range(1, self.DATAGRAMS + 1)]
        send_to_peer_port(small_fleet, [largest_datagram(host) for host in hosts])
        with trio.fail_after(5):
            await decoded.wait_for(self.DATAGRAMS, turns=100_000)
        # The tasks of a turn run in any order, so that two steps may lie between two counts.
        assert max(decoded.by_turn) <= 2 * STEP_DATAGRAMS
        assert sum(decoded.by_turn) == self.DATAGRAMS

    async def test_processor_time_of_a_turn_is_bounded(self, small_fleet):
        """Guards against an event loop that a flood of datagrams holds."""
        flood = [largest_datagram("127.20.3.1")[:-1] + bytes([number]) for number in range(256)]
        longest_s = 0.0
        for _ in range(10):
            send_to_peer_port(small_fleet, flood)
            for _ in range(20):
                begin_s = time.thread_time()
                await trio.lowlevel.checkpoint()
                longest_s = max(longest_s, time.thread_time() - begin_s)
        assert longest_s < MOST_STEP_S

    async def test_other_bytes_are_not_decoded(self, small_fleet, monkeypatch):
        """Guards against work for datagrams of other programs beyond a look at their header."""
        decoded = DecodedDatagrams(monkeypatch)
        send_to_peer_port(small_fleet, [b"no datagram"] * self.DATAGRAMS)
        await decoded.wait_for(self.DATAGRAMS, turns=1000)
        assert sum(decoded.by_turn) <= 1
