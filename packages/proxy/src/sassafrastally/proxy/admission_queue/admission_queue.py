"""The requests that wait for room at this entry, and the task that starts them.

One task tries to start the first requests of each queue. The other requests sleep: they cost no
processor time and don't take the room of those ahead of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

import trio

from sassafrastally.proxy.admission_queue.customer_work import CustomerWork
from sassafrastally.proxy.admission_queue.early_retries import EarlyRetries
from sassafrastally.proxy.admission_queue.expected_room import RoomRate, is_wait_hopeless
from sassafrastally.proxy.admission_queue.headroom import RecentArrivals
from sassafrastally.proxy.admission_queue.queue_order import (
    OrderKey,
    QueueBounds,
    WaitingFacts,
    is_aged,
    is_unhindered,
    order_key,
    requests_to_refuse,
)
from sassafrastally.proxy.contention import REFUSAL_SENT_S, SharedContention
from sassafrastally.proxy.load import Lane

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Set
    from random import Random

SHORTEST_INTERVAL_S = 0.05
"""Shortest time between two checks of a queue: a pass of an engine, in which room comes."""

LONGEST_INTERVAL_S = {Lane.SHORT: 0.1, Lane.LONG: 0.25, Lane.PLAIN: 0.1}
"""Longest time between two checks. The intervals are random: entries learn of new room at the same
moment and would all take it, while one that checks later sees what the others have taken. Placing a
long prompt takes several times the processor time of a short one, and it can wait longer."""

MAX_FAILED_TRIES = 3
"""Requests of a queue that are tried without success in one check. A smaller prompt starts while
the largest one waits for more room, until that has used half of its longest wait."""

Started = TypeVar("Started")

QueueName = tuple[str, Lane]
"""Service and lane. Each lane has its own queue: a long prompt that can't start doesn't keep short
ones waiting."""


class Waited(NamedTuple, Generic[Started]):
    """How a wait ended."""

    started: Started | None
    """What the request's callback returned; ``None`` if there was no room."""
    waited_s: float
    reason: str
    """Why it ended without room; empty if there was room."""


class WaitingRequest(Generic[Started]):
    """A request that waits.

    Parameters
    ----------
    facts
        What decides its place.
    try_start
        Returns what the request continues with, or ``None`` while there is no room. It must not
        wait, and the work that it starts must be known before the task of the request waits again.
    should_end
        Returns whether the request must be asked although it isn't at the head: it may no longer
        run, or no server is left for it.
    """

    def __init__(
        self,
        facts: WaitingFacts,
        try_start: Callable[[], Started | None],
        should_end: Callable[[], bool] = lambda: False,
    ) -> None:
        self.facts = facts
        self.started: Started | None = None
        self.reason = ""
        self.error: Exception | None = None
        """Unexpected error of a callback, which ends the wait and is raised by it."""
        self.ended = trio.Event()
        self._try_start = try_start
        self._should_end = should_end

    def try_start(self) -> bool:
        """Try to start; return whether the wait has ended."""
        return self._try(self._try_start)

    def try_end_early(self) -> bool:
        """Try to start if the request must not go on waiting; return whether the wait has ended."""
        return self._try(lambda: self._try_start() if self._should_end() else None)

    def _try(self, start: Callable[[], Started | None]) -> bool:
        try:
            self.started = start()
        except Exception as cause:
            # Raised in the task of the request: the other requests go on waiting.
            self.error = cause
        if self.started is not None or self.error is not None:
            self.ended.set()
        return self.ended.is_set()

    def refuse(self, reason: str) -> None:
        """End the wait without room."""
        self.reason = reason
        self.ended.set()


