"""Time limit of one request, which doesn't cut what is being written to its caller."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import late_limits

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_WRITE_S = 0.25
"""How long a write may go on past the limit, so that its caller gets whole responses and events."""


class TimeLimit(late_limits.TimeLimit):
    """Limit of the work on one request and of the writes to its caller.

    It acts, as its base class, once what servers have sent is delivered.

    Parameters
    ----------
    due_s
        Time of the limit.
    """

    def __init__(self, due_s: float = math.inf) -> None:
        super().__init__(due_s)
        self._watch_scope = trio.CancelScope()
        self._write_scope: trio.CancelScope | None = None

    @property
    def has_acted(self) -> bool:
        """Whether the work was cancelled for the limit."""
        return self.scope.cancelled_caught

    @property
    def is_due(self) -> bool:
        """Whether it has passed."""
        return trio.current_time() >= self.due_s

    async def require_time(self) -> None:
        """Wait for the limit to act if it has passed, so that nothing new begins meanwhile."""
        if self.is_due:
            await trio.sleep_forever()

    def shorten(self, due_s: float) -> None:
        """Move the limit to an earlier time; a later one changes nothing."""
        super().shorten(due_s)
        if self._write_scope is not None:
            self._write_scope.deadline = self._last_write_s()

    async def watch(self) -> None:
        """Wait for the limit and act on it; ends early after `end`."""
        with self._watch_scope:
            await super().watch()

    def end(self) -> None:
        """End the watch."""
        self._watch_scope.cancel()

    @contextmanager
    def writing(self) -> Iterator[trio.CancelScope]:
        """Protect a write from the limit, within a bound; one at a time.

        Yields the scope that protects it, which is cancelled at the bound and by `abandon_write`.
        """
        scope = trio.CancelScope(deadline=self._last_write_s(), shield=True)
        self._write_scope = scope
        try:
            with scope:
                yield scope
        finally:
            self._write_scope = None

    def abandon_write(self) -> None:
        """Cancel a write whose caller has left."""
        if self._write_scope is not None:
            self._write_scope.cancel()

    def _last_write_s(self) -> float:
        return max(self.due_s, trio.current_time()) + LAST_WRITE_S
