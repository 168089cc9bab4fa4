"""Placement of prompts under the loads that it is designed for."""

from __future__ import annotations

import random

import pytest

from sassafrastally.proxy.engine_time import pass_ms, prefill_ms
from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView, choose_lane, split_lanes
from sassafrastally.proxy.load import NO_WORK, Lane, Work
from sassafrastally.proxy.model import (
    PromptSize,
)
from sassafrastally.proxy.placement import place_prompt, place_request
from sassafrastally.proxy.prefill_limits import prefill_limits_for
from sassafrastally.testing.placement_cases import (
    ALONE,
    LIMITS,
    LONG,
    PROFILE,
    SHORT,
    route,
    server,
    views,
)


class TestEngineTime:
    """The time model against the published figures."""

    @pytest.mark.parametrize(
        ("tokens", "expected_ms"), [(5000, 34), (45_000, 456), (182_000, 3865)]
    )
    def test_prefill(self, tokens, expected_ms):
        assert prefill_ms(PROFILE, tokens) == pytest.approx(expected_ms, rel=0.03)

    def test_pass_with_eight_decoding_short_requests(self):
        assert pass_ms(PROFILE, 8, 40_000) == pytest.approx(48, rel=0.03)


class TestPrefillLimits:
    """Limits on the prefill time in a pass, from routes and engines."""

    def test_usual_routes_on_usual_engines(self):
        limits = prefill_limits_for([route(0.25), route(0.6), route(1.0)], PROFILE)
        for derived, usual in zip(limits, LIMITS, strict=True):
            assert derived == pytest.approx(usual, rel=0.05)

    def test_short_prompt_is_split_into_smaller_parts_if_pauses_are_short_and_passes_long(self):
        """Engines are 2.5 times slower and callers notice a pause of 120 ms. Prefilling a prompt of
        5,000 tokens in one part makes the pauses of all requests that the engine decodes too
        long."""
        slow = PROFILE._replace(step_ms=3.3, prefill_tokens_per_ms=62.0, steps_per_pass=17)
        limits = prefill_limits_for([route(0.12), route(0.29), route(0.48)], slow)
        assert pass_ms(slow, 8, 0) + 3 * limits.max_short_part_ms < 120
        lanes = split_lanes(views([Work(short_requests=3)] * 21), slow)
        placement = place_prompt(lanes, Lane.SHORT, SHORT, 0.3, slow, limits, ALONE)
        assert len(placement.parts) >= 3

    def test_lanes_are_distinguished_by_the_ratio_of_pauses(self):
        limits = prefill_limits_for([route(0.12), route(0.29), route(0.48)], PROFILE)
        assert choose_lane(route(0.12), SHORT, PROFILE, limits) is Lane.SHORT
        assert choose_lane(route(0.29), SHORT, PROFILE, limits) is Lane.LONG

    def test_routes_with_equal_pauses_share_one_lane(self):
        limits = prefill_limits_for([route(0.6), route(0.6)], PROFILE)
        assert choose_lane(route(0.6), SHORT, PROFILE, limits) is Lane.SHORT


class TestLanes:
    """Split of the engines into lanes."""

    def test_lane_follows_the_pause_that_a_route_allows(self):
        assert choose_lane(route(0.25), SHORT, PROFILE, LIMITS) is Lane.SHORT
        assert choose_lane(route(1.0), SHORT, PROFILE, LIMITS) is Lane.LONG
        assert choose_lane(route(0.25), PromptSize(900_000, 1), PROFILE, LIMITS) is Lane.LONG

    def test_short_lane_gets_what_it_needs_and_the_long_lane_the_rest(self):
        quiet = split_lanes(views([Work()] * 23), PROFILE)
        assert (len(quiet.long), len(quiet.short)) == (22, 1)
        busy = split_lanes(views([Work(short_requests=4)] * 23), PROFILE)
        assert len(busy.short) == 17
        flooded = split_lanes(views([Work(short_requests=8)] * 23), PROFILE)
        assert len(flooded.long) == 3

    def test_single_engine_is_in_both_lanes(self):
        only = split_lanes(views([Work()]), PROFILE)
        assert only.long == only.short


