"""Requests with an unstreamed response: plain services, and streams without a model engine."""

from __future__ import annotations

import math
from contextlib import ExitStack
from typing import TYPE_CHECKING

from sassafrastally.proxy.admission_queue import latest_start_s
from sassafrastally.proxy.answer_events import body_interruption
from sassafrastally.proxy.attempt import (
    NON_SUCCESS_STATUS,
    TIMEOUT_DETAIL,
    AttemptNotRun,
    AttemptUnknown,
)
from sassafrastally.proxy.buffered_response import BufferedResponse
from sassafrastally.proxy.cpu_overload import was_late
from sassafrastally.proxy.engine_failures import SERVER_ERROR_STATUS
from sassafrastally.proxy.event_stream import carries_events
from sassafrastally.proxy.failover_decision import Handling, Obstacle, Received
from sassafrastally.proxy.load import InFlightAttempt, Lane
from sassafrastally.proxy.model import RouteKind
from sassafrastally.proxy.plain_placement import has_slot, place_plain
from sassafrastally.proxy.refusals import MAY_HAVE_RUN, NO_ROOM, NO_SERVER, TURNED_AWAY
from sassafrastally.proxy.request_handler import RequestHandler
from sassafrastally.proxy.silence_watch import ServerWait
from sassafrastally.proxy.task import LocalReply
from sassafrastally.proxy.waiting_attempts import WaitingAttempt
from sassafrastally.proxy.waiting_for_room import RoomWait

if TYPE_CHECKING:
    from sassafrastally.proxy.attempt import Answer
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.open_attempt import OpenAttempt
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.request_services import RequestServices
    from sassafrastally.proxy.task import Progress, RequestTask

FIRST_ATTEMPT_SHARE = 0.45
"""Share of the remaining time that an attempt may use if another one may follow. If the server
hangs, enough time is left for a complete second attempt."""

SILENCE_DETAIL = "no answer within the attempt's time limit"

PLAIN_WORK_MS = 30.0
"""Assumed work of a request to a plain service: its real work isn't known in advance."""


