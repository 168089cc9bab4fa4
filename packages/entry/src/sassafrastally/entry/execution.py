"""The execution of one request: candidates, attempts, retries, and the truth after a cut."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from sassafrastally.entry.attempt import (
    Attempt,
    AttemptPlan,
    AttemptResult,
    Elsewhere,
    Failed,
    Gone,
    Lost,
    TurnedDown,
    Unreached,
    Whole,
)
from sassafrastally.entry.events import (
    RETRIES,
    AttemptCut,
    AttemptRefused,
    AttemptRepeated,
)
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
    from sassafrastally.entry.candidates import Reachable
    from sassafrastally.entry.claiming import KeyClaim
    from sassafrastally.entry.execution_services import ExecutionServices
    from sassafrastally.entry.relay import Answer
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.span_try import MakeAttempt


_PASSING = frozenset({"leaving", "no-replica"})
"""Refusals of one sidecar that another or its successor lifts, so that coming back helps."""


BUSY = "busy"
"""Code of a sidecar's refusal to keep to the bound on the wait."""


class _History:
    """What is known of earlier attempts: the worst that can be true of the request."""

    def __init__(self) -> None:
        self.asked = 0
        """Attempts, those refused included."""
        self.begun = 0
        """Attempts that may have run."""
        self.spent_tokens = 0
        self.outcome = Outcome.NOT_RUN

    def next_number(self) -> int:
        """Return the number of one more attempt."""
        self.asked += 1
        return self.asked

    def add(self, attempt: Attempt) -> None:
        """Take in an attempt that ended without a whole answer and without proof of not run."""
        if not attempt.is_committed:
            return
        self.begun += 1
        self.spent_tokens += attempt.plan.request.prompt_tokens
        if attempt.has_data:
            self.outcome = Outcome.FAILED
        elif self.outcome == Outcome.NOT_RUN:
            self.outcome = Outcome.UNKNOWN


