"""Tests of the bench: its load, its measures and small runs in both modes."""

from __future__ import annotations

import json
import math
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from sassafrastally.testing.bench import run
from sassafrastally.testing.bench.deployment import (
    DEPLOYMENTS,
    Deployment,
    engine_shape,
    prefill_alone_s,
)
from sassafrastally.testing.bench.direct import run_direct
from sassafrastally.testing.bench.fleet import ENGINE_LOST, PolicyPair, RunPlan
from sassafrastally.testing.bench.full import run_full
from sassafrastally.testing.bench.measures import RunContext, Sample, percentile, summarise
from sassafrastally.testing.bench.table import render, to_json
from sassafrastally.testing.bench.workload import (
    LENGTH_CLASSES,
    LONG_CLASSES,
    Arrival,
    arrivals,
    document_text,
)

if TYPE_CHECKING:
    from pathlib import Path

SHAPE = engine_shape()
OURS = PolicyPair("ours", "prefix-affinity", "lanes")
NAIVE = PolicyPair("naive", "round-robin", "naive")


def small_deployment() -> Deployment:
    return DEPLOYMENTS["sondrio"]._replace(engines=3, entries=2)


def make_plan(policy: PolicyPair, duration_s: float = 6.0, fault: str = "") -> RunPlan:
    return RunPlan(small_deployment(), policy, 0.7, duration_s, 1, fault, SHAPE)


def short_load(duration_s: float = 6.0) -> list[Arrival]:
    load = arrivals(small_deployment(), SHAPE, 0.7, duration_s, 1)
    return [one for one in load if one.length_class <= 1]


def make_arrival(number: int, length_class: int = 0, customer: int = 0) -> Arrival:
    tokens = LENGTH_CLASSES[length_class].least_tokens
    return Arrival(number, 10.0, 0, customer, length_class, tokens, 10, 30.0, -1)


def make_context() -> RunContext:
    return RunContext("d", "p", 0.7, "", 20.0, SHAPE, 7, 1.0)


class TestWorkload:
    def test_same_seed_same_load(self) -> None:
        deployment = DEPLOYMENTS["yeso-justo"]
        first, second, other = (arrivals(deployment, SHAPE, 0.7, 30.0, seed) for seed in (1, 1, 2))
        assert first == second != other

    def test_one_in_fifty_is_long_and_all_lengths_occur(self) -> None:
        load = arrivals(DEPLOYMENTS["yeso-justo"], SHAPE, 0.7, 900.0, 1)
        counts = Counter(one.length_class for one in load)
        share = sum(counts[place] for place in LONG_CLASSES) / len(load)
        assert 0.015 < share < 0.025
        for one in load:
            kind = LENGTH_CLASSES[one.length_class]
            assert kind.least_tokens <= one.prompt_tokens <= kind.most_tokens

    @pytest.mark.parametrize("load", [0.5, 1.2])
    def test_offers_as_much_work_as_asked(self, load: float) -> None:
        deployment = DEPLOYMENTS["yeso-justo"]
        work_s = sum(
            prefill_alone_s(one.prompt_tokens, SHAPE)
            for one in arrivals(deployment, SHAPE, load, 2_000.0, 1)
        )
        assert work_s / (2_000.0 * deployment.engines) == pytest.approx(load, rel=0.1)

    def test_large_customers_send_more(self) -> None:
        load = arrivals(DEPLOYMENTS["sondrio"], SHAPE, 0.7, 600.0, 1)
        counts = Counter(one.customer for one in load)
        assert len(counts) == 10
        assert min(counts[place] for place in range(3)) > max(
            counts[place] for place in range(3, 10)
        )

    def test_a_document_has_the_same_text_each_time(self) -> None:
        assert document_text(3) == document_text(3) != document_text(4)
        assert document_text(-1) == b""


