"""Time limit of one request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import late_limits

if TYPE_CHECKING:
    from sassafrastally.proxy.last_answers import LastAnswer


class TimeLimit(late_limits.TimeLimit):
    """Limit of the work on one request.

    It acts, as its base class, once what servers have sent is delivered. The end of a drain, which
    may shorten it, is enforced by the drain for all requests together.

    Parameters
    ----------
    due_s
        Time of the limit.
    """

    def __init__(self, due_s: float = math.inf) -> None:
        super().__init__(due_s)
        self.last_answer: LastAnswer | None = None
        """How the request is answered at the end of a drain."""
        self._own_due_s = due_s
        self._watch_scope = trio.CancelScope()

    @property
    def has_acted(self) -> bool:
        """Whether the work was cancelled for the limit."""
        return self.scope.cancelled_caught

    @property
    def deliveries(self) -> int:
        """Number of parts of an answer that have been passed on."""
        return self._deliveries

    async def watch(self) -> None:
        """Wait for the limit and act on it; ends early after `end`."""
        with self._watch_scope:
            await trio.sleep_until(self._own_due_s)
            await self.act()

    def end(self) -> None:
        """End the watch."""
        self._watch_scope.cancel()
