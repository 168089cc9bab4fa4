"""A loopback proxy that harms the connections that pass through it."""

from __future__ import annotations

import math
import re
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.http_stream import LINGER_ZERO
from sassafrastally.stand_ins.metadata_store import WATCH_CALL

if TYPE_CHECKING:
    from sassafrastally.core import Address

PIECE_BYTES = 65_536
"""Most bytes passed on at once."""

CONNECT_TIME_S = 1.0
"""Time for the connection behind the proxy; on loopback it is there at once or refused."""

HEAD_END = b"\r\n\r\n"

SUCCESS = b"HTTP/1.1 200 "

REQUEST_ID = re.compile(rb"\r\nattempt-id: (\w+)\r\n", re.IGNORECASE)


class CutHead(NamedTuple):
    """Where in the head of an answer a connection ends, and how."""

    share: float
    """Share of the head that still passes, less than 1."""
    pause_s: float
    """Time from there to the end."""
    is_reset: bool
    """Whether it is reset; otherwise it is closed."""


class _Connection:
    """One connection with its two halves."""

    def __init__(self, caller: trio.SocketStream, server: trio.SocketStream) -> None:
        self.caller = caller
        self.server = server
        self.is_silenced = False


class LoopbackProxy:
    """Passes connections on to a target.

    Attributes
    ----------
    target
        Where connections go; ``None`` closes them at once, as a process that is gone does.
    delay_s
        How long each piece is held back, in both directions.
    bytes_per_s
        Speed of each direction of a connection.
    cuts_requests
        Bytes towards the target stay on the way; those back pass.
    cuts_answers
        Bytes back stay on the way; those towards the target pass.
    watched_s
        When a call passed last with which an entry waits for changes of the store.
    cut_head
        Ends each connection inside the head of its next answer.
    cut_successes
        How many successes have been cut so, by the request that their head names.
    """

    def __init__(self, target: Address | None) -> None:
        self.target = target
        self.delay_s = 0.0
        self.bytes_per_s = math.inf
        self.cuts_requests = False
        self.cuts_answers = False
        self.watched_s = -math.inf
        self.cut_head: CutHead | None = None
        self.cut_successes: Counter[str] = Counter()
        self._connections: set[_Connection] = set()
        self._healed = trio.Event()
        self._listening = trio.CancelScope()

    async def start(self, host: str, port: int, nursery: trio.Nursery) -> int:
        """Listen in the nursery; return the port."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(self._listen, listeners)
        bound: int = listeners[0].socket.getsockname()[1]
        return bound

    def refuse(self) -> None:
        """Stop listening, as when a process has ended, until it is started again."""
        self._listening.cancel()

    async def _listen(self, listeners: list[trio.SocketListener]) -> None:
        # Connections go on in a nursery of their own when the listener ends.
        async with trio.open_nursery() as connections:
            with trio.CancelScope() as self._listening:
                await trio.serve_listeners(self._serve, listeners, handler_nursery=connections)

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in self._connections:
            for stream in (connection.caller, connection.server):
                _reset(stream)

    def silence_open(self) -> None:
        """Let the open connections go silent for good, without a reset; new ones work."""
        for connection in self._connections:
            connection.is_silenced = True

    def heal(self) -> None:
        """Let new connections pass and bytes that were held back go on."""
        self.delay_s = 0.0
        self.bytes_per_s = math.inf
        self.cuts_requests = self.cuts_answers = False
        self._healed.set()
        self._healed = trio.Event()

    async def _serve(self, caller: trio.SocketStream) -> None:
        server = await self._connect()
        if server is None:
            await trio.aclose_forcefully(caller)
            return
        connection = _Connection(caller, server)
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, connection, caller, server)
                nursery.start_soon(self._pump, connection, server, caller)
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(caller)
            await trio.aclose_forcefully(server)

    async def _connect(self) -> trio.SocketStream | None:
        if self.target is None:
            return None
        with trio.move_on_after(CONNECT_TIME_S):
            try:
                return await trio.open_tcp_stream(self.target.host, self.target.port)
            except OSError:
                return None  # Nobody listens: the caller sees a closed connection.
        return None

    async def _pump(
        self, connection: _Connection, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        try:
            while data := await source.receive_some(PIECE_BYTES):
                await trio.sleep(self.delay_s + len(data) / self.bytes_per_s)
                while self._is_cut(connection, source):
                    await self._healed.wait()
                if data.startswith(WATCH_CALL):
                    self.watched_s = trio.current_time()
                is_answer = source is connection.server and data.startswith(b"HTTP/")
                if is_answer and self.cut_head is not None:
                    await self._end_in_head(sink, data, self.cut_head)
                    return
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # One half was reset; a close of the other one could be taken for a regular end.
            for stream in (source, sink):
                _reset(stream)

    async def _end_in_head(self, sink: trio.SocketStream, data: bytes, cut: CutHead) -> None:
        head = data[: data.index(HEAD_END) + len(HEAD_END)] if HEAD_END in data else data
        request_id = REQUEST_ID.search(head)
        if head.startswith(SUCCESS) and request_id is not None:
            self.cut_successes[request_id[1].decode()] += 1
        await sink.send_all(head[: max(1, int(cut.share * len(head)))])
        await trio.sleep(cut.pause_s)
        if cut.is_reset:
            _reset(sink)
        else:
            await sink.send_eof()

    def _is_cut(self, connection: _Connection, source: trio.SocketStream) -> bool:
        if connection.is_silenced:
            return True
        return self.cuts_requests if source is connection.caller else self.cuts_answers


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() != -1:
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER_ZERO)
        stream.socket.close()
