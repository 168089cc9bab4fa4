"""Decides which connection is closed when too many are open at a port."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)


class OpenConnections(Generic[Connection]):
    """Open connections of a port, the one unused for longest first.

    A new connection is always accepted: refusing it would let idle connections of one client keep
    out the readiness checks.

    Parameters
    ----------
    most
        Maximum number of open connections.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._connections: dict[Connection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def open(self, connection: Connection) -> Connection | None:
        """Record a new connection; return the one to close for it, if any."""
        self._connections[connection] = None
        if len(self._connections) <= self._most:
            return None
        longest_unused = next(iter(self._connections))
        del self._connections[longest_unused]
        return longest_unused

    def note_use(self, connection: Connection) -> None:
        """Record that a request arrived on a connection."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def close(self, connection: Connection) -> None:
        """Record that a connection is closed."""
        self._connections.pop(connection, None)
