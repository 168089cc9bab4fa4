"""Tests that timestamps preserve causal order despite wall clock skew."""

from __future__ import annotations

from sassafrastally.core import Clock, HybridClock, stamp_wall_s

EPOCH_S = 1_800_000_000.0


class TestHybridClock:
    """`HybridClock`."""

    async def test_effect_is_stamped_after_its_cause_when_the_receiver_clock_is_behind(
        self, autojump_clock: object
    ):
        """Guards against a timeline that shows a response before its request.

        The sender's wall clock is 5 s ahead and the receiver responds at once, so ordering by wall
        time alone would reverse the two.
        """
        ahead = HybridClock(Clock(5.0, EPOCH_S))
        behind = HybridClock(Clock(0.0, EPOCH_S))
        request = ahead.tick()
        response = behind.observe(request)
        assert stamp_wall_s(behind._wall_stamp()) < stamp_wall_s(request)
        assert request < response < behind.tick()

    async def test_timestamp_far_ahead_is_ignored(self, autojump_clock: object):
        """Guards against one broken clock moving the timestamps of the whole fleet.

        One VM's wall clock is a year ahead; each peer would adopt its timestamp and propagate it.
        """
        broken = HybridClock(Clock(365 * 86_400.0, EPOCH_S))
        correct = HybridClock(Clock(0.0, EPOCH_S))
        correct.observe(broken.tick())
        assert abs(stamp_wall_s(correct.tick()) - EPOCH_S) < 1.0
