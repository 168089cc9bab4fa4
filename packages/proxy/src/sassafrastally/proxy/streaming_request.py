"""Streaming requests to model engines, resumed on another engine when a stream breaks."""

from __future__ import annotations

import math
from contextlib import ExitStack
from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.admission import Goals, backlog_bound, overload_reason
from sassafrastally.proxy.admission_queue import (
    StartTimes,
    can_yield,
    latest_start_s,
    least_alone_s,
    request_work_ms,
    response_s,
    yield_reason,
)
from sassafrastally.proxy.attempt import NON_SUCCESS_STATUS, AttemptNotRun, AttemptUnknown
from sassafrastally.proxy.attempt_migration import (
    MOVE_CHECK_INTERVAL_S,
    remaining_s,
    should_move_attempt,
    slow_detail,
)
from sassafrastally.proxy.attempt_stream import AttemptStream
from sassafrastally.proxy.caller_stream import CallerStream
from sassafrastally.proxy.caller_timeout import caller_timeout_s
from sassafrastally.proxy.data_centre_pools import place_locally_first, prefers_local_data_centre
from sassafrastally.proxy.engine_failures import EngineFailures
from sassafrastally.proxy.failover_decision import reaches_caller
from sassafrastally.proxy.first_event_timeout import SILENCE_TIMEOUT_SHARE, expected_first_event_s
from sassafrastally.proxy.lanes import PlacementRandomizer, choose_lane
from sassafrastally.proxy.load import NO_WORK, InFlightAttempt, Lane
from sassafrastally.proxy.load_summary import load_summary
from sassafrastally.proxy.metrics import PREFILL_YIELDS
from sassafrastally.proxy.placement import place_request
from sassafrastally.proxy.plan import Placement, max_prompt_tokens
from sassafrastally.proxy.refusals import MAY_HAVE_RUN, NO_ROOM, NO_SERVER, TOO_LONG, TURNED_AWAY
from sassafrastally.proxy.request_handler import RequestHandler
from sassafrastally.proxy.reservations import with_reservations
from sassafrastally.proxy.silence_watch import ServerWait
from sassafrastally.proxy.slow_event_detection import slow_event_time_s
from sassafrastally.proxy.task import LocalReply, Progress, RequestTask
from sassafrastally.proxy.waiting_attempts import WaitingAttempt
from sassafrastally.proxy.waiting_for_room import RoomWait

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.proxy.admission_queue import Waited
    from sassafrastally.proxy.attempt import Answer
    from sassafrastally.proxy.event_stream import StreamEvent
    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import EngineProfile, PromptSize
    from sassafrastally.proxy.open_attempt import OpenAttempt
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.request_services import RequestServices


