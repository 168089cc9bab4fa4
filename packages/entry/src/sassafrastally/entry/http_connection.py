"""One connection of a hypercorn server, closed without losing a request or a response."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import MAX_RECV

from sassafrastally.core import SenderTime, read_in_time
from sassafrastally.entry.http11 import ContainedServer, Http11Wrapper

if TYPE_CHECKING:
    from hypercorn.config import Config
    from hypercorn.trio.worker_context import WorkerContext
    from hypercorn.typing import AppWrapper

LINGER_S = 1.0
"""How long clients may take to send on after the last response, where input is discarded. Closing a
socket with unread input resets the connection, and a client that is still sending may then not read
its response. The time in which this process doesn't read is none of theirs."""

LINGER_BYTES = 16_000_000
"""How much input is discarded at most after the last response."""

UNREAD_CHECK_S = 0.005
"""Interval at which is checked whether the input of an idle connection has been read."""

READ_TURNS = 2
"""Turns of the event loop after which the reading task has got what it has taken from its socket,
where it isn't seen any more."""


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
        # Hypercorn names only encrypted streams, but serves others too.
        super().__init__(app, config, context, {}, stream)  # type: ignore[arg-type]
        self.accepted_s = trio.current_time()
        """When it was accepted."""
        self.has_received = False
        """Whether anything has been read from it."""
        self._gives_way_s = math.inf
        """When it is closed, unless a request has arrived."""
        self._waiting_for_request = trio.CancelScope()
        self._is_idle = True
        """Whether no request is in progress; kept here because hypercorn's own task learns it only
        in a later turn of the event loop."""
        self._is_ending = False
        """Whether nothing more is sent."""
        self._is_read = False
        """Whether nothing more is read, so that the connection isn't idle after a response."""
        self._linger_s = math.inf
        """How long the client may take to send on."""
        self._sender = SenderTime()
        self._receiving = trio.CancelScope()
        self._handling = trio.CancelScope()
        self._reader: trio.lowlevel.Task | None = None

    async def run(self) -> None:
        """Serve the connection."""
        self.config.connections.add(self)
        try:
            await super().run()
        finally:
            self.config.connections.remove(self)

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end of the stream, have arrived that aren't read yet."""
        try:
            return bool(self.stream.socket.is_readable())
        except OSError:
            return False

    def give_way(self, limit_s: float) -> None:
        """Close the connection unless a request arrives within a time."""
        self._gives_way_s = trio.current_time() + limit_s
        self._waiting_for_request.deadline = self._gives_way_s

    async def protocol_send(self, event: Event) -> None:
        """Send a response, or take note of a state of the connection."""
        if isinstance(event, Updated):
            self._is_idle = event.idle
            self._gives_way_s = math.inf
            if not self._is_read:
                self.config.connections.set_idle(self, is_idle=event.idle)
        if isinstance(event, Closed):
            await self._end_sending()
            await self._notify_closed()
        elif isinstance(event, RawData):
            await self._send(event.data)
        elif not self._is_read:
            await super().protocol_send(event)

    async def _send(self, data: bytes) -> None:
        async with self.send_lock:
            try:
                with trio.CancelScope(shield=True):
                    await self.stream.send_all(data)
                return
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._linger(0)
        await self._notify_closed()

    async def _end_sending(self) -> None:
        if self._is_ending:
            return
        self._is_ending = True
        async with self.send_lock:
            try:
                await self.stream.send_eof()
                self._linger(LINGER_S)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._linger(0)

    def _linger(self, limit_s: float) -> None:
        self._linger_s = min(self._linger_s, limit_s)
        self._receiving.cancel()  # What it waits for has a limit from now on.

    async def _notify_closed(self) -> None:
        await self.protocol.handle(Closed())
        # The reading task may wait for the end of a response, which doesn't come any more. If this
        # is that task, it goes on by itself.
        if trio.lowlevel.current_task() is not self._reader:
            self._handling.cancel()

    async def _read_data(self) -> None:
        self._reader = trio.lowlevel.current_task()
        assert isinstance(self.protocol, Http11Wrapper)
        self.protocol.protocol.may_have_input = self._may_have_request
        discarded_bytes = 0
        while (data := await self._receive()) is not None:
            self.has_received = True
            if not self._is_ending:
                with self._handling:
                    await self.protocol.handle(RawData(bytes(data)))
                self._handling = trio.CancelScope()
            discarded_bytes += len(data) if self._is_ending else 0
            if not data or discarded_bytes > LINGER_BYTES:
                break
        self._is_read = True
        # The task would keep the connection open for as long as it may be idle.
        await self.idle_task.stop()
        # Ends even if nothing takes the note: the application has ended.
        with trio.move_on_after(LINGER_S):
            await self.protocol.handle(Closed())

    async def _receive(self) -> bytes | bytearray | None:
        """Return what has arrived, nothing at the end; ``None`` if no more is read."""
        while True:
            with trio.CancelScope() as self._receiving:
                try:
                    if self._linger_s == math.inf:
                        return await self.stream.receive_some(MAX_RECV)
                    return await read_in_time(self._receive_rest, self._sender, self._linger_s)
                except (trio.ClosedResourceError, trio.BrokenResourceError, trio.TooSlowError):
                    return None

    async def _receive_rest(self) -> bytes | bytearray:
        return await self._sender.receive(self.stream, MAX_RECV)

    async def _may_have_request(self) -> bool:
        """Return whether input has arrived; the last look comes right before the return."""
        for _ in range(READ_TURNS):
            if self.has_unread_input():
                return True
            await trio.lowlevel.checkpoint()
        return self.has_unread_input()

    async def _idle_timeout(self) -> None:
        due_s = trio.current_time() + self.config.keep_alive_timeout
        with trio.move_on_at(min(due_s, self._gives_way_s)) as self._waiting_for_request:
            await self.context.terminated.wait()
        # A request that has arrived is read and served first.
        while self._is_idle and await self._may_have_request():
            await trio.sleep(UNREAD_CHECK_S)
        if self._is_idle:
            if self._gives_way_s <= trio.current_time():
                self.config.connections.on_gave_way(not self.has_received)
            await self.stream.aclose()
