"""Running a quart-trio application on hypercorn, for the stand-ins that speak HTTP."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from sassafrastally.entry.asgi import AsgiServer, ServerBounds

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quart_trio import QuartTrio

    from sassafrastally.core import Address

BOUNDS = ServerBounds(keep_alive_s=30.0, unread_limit_s=5.0, close_limit_s=1.0)


async def serve_app(
    app: QuartTrio,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled.

    Parameters
    ----------
    app
        The application.
    address
        Where to listen; port 0 takes a free one.
    task_status
        Is told the bound address once connections are accepted.
    """
    server = AsgiServer(app, address, BOUNDS)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        task_status.started(server.bound_address)


async def serve_until_cancelled(app: QuartTrio, address: Address) -> None:
    """Serve an application as a program does: prints the bound address once it listens."""
    async with trio.open_nursery() as nursery:
        bound: Address = await nursery.start(serve_app, app, address)
        print(f"listening on {bound}", flush=True)


def run_program(main: Callable[[], Awaitable[None]]) -> None:
    """Run a stand-in's main function; SIGTERM or SIGINT cancels it and ends the process cleanly."""
    trio.run(_until_signal, main)


async def _until_signal(main: Callable[[], Awaitable[None]]) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_main, main, nursery.cancel_scope)
            await anext(signals)
            nursery.cancel_scope.cancel()


async def _run_main(main: Callable[[], Awaitable[None]], scope: trio.CancelScope) -> None:
    await main()
    scope.cancel()
