"""``sassafrastally``: the operators' command."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

import trio

from sassafrastally.cli import (
    bench,
    bundle,
    demo,
    experiment,
    explain,
    lag,
    soak,
    status,
    timeline,
    why,
)
from sassafrastally.cli.admin_client import AdminUnavailable
from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.core import CodedError, FindingsError
from sassafrastally.stores import KvConflict, KvUnavailable, MaybeApplied

if TYPE_CHECKING:
    from collections.abc import Sequence

_EXIT_CODES: tuple[tuple[type[CodedError], ExitCode], ...] = (
    (FindingsError, ExitCode.FINDINGS),
    (KvConflict, ExitCode.CONFLICT),
    (MaybeApplied, ExitCode.UNKNOWN),
    (KvUnavailable, ExitCode.UNAVAILABLE),
    (AdminUnavailable, ExitCode.UNAVAILABLE),
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; return its exit code."""
    arguments = make_parser().parse_args(argv)
    try:
        return int(trio.run(arguments.run, arguments))
    except CodedError as error:
        print(error, file=sys.stderr)
        return exit_code_of(error)
    except KeyboardInterrupt:
        return ExitCode.FAILED


def exit_code_of(error: CodedError) -> ExitCode:
    """Return the exit code for an error that ends a command."""
    for kind, code in _EXIT_CODES:
        if isinstance(error, kind):
            return code
    return ExitCode.FAILED


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="sassafrastally", description="Publishes, signs and rolls bundles; shows the fleet."
    )
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    for module in (bundle, status, timeline, explain, why, demo, bench, experiment, soak, lag):
        module.add_parser(subparsers)
    return parser


if __name__ == "__main__":
    sys.exit(main())
