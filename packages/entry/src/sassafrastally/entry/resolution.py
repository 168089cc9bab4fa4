"""Resolves committed attempts whose link was lost, or that another request with the key started."""

from __future__ import annotations

import math
from itertools import count
from typing import TYPE_CHECKING

import trio

from sassafrastally.entry.attempt import MAX_BROKEN_ANSWERS, Attempt
from sassafrastally.entry.attempt_result import (
    AttemptResult,
    ContactLost,
    IncarnationGone,
    Rejected,
)
from sassafrastally.entry.events import AttemptCut, AttemptResolved
from sassafrastally.entry.site import Site
from sassafrastally.serving.outcome import AttemptState
from sassafrastally.serving.retries import RetryRules, backoff_s
from sassafrastally.wire.messages import Refused

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core import EventLog
    from sassafrastally.entry.candidates import Candidates
    from sassafrastally.serving.claims import Placement

PROVED_NOT_RUN = frozenset({AttemptState.ABSENT, AttemptState.VOIDED, AttemptState.REFUSED})
"""States that prove that an attempt hasn't run, when returned by a query that voids it."""

COME_BACK_S = 1.0
"""Retry delay sent to callers when no replica was reached: enough to establish a new link."""

CONTACT_BACKOFF = RetryRules(base_backoff_s=0.05, max_backoff_s=1.0)
"""Backoff between tries to reach a sidecar that may have run a request."""


class Resolution:
    """Determines the outcome of one attempt.

    Parameters
    ----------
    attempt
        The attempt.
    candidates
        Source of sidecar addresses.
    events
        Event log of the process.
    random
        Random source for jitter.
    """

    def __init__(
        self, attempt: Attempt, candidates: Candidates, events: EventLog, random: Random
    ) -> None:
        self._attempt = attempt
        self._candidates = candidates
        self._events = events
        self._random = random
        self._patience = trio.CancelScope()

    async def resolve_lost(self, lost: ContactLost, timeout_s: float) -> AttemptResult:
        """Determine the outcome of a committed attempt after its link was lost.

        The request may still be running, and only that incarnation knows, so it is queried until
        it answers. Failing over without its reply could run a request twice.

        Parameters
        ----------
        lost
            How the link was lost.
        timeout_s
            How long to try to reach the sidecar, since contact was lost; for a non-idempotent
            request, until its time limit.
        """
        plan = self._attempt.plan
        event = AttemptCut(plan.request_id, plan.number, plan.vm, True, lost.cause)
        self._events.emit(event)
        if not self._attempt.site.incarnation:
            return lost
        return await self.query_again(lost, timeout_s)

    async def query_again(self, lost: ContactLost, timeout_s: float) -> AttemptResult:
        """Try once more to determine the outcome of an attempt whose incarnation is known.

        Parameters
        ----------
        lost
            How the link was lost.
        timeout_s
            How long to try to reach the sidecar, from now on.
        """
        self._patience = trio.CancelScope(deadline=trio.current_time() + timeout_s)
        with self._patience:
            return await self._query_until_known(lost, timeout_s)
        # The last that is known is that the sidecar is out of reach, whatever the answer was like.
        return lost._replace(is_protocol_error=False)

    async def join_owner(self, owner: Placement) -> AttemptResult:
        """Read the answer of the attempt that owns the idempotency key.

        Once the owner is proved never to run, the next attempt may take over the key.
        """
        address = self._candidates.address_of(owner.vm)
        if address is None:
            return IncarnationGone(owner.vm)
        site = Site(owner.vm, address, owner.incarnation, owner.request_id, owner.attempt)
        self._attempt.adopt(site)
        return await self._query_until_known(ContactLost("joined by its key"), math.inf)

    async def _query_until_known(self, lost: ContactLost, timeout_s: float) -> AttemptResult:
        attempt, broken_answers = self._attempt, int(lost.is_protocol_error)
        for tries in count():
            state = await self._state()
            if state in PROVED_NOT_RUN:
                return _not_run_of(attempt)
            if state == AttemptState.OTHER_INCARNATION:
                return IncarnationGone(attempt.site.vm)
            if state not in (None, AttemptState.RESERVED):
                result = await self._attach(timeout_s)
                if not isinstance(result, ContactLost):
                    return result
                broken_answers += result.is_protocol_error
                if broken_answers > MAX_BROKEN_ANSWERS:
                    return result
            await trio.sleep(backoff_s(CONTACT_BACKOFF, tries, 0.0, self._random))
        raise AssertionError("count() never ends")

    async def _attach(self, timeout_s: float) -> AttemptResult:
        """Reattach; the time to reach the sidecar doesn't run while its run is being read."""
        attempt, patience = self._attempt, self._patience
        until_s, received_chunks = patience.deadline, attempt.received_chunks
        patience.deadline = math.inf
        result = await attempt.attach()
        has_progress = attempt.received_chunks > received_chunks
        patience.deadline = trio.current_time() + timeout_s if has_progress else until_s
        return result

    async def _state(self) -> AttemptState | None:
        """Return the state of the attempt; ``None`` if its sidecar can't be reached.

        The owner of a key may be about to commit, so it is first queried without voiding; its
        reservation expires on its own. If the first query voided, two requests with the same key
        could keep voiding each other's reservations.
        """
        attempt = self._attempt
        state = await attempt.query(void_if_uncommitted=not attempt.is_adopted)
        if state == AttemptState.ABSENT and attempt.is_adopted:
            state = await attempt.query(void_if_uncommitted=True)
        if state is not None:
            plan = attempt.plan
            self._events.emit(AttemptResolved(plan.request_id, plan.number, attempt.site.vm, state))
        return state


def _not_run_of(attempt: Attempt) -> Rejected:
    plan = attempt.plan
    detail = "Contact was lost before the commit arrived; the attempt was voided."
    own = (plan.request_id, plan.number)
    return Rejected(Refused(*own, "no-replica", retry_after_s=COME_BACK_S, detail=detail))
