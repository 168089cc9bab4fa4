"""Execute one request: candidates, attempts, retries and recovery after a lost connection."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.entry.attempt import Attempt
from sassafrastally.entry.attempt_history import AttemptHistory
from sassafrastally.entry.attempt_plan import AttemptPlan
from sassafrastally.entry.attempt_result import (
    AttemptResult,
    Completed,
    ContactLost,
    Failed,
    IncarnationGone,
    KeyOwnedElsewhere,
    Rejected,
    TakenElsewhere,
    Unreachable,
)
from sassafrastally.entry.candidate_round import CandidateRound
from sassafrastally.entry.events import (
    RETRIES,
    AttemptCut,
    AttemptRefused,
    AttemptRepeated,
    ReservationLate,
)
from sassafrastally.entry.lost_runs import LostRuns
from sassafrastally.entry.resolution import COME_BACK_S, Resolution
from sassafrastally.entry.span import NO_SPAN, Span, needs_span
from sassafrastally.entry.span_try import SpanRequest
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import REFUSALS, Figures, Refusal
from sassafrastally.serving.retries import (
    Attempted,
    RetryRules,
    decide_retry,
)
from sassafrastally.serving.routing import RouteRequest
from sassafrastally.wire.messages import Refused

if TYPE_CHECKING:

    from sassafrastally.control.bundle import BundleInForce
    from sassafrastally.core import TimeLimit
    from sassafrastally.entry.candidates import Reachable
    from sassafrastally.entry.claiming import KeyClaim
    from sassafrastally.entry.execution_services import ExecutionServices
    from sassafrastally.entry.relay import Answer
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.span_try import MakeAttempt


_TRANSIENT_CODES = frozenset({"leaving", "no-replica"})
"""Refusals by one sidecar that another sidecar or its replacement may not give, so that the caller
can retry later."""


RETURN_CHECK_S = 0.02
"""Interval at which a request looks for a sidecar if all were lost."""

BUSY = "busy"
"""Refusal code of a sidecar that can't start the request within its wait limit (``max_wait_s``)."""