class AdmissionQueue:
    """Requests that wait for room at this entry; the `run` task must be running.

    Parameters
    ----------
    random
        Draws the delays before checks.
    bounds
        Bounds of what waits.
    """

    def __init__(self, random: Random, bounds: QueueBounds | None = None) -> None:
        self.customers = CustomerWork()
        self.early_retries = EarlyRetries()
        self.contention = SharedContention(self.customers.recent_ms, self._count_contending)
        self.contention.on_refused_elsewhere = self._mark_early
        self.arrivals = RecentArrivals()
        self._random = random
        self._bounds = bounds or QueueBounds()
        self._queues: dict[QueueName, list[WaitingRequest[object]]] = {}
        self._rates: dict[QueueName, RoomRate] = {}
        self._next_checks_s: dict[QueueName, float] = {}
        self._is_waited = trio.Event()

    def count(self, lane: Lane) -> int:
        """Return the number of requests of a lane that wait."""
        return sum(len(queue) for name, queue in self._queues.items() if name[1] is lane)

    def is_early(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the caller of a request was told to come back later, by any entry."""
        is_early_here = self.early_retries.is_early(fingerprint, now_s)
        return is_early_here or self.contention.is_early(fingerprint, now_s)

    def record_refusal(self, fingerprint: int, due_s: float, *, is_for_load: bool) -> None:
        """Record when the caller of a refused request may come back."""
        self.early_retries.record_refusal(fingerprint, due_s)
        if is_for_load:
            self.contention.record_refusal(fingerprint, due_s, trio.current_time())

    def is_behind_others(self, name: QueueName, facts: WaitingFacts) -> bool:
        """Return whether a request that arrives has to wait behind others of its queue."""
        queue = self._queues.get(name)
        if not queue or is_unhindered(facts):
            return False
        key = self._order(trio.current_time())
        return min(key(waiting.facts) for waiting in queue) < key(facts)

    def expected_wait_s(self, name: QueueName, facts: WaitingFacts | None = None) -> float | None:
        """Return how long a request waits; ``None`` if unknown.

        Parameters
        ----------
        name
            Queue of the request.
        facts
            The request; without it, one behind all that wait.
        """
        now_s = trio.current_time()
        rate = self._rates.get(name)
        if rate is None:
            return None
        key = self._order(now_s)
        ahead_ms = sum(
            waiting.facts.work_ms
            for waiting in self._queues.get(name, ())
            if facts is None or key(waiting.facts) < key(facts)
        )
        return rate.expected_wait_s(ahead_ms, now_s)

    def record_start(self, name: QueueName, facts: WaitingFacts) -> None:
        """Count the work of a request that starts, whether or not it has waited."""
        now_s = trio.current_time()
        self.customers.record(facts.customer, facts.work_ms, now_s)
        self._rates.setdefault(name, RoomRate()).record_start(facts.work_ms, now_s)

    async def wait(self, name: QueueName, waiting: WaitingRequest[Started]) -> Waited[Started]:
        """Wait until a request can start or its longest wait is over."""
        begin_s = trio.current_time()
        expected_s = self.expected_wait_s(name, waiting.facts)
        if is_wait_hopeless(expected_s, waiting.facts.latest_start_s - begin_s):
            return Waited(None, 0.0, "it could not start in time")
        queue = self._queues.setdefault(name, [])
        queue.append(waiting)  # type: ignore[arg-type]
        self._rates.setdefault(name, RoomRate()).note_waiting(begin_s)
        self._refuse_excess()
        self._is_waited.set()
        try:
            with trio.move_on_at(waiting.facts.latest_start_s):
                await waiting.ended.wait()
        finally:
            queue.remove(waiting)  # type: ignore[arg-type]
            if not waiting.facts.yields:
                self.contention.record_wait(trio.current_time())
            if not queue:
                self._rates[name].note_empty()
                self._next_checks_s.pop(name, None)
        waited_s = trio.current_time() - begin_s
        # Tried once more, since headroom for more urgent requests no longer holds it back.
        has_ended = waiting.ended.is_set() or waiting.try_start()
        if waiting.error is not None:
            raise waiting.error
        if has_ended:
            return Waited(waiting.started, waited_s, waiting.reason)
        return Waited(None, waited_s, f"waited {waited_s:.1f} s")

    async def run(self) -> None:
        """Try to start the first requests of each queue from time to time."""
        while True:
            if not any(self._queues.values()):
                self._is_waited = trio.Event()
                await self._is_waited.wait()
            now_s = trio.current_time()
            for name in [name for name, queue in self._queues.items() if queue]:
                if self._next_checks_s.setdefault(name, self._next_check_s(name)) <= now_s:
                    self._next_checks_s[name] = self._next_check_s(name)
                    await self._check(self._queues[name])
            # A queue that was empty may have got a request during the checks; it has no time yet.
            due_s = [
                self._next_checks_s.get(name, now_s) for name in self._queues if self._queues[name]
            ]
            await trio.sleep_until(min(due_s, default=now_s))

    def _next_check_s(self, name: QueueName) -> float:
        longest_s = LONGEST_INTERVAL_S[name[1]]
        return trio.current_time() + self._random.uniform(SHORTEST_INTERVAL_S, longest_s)

    async def _check(self, queue: list[WaitingRequest[object]]) -> None:
        now_s = trio.current_time()
        for one in list(queue):
            one.try_end_early()
        failures = 0
        for one in self._in_order(queue):
            if one.try_start():
                # The task of the request records its work before the next one is tried.
                await trio.lowlevel.checkpoint()
                await trio.lowlevel.checkpoint()
                continue
            failures += 1
            if failures == MAX_FAILED_TRIES or is_aged(one.facts, now_s):
                return

    def _in_order(self, requests: Iterable[WaitingRequest[object]]) -> list[WaitingRequest[object]]:
        """Return the requests that still wait, in order."""
        key = self._order(trio.current_time())
        waiting = (one for one in requests if not one.ended.is_set())
        return sorted(waiting, key=lambda one: key(one.facts))

    def _refuse_excess(self) -> None:
        waiting = self._in_order(one for queue in self._queues.values() for one in queue)
        excess = requests_to_refuse([one.facts for one in waiting], self._bounds)
        for one in waiting[len(waiting) - excess :]:
            one.refuse("more requests wait than this entry keeps")

    def _order(self, now_s: float) -> Callable[[WaitingFacts], OrderKey]:
        # Own work only: in replays of floods with the work of all entries, which is hardly ever
        # equal, the latest start no longer decided and more callers of all customers were lost.
        work_ms = self.customers.recent_ms(now_s)
        return lambda facts: order_key(facts, work_ms, now_s)

    def _count_contending(self) -> int:
        """Return how many requests wait for room, without those that wait for prefill only."""
        waiting = (one for queue in self._queues.values() for one in queue)
        return sum(not one.facts.yields for one in waiting)

    def _mark_early(self, fingerprints: Set[int], now_s: float) -> None:
        """Move requests behind others that peers had refused before they came here.

        A caller that comes back at once is faster than the datagram. A request that has waited for
        longer than a refusal is sent came before the refusal, from another caller.
        """
        for waiting in (one for queue in self._queues.values() for one in queue):
            facts = waiting.facts
            has_just_come = now_s - facts.since_s < REFUSAL_SENT_S
            if facts.fingerprint in fingerprints and has_just_come and not facts.is_early:
                waiting.facts = facts._replace(is_early=True)
                self.contention.count_early(is_known_here=False)