class TestShortPrompts:
    """Short prompts next to long ones."""

    def test_avoids_engines_that_prefill_long_prompts(self):
        works = [Work(prefill_ms=900.0, long_requests=1)] * 4 + [Work(short_requests=2)] * 2
        placement = place_prompt(
            split_lanes(views(works), PROFILE), Lane.SHORT, SHORT, 0.3, PROFILE, LIMITS, ALONE
        )
        assert placement.server.server_id in ("e4", "e5")
        assert placement.predicted_s < 0.2

    def test_uses_an_idle_engine_of_the_long_lane_while_its_own_lane_still_prefills(self):
        """The mix changes from long to short within a second, and the short lane grows by engines
        that still prefill a long prompt. A short prompt placed there would wait for over a second
        while an engine of the long lane is idle."""
        busy = Work(prefill_ms=1200.0, prefill_requests=1, long_requests=1)
        works = [Work()] * 2 + [busy] * 6 + [Work(short_requests=8)] * 4
        placement = place_prompt(
            split_lanes(views(works), PROFILE), Lane.SHORT, SHORT, 0.3, PROFILE, LIMITS, ALONE
        )
        assert placement.predicted_s < 0.3

    def test_largest_short_prompt_gets_helpers(self):
        works = [Work(short_requests=4)] * 10
        placement = place_prompt(
            split_lanes(views(works), PROFILE),
            Lane.SHORT,
            PromptSize(20_000, 500),
            0.3,
            PROFILE,
            LIMITS,
            ALONE,
        )
        assert len(placement.helpers) == 2

    def test_no_placement_when_all_slots_are_taken(self):
        works = [Work(short_requests=8)] * 3
        assert (
            place_prompt(
                split_lanes(views(works), PROFILE), Lane.SHORT, SHORT, 0.3, PROFILE, LIMITS, ALONE
            )
            is None
        )


class TestLongPrompts:
    """Long prompts next to short ones."""

    def test_is_prefilled_by_enough_idle_engines_to_meet_its_goal(self):
        placement = place_prompt(
            split_lanes(views([Work()] * 23), PROFILE), Lane.LONG, LONG, 3.0, PROFILE, LIMITS, ALONE
        )
        assert len(placement.helpers) >= 8
        assert placement.predicted_s < 1.0

    def test_does_not_delay_short_requests_when_other_engines_are_free(self):
        works = [Work()] * 8 + [Work(short_requests=5)] * 15
        placement = place_prompt(
            split_lanes(views(works), PROFILE), Lane.LONG, LONG, 3.0, PROFILE, LIMITS, ALONE
        )
        used = {part.incarnation_id for part in placement.parts}
        assert used <= {f"e{number}" for number in range(8)}

    def test_engines_that_answer_prompts_in_prefill_help_with_the_next_prompt(self):
        """Long prompts arrive faster than their answers start. Guards against counting them as if
        they were being decoded: their engines would seem too expensive to delay, and two or three
        engines would prefill the next prompt for five seconds."""
        answering = Work(long_requests=1, prefill_requests=1, tokens=200_000, prefill_ms=450.0)
        works = [answering] * 12 + [Work(short_requests=5)] * 8
        lanes = split_lanes(views(works), PROFILE)
        placement = place_prompt(lanes, Lane.LONG, LONG, 3.0, PROFILE, LIMITS, ALONE)
        assert len(placement.parts) >= 6
        assert placement.predicted_s < 0.5 * 3.0

    def test_does_not_queue_behind_a_long_prompt_when_small_parts_are_possible(self):
        """During a load of mostly short requests, the few engines of the long lane prefill a prompt
        that takes ten seconds. A prompt of medium length queued behind it would miss its goal by
        far, while the short lane can prefill it in parts that cause no noticeable pause."""
        works = [Work(prefill_ms=9000.0, prefill_requests=1, long_requests=1)] * 3
        works += [Work(short_requests=5)] * 20
        placement = place_prompt(
            split_lanes(views(works), PROFILE),
            Lane.LONG,
            PromptSize(32_000, 700),
            1.5,
            PROFILE,
            LIMITS,
            ALONE,
        )
        assert placement.predicted_s < 0.9

    def test_prompt_larger_than_one_engine_is_held_by_several(self):
        placement = place_prompt(
            split_lanes(views([Work()] * 12), PROFILE),
            Lane.LONG,
            PromptSize(900_000, 700),
            3.0,
            PROFILE,
            LIMITS,
            ALONE,
        )
        assert sum(holding.tokens for holding in placement.holdings) == 900_700
        assert all(holding.tokens <= 405_000 for holding in placement.holdings)
        assert placement.holdings[0].server == placement.server
        helpers = {helper.server_id for helper in placement.helpers}
        assert all(holding.server.server_id in helpers for holding in placement.holdings[1:])

    def test_engine_without_free_memory_does_not_answer(self):
        works = [Work(tokens=300_000, long_requests=1)] * 2 + [Work()] + [Work(short_requests=3)]
        placement = place_prompt(
            split_lanes(views(works), PROFILE), Lane.LONG, LONG, 3.0, PROFILE, LIMITS, ALONE
        )
        assert placement.server.server_id == "e2"

    def test_free_memory_of_an_overcommitted_engine_is_never_negative(self):
        """Under heavy load, entries that place prompts at the same time overcommit the memory of an
        engine. Guards against a plan with a negative holding, which can't be encoded in the reports
        to the peers and ended the process."""
        works = [Work(tokens=420_000, long_requests=2)] + [Work(short_requests=8)] * 11
        placement = place_prompt(
            split_lanes(views(works), PROFILE),
            Lane.LONG,
            PromptSize(60_000, 700),
            3.0,
            PROFILE,
            LIMITS,
            ALONE,
        )
        assert placement is None or all(holding.tokens > 0 for holding in placement.holdings)

    def test_no_placement_for_a_prompt_larger_than_all_memory(self):
        lanes = split_lanes(views([Work()] * 2), PROFILE)
        assert (
            place_prompt(lanes, Lane.LONG, PromptSize(900_000, 1), 3.0, PROFILE, LIMITS, ALONE)
            is None
        )


