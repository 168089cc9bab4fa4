"""Headroom: when a less urgent prompt that has waited may start."""

from __future__ import annotations

import math
import random

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.admission_queue import (
    AdmissionQueue,
    RecentArrivals,
    WaitingFacts,
    WaitingRequest,
    find_shortage,
    order_key,
)
from sassafrastally.proxy.lanes import ServerView
from sassafrastally.proxy.load import NO_WORK, Lane, PrefillPart, Work
from sassafrastally.proxy.model import BackendServer, EngineProfile, PromptSize, Route, RouteKind
from sassafrastally.proxy.plan import Holding, Placement

PROFILE = EngineProfile(6, 382_500, 0.925, 0.00483, 0.00254, 256.0, 0.0917, 2048, 52, 0.1)
QUESTION = PromptSize(5000, 1700)
FACTS = WaitingFacts(2, False, "ana", 100.0, 1000, 0.0, 10.0)
LATE = FACTS._replace(priority=0, timely_start_s=0.2)


def route(name: str, goal_s: float | None, priority: int) -> Route:
    """Return a route with a goal and a priority."""
    return Route(name, "h", "/", RouteKind.STREAM, (), 10.0, goal_s, 0.2, priority, 2, False, True)


def view(number: int, work: Work = NO_WORK) -> ServerView:
    """Return an engine."""
    server = BackendServer(f"e{number}", "engines", Address("h", 1), "here", 6, is_draining=False)
    return ServerView(server, work)


def dossier_at(*views: ServerView, part_ms: float = 400.0) -> Placement:
    """Return the placement of a long prompt that the first of several engines answers."""
    parts = tuple(PrefillPart(one.server.incarnation_id, part_ms) for one in views)
    server = views[0].server
    holdings = (Holding(server, 300_000),)
    return Placement(server, (), Lane.LONG, parts, holdings, predicted_s=0.5, alone_s=0.5)


def arrivals(count: int, goal_s: float | None = 0.27) -> RecentArrivals:
    """Return questions that arrived in the last second."""
    found = RecentArrivals()
    for number in range(count):
        found.record("engines", route("question", goal_s, 0), 0, QUESTION, number / count)
    return found


class TestRecentArrivals:
    """Kinds of request that come before one that waits."""

    def test_only_more_urgent_kinds_of_the_last_seconds_count(self):
        """Guards against engines that stay idle for requests that no longer come."""
        found = arrivals(6)
        (kind,) = found.ahead_of("engines", FACTS, [], 1.0)
        assert (kind.route, kind.prompt, kind.per_s) == ("question", QUESTION, 2.0)
        assert not found.ahead_of("engines", FACTS._replace(priority=0), [], 1.0)
        assert not found.ahead_of("others", FACTS, [], 1.0)
        assert not found.ahead_of("engines", FACTS, [], 4.0)

    def test_routes_without_a_goal_need_no_headroom(self):
        assert not arrivals(6, goal_s=None).ahead_of("engines", FACTS, [], 1.0)

    @pytest.mark.parametrize("goal_s", [0.0, -1.0, math.inf, math.nan])
    def test_goal_that_cannot_be_reserved_for_does_not_end_the_queue(self, goal_s):
        """Guards against an exception in the task of the queue: configurations with such goals are
        accepted."""
        found = arrivals(6, goal_s).ahead_of("engines", FACTS, [], 1.0)
        views = [view(number) for number in range(3)]
        assert find_shortage(found, dossier_at(views[0]), views, PROFILE, entries=4) is None

    def test_late_request_yields_to_its_kind_only_beside_less_urgent_work(self):
        """Guards against idle engines where all work has one priority."""
        found = arrivals(6)
        assert not found.ahead_of("engines", LATE, [view(1)], 1.0)
        assert found.ahead_of("engines", LATE, [view(1, Work(long_requests=1))], 1.0)
        found.record("engines", route("dossier", 8.0, 2), 2, QUESTION, 1.0)
        assert [kind.route for kind in found.ahead_of("engines", LATE, [], 1.0)] == ["question"]


class TestShortage:
    """Room that would be left for more urgent prompts."""

    def test_prompt_starts_only_if_enough_engines_remain(self):
        """Guards against long prompts that wait and take all room as soon as it is free.

        Questions come 8 times a second, so that seven are expected until the dossier is prefilled
        and within one more goal. An idle engine can start five of them in time.
        """
        kinds = arrivals(6).ahead_of("engines", FACTS, [], 1.0)
        views = [view(number) for number in range(3)]
        assert find_shortage(kinds, dossier_at(views[0]), views, PROFILE, entries=4) is None
        shortage = find_shortage(kinds, dossier_at(*views[:2]), views, PROFILE, entries=4)
        assert shortage == ("question", 5, 7)
        assert find_shortage([], dossier_at(*views), views, PROFILE, entries=4) is None

    @pytest.mark.parametrize("fault", ["is_cold", "is_limited", "is_suspect"])
    def test_nothing_is_reserved_on_engines_that_could_not_be_used(self, fault):
        kinds = arrivals(6).ahead_of("engines", FACTS, [], 1.0)
        views = [view(1)._replace(**{fault: True}), view(2)._replace(pace=20.0)]
        assert find_shortage(kinds, dossier_at(*views), views, PROFILE, entries=25) is None


class TestQueue:
    """Requests of the most urgent routes, and the end of the longest wait."""

    def test_late_request_waits_behind_those_in_time_and_does_not_age(self):
        """Guards against urgent prompts that are late because of others that are late already."""
        in_time = LATE._replace(since_s=9.0, timely_start_s=9.2)
        assert order_key(in_time, {"ana": 0.0}, 9.1) < order_key(LATE, {"ana": 0.0}, 9.1)

    async def test_arriving_urgent_request_does_not_wait_behind_others(self, autojump_clock):
        queue, name = AdmissionQueue(random.Random(1)), ("engines", Lane.SHORT)
        now_s = trio.current_time()
        facts = LATE._replace(timely_start_s=now_s + 0.2, latest_start_s=now_s + 1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(queue.wait, name, WaitingRequest(facts, lambda: None))
            await trio.testing.wait_all_tasks_blocked()
            later = facts._replace(latest_start_s=now_s + 2.0)
            assert not queue.is_behind_others(name, later)
            assert queue.is_behind_others(name, later._replace(is_early=True))
            assert queue.is_behind_others(name, later._replace(timely_start_s=math.inf))

    async def test_last_try_comes_at_the_end_of_the_longest_wait(self, autojump_clock):
        """Guards against refusing a request that was held back although an engine is idle."""
        queue, end_s = AdmissionQueue(random.Random(1)), trio.current_time() + 2.0
        facts = FACTS._replace(latest_start_s=end_s)
        waiting = WaitingRequest(facts, lambda: trio.current_time() >= end_s or None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(queue.run)
            waited = await queue.wait(("engines", Lane.LONG), waiting)
            nursery.cancel_scope.cancel()
        assert waited.started
        assert waited.waited_s == pytest.approx(2.0)
