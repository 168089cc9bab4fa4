"""Server that answers while a request's body is still being sent, and ends its connection."""

from __future__ import annotations

import enum
import os
import socket
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import Address
from sassafrastally.testing.cut_server import CONTENT_LENGTH, HEAD_END, LINGER_ZERO, READ_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LATE_S = 0.05


class EarlyEnd(enum.Enum):
    """How a connection ends after an early response."""

    RESET = "reset"
    """A reset at once."""
    CLOSE_UNREAD = "close-unread"
    """A close with input that hasn't been read, which resets the connection."""
    CLOSE_READ = "close-read"
    """A close once all that has arrived is read: an end of the stream, then a reset by what is
    still on its way."""
    END = "end"
    """An end of the stream; no more is read, and the connection stays open."""
    END_THEN_RESET = "end-then-reset"
    LATE_RESET = "late-reset"


class EarlyServer:
    """Sends the present response once it has read a part of a request, and ends the connection."""

    def __init__(self) -> None:
        self.response = b""
        self.body_bytes = 0
        """How much of a request's body is read before the response is sent."""
        self.end = EarlyEnd.RESET
        self.has_whole_request = False
        """Whether the last request was read whole after all, so that its response may end."""
        self.requests = 0
        self._left_bytes = 0
        self.address: Address

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection."""
        async with stream:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._read(stream)
                self.requests += 1
                await stream.send_all(self.response)
                await self._end(stream)

    async def _read(self, stream: trio.SocketStream) -> None:
        received = b""
        while HEAD_END not in received:
            data = await stream.receive_some(1)
            if not data:
                raise trio.BrokenResourceError("the client has left")
            received += data
        length = CONTENT_LENGTH.search(received)
        self._left_bytes = int(length[1]) if length else 0
        until_bytes = max(0, self._left_bytes - self.body_bytes)
        while (most := min(READ_BYTES, self._left_bytes - until_bytes)) > 0:
            data = await stream.receive_some(most)
            if not data:
                raise trio.BrokenResourceError("the client has left")
            self._left_bytes -= len(data)
        self.has_whole_request = not self._left_bytes

    async def _end(self, stream: trio.SocketStream) -> None:
        if self.end in (EarlyEnd.END, EarlyEnd.END_THEN_RESET):
            await stream.send_eof()
        match self.end:
            case EarlyEnd.CLOSE_UNREAD:
                return
            case EarlyEnd.CLOSE_READ:
                # In one turn of the event loop: the client sends no more meanwhile.
                with suppress(BlockingIOError):
                    while data := os.read(stream.socket.fileno(), READ_BYTES):
                        self._left_bytes -= len(data)
                self.has_whole_request = not self._left_bytes
                return
            case EarlyEnd.END:
                await trio.sleep_forever()
            case EarlyEnd.LATE_RESET:
                await trio.sleep(LATE_S)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


@asynccontextmanager
async def open_early_server(receive_buffer_bytes: int = READ_BYTES) -> AsyncIterator[EarlyServer]:
    """Run a server for the duration of the context.

    Parameters
    ----------
    receive_buffer_bytes
        Size of the socket buffer of its connections, beyond which input stays with the client.
    """
    server = EarlyServer()
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        nursery.start_soon(trio.serve_listeners, server.serve, [listener])
        server.address = Address("127.0.0.1", listener.socket.getsockname()[1])
        yield server
        nursery.cancel_scope.cancel()
