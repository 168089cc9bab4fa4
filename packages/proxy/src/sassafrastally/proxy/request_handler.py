"""Base class of request handlers: counts attempts, records their outcomes and logs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Generic

from sassafrastally.proxy.attempt_records import AttemptRecords
from sassafrastally.proxy.backpressure import CallKind
from sassafrastally.proxy.drain import DrainEstimate
from sassafrastally.proxy.evacuation import Unavailability
from sassafrastally.proxy.failover_decision import Obstacle, SuccessorFacts, successor_obstacle
from sassafrastally.proxy.fingerprint import fingerprint_text
from sassafrastally.proxy.model import AttemptParameters, Helper
from sassafrastally.proxy.open_attempt import OpenAttempt
from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts, Start
from sassafrastally.proxy.refusals import (
    MAY_HAVE_RUN,
    QUARANTINED,
    SERVERS_LIMITED,
    STOPPING,
    TURNED_AWAY,
    UNAVAILABILITY_REFUSALS,
)
from sassafrastally.proxy.request_log import RequestLog
from sassafrastally.proxy.response_times import ResponseTimes
from sassafrastally.proxy.retries import Retries
from sassafrastally.proxy.suspect_placement import assigned_servers
from sassafrastally.proxy.task import LocalReply, Progress, RequestTask
from sassafrastally.proxy.turning_away import (
    MIN_RETRY_DELAY_S,
    PredictedAnswer,
    lateness_reason,
    retry_delay_after_failure_s,
    retry_delay_s,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from contextlib import AbstractAsyncContextManager, AbstractContextManager

    from sassafrastally.proxy.attempt import Answer, AttemptNotRun
    from sassafrastally.proxy.buffered_response import BufferedResponse
    from sassafrastally.proxy.http_stream import HttpStream
    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.load import Lane
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.plan import Placement
    from sassafrastally.proxy.refusals import Refusal
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.request_services import RequestServices
    from sassafrastally.proxy.silence_watch import ServerWait
    from sassafrastally.proxy.verdicts import Verdict
    from sassafrastally.proxy.waiting_for_room import RoomWait


class RequestHandler(Generic[Start]):
    """Handles one request by sending attempts to backend servers.

    Parameters
    ----------
    services
        Services shared by all request handlers.
    task
        The request.
    reply
        Sends the response to the caller.
    progress
        Progress of the request, updated by the handler.
    """

    def __init__(
        self, services: RequestServices, task: RequestTask, reply: Reply, progress: Progress
    ) -> None:
        self.progress = progress
        self._room_wait: RoomWait
        """Set by the subclass, which knows the lane and the work of the request."""
        self._declared_s = 0.0
        """Time to write a response of the declared size, after its first event."""
        self._services = services
        self._task = task
        self._reply = reply
        self._clock = services.kernel.clock
        self._emit = services.kernel.events.emit
        self._log = RequestLog(services, task, self.progress)
        self._records = AttemptRecords(services, task, progress, self._log)
        self._retries = Retries(services, task, progress)
        self._attempts: OverlappingAttempts[Start] = OverlappingAttempts(
            self._attempt, lambda: reply.limit.is_due
        )
        self._successor: Start | None = None
        """Where the next attempt is made, which has been charged to the retry budget."""

    async def run(self) -> LocalReply | None:
        """Handle the request; return a local reply if there is no complete response."""
        raise NotImplementedError

    def release(self) -> None:
        """Take back what was charged for attempts; none is made any more."""
        self._retries.refund_all_unsent()
        self._attempts.close()

    async def forward_kept(self) -> bool:
        """Forward a response that is kept while others are tried; return whether there is one."""
        return False

    @property
    def _request_id(self) -> str:
        return self._task.request.facts.request_id

    def _views(self, avoid: set[str]) -> list[ServerView]:
        """Return the servers that may get the request, as in `FleetView.views`."""
        return self._services.fleet_view.views(self._task.service, avoid, self._task.homes)

    def _local_views(self, avoid: set[str]) -> list[ServerView]:
        """Return those of the own data centre, as in `FleetView.local_views`."""
        return self._services.fleet_view.local_views(self._task.service, avoid, self._task.homes)

    def _allowed(self, views: Sequence[ServerView]) -> Sequence[ServerView]:
        """Return the servers that the number of servers of the route allows."""
        if self._retries.has_servers_left:
            return views
        return [one for one in views if one.server.incarnation_id in self.progress.resumable]

    def _reply_not_run(
        self, refusal: Refusal, detail: str, *, is_for_load: bool = True
    ) -> LocalReply:
        """Return the local reply for a request that hasn't run, with a retry delay.

        Parameters
        ----------
        refusal, detail
            The reason; replaced if all servers are evacuated, outside of the request's home
            regions, rate limited or cooling down.
        is_for_load
            Whether the load of the servers is the reason, rather than failed attempts.
        """
        service, homes = self._task.service, self._task.homes
        time_left_s = self._task.time_left_s(self._clock.now_s())
        available_in_s = None
        unavailability = self._services.fleet_view.unavailability(service, homes)
        if unavailability is Unavailability.NONE:
            available_in_s = self._services.fleet_view.available_in_s(service, time_left_s, homes)
        else:
            refusal = UNAVAILABILITY_REFUSALS[unavailability]
            detail = f"service {service}"
            if homes is not None:
                detail += f", home data centres: {', '.join(sorted(homes)) or 'none'}"
        if available_in_s is None:
            random_share = self._services.kernel.random.random()
            delay_s = (
                retry_delay_s(time_left_s, random_share, self._room_wait.expected_room_s())
                if is_for_load
                else retry_delay_after_failure_s(time_left_s, random_share, self._goal_left_s())
            )
            is_contended = is_for_load and unavailability is Unavailability.NONE
            has_met_load = self._room_wait.has_asked or self.progress.attempts > 0
            self._room_wait.record_refusal(delay_s, is_for_load=is_contended and has_met_load)
            return LocalReply(refusal, detail, delay_s)
        refusal = TURNED_AWAY if self.progress.attempts else SERVERS_LIMITED
        detail = f"service {service}: the next one takes a request in {available_in_s:.2f} s"
        return LocalReply(refusal, detail, max(MIN_RETRY_DELAY_S, available_in_s))

    def stopped_reply(self) -> LocalReply:
        """Return the local reply at the end of this entry's drain."""
        if self.progress.may_have_run or self.progress.pending:
            return LocalReply(MAY_HAVE_RUN, "this entry stopped before the response was complete")
        return self._reply_stopping("its time is over")

    def _reply_stopping(self, detail: str) -> LocalReply:
        """Return the local reply for a request that this entry has no time for."""
        if self.progress.may_have_run:
            return LocalReply(MAY_HAVE_RUN, f"this entry is stopping: {detail}")
        time_left_s = self._task.time_left_s(self._clock.now_s())
        random_share = self._services.kernel.random.random()
        delay_s = retry_delay_after_failure_s(time_left_s, random_share, self._goal_left_s())
        return LocalReply(STOPPING, detail, delay_s)

    def _least_first_s(self) -> float:
        """Return the shortest time to the response or its first event."""
        raise NotImplementedError

    def _stopping_reply(self, first_s: float) -> LocalReply | None:
        """Return the local reply if this entry stops before a response can be complete.

        Parameters
        ----------
        first_s
            Time to the response or its first event.
        """
        drain, now_s = self._services.drain, self._clock.now_s()
        if not drain.is_stopping:
            return None
        # A response that has begun would be cut now, and not maybe later.
        complete_s = -math.inf if self.progress.may_have_run else self._task.request.complete_s
        needed_s = drain.needed_s(self._task.route.name, first_s, self._declared_s, complete_s)
        left_s = max(0.0, drain.ends_s - now_s)
        if drain.can_complete(needed_s, now_s):
            self.progress.next_estimate = DrainEstimate(now_s, needed_s, left_s)
            return None
        return self._reply_stopping(f"{left_s:.1f} s are left, a response takes {needed_s:.1f} s")

    def _lateness_reason(self, plan: Placement, patience_s: float, *, is_new: bool) -> str:
        """Return why the caller would leave before its answer is whole, as `lateness_reason`."""
        lengths, now_s = self._services.drain.response_lengths, self._clock.now_s()
        writing_s = lengths.expected_s(self._task.route.name, self._declared_s)
        answer = PredictedAnswer(plan.predicted_s, plan.alone_s, writing_s, is_new)
        return lateness_reason(answer, patience_s, self._task.time_left_s(now_s))

    def _goal_left_s(self) -> float:
        """Return the time until the goal of the route; negative if it is missed."""
        goal_s = self._task.route.goal_s or 0.0
        return self._task.request.arrived_s + goal_s - self._clock.now_s()

    def _must_not_wait(self) -> bool:
        """Return whether waiting is pointless: a stop, a quarantine verdict, or an evacuation."""
        if self._stopping_reply(self._least_first_s()) is not None:
            return True
        if self._verdict() is not None:
            return True
        unavailability = self._services.fleet_view.unavailability(
            self._task.service, self._task.homes
        )
        return unavailability is not Unavailability.NONE

    def _verdict(self) -> Verdict | None:
        """Return the verdict on the request, unless its next attempt is a trial."""
        tried_part = None if self.progress.sent else self.progress.tried_part
        return self._services.quarantine.verdict(self._task.subjects, tried_part)

    def _quarantine_reply(self) -> LocalReply | None:
        """Return the local reply if the request is quarantined."""
        verdict = self._verdict()
        if verdict is None:
            return None
        now_s = self._clock.now_s()
        ended = "crashed" if not verdict.is_presumed else "crashed or dropped all connections"
        detail = (
            f"{verdict.crashes} backend servers {ended} while they ran "
            f"{self._subject_text(verdict)}: not run for up to {verdict.until_s - now_s:.0f} s"
        )
        if self.progress.may_have_run:
            return LocalReply(MAY_HAVE_RUN, detail)
        return LocalReply(QUARANTINED, detail, verdict.retry_delay_s(now_s))

    def _subject_text(self, verdict: Verdict) -> str:
        """Return how a verdict on this request is described to its caller."""
        if verdict.subject == self._task.fingerprint:
            return f"request {fingerprint_text(verdict.subject)}"
        blamed = (verdict.subject, *verdict.companions)
        ids = dict(zip(self._task.parts, self._task.request.facts.prompt_parts, strict=True))
        return f"requests with prompt part {' and '.join(ids[part] for part in blamed)}"

    def _trial_views(self) -> list[ServerView]:
        """Return the server to which this request is the trial, as in `FleetView.trial_views`.

        Only a first attempt is one, and only if the route and the retry budget allow another, so
        that a failure costs no caller its response. Handlers of streams use short prompts only: a
        long one fails with any of the engines that share it.
        """
        can_fail = self._retries.can_fail_over() and not self._records.is_suspect()
        if self.progress.attempts or not can_fail:
            return []
        views = self._services.fleet_view.trial_views(
            self._task.service, self.progress.tried, self._task.homes
        )
        return views if views and self._retries.has_budget() else []

    def _isolate(self, views: Sequence[ServerView]) -> list[ServerView]:
        """Return the server for a suspect request, isolated from requests that crashed with it."""
        suspects = self._services.quarantine.crash_counts_with(self._task.subjects)
        return assigned_servers(views, self._task.fingerprint, suspects)

    def _attempt_terms(
        self,
        attempt: OpenAttempt,
        last_event_id: int | None,
        helpers: Sequence[BackendServer] = (),
    ) -> AttemptParameters:
        """Return the parameters of an attempt."""
        return AttemptParameters(
            server=attempt.server,
            time_left_s=self._task.time_left_s(attempt.begin_s),
            customer=self._task.customer_name,
            last_event_id=last_event_id,
            helpers=tuple(Helper(server) for server in helpers),
        )

    async def _attempt(self, start: Start) -> bool:
        """Make one attempt; return whether its response is complete."""
        raise NotImplementedError

    async def _forward(self, response: BufferedResponse, lane: Lane) -> None:
        """Forward a complete response; raises `ConnectionLost`."""
        elapsed_s = self._clock.now_s() - self._task.request.arrived_s
        headers = self._services.dialect.response_headers(response.headers)
        await self._reply.send_complete(response.status, headers, response.body)
        times = ResponseTimes(elapsed_s, elapsed_s)
        self._log.answered(response.server_id, response.status, response.framing, lane, times)

    def _begin_attempt(
        self, server: BackendServer, wait: ServerWait, helpers: Sequence[BackendServer] = ()
    ) -> OpenAttempt:
        self.progress.begin(server.incarnation_id)
        self._services.backpressure.count_request(server, CallKind.ATTEMPT)
        self._services.fleet_view.failures.record_sent(server)
        for helper in helpers:
            self._services.backpressure.count_part(helper)
        attempt = OpenAttempt(server, self.progress.attempts, self._clock.now_s(), wait)
        attempt.is_return = server.incarnation_id in self.progress.resumable
        self.progress.resumable.discard(server.incarnation_id)
        return attempt

    def _watch(self, attempt: OpenAttempt) -> AbstractContextManager[None]:
        """Watch an attempt for silence of its server, beside which another one may then begin."""
        tolerated: set[Obstacle] = set()

        def add_successor(silent_s: float) -> None:
            if self._must_forward_kept():
                self._attempts.close_all()
                return
            silent = self._attempts.silent(self._clock.now_s())
            if not silent:
                return
            obstacle = self._claim_successor()
            if obstacle is not None:
                if obstacle not in tolerated:
                    tolerated.add(obstacle)
                    self._log.silence_tolerated(attempt, silent_s, obstacle)
                return
            for one in silent:
                self._records.silence(one, self._silence_detail(one))
            self._add_successor()

        def record_endless() -> None:
            if not attempt.silence_detail:
                self._records.outcome(attempt.server, is_failure=True)

        # A server whose run differs from another one's may get the request again.
        can_fail_over = self._retries.can_fail_over() or self._attempts.has_others(attempt)
        on_silence = add_successor if can_fail_over else None
        return self._services.silence_watch.watch(attempt.wait, on_silence, record_endless)

    def _must_forward_kept(self) -> bool:
        """Return whether a kept failure is forwarded now although silent servers may go on."""
        return False

    def _silence_detail(self, attempt: OpenAttempt) -> str:
        """Return how the server of an attempt is silent."""
        return attempt.wait.silence_detail(self._clock.now_s())

    def _record_closed(self, attempt: OpenAttempt) -> None:
        """Record an attempt that was closed for another one."""
        if not attempt.is_sent:
            self._record_unsent(attempt)
            return
        if attempt.has_differed:
            self.progress.resumable.add(attempt.server.incarnation_id)
        elif attempt.wait.silence(self._clock.now_s()).is_over_limit and not attempt.is_logged:
            self._records.silence(attempt, self._silence_detail(attempt))
        if attempt.has_differed or not attempt.is_logged:
            # Nothing speaks against the server, which may get the request again.
            self.progress.tried.discard(attempt.server.incarnation_id)
        self._records.superseded(attempt)

    def _record_unsent(self, attempt: OpenAttempt) -> None:
        """Record an attempt that was closed before its request was sent: it is none."""
        self.progress.sent.remove(attempt.server.incarnation_id)
        self.progress.tried.discard(attempt.server.incarnation_id)
        if attempt.is_return:
            self.progress.resumable.add(attempt.server.incarnation_id)
        self._records.unsent(attempt)
        if attempt.number > 1:
            self._retries.refund_unsent()

    def _claim_successor(self) -> Obstacle | None:
        """Choose where the next attempt is made and charge it; return what prevents that."""
        if self._successor is not None:
            return None
        candidate = self._choose_successor()
        facts = SuccessorFacts(
            route_obstacle=self._retries.failover_obstacle(),
            is_quarantined=self._verdict() is not None,
            is_stopping=self._stopping_reply(self._least_first_s()) is not None,
            is_behind_others=self._is_behind_others(),
            has_server=candidate is not None,
        )
        if (obstacle := successor_obstacle(facts)) is not None:
            return obstacle
        if not self._retries.charge_budget(is_logged=False):
            return Obstacle.BUDGET
        self._successor = candidate
        return None

    def _choose_successor(self) -> Start | None:
        """Return where the next attempt can be made now."""
        raise NotImplementedError

    def _is_behind_others(self) -> bool:
        """Return whether others wait for the same room and come first."""
        raise NotImplementedError

    def _add_successor(self) -> None:
        """Make the claimed attempt beside those that are open."""
        if (successor := self._take_successor()) is not None:
            self._attempts.add(successor)

    def _take_successor(self) -> Start | None:
        successor, self._successor = self._successor, None
        return successor

    def _send(
        self, attempt: OpenAttempt, terms: AttemptParameters, connect_until_s: float = math.inf
    ) -> AbstractAsyncContextManager[Answer]:
        """Send the request, as `AttemptSender.send`; it is pending from then on."""

        def record_sending(connection: HttpStream) -> None:
            self.progress.pending.append(attempt)
            attempt.is_sent = True
            if attempt.number > 1:
                self._retries.record_sent()
            attempt.wait.record_sending(self._clock.now_s(), connection)

        return self._services.attempt_sender.send(
            self._task.request,
            terms,
            may_reuse=self._task.route.is_repeatable,
            waiting=attempt.wait.scope,
            connect_until_s=connect_until_s,
            before_sending=self._reply.limit.require_time,
            on_sending=record_sending,
        )

    def _record_not_run(
        self,
        attempt: OpenAttempt,
        cause: AttemptNotRun,
        helpers: tuple[BackendServer, ...] = (),
    ) -> None:
        """Record an attempt that certainly didn't run; it isn't charged if nothing was sent."""
        self._records.not_run(attempt, cause, helpers)
        if cause.is_unreachable and attempt.number > 1:
            self._retries.refund_unsent()
