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
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.events import Response
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio import tcp_server
from hypercorn.trio.tcp_server import TCPServer

from sassafrastally.core.response_status import MIN_FINAL_STATUS
from sassafrastally.entry.idle_connections import Connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hypercorn.events import Event
    from hypercorn.protocol.events import Event as StreamEvent

VERSION_NOT_SUPPORTED = 505

_VERSIONS = (b"1.0", b"1.1")


class _VersionNotSupported(Exception):
    """The connection was refused for its version of HTTP."""


class LastRequestConnection(h11.Connection):
    """Connection that doesn't read what follows the last request on it.

    h11 reports it as an error, which hypercorn answers with status 400 although the request runs,
    or by closing the connection in the middle of its response.
    """

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event; none once the connection is to be closed."""
        if self.their_state is h11.MUST_CLOSE:
            return h11.NEED_DATA
        return super().next_event()


class Http11Protocol(H11Protocol):
    """HTTP/1.1 without a change of protocol; a proposal to change it is ignored."""

    config: Http11Config
    may_have_input: Callable[[], Awaitable[bool]]
    """Returns whether input has arrived on the connection that isn't handled yet."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.connection = LastRequestConnection(
            h11.SERVER, max_incomplete_event_size=self.config.h11_max_incomplete_size
        )

    async def handle(self, event: Event) -> None:
        """Handle an event of the connection; input behind the last request is discarded."""
        if not isinstance(event, RawData) or self.connection.their_state is not h11.MUST_CLOSE:
            await super().handle(event)

    async def stream_send(self, event: StreamEvent) -> None:
        """Send a part of a response; its header says whether it is the last one."""
        if isinstance(event, Response) and event.status_code >= MIN_FINAL_STATUS:
            is_last = self.config.is_draining and not await self._has_request_ahead()
            event.headers.extend([(b"connection", b"close")] * is_last)
        await super().stream_send(event)

    async def _has_request_ahead(self) -> bool:
        """Return whether the client has sent more behind a request that has arrived whole."""
        if self.context.terminated.is_set() or self.connection.their_state is not h11.DONE:
            return False
        return await self.may_have_input() or bool(self.connection.trailing_data[0])

    async def _maybe_recycle(self) -> None:
        """Go on to the next request, unless the response has said that it is the last one."""
        await self._close_stream()
        is_kept = self.connection.our_state is self.connection.their_state is h11.DONE
        if is_kept:
            self.connection.start_next_cycle()
        await self.can_read.set()
        await self.send(Updated(idle=True) if is_kept else Closed())

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
        self.protocol: Http11Protocol = Http11Protocol(
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


class Http11Config(Config):
    """Configuration of a server with these connections."""

    connections = Connections(sys.maxsize, trio.current_time)
    """Open connections; each server has its own."""
    is_draining = False
    """Whether connections are closed after their next response, unless a request follows."""


class ContainedServer(TCPServer):
    """Connection whose unexpected errors end it alone."""

    config: Http11Config

    async def run(self) -> None:
        """Serve the connection."""
        try:
            await super().run()
        except* Exception:
            await self.config.log.exception("A connection was closed by an unexpected error")


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
