"""Waiting for room on behalf of one request, whichever its kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from sassafrastally.proxy.admission_queue import Waited, WaitingFacts, WaitingRequest
from sassafrastally.proxy.log_events import RequestQueued

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.load import Lane
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
        self._services = services
        self._task = task
        self._queue = services.queue
        self._name = (task.service, lane)
        self._work_ms = work_ms
        self._clock = services.kernel.clock

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
        waited = await self._queue.wait(self._name, WaitingRequest(facts, try_start, should_end))
        self.waited_s += waited.waited_s
        return waited

    def expected_room_s(self) -> float | None:
        """Return after how long a request behind all that wait would start, if known."""
        return self._queue.expected_wait_s(self._name) if self.applies else None

    def record_start(self) -> None:
        """Count the request's work for its customer and for the rate of its queue."""
        if self.applies or self.yields:
            self._queue.record_start(self._name, self._facts(0.0))

    def record_refusal(self, retry_after_s: float) -> None:
        """Remember when the caller may come back."""
        if self.applies:
            due_s = self._clock.now_s() + retry_after_s
            self._queue.early_retries.record_refusal(self._task.fingerprint, due_s)

    def _facts(self, latest_start_s: float) -> WaitingFacts:
        task, now_s = self._task, self._clock.now_s()
        customer = task.customer
        own_priority = customer.priority if customer else None
        return WaitingFacts(
            priority=task.route.priority if own_priority is None else own_priority,
            is_early=self._queue.early_retries.is_early(task.fingerprint, now_s),
            customer=task.customer_name or "",
            work_ms=self._work_ms,
            body_bytes=len(task.request.body),
            since_s=now_s,
            latest_start_s=latest_start_s,
        )
