"""A plain backend server that keeps to a manner of answering and of ending connections."""

from __future__ import annotations

import json
import math
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream
from sassafrastally.stand_ins.documents import REGISTRATION
from sassafrastally.stand_ins.scripted_server import request_id_in, response_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


ID_BYTES = 16
"""Length of a request's id."""


class Framing(Enum):
    """What delimits a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Manner(NamedTuple):
    """How a server answers.

    Attributes
    ----------
    work_s
        Time from the request to its answer.
    silence_s
        Pause inside the response's body.
    framing
        What delimits the response.
    fields
        Further lines of its header.
    closes_after_s
        Time after an answer at which it closes an idle connection; ``None`` if it doesn't.
    resets
        Whether it resets the connection of the next request in place of an answer, of the one
        after, and so on; servers that share this do it in turn.
    is_silent
        Whether it runs requests and never answers.
    """

    work_s: float = 0.01
    silence_s: float = 0.0
    framing: Framing = Framing.LENGTH
    fields: tuple[bytes, ...] = ()
    closes_after_s: float | None = None
    resets: Iterator[bool] = iter(())
    is_silent: bool = False


class Run:
    """A request that a server got, times on the clock of the servers' loop."""

    def __init__(self, request_id: str, has_run: bool, sent_s: float | None) -> None:
        self.request_id = request_id
        self.has_run = has_run
        self.sent_s = sent_s
        """When its whole response was sent; ``None`` before."""


def answer_to(request_id: str, body_bytes: int) -> bytes:
    """Return the body with which a server answers a request."""
    return f"{request_id}:{body_bytes}".encode()


class Backend:
    """A plain server, whose manner may change from request to request."""

    def __init__(self) -> None:
        self.manner = Manner()
        self.runs: list[Run] = []

    async def start(self, host: str, nursery: trio.Nursery) -> Address:
        """Start the server and return its address."""
        listener = (await trio.open_tcp_listeners(0, host=host))[0]
        nursery.start_soon(trio.serve_listeners, self._serve, [listener])
        return Address(host, listener.socket.getsockname()[1])

    async def start_registered(self, host: str, nursery: trio.Nursery, service: str) -> bytes:
        """Start the server and return the value of its registration."""
        address = await self.start(host, nursery)
        fields = {**REGISTRATION, "service": service, "address": str(address)}
        del fields["born"]
        return json.dumps(fields).encode()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = HttpStream(stream, h11.SERVER)
        idle_s = math.inf
        try:
            while await self._answer_next(connection, idle_s):
                connection.http = h11.Connection(h11.SERVER)
                idle_s = math.inf
                if self.manner.closes_after_s is not None:
                    idle_s = self.manner.closes_after_s
        except (ConnectionLost, h11.RemoteProtocolError):
            return  # The entry has closed the connection.
        finally:
            await connection.close()

    async def _answer_next(self, connection: HttpStream, idle_s: float) -> bool:
        """Answer the next request, if it comes in time; return whether the connection stays."""
        head: object = None
        with trio.move_on_after(idle_s):
            head = await connection.receive()
        return isinstance(head, h11.Request) and await self._answer(connection, head)

    async def _answer(self, connection: HttpStream, head: h11.Request) -> bool:
        body = bytearray()
        while not isinstance(event := await connection.receive(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                return False
            body += event.data
        run = Run(_request_id(head.headers, bytes(body)), True, None)
        self.runs.append(run)
        manner = self.manner
        if manner.is_silent:
            await _until_closed(connection)
            return False
        if next(manner.resets, False):
            await connection.reset()
            return False
        await trio.sleep(manner.work_s)
        await self._send(connection, run, answer_to(run.request_id, len(body)), manner)
        run.sent_s = trio.current_time()
        return manner.framing is not Framing.CLOSE and not any(
            line.lower() == b"connection: close" for line in manner.fields
        )

    async def _send(self, connection: HttpStream, run: Run, body: bytes, manner: Manner) -> None:
        framing = {
            Framing.LENGTH: b"Content-Length: %d" % len(body),
            Framing.CHUNKS: b"Transfer-Encoding: chunked",
            Framing.CLOSE: b"Connection: close",
        }[manner.framing]
        lines = (
            b"HTTP/1.1 200 OK",
            *response_lines(run.request_id),
            framing,
            *manner.fields,
            b"",
            b"",
        )
        half = len(body) // 2
        parts = [body[:half], body[half:]]
        if manner.framing is Framing.CHUNKS:
            parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
            parts[-1] += b"0\r\n\r\n"
        if not manner.silence_s:
            await connection.send_bytes(b"\r\n".join(lines) + b"".join(parts))
            return
        await connection.send_bytes(b"\r\n".join(lines) + parts[0])
        await trio.sleep(manner.silence_s)
        await connection.send_bytes(parts[1])


async def _until_closed(connection: HttpStream) -> None:
    while await connection.receive_bytes():
        pass


def _request_id(fields: Iterable[tuple[bytes, bytes]], body: bytes) -> str:
    """Return the id in the header, or at the begin of the body if the header has none."""
    return (request_id_in(fields) or body[:ID_BYTES]).decode()
