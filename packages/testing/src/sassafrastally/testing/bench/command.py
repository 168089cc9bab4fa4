"""The command ``sassafrastally bench``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving import lanes, naive, policies
from sassafrastally.serving.routing import ROUTING_POLICIES
from sassafrastally.testing.bench.deployment import (
    DEPLOYMENTS,
    ENGINE_MEMORY_TOKENS,
    engine_shape,
)
from sassafrastally.testing.bench.direct import run_direct
from sassafrastally.testing.bench.fleet import ENGINE_LOST, PolicyPair, RunPlan
from sassafrastally.testing.bench.full import run_full
from sassafrastally.testing.bench.measures import RunContext, RunFigures, summarise
from sassafrastally.testing.bench.table import render, to_json
from sassafrastally.testing.bench.workload import SHORT_CLASS, arrivals

if TYPE_CHECKING:
    from collections.abc import Sequence

REGISTERING = (lanes, naive, policies)
"""Modules whose import fills the registries."""

POLICIES = {
    "naive": PolicyPair("naive", "round-robin", "naive"),
    "least-loaded": PolicyPair("least-loaded", "least-loaded", "naive"),
    "ours": PolicyPair("ours", "prefix-affinity", "lanes"),
}
"""Policies that stand side by side in one run, by name."""

MODES = {"full": run_full, "direct": run_direct}
"""Ways to run: the real code of entry and sidecar, or only the policies with engine models."""

WITHOUT = "ours-without-"
"""Prefix of a policy's name that leaves one part out of ours."""

LOADS = (0.5, 0.7, 0.9, 1.2)
FAULT_LOAD = 0.7
DURATION_S = 60.0
QUICK_DURATION_S = 20.0
QUICK_LOADS = (0.7,)


class Case(NamedTuple):
    """Load and fault of a run."""

    load: float
    fault: str


def run(argv: Sequence[str]) -> int:
    """Run the bench as the arguments say and print its table.

    Returns
    -------
    int
        Exit code, 0.
    """
    options = _parser().parse_args(argv)
    runs: list[RunFigures] = []
    for name in options.deployments:
        for case in _cases(options):
            runs += _side_by_side(name, case, options)
            print(f"{name} {case.load:.0%} {case.fault or 'no fault'} done", file=sys.stderr)
    print(render(runs))
    if options.json:
        Path(options.json).write_text(to_json(runs) + "\n", encoding="utf-8")
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sassafrastally bench", description="Measure policies side by side on a seeded load."
    )
    parser.add_argument("--quick", action="store_true", help="one load, one minute, no fault")
    parser.add_argument("--deployments", nargs="+", choices=sorted(DEPLOYMENTS))
    parser.add_argument("--mode", choices=sorted(MODES), default="full")
    parser.add_argument(
        "--policies", nargs="+", help="names, ours-without-PART, or ROUTING+SCHEDULER"
    )
    parser.add_argument("--loads", nargs="+", type=float, help="1 keeps all engines just busy")
    parser.add_argument("--faults", nargs="*", choices=[ENGINE_LOST])
    parser.add_argument("--duration-s", type=float, help="length of the arrivals")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--engine-memory-tokens", type=int, default=ENGINE_MEMORY_TOKENS)
    parser.add_argument("--json", help="file for the figures")
    parser.set_defaults(deployments=list(DEPLOYMENTS), policies=list(POLICIES))
    return parser


def _cases(options: argparse.Namespace) -> list[Case]:
    loads = options.loads or (QUICK_LOADS if options.quick else LOADS)
    cases = [Case(load, "") for load in loads]
    faults = options.faults
    if faults is None:
        faults = [] if options.quick else [ENGINE_LOST]
    return cases + [Case(FAULT_LOAD, fault) for fault in faults]


def _policy(name: str) -> PolicyPair:
    """Return a policy by name, ours without one part, or any routing and scheduler."""
    if name in POLICIES:
        return POLICIES[name]
    if (part := name.removeprefix(WITHOUT)) != name:
        ours = POLICIES["ours"]
        if f"{ours.routing}-without-{part}" in ROUTING_POLICIES:
            return ours._replace(name=name, routing=f"{ours.routing}-without-{part}")
        return ours._replace(name=name, scheduler=f"{ours.scheduler}-without-{part}")
    routing, _, scheduler = name.partition("+")
    return PolicyPair(name, routing, scheduler)


def _side_by_side(name: str, case: Case, options: argparse.Namespace) -> list[RunFigures]:
    deployment = DEPLOYMENTS[name]
    shape = engine_shape(options.engine_memory_tokens)
    duration_s = options.duration_s or (QUICK_DURATION_S if options.quick else DURATION_S)
    load = arrivals(deployment, shape, case.load, duration_s, options.seed)
    figures = []
    for policy in map(_policy, options.policies):
        plan = RunPlan(deployment, policy, case.load, duration_s, options.seed, case.fault, shape)
        run_one = MODES[options.mode]
        alone = run_one(plan, [one for one in load if one.length_class == SHORT_CLASS])
        short_alone = {
            sample.arrival.number: sample.first_token_s
            for sample in alone.samples
            if sample.first_token_s is not None
        }
        result = run_one(plan, load)
        context = RunContext(
            name,
            policy.name,
            case.load,
            case.fault,
            duration_s,
            shape,
            result.wasted_tokens,
            alone.wall_s + result.wall_s,
        )
        figures.append(summarise(context, result.samples, short_alone))
    return figures
