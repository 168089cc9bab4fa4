"""Time limit of one request."""

from __future__ import annotations

import math

import trio

from sassafrastally.core import late_limits


class TimeLimit(late_limits.TimeLimit):
    """Limit of the work on one request.

    It acts, as its base class, once what servers have sent is delivered.

    Parameters
    ----------
    due_s
        Time of the limit.
    """

    def __init__(self, due_s: float = math.inf) -> None:
        super().__init__(due_s)
        self._watch_scope = trio.CancelScope()

    @property
    def has_acted(self) -> bool:
        """Whether the work was cancelled for the limit."""
        return self.scope.cancelled_caught

    async def watch(self) -> None:
        """Wait for the limit and act on it; ends early after `end`."""
        with self._watch_scope:
            await super().watch()

    def end(self) -> None:
        """End the watch."""
        self._watch_scope.cancel()
