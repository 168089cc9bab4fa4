"""Spans: a prompt that no single engine holds, brought through several of them.

The entry plans and keeps the streams to all members open; with the last of them closed, nothing
holds their memory. All members are reserved before any computes, always in the order of their VM
names, and a reservation that fails releases those before it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.entry.span_try import NotReserved, SpanTry
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import REFUSALS, Figures, Refusal
from sassafrastally.serving.spans import MemberEngine, held_tokens, plan_span

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.entry.attempt import AttemptResult
    from sassafrastally.entry.candidates import Reachable
    from sassafrastally.entry.execution_services import ExecutionServices
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.span_try import Lead, SpanRequest
    from sassafrastally.serving.spans import Segment
    from sassafrastally.wire.messages import Refused

NO_SPAN = "no-span"

BASE_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
"""Bounds of the pause before memory that is promised to others is asked for again."""

JITTER = (0.5, 1.5)
"""Share of the pause that is drawn, so that two spans don't ask in step again and again."""

WAITS_FOR_ROOM = frozenset({"memory-full", "overloaded"})
"""Refusals after which the same engine may be asked again."""

MAY_COME_BACK = frozenset({"no-replica", "leaving"})
"""Refusals of engines in whose place another one may soon stand."""

ENGINE_PATIENCE_S = 10.0
"""How long to wait for engines that were lost: longer than a restart takes to be seen."""


def needs_span(request: CallerRequest, known: Mapping[str, Reachable]) -> bool:
    """Return whether a prompt is longer than any engine that serves its model can hold."""
    tokens = request.prompt_tokens + request.max_output_tokens
    engines = [item.candidate for item in known.values() if item.candidate.total_blocks]
    return bool(request.model and engines) and all(
        tokens > engine.total_blocks * engine.block_tokens for engine in engines
    )


class Span:
    """One request over several engines, until it has its answer or a member broke.

    Parameters
    ----------
    around
        What all executions share.
    asked
        The request.
    lead
        Runs the attempt at the leader, with what makes it, and tells what came of it.
    """

    def __init__(self, around: ExecutionServices, asked: SpanRequest, lead: Lead) -> None:
        self._around = around
        self._asked = asked
        self._lead = lead
        self._refused: dict[str, Refused] = {}
        """Engines that were asked and can't take part, with what they said."""
        self._has_lost = asked.is_repeated
        """Whether an engine that was in the plan couldn't take part."""
        self._patient_until_s = float("inf")

    async def run(self) -> AttemptResult:
        """Reserve all members, again until it succeeds, and go through the span.

        Raises
        ------
        Refusal
            When no set of engines can hold the prompt, or none does within the time limit.
        """
        while True:
            known = self._asked.look()
            segments = self._plan(known)
            if segments is None:
                await self._wait_for_engines(known)
                continue
            result = await SpanTry(self._around, self._asked, known, self._lead, segments).run()
            if not isinstance(result, NotReserved):
                return result
            await self._after_refusal(result)

    def _plan(self, known: Mapping[str, Reachable]) -> list[Segment] | None:
        """Return the segments, without engines that failed if the others can hold them."""
        request = self._asked.request
        refused = self._refused.keys()
        for left_out in (refused | self._asked.failed_vms, refused):
            engines = [_member_engine(item) for vm, item in known.items() if vm not in left_out]
            segments = plan_span(engines, request.prompt_tokens, request.max_output_tokens)
            if segments is not None:
                return segments
        return None

    async def _wait_for_engines(self, known: Mapping[str, Reachable]) -> None:
        """Pause when too few engines are left, or raise why there will be no span.

        An engine that restarts is gone from the reports for seconds. Refusing at once would fail
        most spans for which one of many engines is replaced.
        """
        final = [refused for refused in self._refused.values() if refused.code not in MAY_COME_BACK]
        if final:
            raise _refusal_of(final[0])
        now_s = trio.current_time()
        if not self._has_lost:
            raise self._no_span(known)
        self._patient_until_s = min(self._patient_until_s, now_s + ENGINE_PATIENCE_S)
        if now_s >= self._patient_until_s:
            if self._refused:
                raise _refusal_of(next(iter(self._refused.values())))
            raise self._no_span(known)
        self._refused.clear()
        await self._pause(BASE_PAUSE_S)

    def _no_span(self, known: Mapping[str, Reachable]) -> Refusal:
        request = self._asked.request
        engines = [_member_engine(item) for item in known.values()]
        most = held_tokens(engines, request.max_output_tokens)
        detail = f"So much hold the {len(engines)} engines of the model together."
        return Refusal(NO_SPAN, Figures(most, request.prompt_tokens, detail=detail))

    async def _after_refusal(self, result: NotReserved) -> None:
        refused = result.refused
        if refused.code not in WAITS_FOR_ROOM:
            self._refused[result.vm] = refused
            self._has_lost = True
        left_s = self._asked.request.deadline_s - trio.current_time()
        if refused.code in WAITS_FOR_ROOM and refused.retry_after_s >= left_s:
            raise _refusal_of(refused)
        await self._pause(refused.retry_after_s)

    async def _pause(self, least_s: float) -> None:
        pause_s = min(MAX_PAUSE_S, max(BASE_PAUSE_S, least_s))
        await trio.sleep(pause_s * self._around.random.uniform(*JITTER))


def _member_engine(item: Reachable) -> MemberEngine:
    candidate = item.candidate
    return MemberEngine(
        vm=candidate.vm,
        is_near=candidate.is_near,
        total_blocks=candidate.total_blocks,
        free_blocks=candidate.free_blocks,
        block_tokens=candidate.block_tokens,
        queued_tokens=candidate.queued_tokens,
    )


def _refusal_of(refused: Refused) -> Refusal:
    code = refused.code if refused.code in REFUSALS else "no-replica"
    figures = Figures(refused.limit, refused.measured, refused.retry_after_s, refused.detail)
    return Refusal(code, figures, Outcome.NOT_RUN)
