"""``sassafrastally soak``: runs entries as processes under randomized troubles and judges them."""

from __future__ import annotations

import random
import shutil
import signal
import sys
from typing import TYPE_CHECKING

from sassafrastally.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    import argparse

MOST_SEED = 1_000_000


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("soak", help="run entries under randomized troubles")
    parser.add_argument("--seed", type=int, help="the first seed; drawn if not given")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds in a row")
    parser.add_argument("--minutes", type=float, default=0.5, help="time of troubles for each seed")
    parser.add_argument("--entries", type=int, help="entries; the seed decides if not given")
    parser.add_argument("--engines", type=int, default=8, help="engines, with --entries")
    parser.add_argument("--callers", type=int, default=24, help="callers, with --entries")
    parser.add_argument(
        "--troubles", nargs="+", default=[], metavar="NAME", help="only these; all if not given"
    )
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Run the soak and print its reports."""
    # Imported here: the soak pulls in the stand-ins, which no other command needs.
    from sassafrastally.testing.soak import SoakSize, run_soak

    # A soak that is asked to end would leave its entries running, some of them paused.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    size = None
    if arguments.entries:
        size = SoakSize(arguments.entries, arguments.engines, 3, arguments.callers)
    first = random.randrange(MOST_SEED) if arguments.seed is None else arguments.seed
    broken = 0
    for seed in range(first, first + arguments.seeds):
        report = await run_soak(seed, arguments.minutes * 60, size, _tell, arguments.troubles)
        print(report, flush=True)
        broken += bool(report.broken)
        if not report.broken:
            shutil.rmtree(report.folder)
    print(f"{arguments.seeds} seeds, {broken} with broken promises")
    return ExitCode.FAILED if broken else ExitCode.OK


def _tell(line: str) -> None:
    print(line, file=sys.stderr, flush=True)
