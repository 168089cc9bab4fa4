"""Tests of the engine's block memory against a naive count."""

from __future__ import annotations

from collections import Counter
from random import Random

from sassafrastally.testing.engine_blocks import BlockMemory, Holding, prefix_hashes

TOTAL = 24


class TestBlockMemory:
    def test_count_equals_a_naive_one_over_random_holdings(self) -> None:
        draw = Random(5)
        cached: set[int] = set()

        def note(kind: str, value: int) -> None:
            (cached.add if kind == "stored" else cached.remove)(value)

        memory = BlockMemory(TOTAL, note)
        held: list[Holding] = []
        for _ in range(5000):
            if held and draw.random() < 0.5:
                memory.release(held.pop(draw.randrange(len(held))))
            else:
                hashes = prefix_hashes(draw.choice([b"a", b"b", b"c"]) * 40, 4, draw.randrange(10))
                holding = memory.hold(hashes, len(hashes) + draw.randrange(1, 4))
                if holding is not None:
                    memory.publish(holding, hashes)
                    held.append(holding)
            shared = Counter(value for holding in held for value in holding.shared)
            used = len(shared) + sum(holding.private for holding in held)
            assert memory.free_blocks == TOTAL - used >= 0
            assert cached >= set(shared)
            assert memory.cached_blocks == len(cached) - len(shared) <= memory.free_blocks

    def test_least_recently_used_prefix_goes_first_and_its_end_before_its_head(self) -> None:
        removed: list[int] = []
        memory = BlockMemory(
            4, lambda kind, value: removed.append(value) if kind == "removed" else None
        )
        for hashes in ([1, 2], [3, 4]):
            holding = memory.hold(hashes, 2)
            assert holding is not None
            memory.publish(holding, hashes)
            memory.release(holding)
        assert memory.hold([], 3) is not None
        assert removed == [2, 1, 4]
