"""Request path: routes and checks requests, then forwards or rejects them."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.admission_queue import AdmissionQueue, QueueingCache
from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.crash_detector import CrashDetector
from sassafrastally.proxy.drain import Drain
from sassafrastally.proxy.evacuation import home_data_centres
from sassafrastally.proxy.fingerprint import fingerprint_text, part_key, request_fingerprint
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.ignored_fields import IgnoredFieldLog
from sassafrastally.proxy.input_excess_log import InputExcessLog
from sassafrastally.proxy.last_answers import LastAnswer
from sassafrastally.proxy.local_replies import (
    encode_local_reply,
    local_reply_event,
    missed_estimate_event,
    unanswered_event,
)
from sassafrastally.proxy.log_events import CallerDisconnected, StreamBroken
from sassafrastally.proxy.metrics import CALLERS_BLOCKED, REFUSALS, REQUESTS
from sassafrastally.proxy.model import RouteKind
from sassafrastally.proxy.overload_monitor import OverloadMonitor
from sassafrastally.proxy.plain_request import PlainRequestHandler
from sassafrastally.proxy.prefill_limits import PrefillLimitsCache
from sassafrastally.proxy.quarantine_service import QuarantineService
from sassafrastally.proxy.refusals import (
    INTERNAL_ERROR,
    MAY_HAVE_RUN,
    NO_ANSWER_IN_TIME,
    NO_CONFIGURATION,
    NO_ROUTE,
    NOT_SENT_IN_TIME,
    UNKNOWN_KEY,
    Refusal,
)
from sassafrastally.proxy.reply import CallerBlocked
from sassafrastally.proxy.request_services import RequestServices
from sassafrastally.proxy.reservations import Reservations
from sassafrastally.proxy.routes import UnknownKey, choose_service, find_customer
from sassafrastally.proxy.silence_watch import SilenceWatch
from sassafrastally.proxy.streaming_request import StreamingRequestHandler
from sassafrastally.proxy.task import LocalReply, Progress, RequestTask

if TYPE_CHECKING:
    from sassafrastally.proxy.attempt import AttemptSender, Request
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import Configuration, Customer, RequestMetadata, Route
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.retry_budget import RetryBudget

ERROR_RETRY_AFTER_S = 0.1
"""Retry delay after an unexpected error; the retry reaches another entry, most likely."""

NO_CONFIGURATION_RETRY_AFTER_S = 0.3
"""Retry delay that callers are given while no configuration is loaded. A process loads it within a
second of its start, and other entries already have it."""

CONFIGURATION_WAIT_S = 0.5
"""Requests that arrive within this time after the start wait for the first configuration. The store
normally returns it within milliseconds; after this time the store is considered unavailable."""

READ_PAUSE_S = 1.0
"""After the limit of a request, a caller that has read nothing for this long doesn't read any more.
On a slow link, a lost packet takes a part of it."""

LATE_DELIVERY_S = 30.0
"""How long after the limit a caller may go on reading a complete response, so that one that reads
next to nothing doesn't hold it for ever. A response of 600 KB takes as long at 20 KB/s."""

CLEANUP_INTERVAL_S = 5.0
"""Interval at which the state of removed servers is dropped. Replacing a server takes longer, so
unused connections are kept for at most one generation of servers."""