class TestMeasures:
    def test_percentile(self) -> None:
        assert percentile([3.0, 1.0, 2.0], 0.5) == 2.0
        assert math.isnan(percentile([], 0.5))

    def test_slowdown_is_against_the_same_request_alone(self) -> None:
        samples = [Sample(make_arrival(n), 0.2 * (1 + n), 1.0, "") for n in range(2)]
        figures = summarise(make_context(), samples, {0: 0.2, 1: 0.1})
        assert figures.short_slowdown_p95 == pytest.approx(4.0)

    def test_stretch_is_against_an_idle_engine(self) -> None:
        arrival = make_arrival(0, 3)
        alone_s = prefill_alone_s(arrival.prompt_tokens, SHAPE)
        figures = summarise(make_context(), [Sample(arrival, 2 * alone_s, 20.0, "")], {})
        assert figures.long_stretch_p95 == pytest.approx(2.0)

    def test_goodput_counts_what_came_whole_in_time(self) -> None:
        samples = [
            Sample(make_arrival(0), 0.1, 29.0, ""),
            Sample(make_arrival(1), 0.1, 31.0, ""),
            Sample(make_arrival(2), 0.1, None, "time-limit-passed"),
            Sample(make_arrival(3), None, None, "time-limit-unreachable"),
        ]
        figures = summarise(make_context(), samples, {})
        assert figures.good_share == 0.25
        assert figures.goodput_tokens_per_s == pytest.approx(1_010 / 18.0)
        assert figures.late == 2
        assert figures.refusals == (("time-limit-passed", 1), ("time-limit-unreachable", 1))

    def test_fairness_is_jains_index(self) -> None:
        samples = [
            Sample(make_arrival(0, customer=0), 0.1, 1.0, ""),
            Sample(make_arrival(1, customer=1), None, None, "overloaded"),
        ]
        assert summarise(make_context(), samples, {}).fairness == pytest.approx(0.5)


class TestTable:
    def test_has_a_line_for_each_run_and_valid_json(self) -> None:
        figures = summarise(make_context(), [Sample(make_arrival(0), 0.1, 1.0, "")], {})
        text = render([figures, figures._replace(policy="q")])
        assert [line.split()[0] for line in text.splitlines()[2:4]] == ["p", "q"]
        document = json.loads(to_json([figures]))
        assert document[0]["short_slowdown_p95"] is None
        assert document[0]["classes"][0]["p50_s"] == 0.1


class TestDirect:
    def test_every_arrival_comes_to_an_end(self) -> None:
        load = short_load()
        result = run_direct(make_plan(OURS), load)
        assert {one.arrival for one in result.samples} == set(load)
        assert all(one.is_good for one in result.samples)

    def test_same_seed_same_figures(self) -> None:
        load = short_load(3.0)
        first, second = (run_direct(make_plan(OURS, 3.0), load).samples for _ in range(2))
        assert first == second

    def test_work_of_a_lost_engine_goes_elsewhere(self) -> None:
        load = short_load()
        result = run_direct(make_plan(OURS, fault=ENGINE_LOST), load)
        assert all(one.is_good for one in result.samples)


class TestFull:
    @pytest.mark.parametrize("policy", [NAIVE, OURS])
    def test_real_path_answers_all(self, policy: PolicyPair) -> None:
        load = short_load(2.0)
        result = run_full(make_plan(policy, 2.0), load)
        assert len(result.samples) == len(load)
        assert [one.code for one in result.samples if not one.is_good] == []


class TestCommand:
    def test_prints_a_table_and_writes_json(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / "figures.json"
        arguments = ["--quick", "--mode", "direct", "--deployments", "sondrio"]
        arguments += ["--policies", "naive", "ours", "--duration-s", "2", "--json", str(file)]
        assert run(arguments) == 0
        lines = capsys.readouterr().out.splitlines()
        assert [line.split()[0] for line in lines[2:4]] == ["naive", "ours"]
        assert len(json.loads(file.read_text())) == 2
