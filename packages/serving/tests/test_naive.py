"""Tests of the first-come, first-served scheduler."""

from __future__ import annotations

from random import Random

import pytest

from sassafrastally.control.bundle import Weights
from sassafrastally.serving.naive import NaiveScheduler
from sassafrastally.serving.scheduling import EngineState, Work
from sassafrastally.testing.bench.stepped import FixedCost, SteppedEngine


def make_work(
    name: str, prompt_tokens: int, arrived_s: float = 0.0, output_tokens: int = 10
) -> Work:
    return Work(name, 1, "c", prompt_tokens, 0, output_tokens, 0, arrived_s, arrived_s + 900.0)


def make_scheduler() -> NaiveScheduler:
    scheduler = NaiveScheduler(Weights())
    scheduler.cost = FixedCost()
    return scheduler


class TestPick:
    def test_oldest_goes_first(self) -> None:
        waiting = [make_work("late", 100, 2.0), make_work("early", 90_000, 1.0)]
        state = EngineState(3.0, 100, 2_000, 2_000, ())
        picked = make_scheduler().pick(waiting, state)
        assert picked is not None
        assert picked.request_id == "early"

    def test_nothing_overtakes_work_that_does_not_fit(self) -> None:
        waiting = [make_work("late", 100, 2.0), make_work("early", 90_000, 1.0)]
        assert make_scheduler().pick(waiting, EngineState(3.0, 100, 2_000, 500, ())) is None

    def test_empty_queue(self) -> None:
        assert make_scheduler().pick([], EngineState(0.0, 100, 10, 10, ())) is None


class TestPredict:
    @pytest.mark.parametrize("seed", range(12))
    def test_agrees_with_the_stepped_engine(self, seed: int) -> None:
        random = Random(seed)
        engine = SteppedEngine(make_scheduler(), total_blocks=600)
        works = [
            make_work(f"w{number}", random.choice((500, 3_000, 20_000)), number * 0.01)
            for number in range(random.randrange(1, 8))
        ]
        for work in works:
            engine.step([work])
        target = make_work("target", 2_000, engine.now_s)
        predicted = engine.scheduler.predict(target, engine.waiting, engine.state())
        engine.waiting.append(target)
        actual_s = engine.run_until_first_token("target", 120.0)
        assert -0.05 < predicted.first_token_s - actual_s < 0.16
