"""``sassafrastally bench``: measures the policy under load on the mock clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable


CAPACITY = "capacity"
"""First option that asks for the slopes and sums of docs/CAPACITY.md."""


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    # Options of the bench start with a dash; this parser must pass them on unread.
    parser = subparsers.add_parser(
        "bench", help="measure policies on the mock clock", add_help=False, prefix_chars="+"
    )
    parser.add_argument("options", nargs="*", help="capacity, or see bench --help")
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Run the bench in a thread of its own, since it starts trio anew on a mock clock."""
    # Imported here: the bench pulls in the stand-ins, which no other command needs.
    from sassafrastally.testing import bench, capacity

    if arguments.options[:1] == [CAPACITY]:
        return await trio.to_thread.run_sync(capacity.run)
    runner: Callable[[list[str]], int] = bench.run
    return await trio.to_thread.run_sync(runner, arguments.options)
