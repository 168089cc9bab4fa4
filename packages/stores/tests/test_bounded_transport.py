"""Services whose responses don't end."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from random import Random

import httpx
import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.stores import EtcdKv, KvSettings, KvUnavailable, KvWrite, MaybeApplied
from sassafrastally.stores.bounded_transport import (
    LINE_BOUND,
    MAX_READ_PIECES,
    MAX_RESPONSE_BYTES,
    BoundedTransport,
)

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_BYTES = 100_000
SOCKET_BYTES = 16_000_000
"""More than the sockets between the two processes hold."""


class Flood:
    """A server that sends bytes until its client closes the connection."""

    def __init__(self, begin: bytes, unit: bytes) -> None:
        self.sent_bytes = 0
        self._begin = begin
        self._unit = unit * max(1, 60_000 // len(unit))

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            await stream.receive_some()
            try:
                await stream.send_all(self._begin)
                while True:
                    await stream.send_all(self._unit)
                    self.sent_bytes += len(self._unit)
                    assert self.sent_bytes < 10 * SOCKET_BYTES, "read without a bound"
            except trio.BrokenResourceError:
                return

    @asynccontextmanager
    async def served(self):
        """Serve on a free port; yield the address."""
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, self.handle, 0, host="127.0.0.1")
            [listener] = await nursery.start(serve)
            with trio.fail_after(30):
                yield Address("127.0.0.1", listener.socket.getsockname()[1])
            nursery.cancel_scope.cancel()


class TestTransport:
    """Bound of a response and turns of other tasks."""

    @pytest.mark.parametrize("unit", [b"1\r\nx\r\n", b"10\r\n0123456789abcdef\r\n"])
    async def test_response_without_end_ends_at_the_bound(self, unit):
        """Guards against a process that grows until the time limit of the call."""
        flood = Flood(CHUNKED, unit)
        transport = BoundedTransport(MAX_BYTES)
        async with flood.served() as address, httpx.AsyncClient(transport=transport) as client:
            with pytest.raises(httpx.ReadError, match="over 100000 bytes"):
                await client.get(f"http://{address}/")
        assert flood.sent_bytes < SOCKET_BYTES

    async def test_other_tasks_run_between_tiny_chunks(self):
        """Guards against ten thousand chunks of one read that are handed out without a turn."""
        pieces, pieces_between = 0, []

        async def note_turns() -> None:
            nonlocal pieces
            while True:
                pieces_between.append(pieces)
                pieces = 0
                await trio.lowlevel.checkpoint()

        transport = BoundedTransport(MAX_BYTES)
        async with (
            Flood(CHUNKED, b"1\r\nx\r\n").served() as address,
            httpx.AsyncClient(transport=transport) as client,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(note_turns)
            with pytest.raises(httpx.ReadError):
                async with client.stream("GET", f"http://{address}/") as response:
                    async for _ in response.aiter_raw():
                        pieces += 1
            nursery.cancel_scope.cancel()
        assert max(pieces_between) <= 2 * MAX_READ_PIECES

    async def test_lines_are_bounded_one_by_one(self):
        """Guards against ending a long watch, and against a line of it without an end."""
        line = b"x" * 1000 + b"\n"
        for unit, is_sound in ((line, True), (b"x" * 1000, False)):
            flood = Flood(HEAD + b"\r\n", unit)
            transport = BoundedTransport(MAX_BYTES)
            read_bytes = 0
            async with flood.served() as address, httpx.AsyncClient(transport=transport) as client:
                target, extensions = f"http://{address}/", {LINE_BOUND: True}
                try:
                    async with client.stream("GET", target, extensions=extensions) as response:
                        async for piece in response.aiter_raw():
                            read_bytes += len(piece)
                            if read_bytes > 5 * MAX_BYTES:
                                break
                except httpx.ReadError:
                    assert not is_sound
            assert (read_bytes > 5 * MAX_BYTES) == is_sound


class TestKv:
    """Calls of the KV service."""

    @pytest.mark.parametrize("unit", [b" ", b"x" * 1000])
    async def test_write_may_have_been_applied_and_a_read_is_unavailable(self, unit):
        """Guards against a flood by the service that takes all memory or passes for a refusal."""
        flood = Flood(HEAD + b"\r\n", unit)
        async with flood.served() as address:
            kv = EtcdKv(KvSettings(address)._replace(call_time_limit_s=20.0), Random(1))
            with pytest.raises(MaybeApplied):
                await kv.write([KvWrite("a/x", b"1", 0)], purpose="claims")
            assert flood.sent_bytes < MAX_RESPONSE_BYTES + SOCKET_BYTES
            with pytest.raises(KvUnavailable):
                await kv.get("a/x", purpose="claims")
            await kv.aclose()
