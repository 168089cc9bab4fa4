"""Measure retries in a partial outage, each part of them left out in turn, on the mock clock.

Run as ``python -m sassafrastally.testing.measure_retries --seeds 5``. Entry and sidecars run the
real code over memory streams; a variant changes only what decides on an attempt after one that
failed. Of six replicas two die repeatedly in the middle of answers, one becomes ten times slower
and one refuses what it has committed to.
"""

from __future__ import annotations

import argparse
import json
import logging
from concurrent.futures import ProcessPoolExecutor
from contextlib import asynccontextmanager, contextmanager
from random import Random
from statistics import mean
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest.mock import patch

import structlog
import trio
import trio.testing

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model
from sassafrastally.entry import execution, path
from sassafrastally.entry.request import COMPLETIONS, CallOptions, read_completion
from sassafrastally.serving.refusals import Refusal
from sassafrastally.serving.retries import Attempted, RetryBudget, RetryDecision, decide_retry
from sassafrastally.sidecar.engine import EngineRefused
from sassafrastally.testing.deployment import (
    DeploymentShape,
    VmSpec,
    key_digest,
    open_deployment,
)
from sassafrastally.testing.engine_model import EngineShape
from sassafrastally.testing.engine_prompt import CHARACTERS_PER_TOKEN
from sassafrastally.testing.network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from sassafrastally.entry.attempt_result import AttemptResult
    from sassafrastally.entry.candidates import Reachable
    from sassafrastally.serving.retries import RetryRules
    from sassafrastally.sidecar.engine import EngineRequest
    from sassafrastally.testing.deployment import Deployment
    from sassafrastally.testing.engine_fake import FakeRun
    from sassafrastally.testing.engine_model import EngineModel

MODEL = "reader"
REPLICAS = 6
LATENCY_S = 0.002
SETTLE_S = 5.0
LOAD_S = 30.0
OUTAGE_AFTER_S = 5.0
OUTAGE_S = 22.0
TIME_LIMIT_S = 8.0
UP_S = 2.5
"""Mean time between a revival and the next death of a replica that dies."""
DOWN_S = 0.3
SLOWNESS = 10.0
ENGINE_SPEED = 1.0
DECODE_STRIDE = 8
LENGTHS = ((0.75, 200, 2_000), (0.2, 4_000, 8_000), (0.05, 16_000, 30_000))
"""Share of the prompts, and their shortest and longest in tokens."""
ANSWER_TOKENS = (40, 160)
UNBOUNDED = 1e9


class Variant(NamedTuple):
    """Which parts of the retries are in force."""

    name: str
    bounds_tokens: bool = True
    checks_time: bool = True
    keeps_ratio: bool = True
    has_jitter: bool = True
    heeds_hint: bool = True
    changes_replica: bool = True
    resumes: bool = True


OURS = Variant("all parts")
PLAIN = Variant("plain back-off", *[False] * 7)
VARIANTS = (
    OURS,
    PLAIN,
    Variant("without tokens-spent bound", bounds_tokens=False),
    Variant("without time check", checks_time=False),
    Variant("without ratio", keeps_ratio=False),
    Variant("without jitter", has_jitter=False),
    Variant("without server's hint", heeds_hint=False),
    Variant("without another replica", changes_replica=False),
    Variant("without resume", resumes=False),
)


class Outage(NamedTuple):
    """What happens to the engines and how much is asked of them."""

    name: str
    load: float
    """Requests a second."""
    dying: int
    slow: int
    refusing: int


OUTAGES = (
    Outage("partial", 18.0, dying=2, slow=1, refusing=1),
    Outage("wide", 18.0, dying=5, slow=0, refusing=0),
)


class Figures(NamedTuple):
    """What one run gave."""

    good_per_s: float
    """Whole answers within the time limit, each second of load."""
    good_share: float
    wasted_ktokens: float
    tokens_per_answer: float
    """Engine tokens, the wasted ones included, for each whole answer."""
    first_p95_s: float
    """Time to first token of the whole answers."""
    refused_after_s: float
    """Mean wait of those who got no whole answer."""
    retries: float


class Plan(NamedTuple):
    """One run."""

    variant: Variant
    outage: Outage
    seed: int


class _LongestPause(Random):
    """Back-off without jitter: the pause is its bound."""

    def uniform(self, a: float, b: float) -> float:
        return max(a, b)


