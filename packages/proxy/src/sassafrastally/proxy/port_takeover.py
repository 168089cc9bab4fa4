"""Opens ports that the process before this one may still have.

A supervisor may start a process while the one before it still drains, with the same ports. The
callers' port is free seconds before the others. A process that ended over those would reset all
callers whose connections wait in its accept queue.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.log_events import PortInUse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import Kernel

TRY_INTERVAL_S = 0.02
"""Interval at which a port in use is tried: callers are refused meanwhile."""

END_TIME_S = 1.0
"""Time for the end of a process after it has been killed."""


async def open_when_free(
    open_port: Callable[[], Awaitable[object]],
    kernel: Kernel,
    nursery: trio.Nursery,
    stop_time_s: float,
) -> None:
    """Open a port now, or in the background once another process has released it.

    Parameters
    ----------
    open_port
        Opens the port.
    kernel
        Writes the log, and stops the process if the port stays in use.
    nursery
        Runs the task that waits for the port.
    stop_time_s
        Time that a process has to stop. A port that is in use for longer isn't that of the process
        before this one. Callers are served by then, so the process drains before it ends.

    Raises
    ------
    OSError
        If the port can't be opened for another reason.
    """
    due_s = trio.current_time() + stop_time_s + END_TIME_S
    if (cause := await _try_to_open(open_port)) is not None:
        kernel.events.emit(PortInUse(str(cause), is_given_up=False))
        nursery.start_soon(_keep_trying, open_port, kernel, due_s)


async def _keep_trying(
    open_port: Callable[[], Awaitable[object]], kernel: Kernel, due_s: float
) -> None:
    while (cause := await _try_to_open(open_port)) is not None:
        if trio.current_time() >= due_s:
            kernel.events.emit(PortInUse(str(cause), is_given_up=True))
            kernel.request_stop()
            return
        await trio.sleep(TRY_INTERVAL_S)


async def _try_to_open(open_port: Callable[[], Awaitable[object]]) -> OSError | None:
    """Open a port; return the error if it is in use."""
    try:
        await open_port()
    except OSError as cause:
        if cause.errno != errno.EADDRINUSE:
            raise
        return cause
    return None
