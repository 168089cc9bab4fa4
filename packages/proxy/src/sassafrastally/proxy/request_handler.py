"""Base class of request handlers: counts attempts, records their outcomes and logs."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, Generic, TypeVar

from sassafrastally.proxy.answer_progress import AnswerProgress
from sassafrastally.proxy.attempt import NON_SUCCESS_STATUS, AttemptNotRun, AttemptUnknown
from sassafrastally.proxy.backpressure import CallKind
from sassafrastally.proxy.evacuation import Unavailability
from sassafrastally.proxy.failover_decision import (
    Obstacle,
    SuccessorFacts,
    successor_obstacle,
)
from sassafrastally.proxy.fingerprint import fingerprint_text
from sassafrastally.proxy.model import AttemptParameters
from sassafrastally.proxy.refusals import (
    MAY_HAVE_RUN,
    QUARANTINED,
    SERVERS_LIMITED,
    STOPPING,
    TURNED_AWAY,
    UNAVAILABILITY_REFUSALS,
)
from sassafrastally.proxy.request_log import RequestLog
from sassafrastally.proxy.retries import Retries
from sassafrastally.proxy.suspect_placement import assigned_servers
from sassafrastally.proxy.task import LocalReply, Progress, RequestTask
from sassafrastally.proxy.turning_away import (
    MIN_RETRY_DELAY_S,
    retry_delay_after_failure_s,
    retry_delay_s,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from contextlib import AbstractAsyncContextManager, AbstractContextManager

    from sassafrastally.proxy.attempt import Answer
    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import BackendServer, Helper
    from sassafrastally.proxy.refusals import Refusal
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.request_services import RequestServices
    from sassafrastally.proxy.silence_watch import ServerWait
    from sassafrastally.proxy.verdicts import Verdict
    from sassafrastally.proxy.waiting_for_room import RoomWait

Start = TypeVar("Start")
"""Where a request starts: a server, or a placement on engines."""

SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that means that the backend server failed."""


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
        self._retries = Retries(services, task, progress)
        self._successor: Start | None = None
        """Where the next attempt is made, which has been charged to the retry budget."""

    async def run(self) -> LocalReply | None:
        """Handle the request; return a local reply if there is no complete response."""
        raise NotImplementedError

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
        needed_s = drain.needed_s(self._task.route.name, first_s, self._declared_s)
        if drain.can_complete(needed_s, now_s):
            return None
        left_s = max(0.0, drain.ends_s - now_s)
        return self._reply_stopping(f"{left_s:.1f} s are left, a response takes {needed_s:.1f} s")

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
        quarantine, progress = self._services.quarantine, self.progress
        tried_part = None if progress.sent else progress.tried_part
        verdict = quarantine.verdict(self._task.subjects, tried_part)
        if verdict is None or progress.sent or progress.tried_part is not None:
            return verdict
        progress.tried_part = quarantine.claim_trial(self._task.subjects)
        return verdict if progress.tried_part is None else None

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
        if self.progress.attempts or not self._retries.can_fail_over() or self._is_suspect():
            return []
        views = self._services.fleet_view.trial_views(
            self._task.service, self.progress.tried, self._task.homes
        )
        return views if views and self._retries.has_budget() else []

    def _count_outcome(self, *servers: BackendServer, is_failure: bool) -> None:
        """Count a response or a failure of servers over all entries.

        Failures of a request during which a server has crashed don't count: it may be their cause.
        """
        if is_failure and self._is_suspect():
            return
        for server in servers:
            self._services.fleet_view.failures.record(server, is_failure=is_failure)

    def _count_rejection(self, server: BackendServer) -> None:
        """Count a rejection unless load, a rate limit or a cold start explains it."""
        incarnation_id = server.incarnation_id
        if (
            not self._services.fleet_view.is_loaded(server)
            and self._services.backpressure.limit_of(incarnation_id) is None
            and not self._services.backpressure.is_cold(incarnation_id)
        ):
            self._count_outcome(server, is_failure=True)

    def _is_suspect(self) -> bool:
        """Return whether a server has crashed while running the request, whatever the cause."""
        return self._services.quarantine.crash_count(self._task.subjects) > 0

    def _isolate(self, views: Sequence[ServerView]) -> list[ServerView]:
        """Return the server for a suspect request, isolated from requests that crashed with it."""
        suspects = self._services.quarantine.crash_counts_with(self._task.subjects)
        return assigned_servers(views, self._task.fingerprint, suspects)

    def _record_event(self, server: BackendServer, now_s: float) -> None:
        """Record an event of the answer."""
        if self.progress.answer.record_event(now_s):
            self._services.quarantine.record_going_on(self._task.parts, server)

    def _record_success(self, server: BackendServer, status: int) -> None:
        """Record a complete, successful response: the request doesn't crash servers."""
        if status < NON_SUCCESS_STATUS:
            answer = self.progress.answer
            self._services.quarantine.record_answered(self._task.subjects, server, answer)

    def _attempt_terms(
        self,
        server: BackendServer,
        begin_s: float,
        last_event_id: int | None,
        helpers: tuple[Helper, ...] = (),
    ) -> AttemptParameters:
        """Return the parameters of an attempt."""
        return AttemptParameters(
            server=server,
            time_left_s=self._task.time_left_s(begin_s),
            customer=self._task.customer_name,
            last_event_id=last_event_id,
            helpers=helpers,
        )

    def _begin_attempt(self, server: BackendServer, helpers: Sequence[BackendServer] = ()) -> None:
        self.progress.attempts += 1
        self.progress.sent += 1
        self.progress.answer = AnswerProgress()
        self.progress.tried.add(server.incarnation_id)
        self._services.backpressure.count_request(server, CallKind.ATTEMPT)
        self._services.fleet_view.failures.record_sent(server)
        for helper in helpers:
            self._services.backpressure.count_part(helper)

    def _watch(self, wait: ServerWait, server: BackendServer) -> AbstractContextManager[None]:
        """Watch an attempt for silence of its server, which another one may then take over."""
        tolerated: set[Obstacle] = set()

        def claim_successor(silent_s: float) -> bool:
            obstacle = self._claim_successor()
            if obstacle is not None and obstacle not in tolerated:
                tolerated.add(obstacle)
                self._log.silence_tolerated(server, silent_s, obstacle)
            return obstacle is None

        claim = claim_successor if self._retries.can_fail_over() else None
        on_endless = partial(self._count_outcome, server, is_failure=True)
        return self._services.silence_watch.watch(wait, claim, on_endless)

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

    def _take_successor(self) -> Start | None:
        successor, self._successor = self._successor, None
        return successor

    def _send(
        self,
        terms: AttemptParameters,
        wait: ServerWait,
        connect_until_s: float = math.inf,
    ) -> AbstractAsyncContextManager[Answer]:
        """Send the request, as `AttemptSender.send`; it is pending from then on."""

        def record_sending() -> None:
            self.progress.pending = terms.server
            wait.record_sending(self._clock.now_s())

        return self._services.attempt_sender.send(
            self._task.request,
            terms,
            may_reuse=self._task.route.is_repeatable,
            waiting=wait.scope,
            connect_until_s=connect_until_s,
            on_sending=record_sending,
        )

    def _record_not_run(
        self,
        server: BackendServer,
        begin_s: float,
        cause: AttemptNotRun,
        helpers: tuple[BackendServer, ...] = (),
    ) -> None:
        """Record an attempt that certainly didn't run."""
        self.progress.pending = None
        if not cause.is_unreachable and self._is_for_load(server, cause):
            self.progress.was_refused_for_load = True
        if cause.is_unreachable:
            # Nothing was sent, so it counts neither as an attempt nor as a retry.
            self.progress.sent -= 1
            self.progress.unreachable += 1
        self._log.attempt_failed(server, begin_s, cause.detail, is_proved_not_run=True)
        # Only the helpers of this attempt can be at fault: a server that has since restarted at the
        # same address isn't.
        at_fault = [helper for helper in helpers if helper.address == cause.failed_server_address]
        for helper in at_fault:
            self._count_rejection(helper)
            reason = "reported as the cause by another server"
            self._services.fleet_view.record_refusal(
                helper, reason, self._request_id, is_conclusive=True
            )
        if at_fault or not cause.counts_against_server:
            return
        if cause.is_unreachable:
            self._count_outcome(server, is_failure=True)
            self._services.fleet_view.record_failure(
                server, cause.detail, self._request_id, is_conclusive=True
            )
        else:
            self._count_rejection(server)
            self._services.fleet_view.record_refusal(server, cause.detail, self._request_id)

    def _is_for_load(self, server: BackendServer, cause: AttemptNotRun) -> bool:
        """Return whether a server refused an attempt because of its load."""
        return not cause.counts_against_server or self._services.fleet_view.is_loaded(server)

    async def _record_unknown(
        self, server: BackendServer, begin_s: float, cause: AttemptUnknown | str
    ) -> None:
        """Record an attempt that may have run and count it as a failure of its server."""
        detail = cause if isinstance(cause, str) else cause.detail
        self._record_abandoned(server, begin_s, detail)
        fleet_view, crash_detector = self._services.fleet_view, self._services.crash_detector
        is_silence = not isinstance(cause, str) and cause.is_timeout
        if not is_silence:  # The report of a silent engine decides whether it has failed.
            self._count_outcome(server, is_failure=True)
        if isinstance(cause, str):
            fleet_view.record_failure(server, detail, self._request_id)
            crash_detector.record_missing_answer(server, self._task, self.progress.answer)
        elif cause.is_timeout:
            fleet_view.record_timeout(server, self._request_id)
            crash_detector.record_missing_answer(server, self._task, self.progress.answer)
        else:
            fleet_view.record_failure(server, detail, self._request_id)
            answer = self.progress.answer
            await crash_detector.record_broken_answer(server, self._task, answer, detail)

    def _record_abandoned(self, server: BackendServer, begin_s: float, detail: str) -> None:
        """Record and log an attempt that may have run."""
        self.progress.pending = None
        self.progress.may_have_run = True
        self._log.attempt_failed(server, begin_s, detail, is_proved_not_run=False)