def varied_execution(variant: Variant) -> type[execution.Execution]:
    """Return an execution that lacks the parts that the variant leaves out."""

    class Varied(execution.Execution):
        def _choose(self, known: dict[str, Reachable]) -> list[Reachable]:
            if not variant.changes_replica:
                self._failed_vms.clear()
            return super()._choose(known)

        async def _after_run(self, result: AttemptResult) -> None:
            if not variant.resumes and self._answer.shown_tokens:
                raise self._why_not_whole(result)[0]
            await super()._after_run(result)

    return Varied


class Decisions:
    """Stands in for `decide_retry` and counts the retries.

    Parameters
    ----------
    variant
        Parts in force.
    """

    def __init__(self, variant: Variant) -> None:
        self.retries = 0
        self._variant = variant

    def decide(
        self,
        rules: RetryRules,
        attempted: Attempted,
        budget: RetryBudget,
        time_left_s: float,
        server_hint_s: float,
        random: Random,
    ) -> RetryDecision:
        """Decide with the parts that are in force."""
        variant = self._variant
        if not variant.bounds_tokens:
            rules = rules._replace(max_spent_ratio=UNBOUNDED)
        decision = decide_retry(
            rules,
            attempted,
            budget if variant.keeps_ratio else RetryBudget(UNBOUNDED),
            time_left_s if variant.checks_time else UNBOUNDED,
            server_hint_s if variant.heeds_hint else 0.0,
            random if variant.has_jitter else _LongestPause(),
        )
        self.retries += decision.is_allowed
        return decision


@contextmanager
def in_force(variant: Variant) -> Iterator[Decisions]:
    """Let entries of this process retry as a variant says while the context lasts."""
    decisions = Decisions(variant)
    with (
        patch.object(path, "Execution", varied_execution(variant)),
        patch.object(execution, "decide_retry", decisions.decide),
    ):
        yield decisions


class Load:
    """Callers at random times, and what they got.

    Parameters
    ----------
    deployment
        What serves them.
    random
        Times and lengths.
    """

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self.sent = 0
        self.whole_tokens = 0
        self.firsts_s: list[float] = []
        self.refused_s: list[float] = []
        self._path = deployment.node("entry-1").kernel.get("path", path.RequestPath)
        self._random = random

    async def run(self, rate_per_s: float) -> None:
        """Send requests for `LOAD_S` and wait for the last of them."""
        until_s = trio.current_time() + LOAD_S
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until_s:
                nursery.start_soon(self._ask, self._body())
                await trio.sleep(self._random.expovariate(rate_per_s))

    def _body(self) -> bytes:
        shares = [share for share, _, _ in LENGTHS]
        _, low, high = self._random.choices(LENGTHS, shares)[0]
        tokens = self._random.randint(low, high)
        self.sent += 1
        text = f"{self.sent}: ".ljust(tokens * CHARACTERS_PER_TOKEN, ".")
        limit = self._random.randint(*ANSWER_TOKENS)
        return json.dumps(
            {"model": MODEL, "prompt": text, "max_tokens": limit, "stream": True}
        ).encode()

    async def _ask(self, body: bytes) -> None:
        bundle = self._path.bundle().bundle
        started_s = trio.current_time()
        options = CallOptions(TIME_LIMIT_S, True, "")
        customer = bundle.customers[0]
        request = read_completion(body, COMPLETIONS, options, customer, bundle, started_s)
        try:
            async with self._path.open(request) as answer:
                first_s = trio.current_time() - started_s
                async for _ in answer:
                    pass
                end = answer.end
                assert end is not None
                self.firsts_s.append(first_s)
                self.whole_tokens += end.prompt_tokens - end.cached_tokens + end.output_tokens
        except Refusal:
            self.refused_s.append(trio.current_time() - started_s)


async def _die_repeatedly(model: EngineModel, random: Random) -> None:
    while True:
        await trio.sleep(random.expovariate(1 / UP_S))
        model.die()
        await trio.sleep(DOWN_S)
        model.revive()


@asynccontextmanager
async def _refuse_run(_: EngineRequest) -> AsyncIterator[FakeRun]:
    await trio.lowlevel.checkpoint()
    raise EngineRefused("no new runs")
    yield


