"""Short calls over slow links and to slow servers."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.stand_ins.http_stand_in import serve_http

HOST = "127.20.9.1"
CHUNKS = 10


async def serve_in_chunks(nursery, gap_s: float, *, stall_after: int = CHUNKS) -> CallClient:
    """Serve a response that is sent in chunks; return a client of the server."""

    async def handle(_request, connection) -> None:
        await connection.begin_response(200, {})
        for number in range(CHUNKS):
            if number == stall_after:
                await trio.sleep_forever()
            await trio.sleep(gap_s)
            await connection.send(b"x" * 1000)
        await connection.end()

    return CallClient(Address(HOST, await serve_http(HOST, 0, handle, nursery)))


class TestTimeLimit:
    """Time limits of calls."""

    async def test_large_response_on_a_slow_link_is_read(self):
        """Guards against a fixed time limit for a whole response.

        A configuration of 500 KB over a 10 Mbit/s link takes longer than the limit, so an entry
        would retry the read forever and never start.
        """
        async with trio.open_nursery() as nursery:
            client = await serve_in_chunks(nursery, 0.1)
            status, _, body = await client.exchange("GET", "/", [], b"", 0.4)
            assert (status, len(body)) == (200, CHUNKS * 1000)
            nursery.cancel_scope.cancel()

    async def test_stalled_response_times_out(self):
        async with trio.open_nursery() as nursery:
            client = await serve_in_chunks(nursery, 0.01, stall_after=3)
            begin_s = trio.current_time()
            with pytest.raises(AnswerLost):
                await client.exchange("GET", "/", [], b"", 0.3)
            assert trio.current_time() - begin_s < 0.6
            nursery.cancel_scope.cancel()
