"""Differential test of claims: random histories with faults against a reference model."""

from __future__ import annotations

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.testing.claim_fleet import NAMES, ClaimFleet, HistoryAsk, placement
from sassafrastally.testing.claim_reference import ClaimReference

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["none", "lose", "drop", "down", "slow", "cut", "views", "late"]),
        st.lists(
            st.tuples(
                st.sampled_from(NAMES), st.sampled_from("ab"), st.booleans(), st.integers(0, 1)
            ),
            min_size=1,
            max_size=4,
        ),
    ),
    min_size=1,
    max_size=8,
)


class TestDifferential:
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(STEPS)
    def test_histories_with_faults(self, steps):
        trio.run(_run_history, steps, clock=trio.testing.MockClock(autojump_threshold=0))


async def _run_history(steps):
    async with trio.open_nursery() as nursery:
        fleet = await ClaimFleet(nursery).start()
        reference = ClaimReference()
        number = 0
        for fault, drawn in steps:
            fleet.apply(fault)
            asks = []
            for entry, key, replaces, delay in drawn:
                number += 1
                old = reference.holder.get(key) if replaces else None
                asks.append(HistoryAsk(entry, key, placement(number), old, delay * 0.004))
            answers = await fleet.together(fleet.ask(ask) for ask in asks)
            for key in "ab":
                reference.check(key, answers)
        nursery.cancel_scope.cancel()
