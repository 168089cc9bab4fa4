"""Pools of engines by data centre."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.proxy.data_centre_pools import (
    MIN_POOL_ENGINES,
    divide_by_data_centre,
    fits_in_local_data_centre,
    place_locally_first,
    prefers_local_data_centre,
)
from sassafrastally.proxy.lanes import (
    PlacementRandomizer,
    ServerView,
    split_lanes,
    split_lanes_by_centre,
)
from sassafrastally.proxy.load import Lane, Work
from sassafrastally.proxy.model import BackendServer, EngineProfile, PromptSize
from sassafrastally.proxy.placement import place_request
from sassafrastally.proxy.plain_placement import place_plain
from sassafrastally.proxy.prefill_limits import PrefillLimits

PROFILE = EngineProfile(
    slots=5,
    memory_tokens=405_000,
    step_ms=1.31,
    per_request_ms=0.0018,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_million_pairs=0.162,
    chunk_tokens=2048,
    steps_per_pass=53,
    distributed_step_overhead_ms=0.1,
)

LIMITS = PrefillLimits(300.0, 69.0, 62.0, (210.0, 315.0), (600.0, 1080.0), 4.0)

SHORT = PromptSize(5000, 1300)
GOAL_S = 0.42
CENTRES = 5


def server(number: int, centres: int = CENTRES) -> BackendServer:
    """Return an engine; consecutive numbers are in different data centres."""
    centre = f"dc-{number % centres}"
    return BackendServer(f"e{number:03}", "m", Address("10.0.0.1", number + 1), centre, 5, False)


class Outcome(NamedTuple):
    """Result of a replay, as shares of all short requests."""

    overfilled: float
    """Requests placed on an engine without a free slot."""
    far: float
    """Requests answered by another data centre."""


class TestDivision:
    """Conditions for one pool per data centre."""

    def test_many_engines_in_each_data_centre(self):
        pools = divide_by_data_centre(server(number) for number in range(195))
        assert sorted(pools) == [f"dc-{n}" for n in range(CENTRES)]
        assert sum(len(pool) for pool in pools.values()) == 195

    def test_data_centre_that_loses_a_quarter_of_its_engines_keeps_its_pool(self):
        """A quarter of the engines leave within a second, followed by a burst. Entries that choose
        among all engines from then on learn of most of the load late and overfill the same
        engines."""
        assert divide_by_data_centre(server(number) for number in range(195) if number % 20 >= 5)

    def test_no_pools_with_too_few_engines_or_a_single_data_centre(self):
        assert divide_by_data_centre(server(number) for number in range(45)) == {}
        assert divide_by_data_centre(server(number, 1) for number in range(100)) == {}
        uneven = [server(n, 1) for n in range(100)]
        uneven += [server(n, 2) for n in range(1, 2 * MIN_POOL_ENGINES - 2, 2)]
        assert divide_by_data_centre(uneven) == {}

    def test_lanes_of_a_data_centre_are_those_that_its_own_entries_see(self):
        """An entry in another data centre places a long prompt on the lanes of all engines. If
        these differ from the lanes of each data centre, the prompt is prefilled on engines that
        decode short answers for their own data centre."""
        views = [
            ServerView(server(n), Work(short_requests=4 if n % CENTRES == 0 else 0))
            for n in range(195)
        ]
        lanes = split_lanes_by_centre(views, PROFILE)
        for centre in range(CENTRES):
            near = [view for view in views if view.server.data_centre == f"dc-{centre}"]
            seen_there = split_lanes(near, PROFILE)
            assert set(seen_there.short) == {view for view in lanes.short if view in near}
            assert set(seen_there.long) == {view for view in lanes.long if view in near}


class TestBurst:
    """A burst of short prompts at 68 entries with 195 engines."""

    ENTRIES = 68
    ENGINES = 195
    RATE_PER_S = 330.0
    NEAR_REPORT_DELAY_S = 0.07
    FAR_REPORT_DELAY_S = 0.3
    SECONDS = 3.0

    def replay(self, *, is_near_first: bool) -> Outcome:
        """Place a burst; reports arrive soon in the own data centre and later in the others."""
        draw = random.Random(11)
        servers = [server(number) for number in range(self.ENGINES)]
        randomizer = PlacementRandomizer(random.Random(3), self.NEAR_REPORT_DELAY_S)
        placed: list[tuple[float, float, int, str]] = []
        asked = late = far = 0
        now_s = 0.0
        while now_s < self.SECONDS:
            now_s += draw.expovariate(self.RATE_PER_S)
            entry = draw.randrange(self.ENTRIES)
            placed = [row for row in placed if row[1] > now_s]
            running = Counter(row[3] for row in placed)
            reported = Counter(row[3] for row in placed if self.is_reported(entry, row, now_s))
            views = [ServerView(s, Work(short_requests=reported[s.server_id])) for s in servers]
            centre = f"dc-{entry % CENTRES}"
            near = [view for view in views if view.server.data_centre == centre]
            plan = None
            for choice in (near, views) if is_near_first else (views,):
                plan = place_request(
                    choice, Lane.SHORT, SHORT, GOAL_S, PROFILE, LIMITS, randomizer, by_centre=True
                )
                if fits_in_local_data_centre(plan, GOAL_S):
                    break
            asked += 1
            if plan is None:
                continue
            late += running[plan.server.server_id] >= PROFILE.slots
            far += plan.server.data_centre != centre
            length_s = draw.uniform(0.9, 2.7)
            placed.append((now_s, now_s + length_s, entry, plan.server.server_id))
        return Outcome(late / asked, far / asked)

    def is_reported(self, entry: int, row: tuple[float, float, int, str], now_s: float) -> bool:
        """Return whether an entry knows of a request that another placed."""
        begin_s, _, other, _ = row
        if entry == other:
            return True
        is_near = entry % CENTRES == other % CENTRES
        return begin_s < now_s - (self.NEAR_REPORT_DELAY_S if is_near else self.FAR_REPORT_DELAY_S)

    def test_is_answered_in_the_own_data_centre_by_engines_with_free_slots(self):
        """Entries that choose among the engines of all data centres learn of most of the load late
        and overfill the same engines; four in five answers cross data centres."""
        everywhere = self.replay(is_near_first=False)
        near_first = self.replay(is_near_first=True)
        assert everywhere.far > 0.7
        assert everywhere.overfilled > 0.5
        assert near_first.far < 0.1
        assert near_first.overfilled < 0.1


class TestUnevenLinks:
    """Long prompts and plain requests where traffic between data centres is expensive."""

    CENTRES = 3
    GOAL_S = 4.08
    PROMPT = PromptSize(260_000, 650)

    def views(self, local_prefill_ms: float) -> list[ServerView]:
        """Return 18 engines in each data centre; those of the first have prefill to do."""
        return [
            ServerView(
                server(number, self.CENTRES),
                Work(prefill_ms=0.0 if number % self.CENTRES else local_prefill_ms),
            )
            for number in range(54)
        ]

    def centres_used(self, local_prefill_ms: float, *, has_uneven_links: bool) -> set[str]:
        """Return the data centres whose engines prefill a long prompt of the first one."""
        views = self.views(local_prefill_ms)
        local = [view for view in views if view.server.data_centre == "dc-0"]
        randomizer = PlacementRandomizer(random.Random(3), 0.07)
        is_local = prefers_local_data_centre(Lane.LONG, lambda: has_uneven_links)
        plan = place_locally_first(
            lambda among: place_request(
                among,
                Lane.LONG,
                self.PROMPT,
                self.GOAL_S,
                PROFILE,
                LIMITS,
                randomizer,
                by_centre=True,
            ),
            local if is_local else (),
            lambda: views,
            self.GOAL_S,
        )
        assert plan is not None
        return {one.data_centre for one in (plan.server, *plan.helpers)}

    def test_long_prompt_that_is_in_time_stays_in_its_data_centre(self):
        """Guards against long prompts whose parts cross between data centres without need."""
        assert self.centres_used(0.0, has_uneven_links=True) == {"dc-0"}
        assert len(self.centres_used(0.0, has_uneven_links=False)) > 1

    def test_long_prompt_that_would_be_late_is_placed_anywhere(self):
        assert self.centres_used(6000.0, has_uneven_links=True) != {"dc-0"}

    def test_plain_requests_cross_only_when_near_servers_are_busier(self):
        """Six plain servers in three data centres, 4.9 requests per second of 60 ms. Without the
        preference, two in three requests would cross between data centres."""
        draw = random.Random(7)
        servers = [server(number, self.CENTRES) for number in range(6)]
        running: list[tuple[float, str]] = []
        now_s, far, worse, asked = 0.0, 0, 0, 4000
        for number in range(asked):
            now_s += draw.expovariate(4.91)
            running = [row for row in running if row[0] > now_s]
            work = Counter(server_id for _, server_id in running)
            views = [ServerView(s, Work(plain_requests=work[s.server_id])) for s in servers]
            centre = f"dc-{number % self.CENTRES}"
            chosen = place_plain(views, centre)
            far += chosen.data_centre != centre
            worse += work[chosen.server_id] > min(work[s.server_id] for s in servers)
            running.append((now_s + 0.06, chosen.server_id))
        assert far / asked < 0.02
        assert worse == 0
