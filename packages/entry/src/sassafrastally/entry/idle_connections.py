"""Decides which connections of a server are closed when too many are open."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_REQUEST_S = 0.3
"""How long the first request of a new connection is awaited, although others need its place."""

EXCESS_SHARE = 1 / 16
"""Connections beyond the bound whose first requests are awaited, as a share of the bound."""


class OpenConnection(Protocol):
    """A connection of a server."""

    accepted_s: float
    """When it was accepted."""
    has_received: bool
    """Whether anything has been read from it."""

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end of the stream, have arrived that aren't read yet."""
        ...

    def give_way(self, limit_s: float) -> None:
        """Close the connection unless a request arrives within a time."""
        ...


class Connections:
    """Open connections of a server, bounded in number.

    Beyond the bound the one that has been without a request for the longest time is closed, so that
    a flood of connections doesn't keep out callers that send requests. One whose request has
    arrived and isn't read yet stays, if need be beyond the bound until it is read.

    The request of a new connection is usually on its way when it is accepted: its caller couldn't
    know whether that has run. So if all others have requests, new ones are kept for a short time,
    also beyond the bound by a share of it.

    Parameters
    ----------
    max_count
        Maximum number.
    now_s
        Returns the present time on the clock of `OpenConnection.accepted_s`.
    on_gave_way
        Called when a connection was closed for another one, with whether nothing had been received
        on it.
    """

    def __init__(
        self,
        max_count: int,
        now_s: Callable[[], float],
        on_gave_way: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self.on_gave_way = on_gave_way
        self._max_count = max_count
        self._max_excess = math.ceil(max_count * EXCESS_SHARE)
        self._now_s = now_s
        self._open: set[OpenConnection] = set()
        self._idle: dict[OpenConnection, None] = {}
        """Those without a request, the longest idle first."""

    def __len__(self) -> int:
        return len(self._open)

    def has_room(self) -> bool:
        """Return whether a new connection may be served, if need be in place of another one."""
        in_progress = len(self._open) - len(self._idle)
        if in_progress < self._max_count + self._max_excess:
            return True
        return self._longest_idle(spares_new=False) is not None

    def add(self, connection: OpenConnection) -> None:
        """Add a connection, which has no request yet; close others beyond the bound."""
        while (excess := len(self._open) + 1 - self._max_count) > 0:
            longest_idle = self._longest_idle(spares_new=excess <= self._max_excess)
            if longest_idle is None:
                connection.give_way(FIRST_REQUEST_S)
                break
            self.remove(longest_idle)
            longest_idle.give_way(0.0)
        self._open.add(connection)
        self._idle[connection] = None

    def set_idle(self, connection: OpenConnection, *, is_idle: bool) -> None:
        """Record whether a connection has a request in progress, also if it was to be closed."""
        self._open.add(connection)
        self._idle.pop(connection, None)
        if is_idle:
            self._idle[connection] = None

    def remove(self, connection: OpenConnection) -> None:
        """Remove a connection that closes."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def _longest_idle(self, *, spares_new: bool) -> OpenConnection | None:
        new_after_s = self._now_s() - FIRST_REQUEST_S if spares_new else math.inf
        for one in self._idle:
            is_new = not one.has_received and one.accepted_s > new_after_s
            if not is_new and not one.has_unread_input():
                return one
        return None
