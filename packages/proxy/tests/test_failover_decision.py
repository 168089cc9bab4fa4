"""Decision when a request at a silent server goes on at another one."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from sassafrastally.proxy.failover_decision import (
    RECHECK_INTERVAL_S,
    Obstacle,
    Silence,
    SuccessorFacts,
    must_forward_failure,
    next_check_s,
    reaches_caller,
    successor_obstacle,
)
from sassafrastally.proxy.retry_budget import RetryBudget

FREE = SuccessorFacts(
    None, is_quarantined=False, is_stopping=False, is_behind_others=False, has_server=True
)


class Outcomes(NamedTuple):
    """What became of the replayed requests."""

    answered_here: int
    """Requests that their first server answered in the end."""
    moved: int
    lost: int
    """Requests given up without another attempt."""
    checks: int
    latest_move_s: float


def replay(limit_s: float, silences_s: list[float], budget: RetryBudget) -> Outcomes:
    """Replay requests that begin 0.1 s apart at servers that are silent for some time each."""
    here = moved = checks = 0
    latest_move_s = 0.0
    for number, silence_s in enumerate(silences_s):
        begin_s = 0.1 * number
        budget.count_request("engines", begin_s)
        now_s = begin_s
        while True:
            delay_s = next_check_s(Silence(now_s - begin_s, limit_s))
            if not delay_s:
                checks += 1
                if successor_obstacle(FREE) is None and budget.try_spend("engines", 1, now_s):
                    moved += 1
                    latest_move_s = max(latest_move_s, now_s - begin_s)
                    break
                delay_s = RECHECK_INTERVAL_S
            now_s += delay_s
            if now_s >= begin_s + silence_s:
                here += 1
                break
    return Outcomes(here, moved, len(silences_s) - here - moved, checks, latest_move_s)


class TestReplay:
    """A service one in five of whose servers is silent, under a retry budget."""

    def test_each_request_is_answered_or_moved(self):
        """Guards against requests given up without another attempt once the budget is spent."""
        draw = random.Random(1)
        silences_s = [draw.uniform(0.5, 1.9) if draw.random() < 0.2 else 0.0 for _ in range(2000)]
        outcomes = replay(1.3, silences_s, RetryBudget(ratio=0.02, extra=2, window_s=10.0))
        assert outcomes.lost == 0
        assert outcomes.answered_here > 1900
        assert 0 < outcomes.moved < 100

    def test_dead_servers_lose_their_requests_at_the_limit(self):
        """Guards against failover that is late although the budget allows it."""
        outcomes = replay(1.3, [60.0] * 100, RetryBudget(ratio=1.0, extra=1000, window_s=10.0))
        assert outcomes.moved == 100
        assert outcomes.latest_move_s == pytest.approx(1.3, abs=0.001)
        assert outcomes.checks == 100

    def test_sound_servers_cost_no_check(self):
        """Guards against placements computed for requests whose servers aren't silent."""
        outcomes = replay(1.3, [0.2] * 1000, RetryBudget(ratio=0.2, extra=100, window_s=10.0))
        assert outcomes.checks == 0


class TestObstacle:
    """What prevents a successor."""

    @pytest.mark.parametrize(
        ("facts", "obstacle"),
        [
            (FREE, None),
            (FREE._replace(route_obstacle=Obstacle.ATTEMPTS), Obstacle.ATTEMPTS),
            (FREE._replace(is_quarantined=True), Obstacle.QUARANTINE),
            (FREE._replace(is_stopping=True), Obstacle.STOP),
            (FREE._replace(is_behind_others=True), Obstacle.QUEUE),
            (FREE._replace(has_server=False), Obstacle.ROOM),
        ],
    )
    def test_is_named(self, facts, obstacle):
        assert successor_obstacle(facts) is obstacle

    def test_attempt_that_is_replaced_already_is_replaced_once(self):
        """Guards against a second charge while the wait for the first server ends."""
        assert next_check_s(Silence(5.0, 1.3, has_successor=True)) > 0


class TestReachesCaller:
    """Whether a successor answers before the caller leaves."""

    def test_long_prefill_elsewhere_stays_at_the_silent_server(self):
        """Guards against a stream that moves to a server whose event comes too late."""
        assert not reaches_caller(now_s=11.3, predicted_s=1.3, caller_leaves_s=12.0)
        assert reaches_caller(now_s=11.3, predicted_s=0.3, caller_leaves_s=12.0)

    def test_caller_that_stays_gets_any_successor(self):
        """Guards against a caller that waits longer than others and gets nothing."""
        assert reaches_caller(now_s=12.1, predicted_s=1.3, caller_leaves_s=12.0)


class TestKeptFailure:
    """A successor that has answered with a failure while the first server is silent."""

    def test_waits_for_the_silent_server(self):
        """Guards against a failure in place of the stream of a server that goes on."""
        assert not must_forward_failure(now_s=11.7, caller_leaves_s=12.0)

    def test_comes_before_the_caller_leaves(self):
        """Guards against a caller that leaves without the only answer."""
        assert must_forward_failure(now_s=11.8, caller_leaves_s=12.0)
