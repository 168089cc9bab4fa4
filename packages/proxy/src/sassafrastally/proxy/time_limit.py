"""Time limit of one request, which acts once what has arrived in time is delivered.

When a process that was paused or had no CPU time runs again, the limits of its requests have passed
although servers may have answered: what they sent lies unread in the sockets. Timers of a process
that isn't delayed fire on time, so that nothing changes there.
"""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.cpu_overload import LAST_READ_S

if TYPE_CHECKING:
    from collections.abc import Iterator

LATE_S = 0.02
"""Delay of a timer that means that the process didn't run."""

MAX_EXTRA_S = 0.25
"""Longest time for which a limit that is noticed late doesn't act. A process with little CPU time
may be interrupted again meanwhile; callers don't wait much longer than their limit."""

READY_STEPS = 8
"""Number of times that other tasks run before a limit acts: what has arrived at the same moment is
read, parsed and written in fewer."""

LAST_WRITE_S = 0.25
"""How long a write may go on past the limit, so that its caller gets whole responses and events."""


def extra_time_s(due_s: float, noticed_s: float, now_s: float) -> float:
    """Return how long what has arrived is still delivered; 0 once the limit may act.

    The load is requests whose servers answer while their entry doesn't run. One turn is
    enough for what is already received; a paused VM also has to receive what the network held back.

    Parameters
    ----------
    due_s
        When the last timer was due: that of the limit, or the end of the extra time so far.
    noticed_s
        When the limit was noticed.
    now_s
        Present time.
    """
    if now_s - due_s <= LATE_S:
        return 0.0
    return max(0.0, min(LAST_READ_S, noticed_s + MAX_EXTRA_S - now_s))


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
        self.due_s = self._timer.deadline = min(self.due_s, due_s)
        if self._write_scope is not None:
            self._write_scope.deadline = self._last_write_s()

    async def watch(self) -> None:
        """Wait for the limit and act on it; ends early after `end`."""
        with self._watch_scope:
            with self._timer:
                await trio.sleep_forever()
            due_s, noticed_s = self.due_s, trio.current_time()
            while extra_s := extra_time_s(due_s, noticed_s, trio.current_time()):
                due_s = trio.current_time() + extra_s
                await trio.sleep_until(due_s)
            for _ in range(READY_STEPS):
                await trio.lowlevel.checkpoint()
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
