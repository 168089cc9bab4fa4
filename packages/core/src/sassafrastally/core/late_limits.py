"""Time limits that act only after received input has been delivered.

When a process runs again after a pause (a paused VM, little CPU time, a long computation), its
timers have expired although what they waited for may lie ready in a socket. A plain deadline would
discard it: trio cancels a task at its next checkpoint, so that an answer that one task has read no
longer reaches the task that waits for it. No pause is measured: a timer that fires late shows it.
"""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

LATE_TIMER_S = 0.005
"""Delay above which a timer counts as late. Turns of an event loop that isn't delayed take some
milliseconds."""

LAST_READ_S = 0.1
"""How long is read once more after a late timer. What arrived during the pause is read at once; a
paused VM also has to receive what the network held back, which takes a few round trips."""

MAX_LAST_READS = 2
"""How often is read once more if the process pauses again meanwhile. Keeps a limit within a quarter
of a second, the delay that callers accept."""

DELIVERY_TURNS = 16
"""Turns of the event loop in which tasks pass on what has been read. An answer takes one turn for
each task on its way, which are fewer than ten."""

MAX_DELIVERY_S = 0.05
"""How long is delivered at most while something is passed on in each of these rounds of turns. Each
event of a stream takes a turn or more, so that several of them take more than one round."""


def last_read_s(due_s: float, now_s: float, reads_end_s: float = math.inf) -> float:
    """Return how long to read once more after a timer has fired; 0 if it was on time.

    Parameters
    ----------
    due_s
        Time for which the timer was set.
    now_s
        Present time.
    reads_end_s
        Time from which nothing more is read, however late the timer was.
    """
    if now_s - due_s <= LATE_TIMER_S:
        return 0.0
    return max(0.0, min(LAST_READ_S, reads_end_s - now_s))


async def deliver_received(
    due_s: float, delivered: Callable[[], int] = lambda: 0, reads_end_s: float = math.inf
) -> None:
    """Let other tasks deliver what has been received, after a timer has fired.

    Parameters
    ----------
    due_s
        Time for which the timer was set, on trio's clock.
    delivered
        Returns how much has been delivered so far. Deliveries in a round of turns allow another.
    reads_end_s
        Time from which no late timer allows to wait for more.
    """
    for _ in range(MAX_LAST_READS):
        now_s = trio.current_time()
        extra_s = last_read_s(due_s, now_s, reads_end_s)
        if not extra_s:
            break
        due_s = now_s + extra_s
        await trio.sleep_until(due_s)
    left_s = MAX_DELIVERY_S
    while left_s > 0:
        begin_s, before = trio.current_time(), delivered()
        for _ in range(DELIVERY_TURNS):
            await trio.lowlevel.checkpoint()
        if delivered() == before:
            return
        # If the process pauses again in a round, the rest is delivered in the next one.
        left_s -= min(trio.current_time() - begin_s, MAX_DELIVERY_S / 2)


async def require_time(due_s: float) -> None:
    """Wait for the cancellation if a limit has passed, so that nothing new begins meanwhile.

    For use within the limit's scope, right before something that others notice: a request that is
    sent, a reservation, a claim.

    Parameters
    ----------
    due_s
        When the limit passes, on trio's clock.
    """
    if trio.current_time() >= due_s:
        await trio.sleep_forever()


class TimeLimit:
    """Time limit of a scope, which `watch` enforces.

    Parameters
    ----------
    due_s
        When the time ends, on trio's clock.
    scope
        Scope that is cancelled; a new one if ``None``.
    """

    def __init__(self, due_s: float, scope: trio.CancelScope | None = None) -> None:
        self.due_s = due_s
        self.reads_end_s = math.inf
        """Time from which the limit acts at once, however late its timer was."""
        self.scope = scope or trio.CancelScope()
        self._shortened = trio.Event()
        self._deliveries = 0

    def record_delivery(self) -> None:
        """Record that a part of an answer has been passed on; more of it may lie ready."""
        self._deliveries += 1

    def shorten(self, due_s: float) -> None:
        """Let the time end at this time if that is earlier."""
        if due_s < self.due_s:
            self.due_s = due_s
            self._shortened.set()

    @property
    def is_due(self) -> bool:
        """Whether the time has ended, also while the limit still waits for received input."""
        return trio.current_time() >= self.due_s

    async def require_time(self) -> None:
        """Wait for the cancellation if the time has ended; see the function `require_time`."""
        await require_time(self.due_s)

    async def watch(self) -> None:
        """Wait for the end of the time and for what has been received; then cancel the scope."""
        while trio.current_time() < self.due_s:
            self._shortened = trio.Event()
            with trio.move_on_at(self.due_s):
                await self._shortened.wait()
        await self.act()

    async def act(self) -> None:
        """Wait for what has been received; then cancel the scope."""
        await deliver_received(self.due_s, lambda: self._deliveries, self.reads_end_s)
        self.scope.cancel()


@asynccontextmanager
async def time_limit(
    due_s: float, scope: trio.CancelScope | None = None
) -> AsyncIterator[TimeLimit]:
    """Cancel the work of the context when its time has ended.

    Takes the place of `trio.move_on_at` where other tasks read what the work waits for, or where
    the work would lose what it has read so far.

    Parameters
    ----------
    due_s
        When the time ends, on trio's clock.
    scope
        Scope to enter and cancel; a new one if ``None``.

    Yields
    ------
    TimeLimit
        Its scope tells afterwards whether the time ended (`trio.CancelScope.cancelled_caught`).
    """
    limit = TimeLimit(due_s, scope)
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(limit.watch)
        try:
            with limit.scope:
                yield limit
        except Exception as caught:
            # Raised outside the nursery, which would wrap it in an exception group.
            failure = caught
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
