"""Connections to backend servers, kept between requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.proxy.http_stream import HttpStream, connect

if TYPE_CHECKING:
    from sassafrastally.proxy.model import BackendServer

CONNECT_TIME_S = 0.5
"""Longest wait for a connection. One takes a few milliseconds; a server that is cut off or whose
accept queue is full shows by this, early enough to go to another one."""

IDLE_TIME_S = 3.0
"""Connections idle for longer are closed. Backend servers drop idle connections without notice;
the shorter the idle time, the rarer a request that meets such a connection."""

KEPT_PER_SERVER = 8
"""Idle connections kept for one backend server; an engine runs that many requests at once."""


class _Idle(NamedTuple):
    connection: HttpStream
    since_s: float


class ConnectionPool:
    """Idle connections by backend server."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Idle]] = {}

    async def open(self, server: BackendServer) -> HttpStream:
        """Return a new connection; raises `ConnectionLost`."""
        return HttpStream(await connect(server.address, CONNECT_TIME_S), h11.CLIENT)

    async def take(self, server: BackendServer) -> HttpStream | None:
        """Return an idle connection that shows no sign of its end, if there is one."""
        kept = self._idle.get(server.life_id, [])
        while kept:
            idle = kept.pop()
            # A second answer to an earlier request, or the server's end of the connection, shows
            # as unread input. The next request would take such bytes for its own answer.
            is_fresh = trio.current_time() - idle.since_s < IDLE_TIME_S
            if is_fresh and not idle.connection.has_unread_input():
                return idle.connection
            await idle.connection.close()
        return None

    async def put_back(self, server: BackendServer, connection: HttpStream) -> None:
        """Keep a connection whose answer was complete."""
        kept = self._idle.setdefault(server.life_id, [])
        if len(kept) >= KEPT_PER_SERVER or connection.has_unread_input():
            await connection.close()
            return
        connection.http.start_next_cycle()
        kept.append(_Idle(connection, trio.current_time()))

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(kept) for kept in self._idle.values())

    async def close_idle(self) -> None:
        """Close the connections that have been idle for too long.

        A server that left gets no more requests, so that nobody would ever look at its connections
        again; over days of replacements they would use up the process's descriptors.
        """
        oldest_s = trio.current_time() - IDLE_TIME_S
        for life_id, kept in list(self._idle.items()):
            expired = [idle for idle in kept if idle.since_s < oldest_s]
            kept[:] = [idle for idle in kept if idle.since_s >= oldest_s]
            if not kept:
                del self._idle[life_id]
            for idle in expired:
                await idle.connection.close()
