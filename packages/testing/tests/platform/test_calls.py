"""Short calls on links and to servers that are slow."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.stand_ins.http_stand_in import serve_http

HOST = "127.20.9.1"
PIECES = 10


async def serve_in_pieces(nursery, gap_s: float, *, stalls_after: int = PIECES) -> CallClient:
    """Serve an answer whose pieces come one by one; return a client of it."""

    async def handle(_request, connection) -> None:
        await connection.begin(200, {})
        for number in range(PIECES):
            if number == stalls_after:
                await trio.sleep_forever()
            await trio.sleep(gap_s)
            await connection.send(b"x" * 1000)
        await connection.end()

    return CallClient(Address(HOST, await serve_http(HOST, 0, handle, nursery)))


class TestTimeLimit:
    """When a call is given up."""

    async def test_large_answer_on_a_slow_link_is_taken(self):
        """An entry reads a configuration of half a megabyte over ten megabits a second. Given up
        after its fixed time, the read is tried again and again and the entry never starts."""
        async with trio.open_nursery() as nursery:
            client = await serve_in_pieces(nursery, 0.1)
            status, body = await client.exchange("GET", "/", [], b"", 0.4)
            assert (status, len(body)) == (200, PIECES * 1000)
            nursery.cancel_scope.cancel()

    async def test_answer_that_stops_coming_is_given_up(self):
        async with trio.open_nursery() as nursery:
            client = await serve_in_pieces(nursery, 0.01, stalls_after=3)
            begin_s = trio.current_time()
            with pytest.raises(AnswerLost):
                await client.exchange("GET", "/", [], b"", 0.3)
            assert trio.current_time() - begin_s < 0.6
            nursery.cancel_scope.cancel()