class PlainRequestHandler(RequestHandler["BackendServer"]):
    """Handles one request with a plain service."""

    def __init__(
        self, services: RequestServices, task: RequestTask, reply: Reply, progress: Progress
    ) -> None:
        super().__init__(services, task, reply, progress)
        self._failed: BufferedResponse | None = None
        """A server's failure, which is forwarded unless another attempt succeeds."""
        self._response: BufferedResponse | None = None
        """The response that goes to the caller."""
        self._obstacle: Obstacle | None = None
        """What prevented another attempt."""
        self._room_wait = RoomWait(
            services,
            task,
            Lane.PLAIN,
            PLAIN_WORK_MS,
            applies=services.queueing.applies_anywhere(task.configuration),
        )

    async def run(self) -> LocalReply | None:
        """Handle the request; return a local reply if there is no response."""
        while True:
            if (quarantined := self._quarantine_reply()) is not None and self._failed is None:
                return quarantined
            if quarantined is None and not await self._wait_for_slot():
                if self._failed is None:
                    return self._no_slot_reply()
                break
            stopping = self._stopping_reply(self._least_first_s())
            if stopping is not None and self._failed is None:
                return stopping
            server = None if quarantined or stopping else self._choose_server()
            if server is None:
                break
            if await self._attempts.run(server) and self._response is not None:
                await self._forward(self._response, Lane.PLAIN)
                return None
            if not self._has_untried_servers():
                break
            self._obstacle = self._retries.claim()
            if self._obstacle is not None:
                break
        if self._failed is not None:
            await self._forward(self._failed, Lane.PLAIN)
            return None
        return self._local_reply()

    def has_kept(self) -> bool:
        """Return whether there is something for `forward_kept`."""
        return self._response is not None or self._failed is not None

    async def forward_kept(self) -> bool:
        """Forward the response or the failure that a server has answered, if any."""
        kept = self._response or self._failed
        if kept is None:
            return False
        await self._forward(kept, Lane.PLAIN)
        return True

    def _local_reply(self) -> LocalReply:
        if self.progress.may_have_run:
            obstacle = self._obstacle or Obstacle.ROOM
            return LocalReply(MAY_HAVE_RUN, f"no further attempt: {obstacle.value}")
        if self.progress.attempts == 0:
            return self._reply_not_run(NO_SERVER, f"service {self._task.service}")
        return self._reply_not_run(
            TURNED_AWAY,
            f"{self.progress.attempts} attempts",
            is_for_load=self.progress.was_refused_for_load,
        )

    async def _wait_for_slot(self) -> bool:
        """Wait while all servers are full; return whether the request can be sent."""
        if not self._room_wait.applies:
            return True
        if self._has_slot() and not self._is_behind_others():
            return True
        if self._stopping_reply(self._least_first_s()) is not None:
            return True
        waited = await self._room_wait.wait(
            self._latest_start_s(), "all slots are taken", self._try_start, self._must_not_wait
        )
        self.progress.waited_s = self._room_wait.waited_s
        return waited.started is not None

    def _try_start(self) -> bool | None:
        return True if self._has_slot() or self._must_not_wait() else None

    def _has_slot(self) -> bool:
        """Return whether a server takes a request, or none is left that could be waited for."""
        views = self._views(self.progress.tried)
        return not views or has_slot(views)

    def _is_behind_others(self) -> bool:
        return self._room_wait.is_behind_others(self._latest_start_s())

    def _least_first_s(self) -> float:
        return self._task.route.goal_s or 0.0  # The real work isn't known in advance.

    def _latest_start_s(self) -> float:
        task, work_s = self._task, self._least_first_s()
        arrived_s = task.request.arrived_s
        return latest_start_s(arrived_s, task.time_limit_s, task.deadline_s, work_s, 0.0)

    def _no_slot_reply(self) -> LocalReply:
        if self.progress.may_have_run:
            return LocalReply(MAY_HAVE_RUN, "no whole answer came")
        detail = f"all slots are taken; waited {self.progress.waited_s:.1f} s"
        return self._reply_not_run(TURNED_AWAY if self.progress.attempts else NO_ROOM, detail)

    def _choose_server(self) -> BackendServer | None:
        views = self._trial_views() or self._views(self.progress.tried)
        if self._records.is_suspect():
            views = self._isolate(views)
        return place_plain(views, self._services.kernel.data_centre)

    def _choose_successor(self) -> BackendServer | None:
        is_full = self._room_wait.applies and not self._has_slot()
        return None if is_full else self._choose_server()

    def _has_untried_servers(self) -> bool:
        return bool(self._views(self.progress.tried))

    def _should_retry(self, answer: BufferedResponse) -> bool:
        return answer.status >= SERVER_ERROR_STATUS and self._task.route.is_repeatable

    async def _attempt(self, server: BackendServer) -> bool:
        await self._reply.limit.require_time()
        begin_s = self._clock.now_s()
        due_s = self._attempt_deadline_s(begin_s)
        limit_s = FIRST_ATTEMPT_SHARE * (self._task.deadline_s - begin_s)
        wait = ServerWait(begin_s, limit_s, limit_s)
        attempt = self._begin_attempt(server, wait)
        self._room_wait.record_start()
        self._log.placed(server)
        is_suspect = self._records.is_suspect()
        in_flight = InFlightAttempt(server.incarnation_id, Lane.PLAIN, is_suspect=is_suspect)
        self._services.fleet_view.ledger.add(in_flight, begin_s)
        waiting = WaitingAttempt((), begin_s, math.inf, wait, lambda *_: None, self._task.subjects)
        try:
            with self._attempts.open(attempt):
                return await self._exchange(attempt, waiting, due_s)
            self._record_closed(attempt)
        except AttemptNotRun as cause:
            self._record_not_run(attempt, cause)
            if cause.is_out_of_time and was_late(due_s, self._clock.now_s()):
                # This entry ran late: the server may be tried again.
                self.progress.tried.discard(server.incarnation_id)
            elif cause.is_out_of_time:
                self._services.fleet_view.record_failure(server, cause.detail, self._request_id)
        except AttemptUnknown as cause:
            if waiting.cancel_reason:
                self._records.abandoned(attempt, waiting.cancel_reason)
                return False
            await self._records.unknown(attempt, SILENCE_DETAIL if cause.is_timeout else cause)
        finally:
            self._services.fleet_view.ledger.remove(in_flight, self._clock.now_s())
        return False

    def _silence_detail(self, attempt: OpenAttempt) -> str:
        detail = super()._silence_detail(attempt)
        return SILENCE_DETAIL if detail == TIMEOUT_DETAIL else detail

    def _attempt_deadline_s(self, begin_s: float) -> float:
        deadline_s = self._task.deadline_s
        if not self._retries.can_fail_over():
            return deadline_s + 1.0  # The deadline of the request still applies.
        return begin_s + FIRST_ATTEMPT_SHARE * (deadline_s - begin_s)

    async def _exchange(
        self, attempt: OpenAttempt, waiting: WaitingAttempt, connect_until_s: float
    ) -> bool:
        """Exchange request and response; return whether the response goes to the caller."""
        server, last_event_id = attempt.server, self._task.request.facts.last_event_id
        terms = self._attempt_terms(attempt, last_event_id)
        with self._watch(attempt), ExitStack() as until_begun:
            if self._retries.is_repeatable:
                # What mustn't run twice is left to run: it can't be told whether it waits.
                attempts = self._services.fleet_view.waiting_attempts
                until_begun.enter_context(attempts.register(waiting))
            async with self._send(attempt, terms, connect_until_s) as answer:
                until_begun.close()
                attempt.wait.record_header(self._clock.now_s())
                with attempt.wait.awaited():
                    body = await answer.read()
                await self._require_end(answer, body)
                response = BufferedResponse(
                    answer.status, answer.headers, body, server.server_id, answer.framing
                )
                return await self._receive(attempt, response)

    async def _receive(self, attempt: OpenAttempt, response: BufferedResponse) -> bool:
        """Record a response; return whether it goes to the caller."""
        should_retry = self._should_retry(response)
        received = Received.FAILURE if should_retry else Received.RESPONSE
        decision = await self._attempts.receive(attempt, received)
        self.progress.end(attempt)
        self.progress.may_have_run = True
        self._services.fleet_view.record_success(attempt.server.incarnation_id)
        is_failure = response.status >= SERVER_ERROR_STATUS
        self._records.outcome(attempt.server, is_failure=is_failure)
        self._records.success(attempt, response.status)
        if decision is Handling.KEEP:
            self._failed = response
            return False
        self._response = response
        return True

    async def _require_end(self, answer: Answer, body: bytes) -> None:
        """Raise `AttemptUnknown` if the body is an event stream that isn't whole."""
        is_stream = carries_events(
            answer.headers, by_default=self._task.route.kind is RouteKind.STREAM
        )
        if answer.status >= NON_SUCCESS_STATUS or not is_stream:
            return
        if interruption := await body_interruption(body, answer.framing):
            raise AttemptUnknown(interruption)
