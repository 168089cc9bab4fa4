"""One HTTP server in a process: an application on a bound socket, under hypercorn."""

from __future__ import annotations

import socket
from functools import partial
from typing import TYPE_CHECKING

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from sassafrastally.core import Address

if TYPE_CHECKING:
    from quart_trio import QuartTrio

CLOSE_LIMIT_S = 5.0
"""What the server waits for connections to close after the last answer."""


class AsgiServer:
    """Serves an application until `close`.

    Parameters
    ----------
    app
        The application.
    bound
        A bound socket; the server takes it over.
    """

    def __init__(self, app: QuartTrio, bound: socket.socket) -> None:
        name = bound.getsockname()
        self.bound_address = Address(name[0], name[1])
        self._app = app
        self._config = Config()
        self._config.bind = [f"fd://{bound.detach()}"]
        self._config.graceful_timeout = CLOSE_LIMIT_S
        self._config.include_server_header = False
        self._config.loglevel = "WARNING"
        self._closing = trio.Event()
        self._closed = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve; reports once connections are accepted."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    partial(
                        serve,
                        self._app,
                        self._config,
                        shutdown_trigger=self._closing.wait,
                        mode="asgi",
                    )
                )
                task_status.started()
        finally:
            self._closed.set()

    async def close(self) -> None:
        """Take no new connections, finish the calls in progress and close."""
        self._closing.set()
        await self._closed.wait()


def bind_socket(address: Address) -> socket.socket:
    """Return a socket bound to an address; port 0 takes a free one."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((address.host, address.port))
    return bound
