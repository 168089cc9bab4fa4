"""HTTP server for one application on one address, run by hypercorn."""

from __future__ import annotations

import resource
import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.trio.worker_context import WorkerContext

from sassafrastally.core import Address, SenderTime, read_in_time, time_limit, unread_input
from sassafrastally.core.accepting import Acceptor
from sassafrastally.core.http_patterns import use_linear_patterns
from sassafrastally.core.late_limits import deliver_received
from sassafrastally.entry.http11 import Http11Config, use_http11_connections
from sassafrastally.entry.http_connection import LINGER_BYTES, HttpConnection
from sassafrastally.entry.idle_connections import FIRST_REQUEST_S, Connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quart_trio import QuartTrio

use_linear_patterns()
use_http11_connections()

_MS = 1000

OPEN_CHECK_S = 0.02
"""Interval at which is checked whether connections are still open."""

MAX_CONNECTIONS = 4_096
"""Default of the maximum number of open connections, a little more than that of requests in
progress. One with half a header takes about 40 KB."""


def _max_connections() -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, descriptors // 2)


MAX_REFUSING = 64
"""Connections beyond the bound that are kept until their callers have a refusal."""

REFUSAL_LIMIT_S = 0.3
"""How long these callers may take to send on. The time in which this process doesn't read is none
of theirs."""

DISCARD_BYTES = 1_000_000
"""Input that is read at once to discard it, so that it takes few turns of the event loop."""

TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 48\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\nToo many connections. The request has not run.\r\n"
)


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
    """Maximum number of open connections. Half of the descriptors stay free for links and calls,
    less the excess that `Connections` allows for a short time."""


class ClosedServer(NamedTuple):
    """What was open when a server closed."""

    accepted: int
    """Connections that were waiting to be accepted."""
    unaccepted: int | None
    """Connections that were reset unaccepted; ``None`` if the system doesn't tell."""
    cut: int
    """Connections that were open at the limit."""


class AsgiServer:
    """Serves an application from `run` until `close`; the constructor binds the address.

    hypercorn's own `serve` closes its listening socket with connections waiting, which the system
    resets, so the connections are accepted here.

    Parameters
    ----------
    app
        The application.
    address
        Where to listen; port 0 selects a free port.
    bounds
        Limits on connections.
    on_shortage
        Called with the cause when resources for a connection are missing.
    on_gave_way
        Called when a connection without a request was closed for another one, with whether nothing
        had been received on it.

    Raises
    ------
    OSError
        If the address can't be bound.
    """

    def __init__(
        self,
        app: QuartTrio,
        address: Address,
        bounds: ServerBounds,
        on_shortage: Callable[[str], None] = lambda _: None,
        on_gave_way: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self._listener = _bind(address, bounds.unread_limit_s)
        name = self._listener.getsockname()
        self.bound_address = Address(name[0], name[1])
        """Address that the server is bound to."""
        self._app = ASGIWrapper(self._with_own_sends(app, bounds.unread_limit_s))
        self._config = Http11Config()
        self._config.connections = Connections(
            bounds.max_connections, trio.current_time, on_gave_way
        )
        self._config.keep_alive_timeout = bounds.keep_alive_s
        self._config.include_server_header = False
        self._config.loglevel = "WARNING"
        self.context = WorkerContext(None)
        """Tells connections about the close."""
        self._bounds = bounds
        self._on_shortage = on_shortage
        self._refusing = 0
        """Connections whose requests are being refused."""
        self._acceptor: Acceptor
        self._closed = trio.Event()
        self._scope = trio.CancelScope()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve requests; signals `task_status` once connections are accepted."""
        self._listener.listen(self._bounds.backlog)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self._listener))
        self._acceptor = Acceptor(listener, self._serve, self._on_shortage, self._choose)
        try:
            with self._scope:
                async with trio.open_nursery() as connections:
                    connections.start_soon(self._acceptor.run, connections)
                    task_status.started()
        finally:
            self._closed.set()

    def drain(self) -> None:
        """Close each connection after its next response, which says so to the client.

        Requests that have been sent behind it are answered first, until `close`.
        """
        self._config.is_draining = True

    async def close(self) -> ClosedServer:
        """Serve the connections that are established, finish the calls in progress and close."""
        self.drain()
        begin_s = trio.current_time()
        accepted, unaccepted, cut = 0, None, 0
        async with time_limit(begin_s + self._bounds.close_limit_s) as limit:
            accepted, unaccepted = await self._acceptor.close()
            first_request_s = trio.current_time() + FIRST_REQUEST_S
            while trio.current_time() < first_request_s and self._acceptor.open_connections:
                await trio.sleep(OPEN_CHECK_S)
            await deliver_received(first_request_s)
            await self.context.terminated.set()
            await self._closed.wait()
        if limit.scope.cancelled_caught:
            cut = self._acceptor.open_connections
        self._scope.cancel()
        await self._closed.wait()
        return ClosedServer(accepted, unaccepted, cut)

    def _choose(self, stream: trio.SocketStream) -> Callable[..., Awaitable[object]] | None:
        """Return how to serve a new connection; ``None`` to close it."""
        connections = self._config.connections
        if connections.has_room():
            return self._serve
        connections.on_gave_way(True)
        if not unread_input(stream).size_bytes or self._refusing >= MAX_REFUSING:
            return None
        return self._refuse

    async def _refuse(self, stream: trio.SocketStream) -> None:
        """Refuse a request that arrived with a connection beyond the bound."""
        self._refusing += 1
        try:
            await stream.send_all(TOO_MANY_CONNECTIONS)
            await stream.send_eof()
            await _discard_input(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return  # The caller has left.
        finally:
            self._refusing -= 1

    async def _serve(self, stream: trio.SocketStream) -> None:
        await HttpConnection(self._app, self._config, self.context, stream).run()

    def _with_own_sends(self, app: QuartTrio, limit_s: float) -> Callable[..., Awaitable[None]]:
        # For "Connection: close", hypercorn closes the connection while it sends the last part of
        # the response. Before that it reports a disconnect, on which quart-trio cancels the tasks
        # of the request, including the one that sends. The close is then interrupted, and a client
        # that reads until the end of the connection waits for ever. The shield lets the last send
        # complete, including the close.
        async def with_own_sends(scope: Any, receive: Any, send: Any) -> None:
            async def send_own(message: Any) -> None:
                is_last = message["type"] == "http.response.body" and not message.get("more_body")
                if not is_last:
                    await send(message)
                    return
                with trio.move_on_after(limit_s, shield=True):
                    await send(message)

            await app(scope, receive, send_own)

        return with_own_sends


async def _discard_input(stream: trio.SocketStream) -> None:
    """Read until the caller closes its side, sends too slowly or sends too much."""
    sender, discarded_bytes = SenderTime(), 0

    async def receive() -> bytes | bytearray:
        return await sender.receive(stream, DISCARD_BYTES)

    with suppress(trio.TooSlowError):
        while discarded_bytes <= LINGER_BYTES:
            data = await read_in_time(receive, sender, REFUSAL_LIMIT_S)
            if not data:
                return
            discarded_bytes += len(data)


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
