"""``sassafrastally lag``: blocks an entry at each step of its requests and judges the answers."""

from __future__ import annotations

import random
import sys
from typing import TYPE_CHECKING

import structlog

from sassafrastally.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    import argparse

MOST_SEED = 1_000_000

PER_SCENE = 8
"""Lags for each scene unless told otherwise."""


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("lag", help="block an entry at the steps of its requests")
    parser.add_argument("--seed", type=int, help="decides about steps and lags; drawn if not given")
    parser.add_argument("--scenes", nargs="+", default=[], metavar="NAME", help="begins of names")
    parser.add_argument("--per-scene", type=int, default=PER_SCENE, help="lags for each scene")
    parser.add_argument("--all", action="store_true", help="a lag at each step")
    parser.add_argument("--stations", type=int, default=4, help="scenes at a time")
    parser.add_argument("--step", type=int, help="only this step of the scenes")
    parser.add_argument("--at", type=float, help="only this time after a stop signal, seconds")
    parser.add_argument("--lag", type=float, default=0.5, help="lag, with --step or --at, seconds")
    parser.add_argument("--times", type=int, default=1, help="how many lags in a row, with --step")
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Play the scenes and print the report."""
    # Imported here: the scenes pull in the stand-ins, which no other command needs.
    from sassafrastally.testing.lag import Lag, choose_lags, count_steps, play_lags, scene_names

    # The entries' own lines would hide the report.
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    seed = random.randrange(MOST_SEED) if arguments.seed is None else arguments.seed
    names = scene_names(arguments.scenes)
    if arguments.step is not None or arguments.at is not None:
        step = -1 if arguments.step is None else arguments.step
        lags = [Lag(name, step, arguments.at, arguments.lag, arguments.times) for name in names]
    else:
        steps = await count_steps(names, arguments.stations)
        lags = choose_lags(seed, steps, None if arguments.all else arguments.per_scene)
    _tell(f"seed {seed}: {len(lags)} scenes to play")
    report = await play_lags(seed, lags, _tell, arguments.stations)
    print(report)
    return ExitCode.FAILED if report.is_broken else ExitCode.OK


def _tell(line: str) -> None:
    print(line, file=sys.stderr, flush=True)