class StreamingRequestHandler(RequestHandler["Placement"]):
    """Handles one streaming request with model engines."""

    def __init__(
        self,
        services: RequestServices,
        task: RequestTask,
        reply: Reply,
        progress: Progress,
        profile: EngineProfile,
        prompt: PromptSize,
    ) -> None:
        super().__init__(services, task, reply, progress)
        self._profile = profile
        self._slow_event_s = slow_event_time_s(profile)
        self._prompt = prompt
        self._limits = services.limits.for_service(task.configuration, task.service, profile)
        self._lane = choose_lane(task.route, prompt, profile, self._limits)
        route = task.route
        self._goals = Goals(route.goal_s or task.time_limit_s, self._limits.longest_goal_s)
        self._caller_timeout_s = caller_timeout_s(route.goal_s, route.pause_goal_s)
        """Silence after which the caller closes the stream."""
        self._stream = CallerStream(task, reply, progress, self._caller_timeout_s)
        reply.write_timeout_s = self._caller_timeout_s
        self._move_checked_s = -math.inf
        self._room_wait = RoomWait(
            services,
            task,
            self._lane,
            request_work_ms(profile, prompt),
            applies=services.queueing.applies_to(task.configuration, task.service),
        )
        self._room_wait.yields = (
            can_yield(self._lane, self._goals) and services.fleet_view.has_uneven_links()
        )
        self._is_yielding = False
        """Whether it has room, but waits in order not to overtake others in prefill."""
        self._declared_s = response_s(profile, prompt)
        self._alone_s = least_alone_s(profile, prompt)
        """Predicted time to the first event on idle engines."""
        self._room_wait.record_arrival(prompt, self._alone_s)
        self._failures = EngineFailures(
            reply, self._attempts, self._records, self._claims_successor
        )
        self.has_kept = self._failures.has_kept
        self._record_late_stream: Callable[[], None] = lambda: None
        """Records a stream whose rest is sent after the limit."""
        self._awaits_budget = False
        """Whether the next attempt must be charged to the retry budget first."""

    async def run(self) -> LocalReply | None:
        """Handle the request; return a local reply if there is no complete response."""
        local_reply = await self._run()
        return None if local_reply and await self.forward_kept() else local_reply

    def release(self) -> None:
        super().release()
        self._failures.close()

    async def forward_kept(self) -> bool:
        """Forward the rest of a stream that is whole, or else a failure that an engine answered."""
        if self._reply.has_rest:
            await self._reply.send_rest()
            self._record_late_stream()
            return True
        if self._failures.kept is None:
            return False
        await self._forward(self._failures.kept, self._lane)
        return True

    async def _run(self) -> LocalReply | None:
        most_tokens = max_prompt_tokens(self._profile)
        if self._prompt.prompt_tokens > most_tokens:
            return LocalReply(TOO_LONG, f"at most {most_tokens} tokens")
        while True:
            if (quarantined := self._quarantine_reply()) is not None:
                return quarantined
            started = await self._start()
            if isinstance(started, LocalReply):
                return started
            if await self._attempts.run(started):
                return None
            if self._failures.is_rejected or self._must_forward_kept():
                return LocalReply(MAY_HAVE_RUN, "an engine's failure is forwarded in its place")
            if self._successor is None and (obstacle := self._retries.claim()) is not None:
                if not (self._room_wait.applies and self._retries.may_wait_for_budget()):
                    detail = f"no further attempt: {obstacle.value}"
                    return self._local_reply(detail, is_for_load=self.progress.was_refused_for_load)
                self._awaits_budget = True

    async def _start(self) -> Placement | LocalReply:
        """Return where the request starts, after waiting for room if that can help."""
        if (stopping := self._stopping_reply(self._alone_s)) is not None:
            return stopping
        # Chosen again: its server may have left while the failed one was probed.
        if self._take_successor() and (successor := self._choose_successor()):
            return successor
        if self._awaits_budget:
            return await self._wait_for_room("the retry budget is exhausted")
        if self._is_behind_others():
            self._is_yielding = not self._room_wait.applies
            return await self._wait_for_room("others wait for room before it")
        planned = self._plan()
        if isinstance(planned, str):
            return await self._wait_for_room(planned)
        return planned

    def _is_behind_others(self) -> bool:
        return self._room_wait.is_behind_others(self._latest_start_s(), is_new=self._is_new())

    def _choose_successor(self) -> Placement | None:
        planned, now_s = self._plan(may_yield=False), self._clock.now_s()
        if not isinstance(planned, Placement):
            return None
        is_in_time = reaches_caller(now_s, planned.predicted_s, self._stream.caller_leaves_s)
        return planned if is_in_time else None

    def _least_first_s(self) -> float:
        return self._alone_s

    def _plan(self, *, may_yield: bool = True) -> Placement | LocalReply | str:
        """Return where the request can start now, or why load or a stop prevents it."""
        self._is_yielding = False
        placement = self._place()
        if placement is None:
            return "no engine has room"
        backlog_share = backlog_bound(self._goals, has_queue=self._room_wait.applies)
        reason = overload_reason(placement, self._goals, backlog_share)
        if reason and self._is_new():
            return reason
        patience_s = self._caller_timeout_s - self.progress.waited_s
        if reason := self._lateness_reason(placement, patience_s, is_new=self._is_new()):
            return reason
        if stopping := self._stopping_reply(placement.predicted_s):
            return stopping
        if may_yield and (reason := self._yield_reason(placement)):
            self._is_yielding = True
            return reason
        return placement

    def _yield_reason(self, placement: Placement) -> str:
        """Return why the request waits although it has room; empty if it doesn't."""
        if not self._room_wait.yields or not self._is_new():
            return ""
        self._alone_s = placement.alone_s
        due_s = self._task.request.arrived_s + self._goals.own_s
        times = StartTimes(self._clock.now_s(), due_s, self._latest_start_s())
        return yield_reason(placement, times)

    async def _wait_for_room(self, reason: str) -> Placement | LocalReply:
        """Wait until the request can start; return a refusal if waiting can't help."""
        views = self._views(self.progress.tried)
        detail = f"{reason}: {load_summary(views, self._profile, self._services.fleet_view)}"
        if self._is_yielding:
            PREFILL_YIELDS.add(1)
        elif not self._room_wait.applies or not self._would_fit_idle_engines():
            return self._local_reply(detail)
        waited: Waited[Placement | LocalReply] = await self._room_wait.wait(
            self._latest_start_s(), reason, self._try_start, self._must_not_wait
        )
        self.progress.waited_s = self._room_wait.waited_s
        if waited.started is not None:
            return waited.started
        if self._is_yielding or not self._room_wait.applies:
            # It had room all the time, or its kind waits for nothing else.
            planned = self._quarantine_reply() or self._plan(may_yield=False)
            if not isinstance(planned, str):
                return planned
        return self._local_reply(f"{waited.reason}; {detail}")

    def _would_fit_idle_engines(self) -> bool:
        """Return whether only work in progress keeps the request from starting."""
        fleet_view, service = self._services.fleet_view, self._task.service
        time_left_s = self._task.time_left_s(self._clock.now_s())
        if fleet_view.available_in_s(service, time_left_s, self._task.homes) is not None:
            return False  # All servers limit their rate or ask for a pause.
        views = self._views(self.progress.tried)
        if alone := self._place_among([view._replace(work=NO_WORK) for view in views]):
            self._alone_s = alone.predicted_s
        return alone is not None

    def _try_start(self) -> Placement | LocalReply | None:
        """Return how a request that waits continues; ``None`` while there is no room."""
        if refused := self._quarantine_reply() or self._stopping_reply(self._alone_s):
            return refused
        if not self._views(set()):
            return self._local_reply("no server is left")
        planned = self._plan()
        if isinstance(planned, LocalReply):
            return planned
        if isinstance(planned, str):
            return None
        if not self._room_wait.leaves_headroom(planned, self._views(set()), self._profile):
            return None
        if self._awaits_budget and not self._retries.charge_budget(is_logged=False):
            return None
        self._awaits_budget = False
        return planned

    def _latest_start_s(self) -> float:
        """Return the time until which the request may wait and still be served whole."""
        return latest_start_s(
            self._stream.times.last_s,
            self._caller_timeout_s,
            self._task.deadline_s,
            self._alone_s,
            self._declared_s,
        )

    def _local_reply(self, detail: str, *, is_for_load: bool = True) -> LocalReply:
        if self.progress.may_have_run:
            return LocalReply(MAY_HAVE_RUN, detail)
        if not self._views(set()):
            return self._reply_not_run(NO_SERVER, f"service {self._task.service}")
        if not self.progress.attempts:
            return self._reply_not_run(NO_ROOM, detail)
        has_untried = bool(self._views(self.progress.tried))
        is_for_load = is_for_load and (has_untried or self.progress.was_refused_for_load)
        return self._reply_not_run(TURNED_AWAY, detail, is_for_load=is_for_load)

    def _place(self) -> Placement | None:
        tried = self.progress.tried
        if self._lane is Lane.SHORT and self._records.is_suspect():
            views = self._local_views(tried) or self._views(tried)
            plan = self._place_among(self._isolate(views))
            if plan is not None:
                return plan
        if self._lane is Lane.SHORT and (views := self._trial_views()):
            trial = self._place_among(views)
            if trial is not None and trial.predicted_s <= self._goals.own_s:
                return trial
        has_uneven_links = self._services.fleet_view.has_uneven_links
        is_local = prefers_local_data_centre(self._lane, has_uneven_links)
        local = self._local_views(tried) if is_local else ()
        return place_locally_first(
            self._place_among, local, lambda: self._views(tried), self._goals.own_s
        )

    def _place_among(self, views: Sequence[ServerView]) -> Placement | None:
        fleet_view = self._services.fleet_view
        return place_request(
            self._allowed(views),
            self._lane,
            self._prompt,
            self._goals.own_s,
            self._profile,
            self._limits,
            PlacementRandomizer(self._services.kernel.random, fleet_view.update_age_s),
            by_centre=fleet_view.is_divided(self._task.service),
        )

    def _is_new(self) -> bool:
        """Return whether no part of the response exists yet, here or at another entry."""
        return self.progress.attempts == 0 and self._stream.last_event_id is None

    async def _attempt(self, placement: Placement) -> bool:
        await self._reply.limit.require_time()
        begin_s = self._clock.now_s()
        limit_s = SILENCE_TIMEOUT_SHARE * self._caller_timeout_s
        expected_s = expected_first_event_s(placement.predicted_s, self._caller_timeout_s)
        wait = ServerWait(begin_s, max(limit_s, expected_s), limit_s)
        attempt = self._begin_attempt(placement.server, wait, placement.helpers)
        self._room_wait.record_start()
        self._log.placed(placement.server, placement)
        memory = {holding.server.incarnation_id: holding.tokens for holding in placement.holdings}
        in_flight = InFlightAttempt(
            placement.server.incarnation_id,
            placement.lane,
            memory,
            placement.parts,
            begin_s + placement.predicted_s,
            is_suspect=self._records.is_suspect(),
        )
        self._services.fleet_view.ledger.add(in_flight, begin_s)
        waiting = WaitingAttempt(
            tuple(part.incarnation_id for part in placement.parts),
            begin_s,
            placement.predicted_s,
            wait,
            partial(self._add_if_faster, attempt),
            self._task.subjects,
        )
        try:
            with self._attempts.open(attempt):
                return await self._exchange(placement, in_flight, attempt, waiting)
            self._record_closed(attempt)
        except AttemptNotRun as cause:
            self._record_not_run(attempt, cause, placement.helpers)
        except AttemptUnknown as cause:
            if waiting.cancel_reason:
                self._records.abandoned(attempt, waiting.cancel_reason)
            else:
                await self._records.unknown(attempt, cause)
        finally:
            self._services.fleet_view.ledger.remove(in_flight, self._clock.now_s())
        return False

    async def _exchange(
        self,
        placement: Placement,
        in_flight: InFlightAttempt,
        attempt: OpenAttempt,
        waiting: WaitingAttempt,
    ) -> bool:
        attempt.position = self._stream.position
        terms = self._attempt_terms(attempt, attempt.position.last_event_id, placement.helpers)
        with self._watch(attempt), ExitStack() as until_begun:
            until_begun.enter_context(self._services.fleet_view.waiting_attempts.register(waiting))
            async with (
                self._services.reservations.hold(placement.holdings[1:]) as reserved,
                self._send(
                    attempt, terms._replace(helpers=with_reservations(terms.helpers, reserved))
                ) as answer,
            ):
                until_begun.close()
                attempt.wait.record_header(self._clock.now_s())
                waiting.cancel_reason = ""  # The response began before the wait was cancelled.
                self._services.fleet_view.record_load(
                    placement.server.incarnation_id, answer.facts.load
                )
                if answer.status >= NON_SUCCESS_STATUS:
                    is_final = await self._failures.receive(attempt, answer)
                    return is_final and await self.forward_kept()
                await self._forward_stream(placement, in_flight, attempt, answer)
                return True

    def _add_if_faster(self, attempt: OpenAttempt, waiting: WaitingAttempt, pace: float) -> None:
        """Add an attempt to one that waits for a slow engine, if it is expected much sooner."""
        now_s = self._clock.now_s()
        is_checked = now_s - self._move_checked_s < MOVE_CHECK_INTERVAL_S
        is_alone = attempt.is_sent and self._attempts.is_single
        if is_checked or not is_alone or not self._retries.can_fail_over():
            return
        self._move_checked_s = now_s
        remaining_here_s = remaining_s(now_s - waiting.begin_s, waiting.predicted_s, pace)
        time_to_goal_s = self._goals.own_s - (now_s - self._task.request.arrived_s)
        alternative = self._place()
        is_faster = alternative is not None and should_move_attempt(
            remaining_here_s, alternative.predicted_s, time_to_goal_s
        )
        if not alternative or not is_faster or self._claim_successor() is not None:
            return
        self._records.slow(attempt, slow_detail(pace, remaining_here_s, alternative.predicted_s))
        self._add_successor()

    def _claims_successor(self) -> bool:
        """Return whether another attempt follows a failure, now or once there is room."""
        obstacle = self._claim_successor()
        return obstacle is None or (self._room_wait.applies and obstacle.is_for_room)

    def _must_forward_kept(self) -> bool:
        return self._failures.must_forward(self._clock.now_s(), self._stream.caller_leaves_s)

    async def _forward_stream(
        self, placement: Placement, in_flight: InFlightAttempt, attempt: OpenAttempt, answer: Answer
    ) -> None:
        def record(events: list[StreamEvent], waited_s: float) -> None:
            self._reply.limit.record_delivery()
            self._records.events(attempt, in_flight, self._slow_event_s, events, waited_s)

        headers = self._services.dialect.response_headers(answer.headers)
        stream = AttemptStream(attempt, answer, self._attempts, self._stream, headers, record)
        record_whole = partial(self._record_whole, placement, attempt, answer, stream)
        try:
            await stream.forward()
        except trio.Cancelled:
            if self._reply.limit.is_due and await stream.keep_rest():
                self.progress.end(attempt)
                self._record_late_stream = record_whole
            raise
        record_whole()

    def _record_whole(
        self, placement: Placement, attempt: OpenAttempt, answer: Answer, stream: AttemptStream
    ) -> None:
        """Record and log a stream that the caller has got as a whole."""
        self._services.fleet_view.record_success(placement.server.incarnation_id)
        self._records.outcome(placement.server, *placement.helpers, is_failure=False)
        self._records.success(attempt, answer.status)
        total_s = self._clock.now_s() - self._task.request.arrived_s
        times = self._stream.times.of_response(total_s)
        if times.first_s:
            lengths, route = self._services.drain.response_lengths, self._task.route.name
            lengths.record(route, total_s - times.first_s, self._declared_s)
        server_id, status, framing = placement.server.server_id, answer.status, answer.framing
        self._log.answered(server_id, status, framing, self._lane, times, len(stream.rest))