class Execution:
    """The execution of one request, up to a complete answer or a refusal.

    Parameters
    ----------
    services
        Services that all executions share.
    in_force
        The bundle under which the request was admitted; it applies until the request ends.
    request
        The request.
    answer
        Receives the answer.
    claim
        Claim of its idempotency key; ``None`` when it has none.
    limit
        Its time limit, which a second stop signal shortens.
    """

    def __init__(
        self,
        services: ExecutionServices,
        in_force: BundleInForce,
        request: CallerRequest,
        answer: Answer,
        claim: KeyClaim | None,
        limit: TimeLimit,
    ) -> None:
        self._services = services
        self._limit = limit
        self._in_force = in_force
        self._request = request
        self._answer = answer
        self._claim = claim
        self._rounds = 1
        self._history = AttemptHistory()
        self._failed_vms: set[str] = set()
        self._open: list[Attempt] = []
        """Attempts that haven't ended; more than one while a reservation is late."""
        self._asked: CandidateRound
        self._has_freed_key = False
        """Whether the last attempt proved that the owner of the key never runs."""
        self._lost_runs = LostRuns(
            answer, services.candidates, services.events, services.settings.contact_patience_s
        )

    @property
    def attempts(self) -> int:
        """Number of attempts so far, including refused ones."""
        return self._history.started

    @property
    def outcome(self) -> Outcome:
        """Outcome to report if the request is cancelled now."""
        committed = [attempt for attempt in self._open if attempt.is_committed]
        if self._lost_runs.has_data or any(attempt.has_data for attempt in committed):
            return Outcome.FAILED
        earlier = self._history.outcome
        return Outcome.UNKNOWN if committed and earlier == Outcome.NOT_RUN else earlier

    async def run(self) -> None:
        """Deliver the complete answer, or raise a refusal with a correct outcome.

        Raises
        ------
        Refusal
            With an outcome that covers all attempts: a sidecar's "not run" applies only to the
            last attempt, and an earlier one may have run.
        """
        limits = self._in_force.bundle.limits
        self._services.budget.on_first_attempt(limits.retry_ratio)
        try:
            while not await self._round():
                pass
        except Refusal as refusal:
            if await self._lost_runs.read():
                return
            if refusal.kind.code == "outcome-unknown" and self.outcome == Outcome.FAILED:
                # Part of an answer was received, so the request is known to have run.
                raise Refusal("backend-failed", refusal.figures) from refusal
            if refusal.outcome != Outcome.NOT_RUN or self.outcome == Outcome.NOT_RUN:
                raise
            raise Refusal(refusal.kind.code, refusal.figures, self.outcome) from refusal

    async def _round(self) -> bool:
        """Try candidates one after another; return whether the complete answer was received."""
        if self._history.committed and not self._find_sidecars() and await self._lost_runs.read():
            return True
        known = await self._wait_for_sidecars()
        self._asked = asked = CandidateRound(known, self._choose(known))
        ended = await self._try_candidates()
        if ended is not None:
            return ended.is_complete
        if asked.refused:
            best = min(asked.refused, key=_retry_after_s)
            if not self._history.committed:
                raise _refusal_of(best)
            # An earlier attempt may have run, so this refusal is that of a retry. Its cause may
            # pass before the time limit.
            await self._pause_before_retry(best.retry_after_s, _refusal_of(best))
            return False
        await self._pause_before_retry(0.0, self._no_replica(len(asked.chosen)))
        return False

    async def _try_candidates(self) -> TakenElsewhere | None:
        """Ask the candidates that are left; return ``None`` if none took the request."""
        asked = self._asked
        while (reachable := asked.take()) is not None:
            result: AttemptResult | None = None
            try:
                result = await self._attempt(reachable)
            finally:
                if result is None:
                    # Cancelled for an earlier candidate, whose late reservation was granted.
                    asked.put_back(reachable)
            ended = await self._after_attempt(reachable, result)
            if ended is not None:
                return ended
        return None

    async def _ask_others(self, number: int, vm: str) -> TakenElsewhere | None:
        """Ask the other candidates while the reservation of an attempt is late."""
        late = ReservationLate(self._answer.request_id, number, vm)
        self._services.events.emit(late)
        return await self._try_candidates()

    async def _after_attempt(
        self, reachable: Reachable, result: AttemptResult
    ) -> TakenElsewhere | None:
        """Return how the round ends; ``None`` if the next candidate is to be asked."""
        asked = self._asked
        match result:
            case Completed():
                return TakenElsewhere(True)
            case TakenElsewhere():
                return result
            case Rejected(refusal) if refusal.code == BUSY:
                asked.add_busy(reachable, refusal.measured)
            case Rejected(refusal) if refusal.code == NO_SPAN and needs_span(
                self._request, asked.known
            ):
                return TakenElsewhere(await self._span_round())
            case Rejected() if self._has_freed_key:
                # The reservation was released only for the key's owner, which never runs.
                asked.put_back(reachable)
            case Rejected(refusal):
                # Nothing ran, so the next candidate is tried immediately. This doesn't count as a
                # retry.
                asked.refused.append(refusal)
            case Unreachable():
                self._failed_vms.add(reachable.candidate.vm)
            case _:
                await self._after_run(result)
                return TakenElsewhere(False)
        return None

    async def _span_round(self) -> bool:
        span_request = SpanRequest(
            self._request,
            self._answer.request_id,
            self._in_force.generation,
            self._find_sidecars,
            self._failed_vms,
            self._rounds > 1,
            self._history.next_number,
        )
        match await Span(self._services, span_request, self._attempt).run():
            case Completed():
                return True
            case Rejected(refused):
                await self._pause_before_retry(refused.retry_after_s, _refusal_of(refused))
            case Unreachable(cause):
                await self._pause_before_retry(0.0, Refusal("no-replica", Figures(detail=cause)))
            case result:
                await self._after_run(result)
        return False

    def _find_sidecars(self) -> dict[str, Reachable]:
        return self._services.candidates.for_request(
            self._request, self._in_force.bundle.weights, trio.current_time()
        )

    async def _wait_for_sidecars(self) -> dict[str, Reachable]:
        """Return the sidecars of the target; wait for one if all have just been lost."""
        candidates, request = self._services.candidates, self._request
        while not (known := self._find_sidecars()):
            if not candidates.may_return(request, trio.current_time()):
                break
            await trio.sleep(RETURN_CHECK_S)
        return known

    def _choose(self, known: dict[str, Reachable]) -> list[Reachable]:
        services, request = self._services, self._request
        # After a failure, use another replica. Use the failed ones only if there is no other.
        not_failed = {vm: item for vm, item in known.items() if vm not in self._failed_vms}
        if not (not_failed or known):
            raise self._no_replica(0)
        route = RouteRequest(
            request_id=self._answer.request_id,
            customer=request.customer.name,
            target=request.target,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.max_output_tokens,
            prefix_hashes=request.prefix_hashes,
            time_limit_s=self._time_left_s(),
        )
        usable = not_failed or known
        ordered = services.policy.choose(route, [item.candidate for item in usable.values()])
        # The policy sets its wait limit in the candidates that it returns.
        return [
            usable[candidate.vm]._replace(candidate=candidate)
            for candidate in ordered[: services.settings.max_candidates]
        ]

    async def _attempt(self, reachable: Reachable, make: MakeAttempt = Attempt) -> AttemptResult:
        attempt = make(
            self._plan(reachable, self._history.next_number()),
            self._services.peers,
            self._answer,
            self._claim,
        )
        self._open.append(attempt)
        services = self._services
        resolution = Resolution(attempt, services.candidates, services.events, services.random)
        tokens = self._request.prompt_tokens + self._request.max_output_tokens
        result: AttemptResult | None = None
        try:
            with services.candidates.in_flight(reachable.candidate.vm, tokens):
                if make is Attempt:
                    result = await self._lost_runs.beside(attempt.run)
                else:
                    result = await attempt.run()
                if isinstance(result, KeyOwnedElsewhere):
                    result = await resolution.join_owner(result.owner)
                elif isinstance(result, ContactLost):
                    result = await resolution.resolve_lost(result, self._contact_timeout_s())
                    if make is Attempt:
                        # The leader of a span can't be read later: its members are released.
                        self._lost_runs.add(attempt, resolution, result)
        finally:
            services.unread_runs.after_attempt(attempt, result)
        if isinstance(result, Rejected | Unreachable):
            self._asked.turn.give_back(attempt)
        if not self._lost_runs.keeps(attempt):
            attempt.buffered.drop()
        self._record_result(attempt, result)
        self._open.remove(attempt)
        return result

    def _contact_timeout_s(self) -> float:
        """Return how long to try to reach a lost sidecar; the request's time limit also applies."""
        if self._request.is_idempotent:
            return self._services.settings.contact_patience_s
        return float("inf")

    def _plan(self, reachable: Reachable, number: int) -> AttemptPlan:
        settings, request = self._services.settings, self._request
        commits_now = (
            request.is_idempotent
            and not request.key
            and request.prompt_tokens <= settings.commit_now_tokens
        )
        return AttemptPlan(
            request=request,
            request_id=self._answer.request_id,
            number=number,
            vm=reachable.candidate.vm,
            address=reachable.address,
            generation=self._in_force.generation,
            shown_tokens=self._answer.shown_tokens,
            commits_now=commits_now,
            reserve_timeout_s=settings.reserve_timeout_s,
            max_answer_bytes=settings.max_answer_bytes,
            limit=self._limit,
            max_wait_s=reachable.candidate.max_wait_s,
            turn=self._asked.turn,
            ask_others=partial(self._ask_others, number, reachable.candidate.vm),
        )

    async def _after_run(self, result: AttemptResult) -> None:
        """Prepare a retry after an attempt that may have run, or raise the refusal."""
        refusal, hint_s = self._why_not_whole(result)
        if not self._request.is_idempotent:
            raise refusal
        await self._pause_before_retry(hint_s, refusal)

    def _why_not_whole(self, result: AttemptResult) -> tuple[Refusal, float]:
        match result:
            case Failed(end) if end.outcome == Outcome.COMPLETED:
                # The run completed, but the sidecar no longer keeps its answer.
                return Refusal("answer-not-kept", Figures(detail=end.detail)), 0.0
            case Failed(end, is_adopted=True) if end.outcome == Outcome.FAILED:
                return Refusal("key-failed", Figures(detail=end.detail)), 0.0
            case Failed(end) if end.outcome == Outcome.FAILED:
                code = end.code if end.code in REFUSALS else "backend-failed"
                figures = Figures(retry_after_s=end.retry_after_s, detail=end.detail)
                return Refusal(code, figures, Outcome.FAILED), end.retry_after_s
            case ContactLost(cause, is_protocol_error=True):
                return Refusal("backend-failed", Figures(detail=cause)), 0.0
            case IncarnationGone(vm):
                detail = f"The sidecar on {vm} that had it was replaced."
                return Refusal("outcome-unknown", Figures(detail=detail)), 0.0
            case ContactLost(cause):
                return Refusal("outcome-unknown", Figures(detail=cause)), 0.0
        return Refusal("outcome-unknown"), 0.0

    async def _pause_before_retry(self, hint_s: float, refusal: Refusal) -> None:
        """Sleep before the next attempt, or raise the refusal at once if no retry is allowed."""
        services, history = self._services, self._history
        limits, settings = self._in_force.bundle.limits, services.settings
        rules = RetryRules(
            limits.max_attempts,
            settings.base_backoff_s,
            settings.max_backoff_s,
            settings.max_spent_ratio,
        )
        run_tokens = self._request.prompt_tokens + self._request.max_output_tokens
        spent_tokens = history.spent_tokens + self._answer.shown_tokens
        attempted = Attempted(max(1, history.committed, self._rounds), spent_tokens, run_tokens)
        decision = decide_retry(
            rules, attempted, services.budget, self._time_left_s(), hint_s, services.random
        )
        if not decision.is_allowed:
            raise self._refusal_without_retry(refusal, decision.reason, limits.max_attempts)
        RETRIES.add(1)
        self._rounds += 1
        services.events.emit(
            AttemptRepeated(
                self._answer.request_id,
                history.started + 1,
                self._answer.shown_tokens,
                decision.pause_s,
            )
        )
        await trio.sleep(decision.pause_s)

    def _refusal_without_retry(self, refusal: Refusal, reason: str, max_attempts: int) -> Refusal:
        figures = refusal.figures
        detail = f"{figures.detail} Not repeated: bound of {reason}.".strip()
        return Refusal(refusal.kind.code, figures._replace(detail=detail), refusal.outcome)

    def _no_replica(self, asked_count: int) -> Refusal:
        detail = f"{asked_count} replicas were asked for a reservation; none answered."
        return Refusal("no-replica", Figures(retry_after_s=COME_BACK_S, detail=detail))

    def _record_result(self, attempt: Attempt, result: AttemptResult) -> None:
        plan, services = attempt.plan, self._services
        self._has_freed_key = attempt.is_adopted and isinstance(result, Rejected)
        where = (plan.request_id, plan.number, plan.vm)
        match result:
            case Completed() | TakenElsewhere():
                return
            case Unreachable(cause):
                services.events.emit(AttemptCut(*where, False, cause))
            case Rejected(refused):
                if self._claim is not None:
                    self._claim.release(attempt.site)
                services.events.emit(AttemptRefused(*where, refused.code))
            case _:
                self._failed_vms.add(plan.vm)
                self._history.add(attempt)
                if self._claim is not None and self._request.is_idempotent:
                    self._claim.release(attempt.site)

    def _time_left_s(self) -> float:
        return max(0.0, self._request.deadline_s - trio.current_time())


def _retry_after_s(refused: Refused) -> float:
    return refused.retry_after_s or float("inf")


def _refusal_of(refused: Refused) -> Refusal:
    code = refused.code if refused.code in REFUSALS else "no-replica"
    retry_after_s = refused.retry_after_s or (COME_BACK_S if code in _TRANSIENT_CODES else 0.0)
    figures = Figures(refused.limit, refused.measured, retry_after_s, refused.detail)
    return Refusal(code, figures, Outcome.NOT_RUN)