class RequestPath(Service):
    """Handles callers' requests.

    Parameters
    ----------
    dialect
        Translates headers.
    attempts
        Sends requests to backend servers.
    budget
        Retry budget shared by all requests.
    """

    name: ClassVar[str] = "path"
    needs: ClassVar[tuple[str, ...]] = (
        "backpressure",
        "beliefs",
        "overload",
        "quarantine",
        "sight",
    )

    services: RequestServices
    """Services shared by all request handlers; set in `start`."""

    def __init__(self, dialect: Dialect, attempts: AttemptSender, budget: RetryBudget) -> None:
        self._dialect = dialect
        self._attempts = attempts
        self._budget = budget

    async def start(self, nursery: trio.Nursery) -> None:
        """Look up the required services and start the cleanup task."""
        self._nursery = nursery
        self._overload = self.kernel.get("overload", OverloadMonitor)
        self._started_s = self.kernel.clock.now_s()
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        fleet_view = self.kernel.get("sight", FleetView)
        backpressure = self.kernel.get("backpressure", Backpressure)
        quarantine = self.kernel.get("quarantine", QuarantineService)
        self._attempts.on_answer = backpressure.record_answer
        self._attempts.on_ignored_fields = IgnoredFieldLog(self.kernel.events.emit).record
        self._attempts.on_excess = InputExcessLog(self.kernel.events.emit).record
        quarantine.on_verdict = lambda: fleet_view.waiting_attempts.cancel_quarantined(
            lambda subjects: quarantine.verdict(subjects) is not None
        )
        self.services = RequestServices(
            self.kernel,
            self._dialect,
            self._attempts,
            self._budget,
            fleet_view,
            backpressure,
            quarantine,
            CrashDetector(self.kernel, nursery, fleet_view.liveness, quarantine),
            Reservations(self._dialect, self.kernel, self._cluster_state, backpressure, nursery),
            PrefillLimitsCache(),
            QueueingCache(),
            AdmissionQueue(self.kernel.random),
            SilenceWatch(nursery, Containment(self.kernel, "watch of a silent server")),
            Drain(),
        )
        self._errors = Containment(self.kernel, "request")
        queueing = Containment(self.kernel, "requests that wait")
        nursery.start_soon(queueing.restart, self.services.queue.run)
        self._evacuations_changed = trio.Event()
        self._cluster_state.servers.on_evacuations_changed = self._note_evacuations_changed
        nursery.start_soon(Containment(self.kernel, "clean-up").restart, self._clean_up)

    def _note_evacuations_changed(self) -> None:
        evacuations = self._cluster_state.servers.evacuations
        self._attempts.pool.evacuated = evacuations.data_centres
        self._evacuations_changed.set()

    async def _clean_up(self) -> None:
        while True:
            with trio.move_on_after(CLEANUP_INTERVAL_S):
                await self._evacuations_changed.wait()
            self._evacuations_changed = trio.Event()
            await self._attempts.pool.close_idle()
            known = self._cluster_state.servers.known()
            await self.services.reservations.forget_gone({server.address for server in known})
            is_evacuated = self._cluster_state.servers.evacuations.is_evacuated
            await self.services.reservations.close_idle(
                server.address for server in known if is_evacuated(server.data_centre)
            )
            self.services.fleet_view.forget_gone()

    def time_limit_s(self, facts: RequestMetadata, target: bytes) -> float:
        """Return the time of a request: the lower limit of its caller and its route, if any."""
        route = self._find_route(facts, target)
        limits = (facts.time_left_s, route.time_limit_s if route is not None else None)
        return min((limit for limit in limits if limit is not None), default=math.inf)

    def _find_route(self, facts: RequestMetadata, target: bytes) -> Route | None:
        path = target.split(b"?", 1)[0].decode("latin-1")
        return self._cluster_state.routes.find(facts.host, path)

    async def answer(self, request: Request, reply: Reply) -> None:
        """Handle a request; raises `ConnectionLost` if the caller can't be reached."""
        progress = Progress()
        try:
            await self._answer(request, reply, progress)
        except (ConnectionLost, trio.Cancelled) as cause:
            self._log_unanswered(request, reply, progress, cause)
            raise
        except Exception as cause:
            local_reply = LocalReply(MAY_HAVE_RUN, "an unexpected error")
            if reply.has_begun:
                if not progress.has_final_line:
                    self._record_broken(request, progress, local_reply, reply.sent_bytes)
                raise
            self._errors.record(cause)
            if not (progress.may_have_run or progress.pending):
                local_reply = LocalReply(INTERNAL_ERROR, "", ERROR_RETRY_AFTER_S)
            await self._answer_locally(request, reply, local_reply, progress)

    async def _answer(self, request: Request, reply: Reply, progress: Progress) -> None:
        if self._cluster_state.configuration is None:
            with trio.move_on_at(self._started_s + CONFIGURATION_WAIT_S):
                await self._cluster_state.configuration_known.wait()
        configuration = self._cluster_state.configuration
        if configuration is None:
            local_reply = LocalReply(NO_CONFIGURATION, "", NO_CONFIGURATION_RETRY_AFTER_S)
            await self._answer_locally(request, reply, local_reply, progress)
            return
        route = self._find_route(request.facts, request.target)
        if route is None:
            detail = f"version {configuration.version}"
            await self._answer_locally(request, reply, LocalReply(NO_ROUTE, detail), progress)
            return
        progress.route_name = route.name
        customer = find_customer(configuration, route, request.facts)
        if isinstance(customer, UnknownKey):
            detail = f"version {configuration.version}"
            await self._answer_locally(request, reply, LocalReply(UNKNOWN_KEY, detail), progress)
            return
        await self._answer_before_deadline(request, reply, progress, configuration, route, customer)

    async def _answer_before_deadline(
        self,
        request: Request,
        reply: Reply,
        progress: Progress,
        configuration: Configuration,
        route: Route,
        customer: Customer | None,
    ) -> None:
        is_new = request.facts.last_event_id is None
        if is_new and route.kind is RouteKind.STREAM and (shed := self._overload.shed_reply()):
            await self._answer_locally(request, reply, shed, progress)
            return
        service = choose_service(route.shares, self.kernel.random.random())
        homes = home_data_centres(
            route.home_regions,
            customer.home_regions if customer else None,
            self._cluster_state.data_centres,
        )
        parts = tuple(part_key(part_id) for part_id in request.facts.prompt_parts)
        fingerprint = _fingerprint(request, customer)
        task = RequestTask(
            request, route, configuration, customer, service, fingerprint, parts, homes
        )
        self._budget.count_request(service, request.arrived_s)
        try:
            await self._answer_in_time(task, reply, progress)
        except CallerBlocked as cause:
            CALLERS_BLOCKED.add(1)
            request_id = request.facts.request_id
            progress.has_final_line = True
            self.kernel.events.emit(CallerDisconnected(request_id, route.name, cause.detail))
            self._record_unanswered(task, progress)
            raise

    async def _answer_in_time(self, task: RequestTask, reply: Reply, progress: Progress) -> None:
        request = task.request
        answerer = self._request_handler(task, reply, progress)
        local_reply: LocalReply | None = None
        late_s = 0.0
        try:
            with self.services.drain.limit(task.deadline_s, self._nursery) as limit:
                reply.limit = limit
                limit.last_answer = LastAnswer(
                    progress.may_be_running,
                    partial(self._send_last, task, reply, progress, answerer),
                )
                try:
                    await self._claim_trial(task, progress)
                    local_reply = await answerer.run()
                finally:
                    answerer.release()
                    if progress.tried_part is not None and not progress.sent:
                        self.services.quarantine.abandon_trial(progress.tried_part)
        except trio.Cancelled:
            # The caller has left, or the process ends; the limit may have acted at the same time.
            self._record_unanswered(task, progress)
            raise
        if reply.was_sent_at_once:
            self._record_unanswered(task, progress)
            await reply.send_rest()
        if reply.has_ended:
            return
        if limit.has_acted or (local_reply is not None and limit.is_due):
            late_s = round(self.kernel.clock.now_s() - limit.due_s, 4)
            self._record_unanswered(task, progress)
            reply.write_timeout_s = min(reply.write_timeout_s, READ_PAUSE_S)
            if reply.can_complete and await _forward_late(answerer):
                return
            local_reply = self._late_reply(task, progress, answerer)
        if local_reply is None:
            return
        if reply.has_begun:
            self._record_broken(request, progress, local_reply, reply.sent_bytes, late_s)
            return
        fingerprint = fingerprint_text(task.fingerprint)
        await self._answer_locally(request, reply, local_reply, progress, fingerprint, late_s)

    async def _claim_trial(self, task: RequestTask, progress: Progress) -> None:
        """Let a request be the trial of a quarantined part, if one is due.

        A stopping entry would end before the outcome is known.
        """
        if not self.services.drain.is_stopping:
            progress.tried_part = await self.services.quarantine.claim_trial(task.subjects)

    def _send_last(
        self,
        task: RequestTask,
        reply: Reply,
        progress: Progress,
        handler: StreamingRequestHandler | PlainRequestHandler,
    ) -> None:
        """Send the answer to a request that is open at the end of the drain, without a wait."""
        if reply.has_begun or handler.has_kept():
            return
        with self._errors:
            local_reply = self._late_reply(task, progress, handler)
            reply.send_at_once(*encode_local_reply(self._dialect, task.request, local_reply))
            late_s = round(self.kernel.clock.now_s() - reply.limit.due_s, 4)
            fingerprint = fingerprint_text(task.fingerprint)
            self._record_local_reply(task.request, local_reply, progress, fingerprint, late_s)

    def _late_reply(
        self,
        task: RequestTask,
        progress: Progress,
        handler: StreamingRequestHandler | PlainRequestHandler,
    ) -> LocalReply:
        """Return the local reply at the limit of a request, or at the end of the drain."""
        now_s = self.kernel.clock.now_s()
        has_stopped = now_s < task.deadline_s
        if has_stopped and (event := missed_estimate_event(task.request, progress, now_s)):
            self.kernel.events.emit(event)
        return handler.stopped_reply() if has_stopped else _deadline_exceeded(progress)

    def _request_handler(
        self, task: RequestTask, reply: Reply, progress: Progress
    ) -> StreamingRequestHandler | PlainRequestHandler:
        engine = task.configuration.services[task.service].engine
        prompt = task.request.facts.prompt
        if task.route.kind is RouteKind.STREAM and engine is not None and prompt is not None:
            return StreamingRequestHandler(self.services, task, reply, progress, engine, prompt)
        return PlainRequestHandler(self.services, task, reply, progress)

    def _record_unanswered(self, task: RequestTask, progress: Progress) -> None:
        """Record the attempts in flight when the caller disconnected or the deadline passed."""
        for attempt in progress.pending:
            self.services.crash_detector.record_missing_answer(attempt.server, task, attempt.answer)

    def _record_broken(
        self,
        request: Request,
        progress: Progress,
        local_reply: LocalReply,
        sent_bytes: int,
        late_s: float = 0.0,
    ) -> None:
        REQUESTS.add(1, {"outcome": "broken"})
        progress.has_final_line = True
        self.kernel.events.emit(
            StreamBroken(
                request.facts.request_id,
                progress.route_name,
                progress.attempts,
                progress.last_event_id,
                f"{local_reply.refusal.code}: {local_reply.detail}",
                sent_bytes,
                late_s,
            )
        )

    def _log_unanswered(
        self, request: Request, reply: Reply, progress: Progress, cause: BaseException
    ) -> None:
        """Log the end of a request that isn't answered, unless its end has been logged."""
        if progress.has_final_line:
            return
        progress.has_final_line = True
        now_s = self.kernel.clock.now_s()
        has_caller_left = reply.has_caller_left or isinstance(cause, ConnectionLost)
        event = unanswered_event(
            request, progress, reply.sent_bytes, now_s, has_caller_left=has_caller_left
        )
        self.kernel.events.emit(event)

    async def _answer_locally(
        self,
        request: Request,
        reply: Reply,
        local_reply: LocalReply,
        progress: Progress,
        fingerprint: str = "",
        late_s: float = 0.0,
    ) -> None:
        """Send a local reply: a refusal, or a failure of a request that may have run."""
        self._record_local_reply(request, local_reply, progress, fingerprint, late_s)
        await reply.send_complete(*encode_local_reply(self._dialect, request, local_reply))

    def _record_local_reply(
        self,
        request: Request,
        local_reply: LocalReply,
        progress: Progress,
        fingerprint: str,
        late_s: float,
    ) -> None:
        progress.has_final_line = True
        REFUSALS.add(1, {"code": local_reply.refusal.code})
        now_s = self.kernel.clock.now_s()
        self.kernel.events.emit(
            local_reply_event(request, local_reply, progress, fingerprint, now_s, late_s)
        )


async def _forward_late(handler: StreamingRequestHandler | PlainRequestHandler) -> bool:
    """Forward a response that is kept, after the limit; return whether there is one.

    The limit doesn't cut a response that was complete before it, as long as the caller reads.
    """
    with trio.move_on_after(LATE_DELIVERY_S):
        return await handler.forward_kept()
    raise CallerBlocked(f"it hadn't read everything {LATE_DELIVERY_S:.0f} s after the limit")


def _fingerprint(request: Request, customer: Customer | None) -> int:
    return request_fingerprint(
        customer.name if customer else "",
        request.method,
        request.facts.host,
        request.target,
        request.body,
    )


def _deadline_exceeded(progress: Progress) -> LocalReply:
    """Return the local reply for a request whose deadline has passed.

    It may say "not run" only if no attempt can have run.
    """
    refusal: Refusal = NOT_SENT_IN_TIME
    if progress.may_have_run or progress.pending:
        refusal = NO_ANSWER_IN_TIME
    return LocalReply(refusal, "the time limit is over")
