"""Decides how many callers' connections an entry keeps, and which idle one is closed for another.

Callers keep connections open between their requests. Without a bound, idle ones could use up the
file descriptors of the process: new callers would wait in the accept queue, and no attempt, store
call or call to a peer could open a connection.
"""

from __future__ import annotations

import math
import resource
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from sassafrastally.proxy.shortage_bound import ShortageBound

Connection = TypeVar("Connection", bound=Hashable)

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files; sockets share the rest."""

MIN_SOCKET_SHARE = 0.5
"""Least share of the descriptors that is assumed for sockets, where the limit is low."""

CALLERS_SHARE = 0.5
"""Share of the sockets for callers: each request in progress needs another one for its attempt."""


def most_caller_connections(max_descriptors: int) -> float:
    """Return the bound of callers' connections.

    Parameters
    ----------
    max_descriptors
        Limit of the process's descriptors; 0 for the one that the operating system enforces.
    """
    if not max_descriptors:
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit == resource.RLIM_INFINITY:
            return math.inf
        max_descriptors = soft_limit
    sockets = max(max_descriptors - FILE_DESCRIPTORS, max_descriptors * MIN_SOCKET_SHARE)
    return max(1, int(sockets * CALLERS_SHARE))


class CallerConnections(Generic[Connection]):
    """Idle connections of callers, the one idle for longest first.

    Parameters
    ----------
    most
        Bound of all connections, idle or not.
    """

    def __init__(self, most: float) -> None:
        self.most = most
        """Bound of all connections."""
        self._idle: dict[Connection, None] = {}
        self._lingering: dict[Connection, None] = {}
        self._closing: set[Connection] = set()
        self._shortage = ShortageBound()

    def __len__(self) -> int:
        return len(self._idle)

    def __iter__(self) -> Iterator[Connection]:
        return iter(list(self._idle))

    def begin_idle(self, connection: Connection) -> None:
        """Record that a connection waits for a request."""
        self._idle[connection] = None

    def end_idle(self, connection: Connection) -> None:
        """Record that a request has arrived on a connection or that it is closed."""
        self._idle.pop(connection, None)
        self._closing.discard(connection)

    @property
    def lingering(self) -> list[Connection]:
        """Connections whose callers have their last response, the first one to have it first."""
        return list(self._lingering)

    def begin_lingering(self, connection: Connection) -> None:
        """Record that a connection is open only until its caller has read its last response."""
        self._lingering[connection] = None

    def end_lingering(self, connection: Connection) -> None:
        """Record that such a connection is closed."""
        self._lingering.pop(connection, None)
        self._closing.discard(connection)

    def is_full(self, open_connections: int) -> bool:
        """Return whether there are more connections than the bound, without those being closed."""
        return open_connections - len(self._closing) > self.most

    def take_longest_idle(self) -> Connection | None:
        """Return the connection to close for another one; ``None`` if none is idle.

        One whose caller has its last response goes before those that may get another request.
        """
        for connections in (self._lingering, self._idle):
            longest_idle = next(iter(connections), None)
            if longest_idle is not None:
                del connections[longest_idle]
                self._closing.add(longest_idle)
                return longest_idle
        return None

    def take_for_shortage(self, now_s: float) -> list[Connection]:
        """Return the connections to close when the process lacks descriptors nevertheless."""
        taken = self._shortage.count(len(self._idle), now_s)
        return [one for _ in range(taken) if (one := self.take_longest_idle()) is not None]
