"""Replays of overload with the routing and admission decisions of the proxy."""

from __future__ import annotations

import random

import pytest

from sassafrastally.proxy.model import EngineProfile
from sassafrastally.proxy.turning_away import retry_delay_after_failure_s
from sassafrastally.testing.backpressure_fleet import allowed, most_in_window
from sassafrastally.testing.engine_failures import Failure
from sassafrastally.testing.load_arrivals import Burst, Deployment, Kind, make_arrivals
from sassafrastally.testing.load_callers import Callers
from sassafrastally.testing.load_replay import LoadReplay, Outcome, share_of_value
from sassafrastally.testing.mock_run import seeded_scheduling

PROFILE = EngineProfile(
    slots=6,
    memory_tokens=382_500,
    step_ms=0.925,
    per_request_ms=0.00483,
    context_ms_per_k=0.00254,
    prefill_tokens_per_ms=256.0,
    attention_ms_per_million_pairs=0.0917,
    chunk_tokens=2048,
    steps_per_pass=52,
    distributed_step_overhead_ms=0.1,
)

QUESTION = Kind("question", 49.9, 4960, 0.9, 23_800, 33, 0.321, 0.2, 10.0, 1.4, 0.34)
QUOTE = Kind("quote", 7.95, 45_000, 0.5, 110_000, 20, 1.532, 0.5, 10.0, 2.6, 0.66)
DOSSIER = Kind("dossier", 1.35, 300_000, 0.55, 1_000_000, 16.5, 4.055, 0.8, 15.0, 30.0, 7.5)

FLEET = Deployment(
    PROFILE, engines=78, entries=22, kinds=(QUESTION, QUOTE, DOSSIER), news_gap_s=0.088
)

DURATION_S = 12.0
BURST_FROM_S = 2.0
BURST_UNTIL_S = 12.0


async def replay(factor: float, seed: int) -> list[Outcome]:
    """Replay the usual load multiplied by a factor; the test needs a mock clock."""
    bursts = [Burst(BURST_FROM_S, BURST_UNTIL_S, factor)]
    arrivals = make_arrivals(FLEET, bursts, DURATION_S, seed)
    return await LoadReplay(FLEET, seed).run(arrivals)


class TestOverload:
    """Load around capacity, which is about 2.5 times the usual load if no engine time is wasted."""

    async def test_twice_the_usual_load_is_served_in_time(self, autojump_clock):
        outcomes = await replay(2.0, 1)
        assert share_of_value(outcomes) > 0.9

    async def test_few_are_late_at_capacity(self, autojump_clock):
        """Guards against overload without admission control.

        When all requests were admitted, 368 of 1,653 questions and 31 of 55 dossiers were in time.
        Engines prefill the newest part first, so each further dossier delayed the earlier ones.
        Decode next to so much prefill holds slots two to three times as long, and short prompts
        filled nine in ten engines. The estimated prefill backlog was 550 s when 30 s were left.
        """
        outcomes = await replay(2.5, 1)
        assert share_of_value(outcomes, "question") > 0.85
        assert share_of_value(outcomes, "quote") > 0.75
        assert share_of_value(outcomes, "dossier") > 0.4


SONDRIO_LIKE = Deployment(
    PROFILE._replace(slots=8, prefill_tokens_per_ms=154.0, attention_ms_per_million_pairs=0.162),
    engines=14,
    entries=5,
    kinds=(
        Kind("question", 14.0, 4960, 0.9, 23_800, 38, 0.3, 0.25, 10.0, 1.3, 0.33),
        Kind("dossier", 0.363, 182_000, 0.5, 600_000, 19, 4.0, 1.0, 15.0, 24.0, 6.1),
    ),
    news_gap_s=0.02,
)


class TestRateLimitedEngines:
    """Engines whose rate limits are close to the request rate."""

    async def test_dossiers_are_served_and_limits_hold(self, autojump_clock):
        """Guards against prefill parts of long prompts that together exceed the rate limits."""
        arrivals = make_arrivals(SONDRIO_LIKE, [], 20.0, 2)
        replay = LoadReplay(SONDRIO_LIKE, 2, dict.fromkeys(range(14), 1.5))
        outcomes = await replay.run(arrivals)
        assert share_of_value(outcomes, "dossier") > 0.5
        assert share_of_value(outcomes, "question") > 0.75
        for sent_s in replay.sent_s.values():
            assert most_in_window(sent_s, 0.0) <= allowed(1.5)


COUNTER = Deployment(
    PROFILE,
    engines=16,
    entries=10,
    kinds=(
        Kind("question", 15.3, 5000, 0.9, 23_800, 33, 0.271, 0.2, 10.8, 1.4, 0.34, 0),
        Kind("invoice", 2.44, 45_000, 0.5, 110_000, 20, 1.53, 0.5, 10.2, 2.6, 0.66, 1),
        Kind("dossier", 0.416, 300_000, 0.55, 1_000_000, 16, 8.06, 0.8, 15.1, 30.0, 7.5, 2),
    ),
    news_gap_s=0.09,
    customers=(("large", 8.0), *((f"small-{number}", 1.0) for number in range(8))),
)

FLOODS = (
    Burst(0.0, 16.0, 1.5),
    Burst(1.0, 6.0, 2.8, ("dossier",)),
    Burst(6.0, 10.0, 2.4, ("question",)),
    Burst(10.0, 14.0, 2.8, ("dossier",)),
)


