"""Waiting for room on behalf of one request, whichever its kind."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from sassafrastally.proxy.admission_queue import (
    Shortage,
    Waited,
    WaitingFacts,
    WaitingRequest,
    find_shortage,
)
from sassafrastally.proxy.log_events import RequestHeldBack, RequestQueued
from sassafrastally.proxy.metrics import HELD_BACK

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.load import Lane
    from sassafrastally.proxy.model import EngineProfile, PromptSize
    from sassafrastally.proxy.plan import Placement
    from sassafrastally.proxy.request_services import RequestServices
    from sassafrastally.proxy.task import RequestTask

Started = TypeVar("Started")


class RoomWait:
    """One request's place among those that wait for room at this entry.

    Parameters
    ----------
    services, task
        The request and the services of its handler.
    lane
        Lane of the request.
    work_ms
        Engine time that the request takes.
    applies
        Whether requests to its service may wait.
    """

    def __init__(
        self,
        services: RequestServices,
        task: RequestTask,
        lane: Lane,
        work_ms: float,
        *,
        applies: bool,
    ) -> None:
        self.applies = applies
        self.yields = False
        """Whether it waits rather than overtaking others in prefill, also where `applies` is not
        set."""
        self.waited_s = 0.0
        """Time that the request has waited so far."""
        self.has_asked = False
        """Whether the request has waited, or could have if there were any hope."""
        self._services = services
        self._task = task
        self._queue = services.queue
        self._name = (task.service, lane)
        self._work_ms = work_ms
        self._clock = services.kernel.clock
        self._was_counted_early = False
        self._waiting_facts: Callable[[], WaitingFacts] | None = None
        self._timely_start_s = math.inf
        self._was_held_back = False

    def record_arrival(self, prompt: PromptSize, alone_s: float) -> None:
        """Count a prompt, so that less urgent ones leave room for the next of its kind.

        Parameters
        ----------
        prompt
            Its size.
        alone_s
            Predicted time to its first event on idle engines.
        """
        task, priority = self._task, self._priority()
        most_urgent = self._services.queueing.most_urgent(task.configuration, task.service)
        if most_urgent is None:
            return
        self._queue.arrivals.record(task.service, task.route, priority, prompt, self._clock.now_s())
        is_most_urgent = max(priority, task.route.priority) <= most_urgent
        if is_most_urgent and task.route.goal_s is not None:
            self._timely_start_s = task.request.arrived_s + task.route.goal_s - alone_s

    def leaves_headroom(
        self, placement: Placement, views: Sequence[ServerView], profile: EngineProfile
    ) -> bool:
        """Return whether a waiting prompt can start and leave room for more urgent ones.

        Parameters
        ----------
        placement
            Where it would start.
        views, profile
            The engines.
        """
        if self._waiting_facts is None:
            return True
        now_s, facts = self._clock.now_s(), self._waiting_facts()
        if now_s >= facts.latest_start_s:
            return True
        kinds = self._queue.arrivals.ahead_of(self._task.service, facts, views, now_s)
        entries = self._services.fleet_view.entries
        shortage = find_shortage(kinds, placement, views, profile, entries)
        if shortage is not None and not self._was_held_back:
            self._was_held_back = True
            self._log_held_back(facts, shortage)
        return shortage is None

    def _log_held_back(self, facts: WaitingFacts, shortage: Shortage) -> None:
        lane = self._name[1].value
        HELD_BACK.add(1, {"lane": lane})
        self._services.kernel.events.emit(
            RequestHeldBack(
                self._task.request.facts.request_id,
                self._task.route.name,
                lane,
                facts.priority,
                shortage.route,
                shortage.timely,
                shortage.needed,
                round(facts.latest_start_s - facts.since_s, 3),
            )
        )

    def is_behind_others(self, latest_start_s: float, *, is_new: bool = True) -> bool:
        """Return whether others wait for the same room and come first.

        Where requests wait only for others in prefill, those that have run before don't wait.
        """
        if not (self.applies or (self.yields and is_new)) or not self._queue.count(self._name[1]):
            return False
        return self._queue.is_behind_others(self._name, self._facts(latest_start_s))

    async def wait(
        self,
        latest_start_s: float,
        reason: str,
        try_start: Callable[[], Started | None],
        should_end: Callable[[], bool],
    ) -> Waited[Started]:
        """Wait for room; log the start of the wait.

        Parameters
        ----------
        latest_start_s
            Time until which the request may wait.
        reason
            Why it can't start now.
        try_start, should_end
            As for `WaitingRequest`.
        """
        facts = self._facts(latest_start_s)
        self.has_asked = True
        self._services.kernel.events.emit(
            RequestQueued(
                self._task.request.facts.request_id,
                self._task.route.name,
                facts.customer,
                self._name[1].value,
                facts.priority,
                facts.is_early,
                round(max(0.0, latest_start_s - facts.since_s), 3),
                self._queue.count(self._name[1]),
                reason,
            )
        )
        waiting = WaitingRequest(facts, try_start, should_end)
        self._waiting_facts = lambda: waiting.facts
        waited = await self._queue.wait(self._name, waiting)
        # The queue counts those of which it learns only while they wait.
        self._was_counted_early |= waiting.facts.is_early
        self.waited_s += waited.waited_s
        return waited

    def expected_room_s(self) -> float | None:
        """Return after how long a request behind all that wait would start, if known."""
        return self._queue.expected_wait_s(self._name) if self.applies else None

    def record_start(self) -> None:
        """Count the request's work for its customer and for the rate of its queue."""
        if self.applies or self.yields:
            self._queue.record_start(self._name, self._facts(0.0))

    def record_refusal(self, retry_after_s: float, *, is_for_load: bool) -> None:
        """Remember when the caller may come back, and tell the peers if load is the reason."""
        if self.applies:
            due_s = self._clock.now_s() + retry_after_s
            self._queue.record_refusal(self._task.fingerprint, due_s, is_for_load=is_for_load)

    def _is_early(self, now_s: float) -> bool:
        """Return whether the caller has come back too early; count it once."""
        fingerprint = self._task.fingerprint
        is_early = self._queue.is_early(fingerprint, now_s)
        if is_early and not self._was_counted_early:
            self._was_counted_early = True
            is_known_here = self._queue.early_retries.is_early(fingerprint, now_s)
            self._queue.contention.count_early(is_known_here=is_known_here)
        return is_early

    def _priority(self) -> int:
        customer = self._task.customer
        own_priority = customer.priority if customer else None
        return self._task.route.priority if own_priority is None else own_priority

    def _facts(self, latest_start_s: float) -> WaitingFacts:
        task, now_s = self._task, self._clock.now_s()
        return WaitingFacts(
            priority=self._priority(),
            is_early=self._is_early(now_s),
            customer=task.customer_name or "",
            work_ms=self._work_ms,
            body_bytes=len(task.request.body),
            since_s=now_s,
            latest_start_s=latest_start_s,
            fingerprint=task.fingerprint,
            timely_start_s=self._timely_start_s,
            yields=not self.applies,
        )