async def _break(deployment: Deployment, outage: Outage, seed: int) -> None:
    """Let the outage happen; the engines that it hits are the first ones."""
    await trio.sleep(OUTAGE_AFTER_S)
    vms = iter(sorted(deployment.engines))
    async with trio.open_nursery() as nursery:
        for number in range(outage.dying):
            random = Random(f"{seed}/{number}")
            nursery.start_soon(_die_repeatedly, deployment.engines[next(vms)], random)
        for _ in range(outage.slow):
            model = deployment.engines[next(vms)]
            model.shape = model.shape._replace(speed=model.shape.speed / SLOWNESS)
        for _ in range(outage.refusing):
            client = deployment.engine_clients[next(vms)]
            client.generate = _refuse_run  # type: ignore[method-assign, assignment]
        await trio.sleep(OUTAGE_S)
        nursery.cancel_scope.cancel()


def make_shape(seed: int) -> DeploymentShape:
    """Return one entry before six replicas of one model."""
    vms = [VmSpec(f"engine-{number + 1}", "sidecar") for number in range(REPLICAS)]
    engine = EngineShape(
        models=(MODEL,), total_blocks=16_384, speed=ENGINE_SPEED, decode_stride=DECODE_STRIDE
    )
    bundle = Bundle(
        name="retries",
        models=(Model(MODEL, "1", 200_000),),
        customers=(Customer("counter", (key_digest("counter-key"),)),),
        limits=Limits(),
    )
    return DeploymentShape((*vms, VmSpec("entry-1", "entry")), bundle, engine, seed=seed)


async def _measure(plan: Plan, decisions: Decisions) -> Figures:
    shape = make_shape(plan.seed)
    async with open_deployment(shape, MemoryNetwork(LATENCY_S)) as deployment:
        await trio.sleep(SETTLE_S)
        load = Load(deployment, Random(plan.seed))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_break, deployment, plan.outage, plan.seed)
            await load.run(plan.outage.load)
            nursery.cancel_scope.cancel()
        wasted = sum(model.wasted_tokens for model in deployment.engines.values())
    firsts_s = sorted(load.firsts_s)
    good = len(firsts_s)
    return Figures(
        good_per_s=good / LOAD_S,
        good_share=good / load.sent,
        wasted_ktokens=wasted / 1000,
        tokens_per_answer=(wasted + load.whole_tokens) / max(1, good),
        first_p95_s=firsts_s[int(0.95 * good)] if good else float("nan"),
        refused_after_s=mean(load.refused_s) if load.refused_s else 0.0,
        retries=decisions.retries,
    )


@contextmanager
def _scheduled_by(seed: int) -> Iterator[None]:
    """Let trio run ready tasks in an order that follows from the seed.

    Without it two runs of one plan differ by chance, which would pass for the effect of a part.
    """
    trio._core._run._r.seed(seed)
    with patch.object(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        yield


def run_plan(plan: Plan) -> Figures:
    """Run one variant through one outage on a mock clock of its own."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    clock: Any = trio.testing.MockClock(autojump_threshold=0)
    with _scheduled_by(plan.seed), in_force(plan.variant) as decisions:
        return trio.run(_measure, plan, decisions, clock=clock)


def print_table(outage: Outage, results: dict[Variant, list[Figures]]) -> None:
    """Print the mean of all seeds for each variant, with the least and most of goodput."""
    print(f"\n{outage}")
    print(
        "| variant | goodput/s (least-most) | whole | wasted ktokens | tokens/answer "
        "| first token p95 s | refused after s | retries |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for variant, runs in results.items():
        m = Figures(*(mean(column) for column in zip(*runs, strict=True)))
        goods = [run.good_per_s for run in runs]
        print(
            f"| {variant.name} | {m.good_per_s:.2f} ({min(goods):.2f}-{max(goods):.2f}) "
            f"| {m.good_share:.1%} | {m.wasted_ktokens:.1f} | {m.tokens_per_answer:.0f} "
            f"| {m.first_p95_s:.2f} | {m.refused_after_s:.2f} | {m.retries:.0f} |"
        )


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--outage", choices=[item.name for item in OUTAGES], nargs="*")
    arguments = parser.parse_args()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    chosen = arguments.outage or [item.name for item in OUTAGES]
    with ProcessPoolExecutor(arguments.processes) as pool:
        for outage in [item for item in OUTAGES if item.name in chosen]:
            plans = [Plan(variant, outage, seed) for variant in VARIANTS for seed in seeds]
            results: dict[Variant, list[Figures]] = {}
            for plan, figures in zip(plans, pool.map(run_plan, plans), strict=True):
                results.setdefault(plan.variant, []).append(figures)
            print_table(outage, results)


if __name__ == "__main__":
    main()
