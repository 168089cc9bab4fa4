"""Log and count of new callers' connections that aren't served."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.log_events import ConnectionsTurnedAway
from sassafrastally.proxy.metrics import CONNECTIONS_REFUSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import UnreadInput

INTERVAL_S = 1.0
"""Least time between two lines: an overloaded entry turns hundreds of connections away a second."""


class TurnedAwayLog:
    """Sums up what is turned away in an interval, and logs a line for each cause.

    Parameters
    ----------
    emit
        Writes a log event.
    """

    def __init__(self, emit: Callable[[NamedTuple], object]) -> None:
        self._emit = emit
        self._sums: dict[str, ConnectionsTurnedAway] = {}
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Write lines from now on; the nursery outlives the connections."""
        self._nursery = nursery

    def record(self, cause: str, unread: UnreadInput, *, is_refused: bool) -> None:
        """Record a connection that is refused, or closed unread."""
        CONNECTIONS_REFUSED.add(1)
        if not self._sums and self._nursery is not None:
            self._nursery.start_soon(self._write_later)
        last = self._sums.get(cause) or ConnectionsTurnedAway(cause)
        age_s = unread.age_s or 0.0
        if is_refused:
            changed = last._replace(
                refused=last.refused + 1, longest_refused_s=max(last.longest_refused_s, age_s)
            )
        else:
            changed = last._replace(
                closed=last.closed + 1,
                closed_with_input=last.closed_with_input + bool(unread.size_bytes),
                longest_closed_s=max(last.longest_closed_s, age_s),
            )
        self._sums[cause] = changed

    async def _write_later(self) -> None:
        try:
            await trio.sleep(INTERVAL_S)
        finally:
            sums, self._sums = self._sums, {}
            for one in sums.values():
                self._emit(one)
