"""``sassafrastally status``: the fleet at a glance."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from sassafrastally.cli.admin_client import add_admin_argument, call_admin
from sassafrastally.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("status", help="show every process and the bundle it runs")
    add_admin_argument(parser)
    parser.add_argument("--json", action="store_true", help="print the whole answer as JSON")
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Fetch and print the status; fails when a process doesn't answer."""
    answer = await call_admin(arguments.admin, "GET", "/admin/status")
    if arguments.json:
        print(json.dumps(answer, indent=2))
    else:
        print(render_status(answer["processes"]), end="")
    return (
        ExitCode.OK
        if all(row["problem"] == "" for row in answer["processes"])
        else (ExitCode.FAILED)
    )


def render_status(rows: Sequence[dict[str, Any]]) -> str:
    """Return the status of the processes as an aligned table.

    Parameters
    ----------
    rows
        Answer of ``/admin/status``: for each VM its role, data centre, leaving mark, problem and
        the figures of its services.
    """
    table = [("VM", "ROLE", "DATA CENTRE", "GEN", "DIGEST", "STATE")]
    for row in rows:
        bundle = row["services"].get("bundle", {})
        table.append(
            (
                row["vm"],
                row["role"],
                row["data_centre"],
                str(bundle.get("generation", "-")),
                str(bundle.get("digest", "-"))[:12],
                row["problem"] or ("leaving" if row["leaving"] else "up"),
            )
        )
    widths = [max(len(line[column]) for line in table) for column in range(len(table[0]))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in table
    )
    return "\n".join(lines) + "\n"
