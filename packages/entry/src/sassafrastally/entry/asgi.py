"""An HTTP server in a process: one application at one address, under hypercorn."""

from __future__ import annotations

import socket
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from sassafrastally.core import Address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quart_trio import QuartTrio

_MS = 1000


class ServerBounds(NamedTuple):
    """What a server allows its connections."""

    keep_alive_s: float = 75.0
    """An idle connection is closed after this."""
    unread_limit_s: float = 60.0
    """A connection whose client takes no bytes for so long is broken off."""
    close_limit_s: float = 5.0
    """What the server waits for connections to close after the last answer."""
    backlog: int = 128
    """Connections that wait to be accepted."""


class AsgiServer:
    """Serves an application from `run` until `close`; binds its address when it is made.

    Parameters
    ----------
    app
        The application.
    address
        Where to listen; port 0 takes a free one.
    bounds
        What connections are allowed.

    Raises
    ------
    OSError
        When the address can't be bound.
    """

    def __init__(self, app: QuartTrio, address: Address, bounds: ServerBounds) -> None:
        bound = _bind(address, bounds.unread_limit_s)
        name = bound.getsockname()
        self.bound_address = Address(name[0], name[1])
        """Address at which connections are accepted."""
        self._app = _shielding_last_send(app, bounds.unread_limit_s)
        self._config = Config()
        self._config.bind = [f"fd://{bound.detach()}"]
        self._config.backlog = bounds.backlog
        self._config.keep_alive_timeout = bounds.keep_alive_s
        self._config.graceful_timeout = bounds.close_limit_s
        self._config.include_server_header = False
        self._config.loglevel = "WARNING"
        self._closing = trio.Event()
        self._closed = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve; reports once connections are accepted."""
        served = partial(
            serve, self._app, self._config, shutdown_trigger=self._closing.wait, mode="asgi"
        )
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(served)
                task_status.started()
        finally:
            self._closed.set()

    async def close(self) -> None:
        """Take no new connections, finish the calls in progress and close."""
        self._closing.set()
        await self._closed.wait()


def _bind(address: Address, unread_limit_s: float) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Hypercorn sends under a shield without a bound: a client that keeps its connection and
        # reads nothing would hold its request for ever, past every time limit, and keep the
        # process from ending. Accepted connections inherit this option; the kernel breaks those
        # on which nothing is taken for so long, and the send fails.
        unread_ms = int(unread_limit_s * _MS)
        bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unread_ms)
        bound.bind((address.host, address.port))
    except OSError:
        bound.close()
        raise
    return bound


def _shielding_last_send(app: QuartTrio, limit_s: float) -> Callable[..., Awaitable[None]]:
    # Hypercorn closes a connection that asked for it within the send of the answer's last part.
    # Before that it reports a disconnect, on which quart-trio cancels the request's tasks, the
    # sending one among them: the close is abandoned half-way, and a client that reads to the end
    # of the connection waits for ever. Under the shield the last send runs to its end, close
    # included.
    async def shielded(scope: Any, receive: Any, send: Any) -> None:
        async def send_shielding_last(message: Any) -> None:
            is_last = message["type"] == "http.response.body" and not message.get("more_body")
            if not is_last:
                await send(message)
                return
            with trio.move_on_after(limit_s, shield=True):
                await send(message)

        await app(scope, receive, send_shielding_last)

    return shielded
