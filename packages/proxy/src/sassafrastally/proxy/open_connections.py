"""Decides which connections at the internal ports are closed when too many are open."""

from __future__ import annotations

import enum
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from sassafrastally.proxy.caller_connections import most_caller_connections
from sassafrastally.proxy.shortage_bound import ShortageBound

Connection = TypeVar("Connection", bound=Hashable)

MAX_CONNECTIONS = 3 * 1024
"""Maximum number of open connections: nine for each entry of a fleet of 340."""

CALLERS_SHARE = 0.5
"""Their share of the number of callers' connections, where descriptors are few. The attempts of
callers' requests need the rest."""


def most_internal_connections(max_descriptors: int) -> int:
    """Return the bound of connections at all internal ports.

    Parameters
    ----------
    max_descriptors
        Limit of the process's descriptors; 0 for the one that the operating system enforces.
    """
    most = most_caller_connections(max_descriptors) * CALLERS_SHARE
    return max(1, int(min(most, MAX_CONNECTIONS)))


class ConnectionUse(enum.Enum):
    """What a connection is used for, in the order in which connections are closed for others."""

    IDLE = "idle"
    """No part of a request has been read."""
    REQUEST = "request"
    """A part of a request has been read."""
    RESPONSE = "response"
    """A response is being written."""


class OpenConnections(Generic[Connection]):
    """Open connections by use, the one without change for longest first.

    A new connection is always accepted: refusing it would let idle connections of one client keep
    out the readiness checks. One on which more has arrived isn't closed for it, so that the bound
    may be exceeded until that is read.

    Parameters
    ----------
    most
        Maximum number of open connections.
    has_unread_input
        Returns whether a connection has input that isn't read.
    """

    def __init__(self, most: int, has_unread_input: Callable[[Connection], bool]) -> None:
        self._most = most
        self._has_unread_input = has_unread_input
        self._by_use: dict[ConnectionUse, dict[Connection, None]] = {
            use: {} for use in ConnectionUse
        }
        self._shortage = ShortageBound()

    def __len__(self) -> int:
        return sum(map(len, self._by_use.values()))

    def open(self, connection: Connection) -> list[Connection]:
        """Record a new connection; return those to close for it."""
        excess = len(self) + 1 - self._most
        closed = [one for _ in range(excess) if (one := self._take(*ConnectionUse)) is not None]
        self.record_use(connection, ConnectionUse.IDLE)
        return closed

    def record_use(self, connection: Connection, use: ConnectionUse) -> None:
        """Record what a connection is used for from now on, also if it was to be closed."""
        self.close(connection)
        self._by_use[use][connection] = None

    def close(self, connection: Connection) -> None:
        """Record that a connection is closed."""
        for connections in self._by_use.values():
            connections.pop(connection, None)

    def take_for_shortage(self, now_s: float) -> list[Connection]:
        """Return the connections to close when the process lacks descriptors."""
        taken = self._shortage.count(len(self._by_use[ConnectionUse.IDLE]), now_s)
        closed = [self._take(ConnectionUse.IDLE) for _ in range(taken)]
        return [one for one in closed if one is not None]

    def _take(self, *uses: ConnectionUse) -> Connection | None:
        for use in uses:
            connections = self._by_use[use]
            for connection in connections:
                # A response in progress ends with its connection, whatever has arrived.
                if use is ConnectionUse.RESPONSE or not self._has_unread_input(connection):
                    del connections[connection]
                    return connection
        return None
