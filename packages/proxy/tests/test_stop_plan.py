"""When a stopping entry ends its work, by how much is open and how late it may be."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.stop_plan import (
    EXIT_S,
    KILL_MARGIN_S,
    LONGEST_LAG_S,
    plan_stop,
)

STOP_TIME_S = 8.0

ANSWER_S = 0.003
"""Time that one of a hundred answers has taken at an entry beside busy processes."""


class TestPlanStop:
    """Planned stops with several numbers of requests that no server answers."""

    @pytest.mark.parametrize("open_requests", [0, 1, 10, 100])
    @pytest.mark.parametrize("lag_begin_s", [-0.4, -0.2, 0.0, 0.2])
    def test_leaves_time_for_all_answers_after_a_lag(self, open_requests, lag_begin_s):
        """Guards against answers after the kill of an entry that doesn't run for half a second
        around the end of its drain."""
        plan = plan_stop(0.0, STOP_TIME_S, open_requests)
        lag_s = (plan.ends_s + lag_begin_s, plan.ends_s + lag_begin_s + LONGEST_LAG_S)
        begins_s = lag_s[1] if lag_begin_s <= 0 else plan.ends_s + LONGEST_LAG_S
        assert begins_s + open_requests * ANSWER_S <= STOP_TIME_S - EXIT_S + 1e-9

    def test_ends_later_with_less_to_answer(self):
        """Guards against requests that are cut although there was time for their servers."""
        few, many = plan_stop(0.0, STOP_TIME_S, 1), plan_stop(0.0, STOP_TIME_S, 100)
        assert many.ends_s < few.ends_s <= STOP_TIME_S - KILL_MARGIN_S

    def test_leaves_servers_most_of_the_time(self):
        """Guards against a drain that ends far too soon because there is much to answer."""
        plan = plan_stop(0.0, STOP_TIME_S, 10_000)
        assert plan.ends_s == pytest.approx(STOP_TIME_S * 5 / 6)

    @pytest.mark.parametrize("stop_time_s", [0.0, 0.3, 1.0, 3.0, 8.0])
    @pytest.mark.parametrize("open_requests", [0, 50, 1000])
    def test_is_in_order(self, stop_time_s, open_requests):
        """Guards against steps of a short stop in the wrong order."""
        plan = plan_stop(10.0, stop_time_s, open_requests)
        assert 10.0 <= plan.reads_s <= plan.ends_s <= plan.reads_end_s
        assert plan.ends_s <= plan.killed_s == 10.0 + stop_time_s


class TestPace:
    """Planned stops at entries that get less of a processor."""

    def test_slow_entry_ends_sooner(self):
        """Guards against the time of a quick entry for the answers of one with a tenth of a
        processor."""
        plan = plan_stop(0.0, STOP_TIME_S, 60, slowdown=10.0)
        begins_s = plan.ends_s + LONGEST_LAG_S
        assert begins_s + 60 * 0.001 * 10.0 <= STOP_TIME_S - EXIT_S + 1e-9

    def test_quick_entry_leaves_servers_as_much_as_before(self):
        """Guards against an end that comes sooner at an entry that isn't late."""
        assert plan_stop(0.0, STOP_TIME_S, 60, 2.0) == plan_stop(0.0, STOP_TIME_S, 60)

    def test_takes_no_more_than_the_last_sixth(self):
        """Guards against cutting requests before the last sixth of the stop time, in which
        operators don't expect responses."""
        plan = plan_stop(0.0, STOP_TIME_S, 100, slowdown=100.0)
        assert plan.ends_s == pytest.approx(STOP_TIME_S * 5 / 6)


class TestAnsweredUntil:
    """Until when callers are waited for who don't read their answers."""

    @pytest.mark.parametrize("late_s", [0.0, 0.2, 0.4, 0.5])
    def test_is_before_the_kill_and_not_over(self, late_s):
        """Guards against a late entry that gives up answers in the turn in which they begin."""
        plan = plan_stop(0.0, STOP_TIME_S, 10)
        now_s = plan.ends_s + late_s
        assert plan.answered_until_s(now_s) <= STOP_TIME_S - EXIT_S
        assert plan.answered_until_s(now_s) - now_s >= min(0.15, STOP_TIME_S - EXIT_S - now_s)
