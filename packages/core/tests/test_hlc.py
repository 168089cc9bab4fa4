"""Stamps keep the causal order although wall clocks differ."""

from __future__ import annotations

from sassafrastally.core import Clock, HybridClock, stamp_wall_s

EPOCH_S = 1_800_000_000.0


class TestHybridClock:
    """`HybridClock`."""

    async def test_effect_is_stamped_after_its_cause_when_the_receiver_is_seconds_behind(
        self, autojump_clock: object
    ):
        """An operator reads an answer above its question in the time line.

        The sender's wall clock is 5 s ahead; the receiver answers at once. By wall time alone the
        answer would come first.
        """
        ahead = HybridClock(Clock(5.0, EPOCH_S))
        behind = HybridClock(Clock(0.0, EPOCH_S))
        question = ahead.tick()
        answer = behind.observe(question)
        assert stamp_wall_s(behind._wall_stamp()) < stamp_wall_s(question)
        assert question < answer < behind.tick()

    async def test_broken_clock_does_not_drag_the_others_along(self, autojump_clock: object):
        """The whole fleet's time line jumps to next year.

        One VM's wall clock is a year ahead, and each peer would take its stamp over and pass it on.
        """
        broken = HybridClock(Clock(365 * 86_400.0, EPOCH_S))
        sound = HybridClock(Clock(0.0, EPOCH_S))
        sound.observe(broken.tick())
        assert abs(stamp_wall_s(sound.tick()) - EPOCH_S) < 1.0
