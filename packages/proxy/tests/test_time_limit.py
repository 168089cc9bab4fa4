"""When a time limit acts that is noticed late."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.cpu_overload import LAST_READ_S
from sassafrastally.proxy.drain import Drain
from sassafrastally.proxy.time_limit import LATE_S, MAX_EXTRA_S, TimeLimit, extra_time_s


class TestExtraTime:
    """Replays of processes that run again after a limit."""

    @pytest.mark.parametrize("late_s", [0.0, 0.004, LATE_S])
    def test_is_none_for_a_limit_that_is_noticed_in_time(self, late_s):
        """Guards against requests that are held past their limit by entries that aren't delayed."""
        assert extra_time_s(10.0, 10.0 + late_s, 10.0 + late_s) == 0.0

    def test_is_that_of_a_last_read_after_a_pause(self):
        assert extra_time_s(10.0, 10.15, 10.15) == LAST_READ_S
        assert extra_time_s(10.15 + LAST_READ_S, 10.15, 10.151 + LAST_READ_S) == 0.0

    @pytest.mark.parametrize("pause_s", [0.03, 0.09, 0.5, 3.0])
    def test_is_bounded_for_a_process_that_is_interrupted_again_and_again(self, pause_s):
        """Guards against a limit that never acts at an entry with little CPU time."""
        due_s, noticed_s = 10.0, 10.0 + pause_s
        now_s = noticed_s
        while extra_s := extra_time_s(due_s, noticed_s, now_s):
            due_s = now_s + extra_s
            now_s = due_s + pause_s
        assert now_s <= noticed_s + MAX_EXTRA_S + pause_s


class TestTimeLimit:
    """Acting on a limit."""

    async def test_that_has_passed_before_the_work_acts_at_once(self, autojump_clock):
        """Guards against work that begins although no time is left for it."""
        async with trio.open_nursery() as nursery:
            with Drain().limit(trio.current_time() - 1.0, nursery) as limit:
                await trio.sleep(0)
        assert limit.has_acted

    async def test_lets_nothing_new_begin_once_it_has_passed(self, autojump_clock):
        """Guards against an attempt that is sent in the time in which a ready answer is read."""
        async with trio.open_nursery() as nursery:
            with Drain().limit(trio.current_time() + 1.0, nursery) as limit:
                autojump_clock.jump(1.2)
                await limit.require_time()
        assert limit.has_acted

    async def test_of_writes_moves_with_the_end_of_a_drain(self, autojump_clock):
        """Guards against a write to a caller that doesn't read, which outlives a stopping entry."""
        drain, begin_s = Drain(), trio.current_time()
        async with trio.open_nursery() as nursery:

            async def write() -> None:
                with drain.limit(begin_s + 60.0, nursery) as limit, limit.writing() as scope:
                    await trio.sleep_forever()
                assert scope.cancelled_caught

            nursery.start_soon(write)
            await trio.sleep(1.0)
            drain.begin(begin_s + 5.0)
        assert trio.current_time() - begin_s < 5.5

    def test_acts_at_the_earlier_of_two_times(self):
        limit = TimeLimit(5.0)
        limit.shorten(7.0)
        assert limit.due_s == 5.0
        limit.shorten(3.0)
        assert limit.due_s == 3.0
