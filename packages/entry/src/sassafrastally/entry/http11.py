"""HTTP/1.1 connections for hypercorn, kept apart from each other.

Hypercorn also speaks HTTP/2 and WebSocket on a plain port. The callers' interface doesn't need
them, and some malformed input on them raises errors that hypercorn doesn't expect, such as settings
that can't be decoded or data after a response. An unexpected error of one connection ends the task
group of all connections, and the process with it.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Updated
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio import tcp_server
from hypercorn.trio.tcp_server import TCPServer

if TYPE_CHECKING:
    from hypercorn.events import Event

VERSION_NOT_SUPPORTED = 505

_VERSIONS = (b"1.0", b"1.1")


class _VersionNotSupported(Exception):
    """The connection was refused for its version of HTTP."""


class Http11Protocol(H11Protocol):
    """HTTP/1.1 without a change of protocol; a proposal to change it is ignored."""

    async def _check_protocol(self, event: h11.Request) -> None:
        if event.http_version not in _VERSIONS:
            await self._send_error_response(VERSION_NOT_SUPPORTED)
            await self.send(Closed())
            raise _VersionNotSupported

    async def _create_stream(self, request: h11.Request) -> None:
        kept = [(name, value) for name, value in request.headers if name != b"upgrade"]
        await super()._create_stream(
            h11.Request(
                method=request.method,
                headers=kept,
                target=request.target,
                http_version=request.http_version,
            )
        )


class Http11Wrapper(ProtocolWrapper):
    """Protocol of a connection: always `Http11Protocol`."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.protocol = Http11Protocol(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.state,
            self.ssl,
            self.client,
            self.server,
            self.send,
        )

    async def handle(self, event: Event) -> None:
        """Handle an event of the connection."""
        try:
            await self.protocol.handle(event)
        except _VersionNotSupported:
            return


class Connections:
    """Open connections of a server, bounded in number.

    Beyond the bound the one that has been without a request for the longest time is closed, so that
    a flood of connections doesn't keep out callers that send requests. One whose request has
    arrived and isn't read yet stays, if need be beyond the bound until it is read.

    Parameters
    ----------
    max_count
        Maximum number.
    """

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._open: set[ContainedServer] = set()
        self._idle: dict[ContainedServer, None] = {}
        """Those without a request, the longest idle first."""

    def add(self, server: ContainedServer) -> None:
        """Add a connection, which has no request yet; close another one beyond the bound."""
        self._open.add(server)
        self._idle[server] = None
        if len(self._open) > self._max_count:
            longest_idle = next((one for one in self._idle if not one.has_unread_input()), None)
            if longest_idle is not None:
                self.remove(longest_idle)
                longest_idle.scope.cancel()

    def set_idle(self, server: ContainedServer, *, is_idle: bool) -> None:
        """Record whether a connection has no request in progress."""
        self._idle.pop(server, None)
        if is_idle and server in self._open:
            self._idle[server] = None

    def remove(self, server: ContainedServer) -> None:
        """Remove a connection that closes."""
        self._open.discard(server)
        self._idle.pop(server, None)


class Http11Config(Config):
    """Configuration of a server with these connections."""

    connections = Connections(sys.maxsize)
    """Open connections; each server has its own."""


class ContainedServer(TCPServer):
    """Connection whose unexpected errors end it alone."""

    config: Http11Config

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.scope = trio.CancelScope()
        """Surrounds the connection."""

    async def run(self) -> None:
        """Serve the connection."""
        self.config.connections.add(self)
        try:
            with self.scope:
                await super().run()
        except* Exception:
            await self.config.log.exception("A connection was closed by an unexpected error")
        finally:
            self.config.connections.remove(self)

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end of the stream, have arrived that aren't read yet."""
        try:
            return bool(self.stream.socket.is_readable())
        except OSError:
            return False

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the protocol."""
        if isinstance(event, Updated):
            self.config.connections.set_idle(self, is_idle=event.idle)
        await super().protocol_send(event)


def use_http11_connections() -> None:
    """Make hypercorn's connections speak this protocol in this process.

    Raises
    ------
    RuntimeError
        If this release of hypercorn is built in another way.
    """
    if getattr(tcp_server, "ProtocolWrapper", None) not in (ProtocolWrapper, Http11Wrapper):
        raise RuntimeError("this release of hypercorn builds its connections in another way")
    tcp_server.ProtocolWrapper = Http11Wrapper  # type: ignore[attr-defined]
