"""Answers relayed to callers that read slowly."""

from __future__ import annotations

import tracemalloc

import trio
import trio.testing

from sassafrastally.core import RequestId
from sassafrastally.entry.held_answers import REDUCED_BUFFER_BYTES, StreamBuffers
from sassafrastally.entry.relay import Answer
from sassafrastally.wire.messages import End

MAX_BUFFERED_BYTES = 100_000
PART = b"x" * 1000


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

    async def test_many_slow_callers_hold_little_each(self, nursery: trio.Nursery) -> None:
        """Guards against streams without end to thousands of callers that don't read: 256 KB for
        each of them exceed the memory."""
        buffers = StreamBuffers(3 * MAX_BUFFERED_BYTES)
        answers = [
            Answer(RequestId(str(number)), MAX_BUFFERED_BYTES, buffers=buffers)
            for number in range(50)
        ]

        async def write(answer: Answer) -> None:
            while True:
                await answer.put(PART, 1)

        for answer in answers:
            nursery.start_soon(write, answer)
        await trio.testing.wait_all_tasks_blocked()
        reduced_bytes = 50 * (REDUCED_BUFFER_BYTES + len(PART))
        assert buffers.size_bytes <= 3 * MAX_BUFFERED_BYTES + reduced_bytes
        # A caller that reads goes on with its answer.
        for _ in range(10):
            assert len(await anext(answers[-1])) >= REDUCED_BUFFER_BYTES
            await trio.testing.wait_all_tasks_blocked()

    async def test_unread_data_of_a_closed_answer_does_not_count(self) -> None:
        """Guards against callers that have left and slow down all others."""
        buffers = StreamBuffers(MAX_BUFFERED_BYTES)
        answer = Answer(RequestId("a"), MAX_BUFFERED_BYTES, buffers=buffers)
        await answer.put(PART, 1)
        answer.finish(End("a", 1), answer.head, b"held")
        assert buffers.size_bytes == len(PART)
        answer.close()
        assert buffers.size_bytes == 0
