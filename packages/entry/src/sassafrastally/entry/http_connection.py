"""One connection of a hypercorn server, closed without losing a request or a response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import MAX_RECV

from sassafrastally.entry.http11 import ContainedServer

if TYPE_CHECKING:
    from hypercorn.config import Config
    from hypercorn.trio.worker_context import WorkerContext
    from hypercorn.typing import AppWrapper

LINGER_S = 1.0
"""How long input is discarded after the last response. Closing a socket with unread input resets
the connection, and a client that is still sending may then not read its response."""

LINGER_BYTES = 16_000_000
"""How much input is discarded at most after the last response."""

UNREAD_CHECK_S = 0.005
"""Interval at which is checked whether the input of an idle connection has been read."""


class HttpConnection(ContainedServer):
    """Serves the requests of one connection.

    Parameters
    ----------
    app
        The application.
    config
        Settings of connections.
    context
        Tells connections about the close of their server.
    stream
        The connection.
    """

    def __init__(
        self, app: AppWrapper, config: Config, context: WorkerContext, stream: trio.SocketStream
    ) -> None:
        super().__init__(app, config, context, {}, stream)
        self._is_idle = True
        """Whether no request is in progress; kept here because hypercorn's own task learns it only
        in a later turn of the event loop."""
        self._is_ending = False
        """Whether nothing more is sent."""
        self._reading = trio.CancelScope()

    async def protocol_send(self, event: Event) -> None:
        """Send a response, or take note of a state of the connection."""
        if isinstance(event, Updated):
            self._is_idle = event.idle
        if isinstance(event, Closed):
            await self._end_sending()
            await self.protocol.handle(Closed())
        else:
            await super().protocol_send(event)

    async def _end_sending(self) -> None:
        if self._is_ending:
            return
        self._is_ending = True
        self._reading.deadline = trio.current_time() + LINGER_S
        async with self.send_lock:
            try:
                await self.stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._reading.cancel()

    async def _read_data(self) -> None:
        discarded_bytes = 0
        with self._reading:
            while (data := await self._receive()) is not None:
                if not self._is_ending:
                    await self.protocol.handle(RawData(bytes(data)))
                discarded_bytes += len(data) if self._is_ending else 0
                if not data or discarded_bytes > LINGER_BYTES:
                    break
        # The task would keep the connection open for as long as it may be idle.
        await self.idle_task.stop()
        await self.protocol.handle(Closed())

    async def _receive(self) -> bytes | bytearray | None:
        """Return what has arrived, nothing at the end; ``None`` if the connection is lost."""
        try:
            return await self.stream.receive_some(MAX_RECV)
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            return None

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
