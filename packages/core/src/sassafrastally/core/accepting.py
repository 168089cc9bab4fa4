"""Accepts connections, and stops accepting without losing any that is established.

The operating system establishes connections before a process accepts them, and resets those that
are waiting when their listening socket is closed, with whatever their clients have sent. A process
may have tens of them waiting: it accepts them between other work.
"""

from __future__ import annotations

import array
import errno
import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core.accept_queue import waiting_connections
from sassafrastally.core.second_handle import second_handle

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Serve = Callable[[trio.SocketStream], Awaitable[object]]

MAX_AT_ONCE = 64
"""Connections that are accepted before other tasks run."""

SHORTAGE_PAUSE_S = 0.05
"""Pause after the process or the system lacked the resources for a connection."""

SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of opening or accepting a connection for lack of resources of the process or system."""

NETWORK_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
"""Errors of a connection that has failed before it was accepted (Linux, ``accept(2)``)."""

SO_ATTACH_FILTER = 26
"""Linux; see socket(7). The `socket` module doesn't name it."""


class _Instruction(NamedTuple):
    """An instruction of the classic Berkeley packet filter (Linux, ``struct sock_filter``)."""

    code: int
    jump_true: int
    jump_false: int
    operand: int


TCP_FLAGS_OFFSET = 13
"""Offset of the flags in a TCP header (RFC 9293, section 3.1)."""

TCP_SYN = 0x02

REFUSE_OPENING_SEGMENTS = (
    _Instruction(0x30, 0, 0, TCP_FLAGS_OFFSET),  # Load the byte.
    _Instruction(0x45, 0, 1, TCP_SYN),  # Skip the next instruction unless the bit is set.
    _Instruction(0x06, 0, 0, 0),  # Drop the segment.
    _Instruction(0x06, 0, 0, 0xFFFF_FFFF),  # Keep it.
)
"""Drops the segments that open connections and keeps those of handshakes in progress."""


ACCEPT_INTERVAL_S = 0.02
"""Interval at which connections are accepted between the steps of other tasks, well below the time
for which a connection may wait."""


class ClosedListener(NamedTuple):
    """What was left in an accept queue when its listening socket was closed."""

    accepted: int
    """Connections that were still accepted."""
    unaccepted: int | None
    """Connections that were reset; ``None`` if the system doesn't tell."""


