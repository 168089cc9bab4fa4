"""Replays of long prompts that arrive within seconds, with load B's figures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.model import EngineProfile, PromptSize
from sassafrastally.testing.load_arrivals import Arrival, Burst, Deployment, Kind, make_arrivals
from sassafrastally.testing.load_replay import LoadReplay, share_of_value
from sassafrastally.testing.mock_run import run_on_mock_clock

if TYPE_CHECKING:
    from sassafrastally.testing.load_replay import Outcome

PROFILE = EngineProfile(
    slots=6,
    memory_tokens=344_250,
    step_ms=0.925,
    per_request_ms=0.00483,
    context_ms_per_k=0.00254,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_million_pairs=0.162,
    chunk_tokens=2048,
    steps_per_pass=38,
    distributed_step_overhead_ms=0.1,
)
DRAFT = Kind("draft", 37.7, 5000, 0.9, 23_800, 36, 0.33, 0.25, 11.0, 1.3, 0.34)
SUMMARY = Kind("summary", 2.65, 45_000, 0.5, 110_000, 21, 1.55, 0.6, 10.3, 3.3, 0.82)
CONTRACT = Kind("contract", 0.858, 260_000, 0.55, 1_000_000, 18, 4.08, 1.0, 15.3, 34.0, 8.6)
UNEVEN = Deployment(PROFILE, 54, 38, (DRAFT, SUMMARY, CONTRACT), 0.09, data_centres=3)

SIZES = (231_000, 587_000, 364_000, 170_000, 190_000, 310_000, 292_000, 900_000)
"""Contract reviews that arrived within 2.4 s on a day of load B, in order."""


def make_cluster(seed: int) -> list[Arrival]:
    """Return the contract reviews of that day, in one data centre, beside the usual short ones."""
    bursts = [Burst(0.0, 8.0, 0.6, ("draft",)), Burst(0.0, 8.0, 0.0, ("contract",))]
    found = make_arrivals(UNEVEN, bursts, 8.0, seed)
    for number, tokens in enumerate(SIZES):
        prompt = PromptSize(tokens, 18 * PROFILE.steps_per_pass)
        found.append(Arrival(2.0 + 2.4 * number / 7, CONTRACT, prompt, 18, data_centre="0"))
    return sorted(found, key=lambda arrival: arrival.at_s)


def replay(deployment: Deployment, seeds: tuple[int, ...], *, yields: bool) -> list[Outcome]:
    """Replay the cluster with several seeds."""
    found: list[Outcome] = []
    for seed in seeds:
        load = LoadReplay(deployment, seed, yields=yields)
        found += run_on_mock_clock(load.run, seed, make_cluster(seed))
    return found


def overtaken(outcomes: list[Outcome]) -> int:
    """Return how many contract reviews had their first event much later than predicted."""
    return sum(
        one.predicted_s is not None
        and one.first_s is not None
        and one.first_s - one.waited_s > 3 * one.predicted_s
        for one in outcomes
        if one.arrival.kind is CONTRACT
    )


class TestLongPromptsTogether:
    """Eight long prompts within 2.4 s, before engines that prefill the newest part first."""

    def test_few_are_overtaken(self):
        """Guards against first events many times later than predicted, behind later prompts."""
        without = replay(UNEVEN, (1, 2, 3), yields=False)
        outcomes = replay(UNEVEN, (1, 2, 3), yields=True)
        assert overtaken(outcomes) < overtaken(without)
        assert share_of_value(outcomes, "contract") > share_of_value(without, "contract") + 0.05
        for kind in ("draft", "summary"):
            assert share_of_value(outcomes, kind) > share_of_value(without, kind) - 0.01
        assert all(one.is_whole for one in outcomes)

    def test_even_links_and_one_priority_change_nothing(self):
        """Guards against a changed service where the rule doesn't apply."""
        even = UNEVEN._replace(data_centres=1)
        outcomes = replay(even, (1,), yields=True)
        assert outcomes == replay(even, (1,), yields=False)
        assert not any(one.waited_s for one in outcomes)
