"""``sassafrastally experiment``: compares settings of policies on the real request path."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.cli.loading import read_text

if TYPE_CHECKING:
    import argparse

    from sassafrastally.testing.experiment import Matrix

PAGE = "page.html"


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("experiment", help="compare settings of policies under load")
    parser.add_argument("file", type=Path, help="what to play, a TOML file")
    parser.add_argument("--out", type=Path, help="folder of the results; out/FILE if not given")
    parser.add_argument("--resume", action="store_true", help="keep runs that are there")
    parser.add_argument("--processes", type=int, default=os.cpu_count() or 1)
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Play the experiment, keep its rows and its page, print the table."""
    # Imported here: an experiment pulls in the stand-ins, which no other command needs.
    from sassafrastally.testing.experiment import Matrix, load_plan

    file: Path = arguments.file
    text = read_text(file)
    plan = load_plan(text, str(file))
    folder = arguments.out or Path("out", file.stem)
    matrix = Matrix(plan, text, folder, arguments.processes)
    # Runs need trio loops of their own.
    print(await trio.to_thread.run_sync(_play, matrix, arguments.resume))
    return ExitCode.OK


def _play(matrix: Matrix, may_resume: bool) -> str:
    from sassafrastally.testing.experiment import compare, play_matrix, table
    from sassafrastally.testing.experiment.page import make_page

    runs = play_matrix(matrix, _tell, may_resume=may_resume)
    page = matrix.folder / PAGE
    page.write_text(make_page(matrix.plan, runs))
    routes = [route.name for route in matrix.plan.routes]
    return f"{table(compare(runs, routes))}\n\nrows and {PAGE}: {matrix.folder}"


def _tell(line: str) -> None:
    print(line, file=sys.stderr, flush=True)
