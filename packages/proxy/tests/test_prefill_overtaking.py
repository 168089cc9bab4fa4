"""Long prompts that wait for others in prefill."""

from __future__ import annotations

import pytest

from sassafrastally.core import Address
from sassafrastally.proxy.admission import Goals
from sassafrastally.proxy.admission_queue import (
    StartTimes,
    can_yield,
    yield_reason,
    yields_until_s,
)
from sassafrastally.proxy.lanes import ServerView
from sassafrastally.proxy.load import Lane, Work
from sassafrastally.proxy.model import BackendServer, EngineProfile
from sassafrastally.proxy.plan import Holding, Placement, make_placement

SERVER = BackendServer("e1", "engines", Address("h", 1), "here", 6, is_draining=False)
TIMES = StartTimes(now_s=100.0, goal_s=104.0, latest_start_s=107.0)


def plan(predicted_s: float, alone_s: float) -> Placement:
    """Return a plan with these predictions."""
    return Placement(SERVER, (), Lane.LONG, (), (), predicted_s, alone_s)


def slow_plan(pace: float) -> Placement:
    """Return the plan of a prompt behind an equal one, on an engine of that pace."""
    profile = EngineProfile(6, 344_250, 0.925, 0.005, 0.0025, 154.0, 0.162, 2048, 38, 0.1)
    view = ServerView(SERVER, Work(), pace=pace)
    first = make_placement([view], (Holding(SERVER, 1000),), Lane.LONG, 40.0, profile)
    work = Work(long_requests=1, prefill_requests=1, prefill_ms=first.parts[0].prefill_ms)
    behind = view._replace(work=work)
    return make_placement([behind], (Holding(SERVER, 1000),), Lane.LONG, 40.0, profile)


class TestApplicability:
    """Requests that wait for others in prefill."""

    def test_only_long_prompts_with_the_longest_goal(self):
        """Guards against a changed service of short prompts and of those with shorter goals."""
        assert can_yield(Lane.LONG, Goals(4.0, 4.0))
        assert not can_yield(Lane.LONG, Goals(1.5, 4.0))
        assert not can_yield(Lane.SHORT, Goals(4.0, 4.0))


class TestStart:
    """When a prompt starts."""

    def test_engines_that_are_almost_free_are_taken_at_once(self):
        assert yields_until_s(plan(1.08, 1.0), TIMES) is None
        assert yield_reason(plan(1.08, 1.0), TIMES) == ""

    def test_prompt_waits_while_it_can_still_meet_its_goal(self):
        """Guards against overtaking others without need."""
        assert yields_until_s(plan(2.0, 1.0), TIMES) == 104.0 - 1.0 - 0.25
        reason = "1.00 s of others' work first, for at most 2.75 s"
        assert yield_reason(plan(2.0, 1.0), TIMES) == reason

    def test_prompt_starts_when_its_goal_needs_it(self):
        """Guards against a goal missed by waiting, also behind an engine that has died."""
        assert yields_until_s(plan(9.0, 1.0), TIMES._replace(now_s=102.8)) is None

    def test_prompt_that_misses_its_goal_waits_as_long_as_it_can_be_served(self):
        """Guards against a prompt that is late anyway and makes others late."""
        assert yields_until_s(plan(6.0, 5.0), TIMES) == 107.0
        assert yields_until_s(plan(6.0, 5.0), TIMES._replace(now_s=107.0)) is None

    @pytest.mark.parametrize("latest_start_s", [90.0, 100.0])
    def test_prompt_that_can_not_wait_any_more_starts(self, latest_start_s):
        """Guards against waiting beyond the time in which a caller can be served whole."""
        assert yields_until_s(plan(2.0, 1.0), TIMES._replace(latest_start_s=latest_start_s)) is None
        assert yields_until_s(plan(6.0, 5.0), TIMES._replace(latest_start_s=latest_start_s)) is None

    def test_work_ahead_counts_with_the_pace_of_its_engine(self):
        """Guards against overtaking a part that takes a slow engine several times as long."""
        assert yields_until_s(slow_plan(1.0), TIMES) is None
        assert yields_until_s(slow_plan(4.0), TIMES) is not None
