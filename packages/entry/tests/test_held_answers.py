"""Answers that are held until they are whole, of many requests at once."""

from __future__ import annotations

import tracemalloc
from typing import Any

import pytest
import trio
import trio.testing

from sassafrastally.entry.held_answers import AnswerBroken, HeldAnswers
from sassafrastally.entry.settings import EntrySettings
from sassafrastally.serving.refusals import Refusal
from sassafrastally.testing.sidecar_scripts import own_of
from sassafrastally.wire.messages import Chunk, Reserve

MAX_HELD_BYTES = 250_000
MAX_BYTES = 100_000
PART = b"x" * 10_000


async def endless(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Send an answer without end."""
    await sidecar.accept(end, reserve)
    sequence = 0
    while True:
        await end.send(Chunk(*own_of(reserve), sequence, 0, PART))
        sequence += 1
        await trio.sleep(0.1)


class TestHeldAnswers:
    def test_largest_unfinished_answer_gives_way(self) -> None:
        """Guards against answers that fill the memory, and against failing the small answer of
        another caller for them."""
        answers = HeldAnswers(MAX_HELD_BYTES)
        with answers.open() as first, answers.open() as second, answers.open() as third:
            large, larger, small = (held.make_buffer() for held in (first, second, third))
            for buffer, parts in ((large, 9), (larger, 10), (small, 5)):
                for _ in range(parts):
                    buffer.add(PART, MAX_BYTES)
            small.add(b"x" * 20_000, MAX_BYTES)
            assert (len(large), len(larger), len(small)) == (90_000, 0, 70_000)
            assert answers.held_bytes == 160_000
            assert len(small.take()) == 70_000
        assert answers.held_bytes == 0

    def test_answer_that_gave_way_is_never_taken(self) -> None:
        """Guards against an answer that lacks its beginning and looks complete."""
        answers = HeldAnswers(MAX_BYTES // 2)
        with answers.open() as held:
            buffer = held.make_buffer()
            with pytest.raises(AnswerBroken, match="too many bytes"):
                buffer.add(b"x" * MAX_BYTES, MAX_BYTES)
            for use in (buffer.take, buffer.check, lambda: buffer.add(b"x", MAX_BYTES)):
                with pytest.raises(AnswerBroken, match="too many bytes"):
                    use()
            assert len(buffer) == 0
            # Another attempt at the request may succeed.
            again = held.make_buffer()
            again.add(b"x", MAX_BYTES)
            assert again.take() == b"x"

    def test_complete_answer_counts_until_it_is_sent(self) -> None:
        """Guards against complete answers for slow callers that count nowhere."""
        answers = HeldAnswers(MAX_HELD_BYTES)
        with answers.open() as sent, answers.open() as other:
            buffer = sent.make_buffer()
            buffer.add(b"x" * MAX_BYTES, MAX_BYTES)
            buffer.take()
            sent.keep()
            assert answers.held_bytes == MAX_BYTES
            with pytest.raises(AnswerBroken):
                other.make_buffer().add(b"x" * 200_000, MAX_HELD_BYTES)
        assert answers.held_bytes == 0

    def test_dropped_answer_does_not_count(self) -> None:
        answers = HeldAnswers(MAX_HELD_BYTES)
        with answers.open() as held:
            buffer = held.make_buffer()
            buffer.add(PART, MAX_BYTES)
            buffer.drop()
            assert answers.held_bytes == 0

    def test_parts_of_a_byte_take_their_bytes(self) -> None:
        """Guards against an answer in tiny parts that takes many times its bytes."""
        answers = HeldAnswers(MAX_HELD_BYTES)
        with answers.open() as held:
            buffer = held.make_buffer()
            tracemalloc.start()
            try:
                for number in range(MAX_BYTES // 2):
                    buffer.add(b"%02d" % (number % 100), MAX_BYTES)
                taken_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        assert taken_bytes < 2 * MAX_BYTES


class TestManyRequests:
    @pytest.fixture
    def entry_settings(self) -> EntrySettings:
        return EntrySettings(
            routing_policy="round-robin",
            max_answer_bytes=MAX_BYTES,
            max_held_answer_bytes=MAX_HELD_BYTES,
        )

    async def test_sound_answers_are_given_beside_endless_ones(
        self, world: Any, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against services that send bytes without end to many calls: the bound of one
        answer times the open requests exceeds the memory of the entry."""
        world.s1.scripts, world.s2.scripts = [endless] * 10, [endless] * 10
        most_bytes, codes = 0, []

        async def call_endless() -> None:
            try:
                await world.ask(world.booking())
            except Refusal as refusal:
                codes.append((refusal.kind.code, refusal.figures.detail))

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(call_endless)
            for _ in range(8):
                await trio.sleep(0.1)
                most_bytes = max(most_bytes, world.path.held_answers.held_bytes)
            assert most_bytes > MAX_HELD_BYTES / 2
            for _ in range(10):
                assert (await world.ask(world.booking())).status == 200
            while len(codes) < 20:
                await trio.sleep(0.1)
                most_bytes = max(most_bytes, world.path.held_answers.held_bytes)
        assert most_bytes <= MAX_HELD_BYTES
        assert {code for code, _ in codes} == {"backend-failed"}
        assert any("too many bytes" in detail for _, detail in codes)
        assert world.path.held_answers.held_bytes == 0
