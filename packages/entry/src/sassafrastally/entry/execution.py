"""The execution of one request: candidates, attempts, retries, and the truth after a cut."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.entry.attempt import (
    Attempt,
    AttemptPlan,
    AttemptResult,
    Elsewhere,
    Failed,
    Gone,
    Lost,
    Site,
    TurnedDown,
    Unreached,
    Whole,
)
from sassafrastally.entry.events import (
    RETRIES,
    AttemptCut,
    AttemptRefused,
    AttemptRepeated,
    AttemptResolved,
)
from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.serving.refusals import REFUSALS, Figures, Refusal
from sassafrastally.serving.retries import (
    Attempted,
    RetryBudget,
    RetryRules,
    backoff_s,
    decide_retry,
)
from sassafrastally.serving.routing import RouteRequest
from sassafrastally.wire.messages import Refused

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.control.bundle import BundleInForce
    from sassafrastally.core import EventLog
    from sassafrastally.entry.candidates import Candidates, Reachable
    from sassafrastally.entry.claiming import KeyClaim
    from sassafrastally.entry.relay import Answer
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.settings import EntrySettings
    from sassafrastally.serving.claims import Placement
    from sassafrastally.serving.routing import RoutingPolicy
    from sassafrastally.wire.link import Peers

PROVED_NOT_RUN = frozenset({AttemptState.ABSENT, AttemptState.VOIDED, AttemptState.REFUSED})
"""States that prove it, given by a query that voids."""

MAX_BROKEN_ANSWERS = 2
"""How often an answer that broke the protocol is asked for again before it counts as failed."""

CONTACT_BACKOFF = RetryRules(base_backoff_s=0.05, max_backoff_s=1.0)
"""Pauses between tries to reach a sidecar that may have run a request."""

COME_BACK_S = 1.0
"""When to come back after no replica was reached: a new link stands within that."""


class Surroundings(NamedTuple):
    """What all executions of a process share."""

    settings: EntrySettings
    peers: Peers
    candidates: Candidates
    policy: RoutingPolicy
    budget: RetryBudget
    events: EventLog
    random: Random


class _History:
    """What is known of earlier attempts: the worst that can be true of the request."""

    def __init__(self) -> None:
        self.asked = 0
        """Attempts, those refused included."""
        self.begun = 0
        """Attempts that may have run."""
        self.spent_tokens = 0
        self.outcome = Outcome.NOT_RUN

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
        around: Surroundings,
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
            if refusal.outcome != Outcome.NOT_RUN or self.outcome == Outcome.NOT_RUN:
                raise
            raise Refusal(refusal.kind.code, refusal.figures, self.outcome) from refusal

    async def _round(self) -> bool:
        """Ask candidates one after the other; return whether the whole answer came."""
        refused: list[Refused] = []
        chosen = self._choose()
        for reachable in chosen:
            result = await self._attempt(reachable)
            match result:
                case Whole():
                    return True
                case TurnedDown(refusal):
                    # Nothing ran, so the next one is asked at once: no retry, no pause.
                    refused.append(refusal)
                case Unreached():
                    self._failed_vms.add(reachable.candidate.vm)
                case _:
                    await self._after_run(result)
                    return False
        if refused:
            raise _refusal_of(min(refused, key=_come_back_s))
        await self._pause_before_retry(0.0, self._no_replica(len(chosen)))
        return False

    def _choose(self) -> list[Reachable]:
        around, request = self._around, self._request
        known = around.candidates.for_request(
            request, self._in_force.bundle.weights, trio.current_time()
        )
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
        return [usable[candidate.vm] for candidate in ordered[: around.settings.max_candidates]]

    async def _attempt(self, reachable: Reachable) -> AttemptResult:
        self._history.asked += 1
        attempt = Attempt(
            self._plan(reachable),
            self._around.peers,
            self._answer,
            self._claim,
        )
        self._current = attempt
        tokens = self._request.prompt_tokens + self._request.max_output_tokens
        with self._around.candidates.in_flight(reachable.candidate.vm, tokens):
            result = await attempt.run()
            if isinstance(result, Elsewhere):
                result = await self._join_owner(attempt, result.owner)
            elif isinstance(result, Lost):
                result = await self._resolve(attempt, result)
        self._note(attempt, result)
        self._current = None
        return result

    def _plan(self, reachable: Reachable) -> AttemptPlan:
        settings, request = self._around.settings, self._request
        commits_now = (
            request.is_idempotent
            and not request.key
            and request.prompt_tokens <= settings.commit_now_tokens
        )
        return AttemptPlan(
            request=request,
            request_id=self._answer.request_id,
            number=self._history.asked,
            vm=reachable.candidate.vm,
            address=reachable.address,
            generation=self._in_force.generation,
            shown_tokens=self._answer.shown_tokens,
            commits_now=commits_now,
            reserve_timeout_s=settings.reserve_timeout_s,
            max_answer_bytes=settings.max_answer_bytes,
        )

    async def _resolve(self, attempt: Attempt, lost: Lost) -> AttemptResult:
        """Learn what became of a committed attempt after contact was lost.

        The request may be running now. Only that one incarnation can tell, so it is asked until
        it answers; a non-idempotent request waits for that up to its time limit, since running it
        anywhere else could run it twice. An idempotent one goes on elsewhere after a while.
        """
        plan = attempt.plan
        event = AttemptCut(plan.request_id, plan.number, plan.vm, True, lost.cause)
        self._around.events.emit(event)
        if not attempt.site.incarnation:
            return lost
        is_idempotent = self._request.is_idempotent
        patience_s = self._around.settings.contact_patience_s if is_idempotent else float("inf")
        with trio.move_on_after(patience_s):
            return await self._keep_asking(attempt, lost)
        return lost

    async def _keep_asking(self, attempt: Attempt, lost: Lost) -> AttemptResult:
        tries = broken = 0
        result: AttemptResult = lost
        while True:
            if isinstance(result, Lost) and result.is_broken:
                broken += 1
                if broken > MAX_BROKEN_ANSWERS:
                    return result
            state = await attempt.query(void_if_uncommitted=True)
            if state is not None:
                self._note_state(attempt, state)
            if state in PROVED_NOT_RUN:
                return _not_run_of(attempt)
            if state == AttemptState.OTHER_INCARNATION:
                return Gone(attempt.site.vm)
            if state is not None and state != AttemptState.RESERVED:
                result = await attempt.attach()
                if not isinstance(result, Lost):
                    return result
            await trio.sleep(self._contact_pause_s(tries))
            tries += 1

    def _contact_pause_s(self, tries: int) -> float:
        return backoff_s(CONTACT_BACKOFF, tries, 0.0, self._around.random)

    async def _join_owner(self, attempt: Attempt, owner: Placement) -> AttemptResult:
        """Read the answer of the attempt that owns the idempotency key.

        The owner may be about to commit, so it is asked without voiding: a reservation that is
        never committed lapses by itself. Once it is proved that the owner never runs, the key may
        be taken from it by the next attempt.
        """
        address = self._around.candidates.address_of(owner.vm)
        if address is None:
            return Gone(owner.vm)
        attempt.adopt(Site(owner.vm, address, owner.incarnation, owner.request_id, owner.attempt))
        for tries in count():
            state = await attempt.query(void_if_uncommitted=False)
            if state == AttemptState.ABSENT:
                state = await attempt.query(void_if_uncommitted=True)
            if state is not None:
                self._note_state(attempt, state)
            if state in PROVED_NOT_RUN:
                return _not_run_of(attempt)
            if state == AttemptState.OTHER_INCARNATION:
                return Gone(owner.vm)
            if state is not None and state != AttemptState.RESERVED:
                result = await attempt.attach()
                if not isinstance(result, Lost):
                    return result
            await trio.sleep(self._contact_pause_s(tries))
        raise AssertionError("unreachable")

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
        plan = attempt.plan
        match result:
            case Whole() | Unreached():
                return
            case TurnedDown(refused):
                if self._claim is not None:
                    self._claim.release(attempt.site)
                self._around.events.emit(
                    AttemptRefused(plan.request_id, plan.number, plan.vm, refused.code)
                )
            case _:
                self._failed_vms.add(plan.vm)
                self._history.add(attempt)
                if self._claim is not None and self._request.is_idempotent:
                    self._claim.release(attempt.site)

    def _note_state(self, attempt: Attempt, state: AttemptState) -> None:
        plan = attempt.plan
        self._around.events.emit(AttemptResolved(plan.request_id, plan.number, plan.vm, state))

    def _time_left_s(self) -> float:
        return max(0.0, self._request.deadline_s - trio.current_time())


def _not_run_of(attempt: Attempt) -> TurnedDown:
    plan = attempt.plan
    detail = "Contact was lost before the commit arrived; the attempt was voided."
    return TurnedDown(Refused(plan.request_id, plan.number, "no-replica", detail=detail))


def _come_back_s(refused: Refused) -> float:
    return refused.retry_after_s or float("inf")


def _refusal_of(refused: Refused) -> Refusal:
    code = refused.code if refused.code in REFUSALS else "no-replica"
    figures = Figures(refused.limit, refused.measured, refused.retry_after_s, refused.detail)
    return Refusal(code, figures, Outcome.NOT_RUN)
