"""Runs whose sidecars weren't reached in time, read again if no other attempt succeeds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.entry.attempt_result import (
    AttemptResult,
    Completed,
    ContactLost,
    TakenElsewhere,
)
from sassafrastally.entry.events import LostRunContinued
from sassafrastally.serving.refusals import Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import EventLog
    from sassafrastally.entry.attempt import Attempt
    from sassafrastally.entry.candidates import Candidates
    from sassafrastally.entry.relay import Answer
    from sassafrastally.entry.resolution import Resolution


class _LostRun(NamedTuple):
    """A committed attempt whose sidecar wasn't reached in time."""

    attempt: Attempt
    resolution: Resolution
    lost: ContactLost
    shown_tokens: int
    """Tokens that the caller had been sent when the run was left."""


class LostRuns:
    """Lost runs of one idempotent request.

    A sidecar that is silent for seconds is as sound as one whose engine is slow: its run goes on,
    and its answer is kept. An attempt there is therefore left for another one, but given up only
    once that has succeeded, the VM has been removed, or the sidecar has told that the run ended.

    Parameters
    ----------
    answer
        The answer to the request.
    candidates
        Source of the VMs that are listed.
    events
        Event log of the process.
    turn_s
        How long to try to reach the sidecar of one run before the next one's turn.
    """

    def __init__(
        self, answer: Answer, candidates: Candidates, events: EventLog, turn_s: float
    ) -> None:
        self._answer = answer
        self._candidates = candidates
        self._events = events
        self._turn_s = turn_s
        self._runs: list[_LostRun] = []
        self._has_data = False
        self._is_read_beside = False

    @property
    def has_data(self) -> bool:
        """Whether any of the runs has sent a part of an answer."""
        return self._has_data or any(run.attempt.has_data for run in self._runs)

    def add(self, attempt: Attempt, resolution: Resolution, result: AttemptResult) -> None:
        """Keep an attempt whose sidecar wasn't reached in time; ignore all other results."""
        if isinstance(result, ContactLost) and not result.is_protocol_error:
            attempt.assume_incarnation()
            shown = self._answer.shown_tokens
            self._runs.append(_LostRun(attempt, resolution, result, shown))

    def keeps(self, attempt: Attempt) -> bool:
        """Return whether an attempt is kept."""
        return any(run.attempt is attempt for run in self._runs)

    async def beside(self, run: Callable[[], Awaitable[AttemptResult]]) -> AttemptResult:
        """Make another attempt, and read the runs beside it as soon as they can be reached.

        The other sidecar may be silent itself. The answer of a run that is read meanwhile is held
        back until it is whole, so that the tokens of two attempts aren't mixed. A run that isn't
        whole when the other attempt ends goes on and can be read again.
        """
        if not self._runs or self._is_read_beside:
            return await run()
        result: AttemptResult = TakenElsewhere(True)
        refusal: Refusal | None = None
        self._is_read_beside = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_beside, nursery.cancel_scope)
            try:
                result = await run()
            except Refusal as caught:
                # Raised outside the nursery, which would wrap it in an exception group.
                refusal = caught
            nursery.cancel_scope.cancel()
        self._is_read_beside = False
        if self._answer.end is not None and not isinstance(result, Completed):
            return TakenElsewhere(True)  # One of the runs is whole.
        if refusal is not None:
            raise refusal
        return result

    async def _read_beside(self, scope: trio.CancelScope) -> None:
        await trio.sleep(self._turn_s)
        while runs := [run for run in self._runs if self._can_continue(run)]:
            for run in runs:
                run.attempt.hold_back()
                if isinstance(await self._read_one(run), Completed):
                    scope.cancel()
                    return

    async def read(self) -> bool:
        """Read one of the runs to its end; return whether it gave the complete answer.

        Each is tried in turn, until the request's time limit.
        """
        for run in self._runs:
            plan = run.attempt.plan
            self._events.emit(LostRunContinued(plan.request_id, plan.number, plan.vm))
        while runs := [run for run in self._runs if self._can_continue(run)]:
            for run in runs:
                if self._can_continue(run):
                    await run.attempt.forward_held()
                    if isinstance(await self._read_one(run), Completed):
                        return True
        return False

    async def _read_one(self, run: _LostRun) -> AttemptResult:
        result = await run.resolution.query_again(run.lost, self._turn_s)
        self._has_data = self.has_data
        self._runs.remove(run)
        self.add(run.attempt, run.resolution, result)
        return result

    def _can_continue(self, run: _LostRun) -> bool:
        """Return whether the run's next chunk is the next one for the caller.

        After another attempt has sent tokens, the chunks of this one would repeat them.
        """
        is_listed = self._candidates.address_of(run.attempt.plan.vm) is not None
        return is_listed and run.shown_tokens == self._answer.shown_tokens
