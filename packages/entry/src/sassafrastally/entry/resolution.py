"""What became of a committed attempt to which contact was lost, or that another request made."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import trio

from sassafrastally.entry.attempt import Attempt, AttemptResult, Gone, Lost, TurnedDown
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
"""States that prove it, given by a query that voids."""

MAX_BROKEN_ANSWERS = 2
"""How often an answer that broke the protocol is asked for again before it counts as failed."""

COME_BACK_S = 1.0
"""When to come back after no replica was reached: a new link stands within that."""

CONTACT_BACKOFF = RetryRules(base_backoff_s=0.05, max_backoff_s=1.0)
"""Pauses between tries to reach a sidecar that may have run a request."""


class Resolution:
    """Finds out what became of one attempt.

    Parameters
    ----------
    attempt
        The attempt.
    candidates
        Knows where sidecars take links.
    events
        The process's events.
    random
        Source of the jitter.
    """

    def __init__(
        self, attempt: Attempt, candidates: Candidates, events: EventLog, random: Random
    ) -> None:
        self._attempt = attempt
        self._candidates = candidates
        self._events = events
        self._random = random

    async def after_cut(self, lost: Lost, patience_s: float) -> AttemptResult:
        """Learn what became of a committed attempt after contact was lost.

        The request may be running now, and only that one incarnation can tell, so it is asked
        until it answers. Going elsewhere without its word could run a request twice.

        Parameters
        ----------
        lost
            How contact was lost.
        patience_s
            How long to ask; a non-idempotent request asks until its time limit.
        """
        plan = self._attempt.plan
        event = AttemptCut(plan.request_id, plan.number, plan.vm, True, lost.cause)
        self._events.emit(event)
        if not self._attempt.site.incarnation:
            return lost
        with trio.move_on_after(patience_s):
            return await self._ask_until_known(lost)
        return lost

    async def join_owner(self, owner: Placement) -> AttemptResult:
        """Read the answer of the attempt that owns the idempotency key.

        Once it is proved that the owner never runs, the next attempt may take the key from it.
        """
        address = self._candidates.address_of(owner.vm)
        if address is None:
            return Gone(owner.vm)
        site = Site(owner.vm, address, owner.incarnation, owner.request_id, owner.attempt)
        self._attempt.adopt(site)
        return await self._ask_until_known(Lost("joined by its key"))

    async def _ask_until_known(self, lost: Lost) -> AttemptResult:
        attempt, broken = self._attempt, int(lost.is_broken)
        for tries in count():
            state = await self._state()
            if state in PROVED_NOT_RUN:
                return _not_run_of(attempt)
            if state == AttemptState.OTHER_INCARNATION:
                return Gone(attempt.site.vm)
            if state not in (None, AttemptState.RESERVED):
                result = await attempt.attach()
                if not isinstance(result, Lost):
                    return result
                broken += result.is_broken
                if broken > MAX_BROKEN_ANSWERS:
                    return result
            await trio.sleep(backoff_s(CONTACT_BACKOFF, tries, 0.0, self._random))
        raise AssertionError("count() never ends")

    async def _state(self) -> AttemptState | None:
        """Return the state of the attempt; ``None`` when its sidecar isn't reached.

        The owner of a key may be about to commit, so it is first asked without voiding: its
        reservation lapses by itself. A query that voids would let two requests of one key take
        each other's reservations away in turn.
        """
        attempt = self._attempt
        state = await attempt.query(void_if_uncommitted=not attempt.is_adopted)
        if state == AttemptState.ABSENT and attempt.is_adopted:
            state = await attempt.query(void_if_uncommitted=True)
        if state is not None:
            plan = attempt.plan
            self._events.emit(AttemptResolved(plan.request_id, plan.number, attempt.site.vm, state))
        return state


def _not_run_of(attempt: Attempt) -> TurnedDown:
    plan = attempt.plan
    detail = "Contact was lost before the commit arrived; the attempt was voided."
    own = (plan.request_id, plan.number)
    return TurnedDown(Refused(*own, "no-replica", retry_after_s=COME_BACK_S, detail=detail))
