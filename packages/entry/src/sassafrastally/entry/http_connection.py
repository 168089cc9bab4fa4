"""One connection of a hypercorn server, closed without losing a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio
from hypercorn.events import Event, Updated

from sassafrastally.entry.http11 import ContainedServer

if TYPE_CHECKING:
    from sassafrastally.entry.asgi import AsgiServer

UNREAD_CHECK_S = 0.005
"""Interval at which is checked whether the input of an idle connection has been read."""


class HttpConnection(ContainedServer):
    """Serves the requests of one connection.

    Parameters
    ----------
    server
        The server that has accepted the connection.
    stream
        The connection.
    """

    def __init__(self, server: AsgiServer, stream: trio.SocketStream) -> None:
        super().__init__(server.app, server.config, server.context, {}, stream)  # type: ignore[arg-type]
        self._is_idle = True
        """Whether no request is in progress; kept here because hypercorn's own task learns it only
        in a later turn of the event loop."""

    async def protocol_send(self, event: Event) -> None:
        """Send a response, or take note of a state of the connection."""
        if isinstance(event, Updated):
            self._is_idle = event.idle
        await super().protocol_send(event)

    async def _idle_timeout(self) -> None:
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        # A request that has arrived is read and served first.
        while self._is_idle and self._has_unread_input():
            await trio.sleep(UNREAD_CHECK_S)
        if self._is_idle:
            await self.stream.aclose()

    def _has_unread_input(self) -> Any:
        try:
            return self.stream.socket.is_readable()
        except OSError:
            return False
