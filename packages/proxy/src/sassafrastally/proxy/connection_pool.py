"""Pool of keep-alive connections to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.proxy.http_stream import (
    SERVER_RECEIVE_BUFFER_BYTES,
    HttpStream,
    connect,
)

if TYPE_CHECKING:
    from sassafrastally.proxy.model import BackendServer

CONNECT_TIME_S = 0.5
"""Connect timeout. Connecting takes a few milliseconds; the timeout detects a server that is
unreachable or whose accept queue is full early enough to fail over to another one."""

IDLE_TIME_S = 3.0
"""Idle connections are closed after this time. Backend servers drop idle connections without
notice; the shorter the idle time, the fewer requests are sent on a dropped connection."""

MAX_IDLE_PER_SERVER = 8
"""Most idle connections kept for one backend server; an engine runs that many requests at once."""


class _Idle(NamedTuple):
    connection: HttpStream
    since_s: float
    data_centre: str


class ConnectionPool:
    """Idle connections by backend server."""

    def __init__(self) -> None:
        self.evacuated: frozenset[str] = frozenset()
        """Data centres to whose servers no idle connections are kept."""
        self._idle: dict[str, list[_Idle]] = {}

    async def open(self, server: BackendServer) -> HttpStream:
        """Return a new connection; raises `ConnectionLost`."""
        stream = await connect(
            server.address, CONNECT_TIME_S, receive_buffer_bytes=SERVER_RECEIVE_BUFFER_BYTES
        )
        return HttpStream(stream, h11.CLIENT)

    async def acquire(self, server: BackendServer) -> HttpStream | None:
        """Return an idle connection that still looks usable, or ``None``."""
        kept = self._idle.get(server.incarnation_id, [])
        while kept:
            idle = kept.pop()
            # Unread input is either a second response to an earlier request or the end of the
            # connection. The next request would take such bytes for its own response.
            is_fresh = trio.current_time() - idle.since_s < IDLE_TIME_S
            if is_fresh and not idle.connection.has_unread_input():
                return idle.connection
            await idle.connection.close()
        return None

    async def release(self, server: BackendServer, connection: HttpStream) -> None:
        """Return a connection to the pool after a complete response, or close it if unusable."""
        kept = self._idle.setdefault(server.incarnation_id, [])
        if (
            len(kept) >= MAX_IDLE_PER_SERVER
            or connection.has_unread_input()
            or server.data_centre in self.evacuated
        ):
            await connection.close()
            return
        connection.http.start_next_cycle()
        connection.is_reused = True
        kept.append(_Idle(connection, trio.current_time(), server.data_centre))

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(kept) for kept in self._idle.values())

    async def close_idle(self) -> None:
        """Close the connections that have been idle for too long, or are to evacuated servers.

        A server that has left gets no more requests, so `acquire` never closes its connections.
        Over days of server replacements they would exhaust the process's file descriptors.
        """
        oldest_s = trio.current_time() - IDLE_TIME_S
        for incarnation_id, kept in list(self._idle.items()):
            expired = [
                idle
                for idle in kept
                if idle.since_s < oldest_s or idle.data_centre in self.evacuated
            ]
            kept[:] = [idle for idle in kept if idle not in expired]
            if not kept:
                del self._idle[incarnation_id]
            for idle in expired:
                await idle.connection.close()
