"""Running a quart-trio application on hypercorn, for the stand-ins that speak HTTP."""

from __future__ import annotations

import signal
import socket
from functools import partial
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from sassafrastally.core import Address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quart_trio import QuartTrio

LAST_SEND_LIMIT_S = 5.0
"""Bound of the shield round the end of an answer; a client that takes no bytes is cut after it."""

KEEP_ALIVE_S = 30.0
"""An idle connection is closed after this."""

UNREAD_LIMIT_S = 5.0
"""A connection whose client takes no bytes for so long is broken off."""

GRACEFUL_S = 1.0
"""What the server waits for open connections when it ends on its own."""


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
    config = Config()
    config.bind = [f"fd://{_bind(address).detach()}"]
    config.loglevel = "WARNING"
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = GRACEFUL_S
    async with trio.open_nursery() as nursery:
        served = partial(serve, _shielding(app), config, mode="asgi")
        binds: list[str] = await nursery.start(served)
        bound = urlsplit(binds[0])
        task_status.started(Address(bound.hostname or address.host, bound.port or address.port))


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


def _bind(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Hypercorn sends under a shield without a bound: a client that keeps its connection and
        # reads nothing would hold its request for ever, past every time limit, and the server
        # would not end when cancelled. Accepted connections inherit this option; the kernel
        # breaks those on which nothing is taken for so long, and the send fails.
        unread_ms = int(UNREAD_LIMIT_S * 1000)
        bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unread_ms)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


def _shielding(app: QuartTrio) -> Callable[..., Awaitable[None]]:
    # Hypercorn closes a connection that asked for it within the send of the answer's last part.
    # Before that it tells the application of the disconnect, on which quart-trio cancels the
    # request's tasks, the sending one among them: the close is abandoned half-way, and a client
    # that reads to the end of the connection hangs until its own timeout. Under the shield the
    # last send runs to its end, close included.
    async def shielded(scope: Any, receive: Any, send: Any) -> None:
        async def send_shielding_last(message: Any) -> None:
            is_last = message["type"] == "http.response.body" and not message.get("more_body")
            if not is_last:
                await send(message)
                return
            with trio.move_on_after(LAST_SEND_LIMIT_S, shield=True):
                await send(message)

        await app(scope, receive, send_shielding_last)

    return shielded
