"""Answers of the weight store of odd forms."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.stores import HttpWeightStore, PlatformUnavailable

NESTED = b"[" * 30_000 + b"]" * 30_000


class Answers:
    """A service that answers each call with the present body."""

    def __init__(self) -> None:
        self.body = b""

    async def serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some(65536):
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
                await stream.send_all(head.encode() + self.body)


class TestWeightStore:
    @pytest.mark.parametrize(
        "body",
        [
            *(b'{"wait_s": %s}' % value for value in (b"NaN", b"1e400", b"-1", b"1e9", b'"1"')),
            *(b'{"wait_s": %s}' % value for value in (b"true", b"null", b"9" * 5000, NESTED)),
            *(b"[]", b"{}", b"\xff", NESTED),
        ],
        ids=range(13),
    )
    async def test_a_wait_that_no_load_can_take_is_an_outage(self, body: bytes) -> None:
        """Guards against a placement holder that ends, or never loads a model, by one answer.

        A wait that is negative or not a number raised an error in the task that loads; an endless
        one kept its engine from every other order.
        """
        server = Answers()
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
            [listener] = await nursery.start(serve)
            address = Address("127.0.0.1", listener.socket.getsockname()[1])
            store = HttpWeightStore(address, time_limit_s=2.0)
            server.body = body
            with pytest.raises(PlatformUnavailable):
                await store.reserve_load("m", "1")
            server.body = b'{"wait_s": 1.5}'
            assert await store.reserve_load("m", "1") == 1.5
            await store.aclose()
            nursery.cancel_scope.cancel()
