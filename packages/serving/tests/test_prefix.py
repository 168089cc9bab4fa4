"""Tests of prefix hashes and of guesses about an engine's prefix cache."""

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

    def test_a_hash_covers_all_before_it(self) -> None:
        one = prefix_hashes(b"a" * PREFIX_BLOCK_BYTES + b"c" * PREFIX_BLOCK_BYTES)
        other = prefix_hashes(b"b" * PREFIX_BLOCK_BYTES + b"c" * PREFIX_BLOCK_BYTES)
        assert one[1] != other[1]

    def test_what_is_shorter_than_a_block_has_none(self) -> None:
        assert prefix_hashes(b"a" * (PREFIX_BLOCK_BYTES - 1)) == ()

    def test_a_bounded_number_reaches_through_a_million_tokens(self) -> None:
        hashes = prefix_hashes(bytes(4_000_000))
        assert len(hashes) <= MAX_PREFIX_HASHES
        assert prefix_tokens(len(hashes)) > 900_000


class TestGuess:
    def test_counts_leading_blocks_only(self) -> None:
        guess = PrefixGuess()
        for sequence, value in enumerate((10, 11, 13), start=1):
            guess.apply(sequence, "stored", value)
        assert guess.cached_tokens((10, 11, 12, 13), 9_000) == prefix_tokens(2)
        assert guess.cached_tokens((9,), 9_000) == 0

    def test_leaves_a_token_to_compute(self) -> None:
        guess = PrefixGuess()
        guess.apply(1, "stored", 10)
        assert guess.cached_tokens((10,), prefix_tokens(1)) == prefix_tokens(1) - 1

    def test_a_gap_drops_the_guess_and_what_comes_after_counts(self) -> None:
        """Predictions come true too late: the prefix that was counted on is gone.

        The engine dropped a block and the event that says so was lost. The jump in the numbers is
        the only sign of it.
        """
        guess = PrefixGuess()
        guess.apply(1, "stored", 10)
        guess.apply(3, "stored", 20)
        assert guess.cached_tokens((10,), 9_000) == 0
        assert guess.cached_tokens((20,), 9_000) == prefix_tokens(1)
        assert guess.gaps == 1

    def test_late_and_repeated_events_are_passed_over(self) -> None:
        guess = PrefixGuess()
        guess.apply(5, "stored", 10)
        guess.apply(4, "removed", 10)
        guess.apply(5, "removed", 10)
        assert guess.cached_tokens((10,), 9_000) == prefix_tokens(1)

    def test_the_engines_count_corrects_the_guess(self) -> None:
        guess = PrefixGuess()
        guess.apply(1, "stored", 10)
        before = guess.cached_tokens((10,), 9_000)
        guess.correct((10,), before, before // 2)
        assert 0 < guess.cached_tokens((10,), 9_000) < before
        guess.correct((10,), before, 0)
        assert guess.trust < 0.8

    def test_a_run_leaves_its_own_prefix_behind(self) -> None:
        guess = PrefixGuess()
        guess.correct((10, 11), 0, 0)
        assert guess.cached_tokens((10, 11, 12), 9_000) == prefix_tokens(2)

    def test_new_engine_incarnation_has_nothing(self) -> None:
        guess = PrefixGuess()
        guess.apply(7, "stored", 10)
        guess.restart()
        guess.apply(1, "stored", 11)
        assert guess.cached_tokens((10,), 9_000) == 0
        assert guess.cached_tokens((11,), 9_000) > 0

    def test_memory_is_bounded(self) -> None:
        guess = PrefixGuess(capacity=3)
        for sequence in range(1, 6):
            guess.apply(sequence, "stored", sequence)
        held = [value for value in range(1, 6) if guess.cached_tokens((value,), 9_000)]
        assert held == [3, 4, 5]

    @pytest.mark.parametrize("seed", range(10))
    def test_agrees_with_a_plain_set_over_random_events(self, seed: int) -> None:
        random = Random(seed)
        guess, plain, last = PrefixGuess(), set[int](), 0
        for sequence in range(1, 200):
            if random.random() < 0.05:
                continue
            kind, value = random.choice(("stored", "stored", "removed")), random.randrange(8)
            if last and sequence != last + 1:
                plain.clear()
            last = sequence
            (plain.add if kind == "stored" else plain.discard)(value)
            guess.apply(sequence, kind, value)
            hashes = [random.randrange(8) for _ in range(4)]
            count = next((i for i, one in enumerate(hashes) if one not in plain), len(hashes))
            assert guess.cached_tokens(hashes, 100_000) == prefix_tokens(count)
