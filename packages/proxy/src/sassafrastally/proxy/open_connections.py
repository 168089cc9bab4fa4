"""Decides which connection is closed when too many are open at a port."""

from __future__ import annotations

import enum
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)


class ConnectionUse(enum.Enum):
    """What a connection is used for, in the order in which connections are closed for others."""

    IDLE = "idle"
    """No part of a request has been read."""
    REQUEST = "request"
    """A part of a request has been read."""
    RESPONSE = "response"
    """A response is being written."""


class OpenConnections(Generic[Connection]):
    """Open connections of a port by use, the one without change for longest first.

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

    def __len__(self) -> int:
        return sum(map(len, self._by_use.values()))

    def open(self, connection: Connection) -> list[Connection]:
        """Record a new connection; return those to close for it."""
        excess = len(self) + 1 - self._most
        closed = [one for _ in range(excess) if (one := self._take()) is not None]
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

    def _take(self) -> Connection | None:
        for use, connections in self._by_use.items():
            for connection in connections:
                # A response in progress ends with its connection, whatever has arrived.
                if use is ConnectionUse.RESPONSE or not self._has_unread_input(connection):
                    del connections[connection]
                    return connection
        return None
