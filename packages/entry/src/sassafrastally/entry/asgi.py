"""HTTP server for one application on one address, run by hypercorn."""

from __future__ import annotations

import math
import resource
import socket
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from hypercorn.trio import serve

from sassafrastally.core import Address, time_limit
from sassafrastally.core.http_patterns import use_linear_patterns
from sassafrastally.entry.http11 import Connections, Http11Config, use_http11_connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quart_trio import QuartTrio

use_linear_patterns()
use_http11_connections()

_MS = 1000

MAX_CONNECTIONS = 4_096
"""Default of the maximum number of open connections, a little more than that of requests in
progress. One with half a header takes about 40 KB."""


def _max_connections() -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, descriptors // 2)


class ServerBounds(NamedTuple):
    """Limits on the connections of a server."""

    keep_alive_s: float = 75.0
    """Idle time after which a connection is closed."""
    unread_limit_s: float = 60.0
    """Time without any byte acknowledged by the client after which a connection is aborted."""
    close_limit_s: float = 5.0
    """How long the server waits for connections to close after the last response."""
    backlog: int = 128
    """Length of the queue of connections waiting to be accepted."""
    max_connections: int = _max_connections()
    """Maximum number of open connections. Half of the descriptors stay free for links and calls."""


class AsgiServer:
    """Serves an application from `run` until `close`; the constructor binds the address.

    Parameters
    ----------
    app
        The application.
    address
        Where to listen; port 0 selects a free port.
    bounds
        Limits on connections.

    Raises
    ------
    OSError
        If the address can't be bound.
    """

    def __init__(self, app: QuartTrio, address: Address, bounds: ServerBounds) -> None:
        listener = _bind(address, bounds.unread_limit_s)
        name = listener.getsockname()
        self.bound_address = Address(name[0], name[1])
        """Address that the server is bound to."""
        self._app = _shield_last_send(app, bounds.unread_limit_s)
        self._config = Http11Config()
        self._config.connections = Connections(bounds.max_connections)
        self._config.bind = [f"fd://{listener.detach()}"]
        self._config.backlog = bounds.backlog
        self._config.keep_alive_timeout = bounds.keep_alive_s
        # Hypercorn's own limit would drop answers that are ready when it is found late.
        self._config.graceful_timeout = math.inf
        self._close_limit_s = bounds.close_limit_s
        self._config.include_server_header = False
        self._config.loglevel = "WARNING"
        self._closing = trio.Event()
        self._closed = trio.Event()
        self._scope = trio.CancelScope()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve requests; signals `task_status` once connections are accepted."""
        served = partial(
            serve, self._app, self._config, shutdown_trigger=self._closing.wait, mode="asgi"
        )
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(served)
                    task_status.started()
        finally:
            self._closed.set()

    async def close(self) -> None:
        """Stop accepting connections, finish the calls in progress and close."""
        self._closing.set()
        async with time_limit(trio.current_time() + self._close_limit_s):
            await self._closed.wait()
        self._scope.cancel()
        await self._closed.wait()


def _bind(address: Address, unread_limit_s: float) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Hypercorn shields its sends from cancellation without a timeout. A client that keeps its
        # connection open without reading would hold its request for ever, past every time limit,
        # and prevent the process from exiting. Accepted connections inherit this option: the
        # kernel aborts those whose data isn't acknowledged in time, and the send fails.
        unread_ms = int(unread_limit_s * _MS)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unread_ms)
        listener.bind((address.host, address.port))
    except OSError:
        listener.close()
        raise
    return listener


def _shield_last_send(app: QuartTrio, limit_s: float) -> Callable[..., Awaitable[None]]:
    # For "Connection: close", hypercorn closes the connection while it sends the last part of the
    # response. Before that it reports a disconnect, on which quart-trio cancels the tasks of the
    # request, including the one that sends. The close is then interrupted, and a client that
    # reads until the end of the connection waits for ever. The shield lets the last send
    # complete, including the close.
    async def shielded(scope: Any, receive: Any, send: Any) -> None:
        async def send_shielded_last(message: Any) -> None:
            is_last = message["type"] == "http.response.body" and not message.get("more_body")
            if not is_last:
                await send(message)
                return
            with trio.move_on_after(limit_s, shield=True):
                await send(message)

        await app(scope, receive, send_shielded_last)

    return shielded