class Acceptor:
    """Accepts the connections of one listening socket and runs a task for each.

    Parameters
    ----------
    listener
        The listening socket; owned by this object.
    serve
        Serves a connection, which is closed afterwards.
    on_shortage
        Called with the cause when resources for a connection are missing, and again only after some
        were accepted.
    choose
        Returns how to serve a connection that has just been accepted; ``None`` closes it at once.
        Without it, all are served alike.
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        serve: Serve,
        on_shortage: Callable[[str], None] = lambda _: None,
        choose: Callable[[trio.SocketStream], Serve | None] | None = None,
    ) -> None:
        self.open_connections = 0
        """Connections that are accepted and not closed."""
        self.is_short = False
        """Whether resources for a connection are missing."""
        self._listener = listener
        self._choose = choose or (lambda _: serve)
        self._on_shortage = on_shortage
        self._queue = second_handle(listener.socket)
        self._is_closed = False
        self._connections: trio.Nursery | None = None
        self._accepting = trio.CancelScope()
        self._ended = trio.Event()
        self._has_closed = trio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether the listening socket is closed."""
        return self._is_closed

    async def run(self, connections: trio.Nursery) -> None:
        """Accept connections until the end of `close`; their tasks run in a nursery.

        The nursery may outlive this. If this is its last task, it stays open for the connections
        that are accepted by `close`.
        """
        self._connections = connections
        try:
            with self._accepting:
                while not self._is_closed:
                    await self._accept_next(connections)
            self._ended.set()
            if self._accepting.cancel_called:
                await self._has_closed.wait()
        finally:
            self._ended.set()
            self.close_now()

    async def close(self) -> ClosedListener:
        """Accept all connections that are established, then close the listening socket.

        Where resources are missing, this waits until other connections have ended. If it is
        cancelled, the socket is closed with connections waiting.
        """
        accepted, unaccepted = 0, None
        self._accepting.cancel()
        try:
            if self._connections is not None and not self._is_closed:
                accepted = await self._accept_rest(self._connections)
                if self._queue is not None:
                    # Nobody can connect between the last look at the queue and the close.
                    refuse_new_connections(self._queue)
                    accepted += await self._accept_rest(self._connections)
        finally:
            if not self._is_closed:
                unaccepted = waiting_connections(self._listener.socket)
            self.close_now()
            self._has_closed.set()
        return ClosedListener(accepted, unaccepted)

    def accept_now(self) -> None:
        """Accept some of what is waiting, in a step of another task."""
        is_accepting = not self._is_closed and not self._accepting.cancel_called
        if self._connections is not None and self._queue is not None and is_accepting:
            self._accept_waiting(self._connections, self._queue)

    def close_now(self) -> None:
        """Close the listening socket; the system resets the connections that are waiting."""
        self._is_closed = True
        if self._queue is not None:
            self._queue.close()
        self._listener.socket.close()

    async def _accept_next(self, connections: trio.Nursery) -> None:
        if self._queue is None:
            self._start(connections, await self._listener.accept())
            return
        await trio.lowlevel.wait_readable(self._queue)
        if self._is_closed:
            return  # Closed in the turn in which it became readable.
        if self._accept_waiting(connections, self._queue) is None:
            await trio.sleep(SHORTAGE_PAUSE_S)

    async def _accept_rest(self, connections: trio.Nursery) -> int:
        """Accept what is waiting; other tasks run meanwhile only if resources are missing."""
        accepted = 0
        if self._queue is None:
            await self._ended.wait()
            while self._listener.socket.is_readable():
                self._start(connections, await self._listener.accept())
                accepted += 1
            return accepted
        while (count := self._accept_waiting(connections, self._queue)) != 0:
            accepted += count or 0
            if count is None:
                await trio.sleep(SHORTAGE_PAUSE_S)
            elif count == MAX_AT_ONCE:
                await trio.lowlevel.checkpoint()
        return accepted

    def _accept_waiting(self, connections: trio.Nursery, queue: socket.socket) -> int | None:
        """Accept some of what is waiting.

        Returns
        -------
        int | None
            Number of connections taken from the queue, also of those that had failed; ``None`` if
            resources are missing.
        """
        for taken in range(MAX_AT_ONCE):
            try:
                connection, _ = queue.accept()
            except BlockingIOError:
                return taken
            except OSError as cause:
                if cause.errno in SHORTAGES:
                    self._note_shortage(cause)
                    return taken or None
                if cause.errno not in NETWORK_ERRORS:
                    raise
                continue
            self.is_short = False
            connection.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
            self._start(connections, stream)
        return MAX_AT_ONCE

    def _note_shortage(self, cause: OSError) -> None:
        if not self.is_short:
            self.is_short = True
            self._on_shortage(repr(cause))

    def _start(self, connections: trio.Nursery, stream: trio.SocketStream) -> None:
        self.open_connections += 1
        serve = self._choose(stream)
        if serve is None:
            self.open_connections -= 1
            stream.socket.close()
            return
        connections.start_soon(self._run, serve, stream)

    async def _run(self, serve: Serve, stream: trio.SocketStream) -> None:
        try:
            await serve(stream)
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)


class AcceptBetweenSteps(trio.abc.Instrument):
    """Accepts connections while the tasks of a turn of the event loop run.

    The tasks that are ready run once each before others do. In a process without CPU time for them,
    that takes tenths of a second, for which new connections would wait.

    Parameters
    ----------
    acceptor
        Accepts the connections.
    """

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self._due_s = 0.0

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Accept connections unless that has been done just before."""
        now_s = trio.current_time()
        if now_s >= self._due_s:
            self._due_s = now_s + ACCEPT_INTERVAL_S
            self._acceptor.accept_now()


def refuse_new_connections(listening: socket.socket) -> bool:
    """Let a listening socket establish no further connection, other than those in progress.

    Their clients' opening segments are dropped, so that they try again until the socket is closed
    and the system refuses them.

    Returns
    -------
    bool
        Whether the system can do that.
    """
    program = b"".join(struct.pack("HBBI", *one) for one in REFUSE_OPENING_SEGMENTS)
    instructions = array.array("B", program)
    address, _ = instructions.buffer_info()
    value = struct.pack("HP", len(REFUSE_OPENING_SEGMENTS), address)
    try:
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, value)
    except OSError:
        return False
    return True
