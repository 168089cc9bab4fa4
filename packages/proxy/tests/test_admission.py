"""Admission control: which requests are rejected because the engines are overloaded."""

from __future__ import annotations

from sassafrastally.core import Address
from sassafrastally.proxy.admission import Goals, backlog_bound, overload_reason
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.model import BackendServer
from sassafrastally.proxy.plan import Placement

SERVER = BackendServer("e0", "engines", Address("10.0.0.1", 1), "here", 8, False)

SHORT_GOALS = Goals(own_s=0.3, longest_s=4.0)
LONG_GOALS = Goals(own_s=4.0, longest_s=4.0)


def plan(lane: Lane, predicted_s: float, alone_s: float, own_s=0.0, backlog_s=0.0) -> Placement:
    """Return a plan with the given times."""
    return Placement(SERVER, (), lane, (), (), predicted_s, alone_s, own_s, backlog_s)


class TestShortPrompts:
    """Short prompts with a goal of 0.3 s for the first event."""

    def test_is_rejected_when_other_work_makes_it_late(self):
        assert overload_reason(plan(Lane.SHORT, 0.6, 0.1), SHORT_GOALS)

    def test_is_accepted_when_it_is_in_time(self):
        assert not overload_reason(plan(Lane.SHORT, 0.28, 0.1), SHORT_GOALS)

    def test_is_accepted_when_it_would_be_late_on_idle_engines_too(self):
        """Guards against rejecting all requests while all engines are four times slower: every
        answer is late then, and rejecting others doesn't help."""
        assert not overload_reason(plan(Lane.SHORT, 0.45, 0.4), SHORT_GOALS)


class TestLongPrompts:
    """Long prompts with a goal of 4 s for the first event."""

    def test_is_rejected_when_it_makes_others_late(self):
        """Ten engines have a prefill backlog of 0.5 s each, and the prompt adds as much to each.
        Engines prefill the newest part first, so it would be in time itself and make the earlier
        prompts late."""
        assert overload_reason(plan(Lane.LONG, 0.9, 0.5, own_s=0.5, backlog_s=0.5), LONG_GOALS)

    def test_small_prompt_is_accepted_with_the_same_backlog(self):
        assert not overload_reason(plan(Lane.LONG, 0.9, 0.1, own_s=0.03, backlog_s=0.5), LONG_GOALS)

    def test_largest_prompt_is_accepted_with_a_small_backlog(self):
        """Guards against rejecting a prompt of a million tokens, which takes 20 engines 2.3 s
        each, while the engines are almost idle."""
        assert not overload_reason(plan(Lane.LONG, 2.6, 2.5, own_s=2.3, backlog_s=0.1), LONG_GOALS)

    def test_prompt_that_can_wait_leaves_room_for_more_urgent_ones(self):
        """Guards against a queue that keeps the engines at the bound of their backlog, so that
        prompts with shorter goals are late for as long as anything waits."""
        placement = plan(Lane.LONG, 1.8, 0.5, own_s=0.05, backlog_s=1.2)
        for goals, is_accepted in ((LONG_GOALS, False), (Goals(1.5, 4.0), True)):
            bound = backlog_bound(goals, has_queue=True)
            assert (not overload_reason(placement, goals, bound)) is is_accepted
        assert not overload_reason(
            placement, LONG_GOALS, backlog_bound(LONG_GOALS, has_queue=False)
        )
