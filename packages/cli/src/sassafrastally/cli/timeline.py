"""``sassafrastally timeline``: events of all processes in causal order."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from sassafrastally.cli.admin_client import add_admin_argument, call_admin
from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.control.timeline import render_events

if TYPE_CHECKING:
    import argparse


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("timeline", help="show events of all processes, merged")
    add_admin_argument(parser)
    parser.add_argument("--request", metavar="ID", help="only events of one request")
    parser.add_argument("--generation", type=int, help="only events of one bundle generation")
    parser.add_argument("--vm", help="only events of one VM")
    parser.add_argument("--json", action="store_true", help="print one JSON object a line")
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Fetch and print the time line."""
    wanted = {
        "request_id": arguments.request,
        "generation": arguments.generation,
        "vm": arguments.vm,
    }
    query = urlencode({key: value for key, value in wanted.items() if value is not None})
    answer = await call_admin(arguments.admin, "GET", f"/admin/events?{query}")
    if arguments.json:
        for record in answer["events"]:
            print(json.dumps(record))
    else:
        print(render_events(answer["events"]), end="")
        for vm, problem in answer["silent"].items():
            print(f"no answer from {vm}: {problem}")
        if answer["left_out"]:
            print(f"{answer['left_out']} older events are no longer kept")
    return ExitCode.OK