class TestSlowEngines:
    """A third of the engines are five times slower for some seconds."""

    SLOW = frozenset({1, 4, 7, 10, 13, 16, 19})

    def fleet(self, work: Work = NO_WORK, pace: float = 5.0) -> list[ServerView]:
        """Return 21 engines with the same work, some of them slow."""
        return [
            ServerView(server(n), work, pace=pace if n in self.SLOW else 1.0) for n in range(21)
        ]

    @pytest.mark.parametrize("lane", [Lane.SHORT, Lane.LONG])
    def test_prompt_avoids_them(self, lane):
        """A prompt is prefilled in parts by many engines and waits for the slowest one. With one
        slow engine among 16, answers to long prompts predicted within 0.4 s started after 4 s."""
        prompt, goal_s = (SHORT, 0.3) if lane is Lane.SHORT else (LONG, 3.0)
        placement = place_request(self.fleet(), lane, prompt, goal_s, PROFILE, LIMITS, ALONE)
        assert placement.predicted_s < goal_s
        assert not {part.incarnation_id for part in placement.parts} & {f"e{n}" for n in self.SLOW}

    def test_they_are_used_when_no_other_engine_has_room(self):
        full = Work(short_requests=PROFILE.slots)
        views = [
            view if view.pace > 1.0 else view._replace(work=full) for view in self.fleet(pace=2.0)
        ]
        placement = place_request(views, Lane.SHORT, SHORT, 0.3, PROFILE, LIMITS, ALONE)
        assert int(placement.server.server_id[1:]) in self.SLOW

    def test_prompt_is_placed_when_all_are_slow(self):
        views = [view._replace(pace=4.0) for view in self.fleet()]
        placement = place_request(views, Lane.LONG, LONG, 3.0, PROFILE, LIMITS, ALONE)
        quick = place_request(self.fleet(), Lane.LONG, LONG, 3.0, PROFILE, LIMITS, ALONE)
        assert placement.predicted_s > 2 * quick.predicted_s


class TestLimitedEngines:
    """Engines with a rate limit."""

    def fleet(self, limited: int) -> list[ServerView]:
        """Return ten idle engines, of which that many are limited."""
        return [
            view._replace(is_limited=number < limited)
            for number, view in enumerate(views([NO_WORK] * 10))
        ]

    def test_prompt_is_prefilled_by_the_others(self):
        """Guards against an overloaded engine that gets parts of prompts from other engines."""
        placement = place_request(
            self.fleet(5),
            Lane.LONG,
            LONG,
            3.0,
            PROFILE,
            LIMITS,
            PlacementRandomizer(random.Random(1)),
        )
        helpers = {helper.server_id for helper in placement.helpers}
        assert helpers
        assert not helpers & {"e0", "e1", "e2", "e3", "e4"}

    @pytest.mark.parametrize("tokens", [300_000, 600_000])
    def test_prompt_too_large_for_one_engine_uses_limited_ones_if_all_are_limited(self, tokens):
        """Guards against large prompts that are never answered while all engines are limited."""
        prompt = PromptSize(tokens, 650)
        placement = place_request(
            self.fleet(10),
            Lane.LONG,
            prompt,
            4.0,
            PROFILE,
            LIMITS,
            PlacementRandomizer(random.Random(1)),
        )
        assert placement.predicted_s <= 4.0
