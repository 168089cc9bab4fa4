"""Log and count of callers' connections that are closed before everything on them is done.

A close makes the operating system drop what the caller hasn't acknowledged if the caller has sent
more, and what the caller has sent and nobody has read is lost without a trace.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.core import unread_input
from sassafrastally.proxy.connection_state import is_reset
from sassafrastally.proxy.log_events import ConnectionsCut
from sassafrastally.proxy.metrics import CONNECTIONS_CUT

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.http_stream import HttpStream

INTERVAL_S = 1.0
"""Least time between two lines: the end of a process closes hundreds of connections at once."""

MAX_LOGGED_REQUESTS = 4
"""Maximum number of requests that a line names."""


class ConnectionEnd(NamedTuple):
    """What is left on a connection when it is closed."""

    request_id: str
    """ID of the latest request on it that was read; empty without one."""
    is_between_requests: bool
    """Whether no part of a request was being read, nor refused unread."""
    unacknowledged_bytes: int
    """Bytes that were sent to the caller and not acknowledged."""
    unserved_bytes: int
    """Bytes of the caller that weren't read, or discarded."""


def add_end(last: ConnectionsCut, end: ConnectionEnd) -> ConnectionsCut | None:
    """Return a line with one more connection; ``None`` if everything on that one is done.

    Its load is the end of a process with hundreds of connections, of which few matter: those with a
    response that may be dropped, and those on which a request may have been sent. The rest of a
    request that was refused early is discarded on purpose.

    Parameters
    ----------
    last
        The line so far.
    end
        How the connection ends.
    """
    unserved_bytes = end.unserved_bytes if end.is_between_requests else 0
    if not end.unacknowledged_bytes and not unserved_bytes:
        return None
    request_ids = last.request_ids
    if end.request_id and len(request_ids) < MAX_LOGGED_REQUESTS:
        request_ids = (*request_ids, end.request_id)
    return last._replace(
        connections=last.connections + 1,
        unacknowledged=last.unacknowledged + bool(end.unacknowledged_bytes),
        most_unacknowledged_bytes=max(last.most_unacknowledged_bytes, end.unacknowledged_bytes),
        unserved=last.unserved + bool(unserved_bytes),
        most_unserved_bytes=max(last.most_unserved_bytes, unserved_bytes),
        request_ids=request_ids,
    )


def connection_end(connection: HttpStream) -> ConnectionEnd | None:
    """Return how a connection ends that is about to be closed; ``None`` if it is gone already."""
    if connection.is_reset_on_close or is_reset(connection.stream):
        return None
    http = connection.http
    unread_bytes = unread_input(connection.stream).size_bytes + len(http.trailing_data[0])
    return ConnectionEnd(
        connection.request_id,
        http.their_state not in (h11.SEND_BODY, h11.ERROR),
        connection.send_buffered_bytes(),
        unread_bytes + connection.discarded_bytes,
    )


class ConnectionEndLog:
    """Sums up such connections in an interval and logs a line about them.

    Parameters
    ----------
    emit
        Writes a log event.
    """

    def __init__(self, emit: Callable[[NamedTuple], object]) -> None:
        self._emit = emit
        self._sum: ConnectionsCut | None = None
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Write lines from now on; the nursery outlives the connections."""
        self._nursery = nursery

    def record(self, connection: HttpStream, *, is_stopping: bool) -> None:
        """Record a connection that is about to be closed."""
        end = connection_end(connection)
        changed = end and add_end(self._sum or ConnectionsCut(is_stopping=is_stopping), end)
        if changed is None or self._nursery is None:
            return
        CONNECTIONS_CUT.add(1)
        if self._sum is None:
            self._nursery.start_soon(self._write_later)
        self._sum = changed

    async def _write_later(self) -> None:
        try:
            await trio.sleep(INTERVAL_S)
        finally:
            line, self._sum = self._sum, None
            if line is not None:
                self._emit(line)