class Execution:
    """One request on its way to a whole answer or a true refusal.

    Parameters
    ----------
    around
        What all executions share.
    in_force
        The bundle by which the request was admitted; it holds to the end.
    request
        The request.
    answer
        Where the answer goes.
    claim
        Claim of its idempotency key; ``None`` when it has none.
    """

    def __init__(
        self,
        around: ExecutionServices,
        in_force: BundleInForce,
        request: CallerRequest,
        answer: Answer,
        claim: KeyClaim | None,
    ) -> None:
        self._around = around
        self._in_force = in_force
        self._request = request
        self._answer = answer
        self._claim = claim
        self._rounds = 1
        self._history = _History()
        self._failed_vms: set[str] = set()
        self._current: Attempt | None = None

    @property
    def attempts(self) -> int:
        """Attempts so far, those refused included."""
        return self._history.asked

    @property
    def outcome(self) -> Outcome:
        """What can be said truly of the request if it is given up at this moment."""
        current = self._current
        if current is None or not current.is_committed:
            return self._history.outcome
        if current.has_data:
            return Outcome.FAILED
        earlier = self._history.outcome
        return Outcome.UNKNOWN if earlier == Outcome.NOT_RUN else earlier

    async def run(self) -> None:
        """Bring the whole answer, or raise the refusal that is true.

        Raises
        ------
        Refusal
            With the outcome that covers all attempts: a sidecar's "not run" speaks only of the
            last one, and an earlier one may have run.
        """
        limits = self._in_force.bundle.limits
        self._around.budget.on_first_attempt(limits.retry_ratio)
        try:
            while not await self._round():
                pass
        except Refusal as refusal:
            if refusal.kind.code == "outcome-unknown" and self.outcome == Outcome.FAILED:
                # Words were shown, so it is known that it ran.
                raise Refusal("backend-failed", refusal.figures) from refusal
            if refusal.outcome != Outcome.NOT_RUN or self.outcome == Outcome.NOT_RUN:
                raise
            raise Refusal(refusal.kind.code, refusal.figures, self.outcome) from refusal

    async def _round(self) -> bool:
        """Ask candidates one after the other; return whether the whole answer came."""
        refused: list[Refused] = []
        known = self._known()
        waits: dict[str, float] = {}
        chosen = self._choose(known)
        asks = deque(chosen)
        while asks:
            reachable = asks.popleft()
            result = await self._attempt(reachable)
            match result:
                case Whole():
                    return True
                case TurnedDown(refusal) if refusal.code == BUSY:
                    waits[reachable.candidate.vm] = refusal.measured
                case TurnedDown(refusal) if refusal.code == NO_SPAN and needs_span(
                    self._request, known
                ):
                    return await self._span_round()
                case TurnedDown(refusal):
                    # Nothing ran, so the next one is asked at once: no retry, no pause.
                    refused.append(refusal)
                case Unreached():
                    self._failed_vms.add(reachable.candidate.vm)
                case _:
                    await self._after_run(result)
                    return False
            if not asks and waits:
                # All are busy: the one that would begin first is asked again, without a bound.
                least = min(waits, key=lambda vm: waits[vm])
                asks.extend(_unbounded(one) for one in chosen if one.candidate.vm == least)
                waits.clear()
        if refused:
            best = min(refused, key=_come_back_s)
            if not self._history.begun:
                raise _refusal_of(best)
            # Something ran already, so this is a retry's refusal: it may pass before the limit.
            await self._pause_before_retry(best.retry_after_s, _refusal_of(best))
            return False
        await self._pause_before_retry(0.0, self._no_replica(len(chosen)))
        return False

    async def _span_round(self) -> bool:
        asked = SpanRequest(
            self._request,
            self._answer.request_id,
            self._in_force.generation,
            self._known,
            self._failed_vms,
            self._rounds > 1,
            self._history.next_number,
        )
        match await Span(self._around, asked, self._attempt).run():
            case Whole():
                return True
            case TurnedDown(refused):
                await self._pause_before_retry(refused.retry_after_s, _refusal_of(refused))
            case Unreached(cause):
                await self._pause_before_retry(0.0, Refusal("no-replica", Figures(detail=cause)))
            case result:
                await self._after_run(result)
        return False

    def _known(self) -> dict[str, Reachable]:
        return self._around.candidates.for_request(
            self._request, self._in_force.bundle.weights, trio.current_time()
        )

    def _choose(self, known: dict[str, Reachable]) -> list[Reachable]:
        around, request = self._around, self._request
        # Another replica after a failure; the failed ones only when there is no other.
        fresh = {vm: item for vm, item in known.items() if vm not in self._failed_vms}
        if not (fresh or known):
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
        usable = fresh or known
        ordered = around.policy.choose(route, [item.candidate for item in usable.values()])
        # The policy sets its bound on the wait in the candidates that it returns.
        return [
            usable[candidate.vm]._replace(candidate=candidate)
            for candidate in ordered[: around.settings.max_candidates]
        ]

    async def _attempt(self, reachable: Reachable, make: MakeAttempt = Attempt) -> AttemptResult:
        attempt = make(
            self._plan(reachable, self._history.next_number()),
            self._around.peers,
            self._answer,
            self._claim,
        )
        self._current = attempt
        around = self._around
        resolution = Resolution(attempt, around.candidates, around.events, around.random)
        tokens = self._request.prompt_tokens + self._request.max_output_tokens
        with around.candidates.in_flight(reachable.candidate.vm, tokens):
            result = await attempt.run()
            if isinstance(result, Elsewhere):
                result = await resolution.join_owner(result.owner)
            elif isinstance(result, Lost):
                result = await resolution.after_cut(result, self._patience_s())
        self._note(attempt, result)
        self._current = None
        return result

    def _patience_s(self) -> float:
        """Return how long a lost sidecar is asked; the time limit ends it in any case."""
        if self._request.is_idempotent:
            return self._around.settings.contact_patience_s
        return float("inf")

    def _plan(self, reachable: Reachable, number: int) -> AttemptPlan:
        settings, request = self._around.settings, self._request
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
            max_wait_s=reachable.candidate.max_wait_s,
        )

    async def _after_run(self, result: AttemptResult) -> None:
        """Go on after an attempt that may have run, or raise why not."""
        refusal, hint_s = self._why_not_whole(result)
        if not self._request.is_idempotent:
            raise refusal
        await self._pause_before_retry(hint_s, refusal)

    def _why_not_whole(self, result: AttemptResult) -> tuple[Refusal, float]:
        match result:
            case Failed(end) if end.outcome == Outcome.COMPLETED:
                # It ran to its end, but the sidecar no longer has the answer to give.
                return Refusal("answer-not-kept", Figures(detail=end.detail)), 0.0
            case Failed(end, is_adopted=True) if end.outcome == Outcome.FAILED:
                return Refusal("key-failed", Figures(detail=end.detail)), 0.0
            case Failed(end) if end.outcome == Outcome.FAILED:
                code = end.code if end.code in REFUSALS else "backend-failed"
                figures = Figures(retry_after_s=end.retry_after_s, detail=end.detail)
                return Refusal(code, figures, Outcome.FAILED), end.retry_after_s
            case Lost(cause, is_broken=True):
                return Refusal("backend-failed", Figures(detail=cause)), 0.0
            case Gone(vm):
                detail = f"The sidecar on {vm} that had it was replaced."
                return Refusal("outcome-unknown", Figures(detail=detail)), 0.0
            case Lost(cause):
                return Refusal("outcome-unknown", Figures(detail=cause)), 0.0
        return Refusal("outcome-unknown"), 0.0

    async def _pause_before_retry(self, hint_s: float, refusal: Refusal) -> None:
        """Sleep before the next attempt, or raise the refusal at once when none may follow."""
        around, history = self._around, self._history
        limits, settings = self._in_force.bundle.limits, around.settings
        rules = RetryRules(
            limits.max_attempts,
            settings.base_backoff_s,
            settings.max_backoff_s,
            settings.max_spent_ratio,
        )
        run_tokens = self._request.prompt_tokens + self._request.max_output_tokens
        spent_tokens = history.spent_tokens + self._answer.shown_tokens
        attempted = Attempted(max(1, history.begun, self._rounds), spent_tokens, run_tokens)
        decision = decide_retry(
            rules, attempted, around.budget, self._time_left_s(), hint_s, around.random
        )
        if not decision.is_allowed:
            raise self._not_repeated(refusal, decision.reason, limits.max_attempts)
        RETRIES.add(1)
        self._rounds += 1
        around.events.emit(
            AttemptRepeated(
                self._answer.request_id,
                history.asked + 1,
                self._answer.shown_tokens,
                decision.pause_s,
            )
        )
        await trio.sleep(decision.pause_s)

    def _not_repeated(self, refusal: Refusal, reason: str, max_attempts: int) -> Refusal:
        figures = refusal.figures
        detail = f"{figures.detail} Not repeated: bound of {reason}.".strip()
        return Refusal(refusal.kind.code, figures._replace(detail=detail), refusal.outcome)

    def _no_replica(self, asked: int) -> Refusal:
        detail = f"{asked} replicas were asked for a reservation; none answered."
        return Refusal("no-replica", Figures(retry_after_s=COME_BACK_S, detail=detail))

    def _note(self, attempt: Attempt, result: AttemptResult) -> None:
        plan, around = attempt.plan, self._around
        where = (plan.request_id, plan.number, plan.vm)
        match result:
            case Whole():
                return
            case Unreached(cause):
                around.events.emit(AttemptCut(*where, False, cause))
            case TurnedDown(refused):
                if self._claim is not None:
                    self._claim.release(attempt.site)
                around.events.emit(AttemptRefused(*where, refused.code))
            case _:
                self._failed_vms.add(plan.vm)
                self._history.add(attempt)
                if self._claim is not None and self._request.is_idempotent:
                    self._claim.release(attempt.site)

    def _time_left_s(self) -> float:
        return max(0.0, self._request.deadline_s - trio.current_time())


def _unbounded(reachable: Reachable) -> Reachable:
    return reachable._replace(candidate=reachable.candidate._replace(max_wait_s=0.0))


def _come_back_s(refused: Refused) -> float:
    return refused.retry_after_s or float("inf")


def _refusal_of(refused: Refused) -> Refusal:
    code = refused.code if refused.code in REFUSALS else "no-replica"
    retry_after_s = refused.retry_after_s or (COME_BACK_S if code in _PASSING else 0.0)
    figures = Figures(refused.limit, refused.measured, retry_after_s, refused.detail)
    return Refusal(code, figures, Outcome.NOT_RUN)
