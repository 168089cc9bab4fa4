"""Server that ends its connection in the middle of a response."""

from __future__ import annotations

import re
import socket
import struct
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

READ_BYTES = 65_536
LINGER_ZERO = struct.pack("ii", 1, 0)
HEAD_END = b"\r\n\r\n"

CONTENT_LENGTH = re.compile(rb"(?i)content-length: *(\d+)")


class Framing(NamedTuple):
    """How the body of a response is delimited."""

    name: str
    header: bytes
    ends_with_connection: bool = False

    def respond(self, content: bytes, content_type: bytes, status: bytes = b"200 OK") -> bytes:
        """Return a whole response."""
        header = self.header % len(content) if b"%" in self.header else self.header
        if self.name == "chunks":
            content = b"%x\r\n%s\r\n0\r\n\r\n" % (len(content), content) if content else content
        head = b"HTTP/1.1 %s\r\nContent-Type: %s\r\n%s\r\n" % (status, content_type, header)
        return head + content


LENGTH = Framing("length", b"Content-Length: %d\r\n")
CHUNKS = Framing("chunks", b"Transfer-Encoding: chunked\r\n")
CLOSE = Framing("close", b"", ends_with_connection=True)
FRAMINGS = (LENGTH, CHUNKS, CLOSE)


class CutServer:
    """Answers each request with the present response up to a cut, then ends the connection.

    Requests are read whole before the response is sent.
    """

    def __init__(self) -> None:
        self.response = b""
        self.cut_at: int | None = None
        """Number of bytes after which the connection ends; ``None`` for the whole response."""
        self.is_reset = False
        """Whether it ends with a reset."""
        self.earlier_response = b""
        """Sent whole to the first request of each connection, if there is one."""
        self.connections = 0
        self.requests = 0
        self.address: Address

    def cuts(self, response: bytes) -> Iterator[int]:
        """Set each cut of a response in turn, with a close and with a reset."""
        self.response = response
        for self.is_reset in (False, True):
            for self.cut_at in range(len(response)):
                yield self.cut_at

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection."""
        self.connections += 1
        async with stream:
            with suppress(trio.BrokenResourceError):
                if self.earlier_response and await self._read_request(stream):
                    await stream.send_all(self.earlier_response)
                if not await self._read_request(stream):
                    return
                await stream.send_all(self.response[: self.cut_at])
                if self.is_reset:
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)

    async def _read_request(self, stream: trio.SocketStream) -> bool:
        received = bytearray()
        while not _is_whole(received):
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return False
            received += data
        self.requests += 1
        return True


def _is_whole(received: bytearray) -> bool:
    head, separator, body = received.partition(HEAD_END)
    length = CONTENT_LENGTH.search(head)
    return bool(separator) and len(body) >= (int(length[1]) if length else 0)


@asynccontextmanager
async def open_cut_server() -> AsyncIterator[CutServer]:
    """Run a server for the duration of the context."""
    server = CutServer()
    async with trio.open_nursery() as nursery:
        [listener] = await nursery.start(partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1"))
        server.address = Address("127.0.0.1", listener.socket.getsockname()[1])
        yield server
        nursery.cancel_scope.cancel()