def share_in_goal(outcomes: list[Outcome], kind: str) -> float:
    """Return the share of requests of a kind with a whole answer within its goals."""
    chosen = [one.is_timely for one in outcomes if kind == one.arrival.kind.name]
    return sum(chosen) / len(chosen)


def share_served(outcomes: list[Outcome], kind: str = "") -> float:
    """Return the share of requests with a whole answer, in time or late."""
    chosen = [one.is_whole for one in outcomes if kind in ("", one.arrival.kind.name)]
    return sum(chosen) / len(chosen)


class TestFloodsByTurns:
    """Floods of long and of short prompts by turns, with two thirds of the engines."""

    async def test_callers_that_can_wait_are_served(self, autojump_clock):
        """Guards against refusing callers twice that could have waited for some seconds.

        Without the queue, long prompts are refused while engines have much prefill under way, come
        back within the same floods and are lost. One seed has some twenty dossiers; four are
        compared together. Questions, which have the highest priority, must not pay for it: when
        waiting long prompts took all freed room at once, fewer questions met their goal.
        """
        outcomes, without = [], []
        for seed in (3, 4, 5, 6):
            arrivals = make_arrivals(COUNTER, FLOODS, 16.0, seed)
            for queues, found in ((True, outcomes), (False, without)):
                with seeded_scheduling(1):
                    found += await LoadReplay(COUNTER, seed, queues=queues).run(arrivals)
        for kind in ("invoice", "dossier"):
            assert share_served(outcomes, kind) > share_served(without, kind)
        assert share_served(outcomes, "question") >= share_served(without, "question")
        assert share_in_goal(outcomes, "question") >= share_in_goal(without, "question")
        assert share_served(outcomes) > share_served(without)


class TestSharedContention:
    """Entries that tell each other of customers and refused requests."""

    async def outcomes(self, bursts, *, shares: bool, hasty_share: float = 0.0) -> list[Outcome]:
        """Return the outcomes of one replay; the test needs a mock clock."""
        arrivals = make_arrivals(COUNTER, bursts, 10.0, 3)
        callers = Callers(hasty_share)
        with seeded_scheduling(1):
            replay = LoadReplay(COUNTER, 3, shares_contention=shares, callers=callers)
            found = await replay.run(arrivals)
        return sorted(found, key=lambda one: one.arrival.at_s)

    async def test_nothing_changes_without_contention(self, autojump_clock):
        """Guards against a changed service where nobody waits."""
        found = await self.outcomes((), shares=True)
        # Of two replays under one clock, the later one's times differ in the last digits.
        for one, other in zip(found, await self.outcomes((), shares=False), strict=True):
            assert one.arrival == other.arrival
            assert one.first_s == pytest.approx(other.first_s)
        assert not any(one.refusals or one.waited_s for one in found)

    async def test_only_hasty_callers_wait_as_early_ones(self, autojump_clock):
        """Guards against clients that retry at once at another entry, and against taking a caller
        that respects Retry-After for one."""
        flood = (Burst(0.0, 10.0, 3.0),)
        early = {}
        for shares in (True, False):
            found = await self.outcomes(flood, shares=shares, hasty_share=0.3)
            assert sum(one.early_waits for one in found if not one.is_hasty) == 0
            assert any(one.refusals for one in found if not one.is_hasty)
            early[shares] = sum(one.early_waits for one in found)
        assert early[True] > 3 * early[False]


READING_ROOM = COUNTER._replace(
    engines=40,
    kinds=(
        COUNTER.kinds[0]._replace(rate_per_s=5.0),
        COUNTER.kinds[2]._replace(rate_per_s=2.6),
    ),
)
ENGINES = [f"e{number}" for number in range(READING_ROOM.engines)]


def short_delay_s(time_left_s: float | None, draw: float, _goal_left_s: float) -> float:
    """Return a retry delay of 0.1 to 0.3 s, whatever the goal."""
    return retry_delay_after_failure_s(time_left_s, draw)


class TestFailuresOfSeveralEngines:
    """A quarter of the engines fails at once, others every three seconds."""

    async def test_long_prompts_come_back_when_failed_engines_are_known(self, autojump_clock):
        """Guards against callers of long prompts that come back at once.

        A long prompt takes many engines, and each attempt finds only one of those that failed. A
        caller that comes back after 0.1 to 0.3 s meets the next two of them and is lost.
        """
        served = {retry_delay_after_failure_s: 0, short_delay_s: 0}
        for seed in (1, 3):
            arrivals = make_arrivals(READING_ROOM, [], 14.0, seed)
            draw = random.Random(seed)
            failures = [
                Failure(begin_s, begin_s + 2.5, frozenset(draw.sample(ENGINES, 10)))
                for begin_s in (2.0, 5.0, 8.0, 11.0)
            ]
            for delay_s in served:
                with seeded_scheduling(1):
                    replay = LoadReplay(
                        READING_ROOM, seed, failures=failures, delay_after_failure_s=delay_s
                    )
                    outcomes = await replay.run(arrivals)
                dossiers = [one for one in outcomes if one.arrival.kind.name == "dossier"]
                served[delay_s] += sum(one.is_whole for one in dossiers)
        assert served[retry_delay_after_failure_s] > served[short_delay_s]
