"""Tests of prefix hashes and of the estimated prefix cache of an engine."""

from __future__ import annotations

from random import Random

import pytest

from sassafrastally.serving.prefix import (
    MAX_PREFIX_HASHES,
    PREFIX_BLOCK_BYTES,
    PrefixGuess,
    prefix_hashes,
    prefix_tokens,
)


class TestHashes:
    def test_equal_prefixes_have_equal_hashes(self) -> None:
        shared = b"x" * (3 * PREFIX_BLOCK_BYTES)
        one, other = prefix_hashes(shared + b"a" * 5_000), prefix_hashes(shared + b"b" * 5_000)
        assert one[:3] == other[:3]
        assert not set(one[3:]) & set(other[3:])

    def test_hash_covers_all_preceding_blocks(self) -> None:
        one = prefix_hashes(b"a" * PREFIX_BLOCK_BYTES + b"c" * PREFIX_BLOCK_BYTES)
        other = prefix_hashes(b"b" * PREFIX_BLOCK_BYTES + b"c" * PREFIX_BLOCK_BYTES)
        assert one[1] != other[1]

    def test_prompt_shorter_than_a_block_has_no_hash(self) -> None:
        assert prefix_hashes(b"a" * (PREFIX_BLOCK_BYTES - 1)) == ()

    def test_limited_number_of_hashes_covers_a_million_tokens(self) -> None:
        hashes = prefix_hashes(bytes(4_000_000))
        assert len(hashes) <= MAX_PREFIX_HASHES
        assert prefix_tokens(len(hashes)) > 900_000


class TestGuess:
    def test_counts_leading_blocks_only(self) -> None:
        estimate = PrefixGuess()
        for sequence, value in enumerate((10, 11, 13), start=1):
            estimate.apply(sequence, "stored", value)
        assert estimate.cached_tokens((10, 11, 12, 13), 9_000) == prefix_tokens(2)
        assert estimate.cached_tokens((9,), 9_000) == 0

    def test_at_least_one_token_is_uncached(self) -> None:
        estimate = PrefixGuess()
        estimate.apply(1, "stored", 10)
        assert estimate.cached_tokens((10,), prefix_tokens(1)) == prefix_tokens(1) - 1

    def test_sequence_gap_clears_the_estimate(self) -> None:
        """A gap in the sequence numbers clears the estimate; later events count again.

        The engine evicted a block and the event was lost, which only the gap reveals. A stale
        estimate would count on the evicted prefix and make predictions too early.
        """
        estimate = PrefixGuess()
        estimate.apply(1, "stored", 10)
        estimate.apply(3, "stored", 20)
        assert estimate.cached_tokens((10,), 9_000) == 0
        assert estimate.cached_tokens((20,), 9_000) == prefix_tokens(1)
        assert estimate.gaps == 1

    def test_late_and_duplicate_events_are_ignored(self) -> None:
        estimate = PrefixGuess()
        estimate.apply(5, "stored", 10)
        estimate.apply(4, "removed", 10)
        estimate.apply(5, "removed", 10)
        assert estimate.cached_tokens((10,), 9_000) == prefix_tokens(1)

    def test_engine_count_corrects_the_estimate(self) -> None:
        estimate = PrefixGuess()
        estimate.apply(1, "stored", 10)
        before = estimate.cached_tokens((10,), 9_000)
        estimate.correct((10,), before, before // 2)
        assert 0 < estimate.cached_tokens((10,), 9_000) < before
        estimate.correct((10,), before, 0)
        assert estimate.trust < 0.8

    def test_run_adds_its_own_prefix(self) -> None:
        estimate = PrefixGuess()
        estimate.correct((10, 11), 0, 0)
        assert estimate.cached_tokens((10, 11, 12), 9_000) == prefix_tokens(2)

    def test_new_engine_incarnation_starts_empty(self) -> None:
        estimate = PrefixGuess()
        estimate.apply(7, "stored", 10)
        estimate.restart()
        estimate.apply(1, "stored", 11)
        assert estimate.cached_tokens((10,), 9_000) == 0
        assert estimate.cached_tokens((11,), 9_000) > 0

    def test_number_of_hashes_is_limited(self) -> None:
        estimate = PrefixGuess(capacity=3)
        for sequence in range(1, 6):
            estimate.apply(sequence, "stored", sequence)
        held = [value for value in range(1, 6) if estimate.cached_tokens((value,), 9_000)]
        assert held == [3, 4, 5]

    @pytest.mark.parametrize("seed", range(10))
    def test_agrees_with_a_set_for_random_events(self, seed: int) -> None:
        random = Random(seed)
        estimate, reference, last = PrefixGuess(), set[int](), 0
        for sequence in range(1, 200):
            if random.random() < 0.05:
                continue
            kind, value = random.choice(("stored", "stored", "removed")), random.randrange(8)
            if last and sequence != last + 1:
                reference.clear()
            last = sequence
            (reference.add if kind == "stored" else reference.discard)(value)
            estimate.apply(sequence, kind, value)
            hashes = [random.randrange(8) for _ in range(4)]
            count = next((i for i, one in enumerate(hashes) if one not in reference), len(hashes))
            assert estimate.cached_tokens(hashes, 100_000) == prefix_tokens(count)
