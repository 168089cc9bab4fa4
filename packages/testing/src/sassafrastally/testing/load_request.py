"""A request of a replayed caller to one entry: the decisions of the product, attempt by attempt."""

from __future__ import annotations

import math
from contextlib import aclosing
from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.admission import backlog_bound, overload_reason
from sassafrastally.proxy.admission_queue import (
    WaitingFacts,
    WaitingRequest,
    latest_start_s,
    least_alone_s,
    request_work_ms,
    response_s,
)
from sassafrastally.proxy.caller_timeout import caller_timeout_s
from sassafrastally.proxy.first_event_timeout import SILENCE_TIMEOUT_SHARE, expected_first_event_s
from sassafrastally.proxy.load import InFlightAttempt
from sassafrastally.proxy.turning_away import retry_delay_s, would_miss_deadline
from sassafrastally.stand_ins.simulated_engine import EngineFull
from sassafrastally.testing.load_arrivals import MOST_ATTEMPTS, Arrival
from sassafrastally.testing.load_outcomes import Outcome

if TYPE_CHECKING:
    from sassafrastally.proxy.plan import Placement
    from sassafrastally.testing.load_decisions import ReplayDecisions
    from sassafrastally.testing.load_entries import ReplayEntry


class EntryRequest:
    """A request of a replayed caller to one entry, with its attempts."""

    def __init__(
        self,
        replay: ReplayDecisions,
        entry: ReplayEntry,
        arrival: Arrival,
        end_s: float,
        fingerprint: int,
    ) -> None:
        self.retry_delay_s: float | None = None
        """When the caller is to come back, if it was turned away."""
        self.was_early = False
        """Whether it waited behind others because it had come back early."""
        self._replay = replay
        self._entry = entry
        self._arrival = arrival
        self._end_s = end_s
        self._fingerprint = fingerprint
        self._first_s: float | None = None
        self._previous_s = 0.0
        self._longest_pause_s = 0.0
        self._asked_s = trio.current_time()
        self._waited_s = 0.0
        self._failed_attempts = 0
        self._yields = False
        """Whether it waits only because it would overtake others in prefill."""

    async def run(self) -> Outcome:
        """Return how it ended."""
        tried: set[str] = set()
        predicted_s = None
        self._replay.record_arrival(self._entry, self._arrival)
        for attempt in range(MOST_ATTEMPTS):
            placement = await self._start(tried, is_new=attempt == 0)
            if placement is None:
                if attempt == 0:
                    left_s = self._end_s - trio.current_time()
                    lane = self._replay.lane(self._arrival)
                    room_s = self._entry.queue.expected_wait_s(("engines", lane))
                    self.retry_delay_s = retry_delay_s(left_s, self._entry.random.random(), room_s)
                    self._record_refusal(self.retry_delay_s)
                break
            predicted_s = placement.predicted_s
            tried.add(placement.server.incarnation_id)
            if await self._try(placement, is_last=attempt == MOST_ATTEMPTS - 1):
                return self._outcome(predicted_s, is_whole=True)
            if self._first_s is not None:
                break
        if self._failed_attempts == MOST_ATTEMPTS:
            now_s, draw = trio.current_time(), self._entry.random.random()
            goal_left_s = self._asked_s + self._arrival.kind.goal_s - now_s
            self.retry_delay_s = self._replay.delay_after_failure_s(
                self._end_s - now_s, draw, goal_left_s
            )
            self._replay.refusals_after_failure += 1
        return self._outcome(predicted_s, is_whole=False)

    async def _start(self, tried: set[str], *, is_new: bool) -> Placement | None:
        """Return where the request starts, after waiting for room if that can help."""
        queue, name = self._entry.queue, ("engines", self._replay.lane(self._arrival))
        facts, may_queue = self._facts(), self._replay.queues
        has_queue = may_queue or (is_new and self._replay.may_yield(self._arrival))
        if not (has_queue and queue.is_behind_others(name, facts)):
            placement = self._plan(tried, facts, is_new=is_new)
            if placement is not None or not (may_queue or self._yields):
                return placement
        try_start = partial(self._plan, tried, facts, is_new=is_new, has_waited=True)
        waiting = WaitingRequest(facts, try_start)
        waited = await queue.wait(name, waiting)
        self.was_early |= waiting.facts.is_early
        self._waited_s += waited.waited_s
        if waited.started is None and (self._yields or not may_queue):
            return self._plan(tried, None, is_new=is_new)
        return waited.started

    def _record_refusal(self, delay_s: float) -> None:
        if self._replay.queues:
            due_s = trio.current_time() + delay_s
            self._entry.queue.record_refusal(self._fingerprint, due_s, is_for_load=True)

    def _plan(
        self,
        tried: set[str],
        facts: WaitingFacts | None,
        *,
        is_new: bool,
        has_waited: bool = False,
    ) -> Placement | None:
        """Return where the request starts now; without facts, it doesn't yield."""
        self._yields = False
        placement = self._replay.place(self._entry, self._arrival, tried)
        if placement is None or not self._may_begin(placement, is_new=is_new):
            return None
        if facts is None:
            return placement
        self._yields = is_new and self._replay.must_yield(
            self._arrival, placement, self._asked_s, facts
        )
        if self._yields:
            return None
        if has_waited and not self._replay.leaves_headroom(self._entry, facts, placement):
            return None
        return placement

    def _facts(self) -> WaitingFacts:
        arrival, now_s = self._arrival, trio.current_time()
        profile = self._replay.profile
        alone_s = least_alone_s(profile, arrival.prompt)
        timely_start_s = self._asked_s + arrival.kind.goal_s - alone_s
        return WaitingFacts(
            priority=arrival.kind.priority,
            is_early=self._entry.queue.is_early(self._fingerprint, now_s),
            customer=arrival.customer,
            work_ms=request_work_ms(profile, arrival.prompt),
            body_bytes=4 * arrival.prompt.prompt_tokens,
            since_s=now_s,
            latest_start_s=latest_start_s(
                self._asked_s,
                self._patience_s(),
                self._end_s,
                alone_s,
                response_s(profile, arrival.prompt),
            ),
            fingerprint=self._fingerprint,
            timely_start_s=timely_start_s if self._replay.is_most_urgent(arrival) else math.inf,
            yields=not self._replay.queues,
        )

    def _may_begin(self, placement: Placement, *, is_new: bool) -> bool:
        goals = self._replay.goals(self._arrival)
        share = backlog_bound(goals, has_queue=self._replay.queues)
        if is_new and overload_reason(placement, goals, share):
            return False
        left_s = self._end_s - trio.current_time()
        patience_s = self._patience_s() - self._waited_s
        return not would_miss_deadline(placement.predicted_s, patience_s, left_s)

    def _patience_s(self) -> float:
        kind = self._arrival.kind
        return caller_timeout_s(kind.goal_s, kind.pause_goal_s)

    async def _try(self, placement: Placement, *, is_last: bool) -> bool:
        """Make one attempt; return whether the answer is whole."""
        if self._replay.meets_failure(placement):
            self._failed_attempts += 1
            return False
        now_s = trio.current_time()
        memory = {holding.server.incarnation_id: holding.tokens for holding in placement.holdings}
        in_flight = InFlightAttempt(
            placement.server.incarnation_id,
            placement.lane,
            memory,
            placement.parts,
            now_s + placement.predicted_s,
        )
        self._entry.ledger.add(in_flight, now_s)
        self._entry.queue.record_start(("engines", self._replay.lane(self._arrival)), self._facts())
        self._replay.note_sent(self._entry, placement)
        patience_s = self._patience_s()
        limit_s = patience_s - self._waited_s
        if not is_last:
            expected_s = expected_first_event_s(placement.predicted_s, patience_s)
            limit_s = max(SILENCE_TIMEOUT_SHARE * patience_s, expected_s)
        try:
            with trio.move_on_after(limit_s) as silence:
                return await self._run(placement, in_flight, silence, patience_s)
            return False
        except EngineFull:
            return False
        finally:
            self._entry.ledger.remove(in_flight, trio.current_time())

    async def _run(
        self,
        placement: Placement,
        in_flight: InFlightAttempt,
        silence: trio.CancelScope,
        patience_s: float,
    ) -> bool:
        engine = self._replay.engine(placement.server.incarnation_id)
        helpers = [self._replay.engine(helper.incarnation_id) for helper in placement.helpers]
        elsewhere = sum(holding.tokens for holding in placement.holdings[1:])
        tokens = self._arrival.prompt.prompt_tokens
        run = engine.run(tokens, self._arrival.events, helpers, elsewhere)
        async with aclosing(run) as events:
            async for _ in events:
                self._note_event(in_flight)
                silence.deadline = trio.current_time() + patience_s
        return True

    def _note_event(self, in_flight: InFlightAttempt) -> None:
        now_s = trio.current_time()
        self._entry.ledger.first_event(in_flight, now_s)
        if self._first_s is None:
            self._first_s = now_s - (self._replay.begin_s + self._arrival.at_s)
        else:
            self._longest_pause_s = max(self._longest_pause_s, now_s - self._previous_s)
        self._previous_s = now_s

    def _outcome(self, predicted_s: float | None, *, is_whole: bool) -> Outcome:
        return Outcome(
            self._arrival,
            predicted_s,
            self._first_s,
            self._longest_pause_s,
            is_whole,
            0,
            self._waited_s,
        )
