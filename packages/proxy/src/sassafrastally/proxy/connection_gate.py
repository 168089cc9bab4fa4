"""Chooses which new connections of callers are served, and refuses or closes the others."""

from __future__ import annotations

import time
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.core import unread_input
from sassafrastally.proxy.connection_admission import Admission, can_refuse, turn_away
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.cpu_overload import shed_retry_delay_s
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream
from sassafrastally.proxy.metrics import IDLE_CONNECTIONS_CLOSED
from sassafrastally.proxy.refusals import CONNECTIONS_FULL, ENTRY_BUSY, refusal_body
from sassafrastally.proxy.reply import Reply
from sassafrastally.proxy.turned_away_log import TurnedAwayLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import Kernel, UnreadInput
    from sassafrastally.proxy.caller_connections import CallerConnections
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.overload_monitor import OverloadMonitor
    from sassafrastally.proxy.refusals import Refusal

    Serve = Callable[[trio.abc.Stream], Awaitable[object]]
    Linger = Callable[[HttpStream], Awaitable[object]]

MAX_LOOK_S = 0.002
"""Time from a look at a connection to its close; after more, it is looked at again."""

MAX_LOOKS = 8

HEAD = b"HEAD "
"""Begin of a request whose response has no body."""


class ConnectionGate:
    """Decides on connections as soon as they are accepted.

    Parameters
    ----------
    kernel
        Log, and random numbers.
    overload
        Tells whether the entry has CPU time for more requests.
    connections
        The idle connections, which give way to new ones.
    dialect
        Translates headers.
    crossing_s
        Time after its last byte within which a request may be cut by a close.
    """

    def __init__(
        self,
        kernel: Kernel,
        overload: OverloadMonitor,
        connections: CallerConnections[trio.CancelScope],
        dialect: Dialect,
        crossing_s: float,
    ) -> None:
        self.log = TurnedAwayLog(kernel.events.emit)
        """What was turned away."""
        self._kernel = kernel
        self._overload = overload
        self._connections = connections
        self._dialect = dialect
        self._crossing_s = crossing_s
        self._choosing = Containment(kernel, "choice of new connections")
        self._refusing = Containment(kernel, "refusal of a connection")

    def choose(
        self,
        stream: trio.SocketStream,
        open_connections: int,
        serve: Serve,
        linger: Linger,
        *,
        is_stopping: bool,
    ) -> Serve | None:
        """Return how to serve a new connection; ``None`` if it is closed unread.

        Parameters
        ----------
        stream
            The connection.
        open_connections
            Open connections, with this one.
        serve
            Serves its requests.
        linger
            Waits until its caller has a refusal.
        is_stopping
            Whether the entry stops: its callers move to others anyway, and it serves what comes.
        """
        with self._choosing:
            return self._choose(stream, open_connections, serve, linger, is_stopping=is_stopping)
        return serve

    def _choose(
        self,
        stream: trio.SocketStream,
        open_connections: int,
        serve: Serve,
        linger: Linger,
        *,
        is_stopping: bool,
    ) -> Serve | None:
        if not is_stopping and self._overload.refuses_connections():
            refusal = ENTRY_BUSY
        elif not self._has_room(open_connections):
            refusal = CONNECTIONS_FULL
        else:
            return serve
        has_resources = can_refuse(open_connections, self._connections.most)
        is_refused, unread = self._close_unless_waited(stream, can_refuse=has_resources)
        self.log.record(refusal.code, unread, is_refused=is_refused)
        return partial(self._refuse, linger, refusal) if is_refused else None

    def _close_unless_waited(
        self, stream: trio.SocketStream, *, can_refuse: bool
    ) -> tuple[bool, UnreadInput]:
        """Close a connection, or return that what has waited in it is to be refused.

        The close follows the look at once: a request that arrives in between may wait for as long
        as the process has no CPU time.
        """
        for _ in range(MAX_LOOKS):
            looked_s = time.monotonic()
            unread = unread_input(stream)
            admission = turn_away(unread, self._crossing_s, can_refuse=can_refuse)
            if admission is Admission.REFUSE:
                return True, unread
            if time.monotonic() - looked_s < MAX_LOOK_S:
                break
        stream.socket.close()
        return False, unread

    def _has_room(self, open_connections: int) -> bool:
        """Return whether another connection may stay; idle ones are closed for it."""
        while self._connections.is_full(open_connections):
            longest_idle = self._connections.take_longest_idle()
            if longest_idle is None:
                return False
            IDLE_CONNECTIONS_CLOSED.add(1)
            longest_idle.cancel()
        return True

    async def _refuse(self, linger: Linger, refusal: Refusal, stream: trio.abc.Stream) -> None:
        """Refuse the request of a connection without parsing it."""
        connection = HttpStream(stream, h11.SERVER)
        reply = Reply(connection, lambda: True)
        delay_s = shed_retry_delay_s(self._kernel.random.random())
        headers = [
            (b"content-type", b"application/problem+json"),
            self._dialect.retry_after_header(delay_s),
        ]
        # A caller who has left isn't told.
        with self._refusing, suppress(ConnectionLost):
            await connection.receive_bytes()
            is_for_head = connection.http.trailing_data[0].startswith(HEAD)
            body = b"" if is_for_head else refusal_body(refusal, "", "it waited to be accepted")
            await reply.send_complete(refusal.status, headers, body)
            await linger(connection)
