"""Placement while the load changes, and by many entries at once."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView, split_lanes
from sassafrastally.proxy.load import InFlightAttempt, Lane, Ledger, Work, merge_work
from sassafrastally.proxy.model import (
    PromptSize,
)
from sassafrastally.proxy.placement import place_prompt
from sassafrastally.testing.placement_cases import (
    ALONE,
    LIMITS,
    PROFILE,
    SHORT,
    server,
    views,
)


class Outcome(NamedTuple):
    """Counts of a replay."""

    asked: int
    timely: int


class TestReplay:
    """A load of mostly short requests, then of long ones, then of short ones again."""

    LONG_FROM_S = 6.0
    LONG_UNTIL_S = 14.0
    LENGTH_S = 20.0

    def arrivals(self) -> list[tuple[float, Lane, PromptSize]]:
        """Return the requests: mostly short ones at 55/s, or 9/s next to long ones at 3/s."""
        draw = random.Random(4)
        found = []
        now_s = 0.0
        while now_s < self.LENGTH_S:
            is_long_time = self.LONG_FROM_S <= now_s < self.LONG_UNTIL_S
            short_rate, long_rate = (9.0, 3.0) if is_long_time else (55.0, 0.6)
            now_s += draw.expovariate(short_rate + long_rate)
            if draw.random() < short_rate / (short_rate + long_rate):
                tokens = int(min(23_800, draw.lognormvariate(8.1, 0.9)))
                found.append((now_s, Lane.SHORT, PromptSize(tokens, 1300)))
            else:
                tokens = int(min(380_000, draw.lognormvariate(11.2, 0.8)))
                found.append((now_s, Lane.LONG, PromptSize(tokens, 650)))
        return found

    def replay(self) -> dict[Lane, Outcome]:
        """Place all requests, using only predictions, and count the timely first events."""
        ledger = Ledger()
        ends: list[tuple[float, str, InFlightAttempt]] = []
        counts = {Lane.SHORT: [0, 0], Lane.LONG: [0, 0]}
        for now_s, lane, prompt in self.arrivals():
            for moment in [end for end in ends if end[0] <= now_s]:
                _, what, in_flight = moment
                (ledger.first_event if what == "first" else ledger.remove)(in_flight, moment[0])
                ends.remove(moment)
            work = merge_work(ledger.work(now_s), [])
            order = [ServerView(server(n), work.at(f"e{n}")) for n in range(23)]
            goal_s = 0.3 if lane is Lane.SHORT else 3.0
            placement = place_prompt(
                split_lanes(order, PROFILE), lane, prompt, goal_s, PROFILE, LIMITS, ALONE
            )
            counts[lane][0] += 1
            if placement is None:
                continue
            counts[lane][1] += placement.predicted_s <= goal_s
            memory = {holding.server.server_id: holding.tokens for holding in placement.holdings}
            in_flight = InFlightAttempt(placement.server.server_id, lane, memory, placement.parts)
            ledger.add(in_flight, now_s)
            first_s = now_s + placement.predicted_s
            ends += [(first_s, "first", in_flight), (first_s + 1.8, "end", in_flight)]
        return {lane: Outcome(*count) for lane, count in counts.items()}

    def test_both_kinds_are_served_in_time_while_the_load_changes(self):
        outcome = self.replay()
        short, long = outcome[Lane.SHORT], outcome[Lane.LONG]
        assert short.timely >= 0.97 * short.asked
        assert long.timely >= 0.9 * long.asked


class TestManyEntries:
    """Entries that learn of each other's placements with a delay of 0.1 s."""

    ENTRIES = 21
    ENGINES = 78
    SLOTS = 6
    RATE_PER_S = 150.0
    REPORT_DELAY_S = 0.1
    SECONDS = 8.0

    def overfilled(self, update_age_s: float) -> float:
        """Return the share of short requests placed on an engine without a free slot.

        Parameters
        ----------
        update_age_s
            Report age that the entries assume.
        """
        draw = random.Random(7)
        profile = PROFILE._replace(slots=self.SLOTS)
        randomizers = [
            PlacementRandomizer(random.Random(n), update_age_s) for n in range(self.ENTRIES)
        ]
        placed: list[tuple[float, float, int, str]] = []
        overfilled_count = asked = 0
        now_s = 0.0
        while now_s < self.SECONDS:
            now_s += draw.expovariate(self.RATE_PER_S)
            entry = draw.randrange(self.ENTRIES)
            placed = [row for row in placed if row[1] > now_s]
            running = Counter(row[3] for row in placed)
            reported = Counter(
                row[3] for row in placed if row[2] == entry or row[0] < now_s - self.REPORT_DELAY_S
            )
            works = [Work(short_requests=reported[f"e{n}"]) for n in range(self.ENGINES)]
            lanes = split_lanes(views(works), profile, randomizers[entry])
            placement = place_prompt(
                lanes, Lane.SHORT, SHORT, 0.3, profile, LIMITS, randomizers[entry]
            )
            if placement is None:
                continue
            asked += 1
            overfilled_count += running[placement.server.server_id] >= self.SLOTS
            length_s = draw.uniform(0.9, 2.7)
            placed.append((now_s, now_s + length_s, entry, placement.server.server_id))
        return overfilled_count / asked

    def test_do_not_overfill_one_engine_after_another(self):
        """A burst of short prompts arrives at 21 entries. Without randomization each of them picks
        the same next engine of the lane and learns of the others' choices 0.1 s later. A third of
        the callers then wait for a slot for 0.5 s and longer while other engines are idle."""
        assert self.overfilled(0.0) > 0.3
        assert self.overfilled(self.REPORT_DELAY_S) < 0.1
