"""``sassafrastally explain``: opens the receipt of a refusal."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from sassafrastally.cli.admin_client import add_admin_argument, call_admin
from sassafrastally.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    import argparse


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("explain", help="say in plain words why a request was refused")
    add_admin_argument(parser)
    parser.add_argument("receipt", metavar="RECEIPT", help="the receipt that the refusal carried")
    parser.add_argument("--json", action="store_true", help="print the facts as JSON")
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Have an entry open the receipt and print what it says."""
    answer = await call_admin(
        arguments.admin, "POST", "/admin/explain", {"receipt": arguments.receipt}
    )
    print(json.dumps(answer["facts"], indent=2) if arguments.json else answer["text"])
    return ExitCode.OK
