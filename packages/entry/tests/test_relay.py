"""Answers relayed to callers that read slowly."""

from __future__ import annotations

import tracemalloc

import trio
import trio.testing

from sassafrastally.core import RequestId
from sassafrastally.entry.relay import Answer

MAX_BUFFERED_BYTES = 100_000


class TestBuffer:
    async def test_parts_of_a_byte_take_their_bytes(self, nursery: trio.Nursery) -> None:
        """Guards against an answer in tiny parts, without end: the buffer of each slow caller took
        many times its bound."""
        answer = Answer(RequestId("a"), MAX_BUFFERED_BYTES)

        async def write() -> None:
            number = 0
            while True:
                await answer.put(b"%02d" % (number % 100), 1)
                number += 1

        tracemalloc.start()
        try:
            nursery.start_soon(write)
            await trio.testing.wait_all_tasks_blocked()
            taken_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert taken_bytes < 2 * MAX_BUFFERED_BYTES
        assert len(await anext(answer)) == MAX_BUFFERED_BYTES
