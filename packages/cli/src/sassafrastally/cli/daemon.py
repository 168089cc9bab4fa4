"""``sassafrastallyd``: runs one process of the system in the role that its settings give."""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.cli.loading import load_for_role
from sassafrastally.control.assemble import Surroundings
from sassafrastally.core import FindingsError, Registry, TcpNetwork
from sassafrastally.core.logs import configure_logs
from sassafrastally.core.metrics_text import start_metrics
from sassafrastally.core.settings import ProcessSettings
from sassafrastally.entry import build_entry
from sassafrastally.sidecar import build_sidecar
from sassafrastally.stores import make_platform

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.core import Kernel
    from sassafrastally.core.settings import Settings

BUILDERS: Registry[Callable[[Settings], Kernel]] = Registry("role")
"""Makers of a process's kernel by role."""


@BUILDERS.register("entry")
def _build_entry(settings: Settings) -> Kernel:
    return build_entry(settings, Surroundings(make_platform(settings), TcpNetwork()))


@BUILDERS.register("sidecar")
def _build_sidecar(settings: Settings) -> Kernel:
    return build_sidecar(settings, Surroundings(make_platform(settings), TcpNetwork()))


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; return its exit code."""
    arguments = _parser().parse_args(argv)
    try:
        settings = load_for_role(arguments.settings)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return ExitCode.FINDINGS
    if arguments.check:
        print(f"{arguments.settings}: no findings")
        return ExitCode.OK
    configure_logs(settings.get(ProcessSettings).log_level)
    start_metrics()
    trio.run(run_process, settings)
    return ExitCode.OK


async def run_process(settings: Settings) -> None:
    """Run one process until it is told to stop and its work is done.

    The first SIGTERM or SIGINT asks for a graceful stop; a second one ends the waiting for work
    in progress at the stop limit of the settings. SIGHUP is ignored: service managers may send it
    beside SIGTERM, and its default action ends the process with its requests.
    """
    kernel = BUILDERS.get(settings.role)(settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(_stop_on_signal, kernel)
        await kernel.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(kernel: Kernel, task_status: trio.TaskStatus[None]) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        task_status.started()
        async for number in signals:
            if number != signal.SIGHUP:
                kernel.request_stop()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sassafrastallyd",
        description="Runs an entry or a sidecar, as the settings say.",
    )
    parser.add_argument("--settings", type=Path, required=True, help="settings file (TOML)")
    parser.add_argument("--check", action="store_true", help="print all findings and exit")
    return parser


if __name__ == "__main__":
    sys.exit(main())
