"""Time left to a stopping entry, and what can still be completed in it.

For about two seconds after the stop signal, the load balancer still sends new connections, while
the process is killed a few seconds later. A request that can't be complete by then is refused at
once: another entry has more time for it than its caller's retry takes.
"""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core.late_limits import deliver_received
from sassafrastally.proxy.last_answers import send_last_answers
from sassafrastally.proxy.response_lengths import ResponseLengths
from sassafrastally.proxy.time_limit import TimeLimit

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_EVENT_RESERVE = 0.25
"""Time in addition to the predicted one until the first event, as a share of it: predictions don't
know of requests that other entries send to the same servers meanwhile."""


class DrainEstimate(NamedTuple):
    """Why a stopping entry has sent a request to a server."""

    made_s: float
    needed_s: float
    """Time that the response probably takes."""
    left_s: float
    """Time until the end of the drain."""


class Drain:
    """The end of a stopping entry's work, and the requests that it limits."""

    def __init__(self) -> None:
        self.response_lengths = ResponseLengths()
        """How long the latest responses took."""
        self.ends_s = math.inf
        """When responses must be complete; infinite unless the entry is stopping."""
        self._reads_end_s = math.inf
        self._whole_after_s = math.inf
        self._limits: set[TimeLimit] = set()
        self._nursery: trio.Nursery | None = None
        self._has_moved = trio.Event()
        self._is_watched = False
        self._readings: set[trio.CancelScope] = set()

    @property
    def is_stopping(self) -> bool:
        """Whether the entry is stopping."""
        return self.ends_s < math.inf

    @property
    def has_ended(self) -> bool:
        """Whether the time for responses is over."""
        return trio.current_time() >= self.ends_s

    def begin(
        self, ends_s: float, reads_end_s: float = math.inf, whole_after_s: float = math.inf
    ) -> None:
        """Begin the drain, which limits all requests in progress and those that still arrive.

        Parameters
        ----------
        ends_s
            When responses must be complete.
        reads_end_s
            When an entry that is late at that time stops reading what has arrived meanwhile.
        whole_after_s
            A response to a request that is complete later isn't to be cut at the end.
        """
        self.ends_s = ends_s = min(ends_s, self.ends_s)
        self._whole_after_s = whole_after_s
        self._reads_end_s = reads_end_s
        for limit in self._limits:
            limit.reads_end_s = reads_end_s
            limit.shorten(ends_s)
        for scope in self._readings:
            scope.deadline = min(scope.deadline, ends_s)
        self._has_moved.set()
        if self._limits:
            self._watch()

    def _watch(self) -> None:
        """Start the task that ends all requests at the end of the drain."""
        if not self._is_watched and self._nursery is not None:
            self._is_watched = True
            self._nursery.start_soon(self._end_requests)

    async def _end_requests(self) -> None:
        while not self.has_ended:
            self._has_moved = trio.Event()
            with trio.move_on_at(self.ends_s):
                await self._has_moved.wait()
        await deliver_received(self.ends_s, self._deliveries, self._reads_end_s)
        answers = [limit.last_answer for limit in self._limits]
        send_last_answers(answer for answer in answers if answer is not None)
        # In the same turn: no task sends a request to a server that was refused as not run.
        for limit in self._limits:
            limit.scope.cancel()

    def _deliveries(self) -> int:
        return sum(limit.deliveries for limit in self._limits)

    def needed_s(
        self, route: str, first_s: float, declared_s: float, complete_s: float = -math.inf
    ) -> float:
        """Return the time that a response probably takes, or takes at most if it may not be cut.

        Operators don't expect answers of servers that are at work until the end, but to requests
        that a stopping entry reads when its callers have had time to move. These are uploads.

        Parameters
        ----------
        route
            Name of the route.
        first_s
            Predicted time to the response or its first event.
        declared_s
            Predicted time of a response of the declared size after its first event.
        complete_s
            When the request was complete.
        """
        if complete_s > self._whole_after_s:
            writing_s = self.response_lengths.longest_s(route, declared_s)
        else:
            writing_s = self.response_lengths.expected_s(route, declared_s)
        return first_s * (1 + FIRST_EVENT_RESERVE) + writing_s

    def can_complete(self, needed_s: float, now_s: float) -> bool:
        """Return whether a response that takes some time can be complete before the end."""
        return now_s + needed_s <= self.ends_s

    @contextmanager
    def limit(self, deadline_s: float, nursery: trio.Nursery) -> Iterator[TimeLimit]:
        """Limit the work in the context to a deadline, or to the end of a drain if sooner.

        Parameters
        ----------
        deadline_s
            Time of the deadline.
        nursery
            Runs the task that waits for it.
        """
        limit = TimeLimit(deadline_s)
        limit.reads_end_s = self._reads_end_s
        limit.shorten(self.ends_s)
        if limit.due_s <= trio.current_time():
            limit.scope.cancel()  # Nothing is in progress that could still be delivered.
        self._limits.add(limit)
        self._nursery = nursery
        if self.is_stopping:
            self._watch()
        nursery.start_soon(limit.watch)
        try:
            with limit.scope:
                yield limit
        finally:
            self._limits.discard(limit)
            limit.end()
            # The answer refers to the request, and that to the limit.
            limit.last_answer = None

    @contextmanager
    def limit_reading(self) -> Iterator[trio.CancelScope]:
        """Cancel the reading of a request in the context at the end of a drain.

        One that begins later is read as long as anything is read.
        """
        due_s = self._reads_end_s if self.has_ended else self.ends_s
        with trio.CancelScope(deadline=due_s) as scope:
            self._readings.add(scope)
            try:
                yield scope
            finally:
                self._readings.discard(scope)
