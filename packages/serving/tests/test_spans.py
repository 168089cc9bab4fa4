from __future__ import annotations

from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.serving.spans import (
    MemberEngine,
    SegmentDone,
    blocks_of,
    decode_done,
    encode_done,
    held_tokens,
    import_blocks,
    plan_span,
)

ENGINES = st.lists(
    st.tuples(st.integers(8, 200), st.booleans(), st.sampled_from((8, 16))), min_size=1, max_size=5
).map(
    lambda items: [
        MemberEngine(f"vm-{number}", is_near, blocks, blocks, block_tokens)
        for number, (blocks, is_near, block_tokens) in enumerate(items)
    ]
)


class TestPlan:
    @settings(derandomize=True, database=None, max_examples=150, deadline=None)
    @given(ENGINES, st.integers(1, 8_000), st.integers(1, 64))
    def test_agrees_with_exhaustive_search(self, engines, prompt_tokens, output_tokens):
        """Compares plans with an exhaustive search over all sets of engines.

        At most one engine more than in the smallest sufficient set is used, and no engine provides
        more than its span memory.
        """
        sizes = [
            size
            for size in range(1, len(engines) + 1)
            for members in combinations(engines, size)
            if held_tokens(members, output_tokens) >= prompt_tokens
        ]
        segments = plan_span(engines, prompt_tokens, output_tokens)
        assert (segments is None) == (not sizes)
        if segments is None:
            return
        # The planner sizes the set by the largest engines. If the leader's output takes up more
        # than one engine, a different set may be smaller by one.
        assert len(segments) <= min(sizes) + 1
        assert sum(segment.tokens for segment in segments) == prompt_tokens
        assert segments[-1].end_tokens == prompt_tokens
        assert [s.vm for s in segments] == sorted({s.vm for s in segments})
        by_vm = {engine.vm: engine for engine in engines}
        imported = 0
        for segment in segments:
            engine = by_vm[segment.vm]
            own = blocks_of(segment.tokens, engine.block_tokens)
            assert own + imported <= engine.span_blocks + import_blocks(own) + 1
            imported += import_blocks(own)

    def test_prefers_free_then_near(self):
        engines = [
            MemberEngine("a", False, 100, 100, 16),
            MemberEngine("b", True, 100, 10, 16),
            MemberEngine("c", True, 100, 100, 16),
            MemberEngine("d", False, 100, 100, 16),
        ]
        segments = plan_span(engines, 2_000, 10)
        assert [segment.vm for segment in segments] == ["a", "c"]


class TestSegmentDone:
    def test_round_trip(self):
        done = SegmentDone("span-1", 64, 4)
        assert decode_done(encode_done(done)) == done
        with pytest.raises(ValueError, match="missing"):
            decode_done(b"{}")
