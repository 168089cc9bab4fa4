"""Time limit of one request, which doesn't cut what is being written to its caller."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_WRITE_S = 0.25
"""How long a write may go on past the limit, so that its caller gets whole responses and events."""


class TimeLimit:
    """Limit of the work on one request and of the writes to its caller.

    Parameters
    ----------
    due_s
        Time of the limit.
    """

    def __init__(self, due_s: float = math.inf) -> None:
        self.scope = trio.CancelScope()
        """Cancelled when the limit acts."""
        self.due_s = due_s
        """Time of the limit."""
        self._timer = trio.CancelScope(deadline=due_s)
        self._watch_scope = trio.CancelScope()
        self._write_scope: trio.CancelScope | None = None

    @property
    def has_acted(self) -> bool:
        """Whether the work was cancelled for the limit."""
        return self.scope.cancelled_caught

    def shorten(self, due_s: float) -> None:
        """Move the limit to an earlier time; a later one changes nothing."""
        self.due_s = self._timer.deadline = min(self.due_s, due_s)
        if self._write_scope is not None:
            self._write_scope.deadline = self._last_write_s()

    async def watch(self) -> None:
        """Wait for the limit and act on it; ends early after `end`."""
        with self._watch_scope:
            with self._timer:
                await trio.sleep_forever()
            self.scope.cancel()

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
