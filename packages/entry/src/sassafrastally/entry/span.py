"""Spans: processing of a prompt that is too long for one engine across several engines.

The entry plans the span and keeps a stream to each member open; the memory of the members is held
only while these streams are open. All members are reserved before any of them computes, always in
the order of their VM names. A failed reservation releases the earlier ones.
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

    from sassafrastally.entry.attempt_result import AttemptResult
    from sassafrastally.entry.candidates import Reachable
    from sassafrastally.entry.execution_services import ExecutionServices
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.span_try import LeaderRunner, SpanRequest
    from sassafrastally.serving.spans import Segment
    from sassafrastally.wire.messages import Refused

NO_SPAN = "no-span"

BASE_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
"""Bounds of the pause before retrying to reserve memory that is promised to other requests."""

JITTER = (0.5, 1.5)
"""Range of the random factor of a pause, so that two spans don't keep retrying in lockstep."""

CAPACITY_REFUSALS = frozenset({"memory-full", "overloaded"})
"""Refusals for lack of capacity, after which the same engine can be tried again."""

TRANSIENT_REFUSALS = frozenset({"no-replica", "leaving"})
"""Refusals by engines that may soon be replaced by another one."""

ENGINE_RECOVERY_TIMEOUT_S = 10.0
"""How long to wait for lost engines: longer than it takes to detect a restart."""


def needs_span(request: CallerRequest, known: Mapping[str, Reachable]) -> bool:
    """Return whether a prompt is too long for every single engine that serves its model."""
    tokens = request.prompt_tokens + request.max_output_tokens
    engines = [item.candidate for item in known.values() if item.candidate.total_blocks]
    return bool(request.model and engines) and all(
        tokens > engine.total_blocks * engine.block_tokens for engine in engines
    )


class Span:
    """One request across several engines, until it is answered or a member fails.

    Parameters
    ----------
    services
        Services that all executions share.
    span_request
        The request.
    leader_runner
        Creates the attempt on the leader with the given factory, runs it and returns its result.
    """

    def __init__(
        self, services: ExecutionServices, span_request: SpanRequest, leader_runner: LeaderRunner
    ) -> None:
        self._services = services
        self._span_request = span_request
        self._leader_runner = leader_runner
        self._refused: dict[str, Refused] = {}
        """Engines that were asked and can't take part, with their refusals."""
        self._has_lost_engine = span_request.is_repeated
        """Whether a planned engine couldn't take part."""
        self._engines_deadline_s = float("inf")

    async def run(self) -> AttemptResult:
        """Reserve all members, retrying until it succeeds, and run the span.

        Raises
        ------
        Refusal
            If no set of engines can hold the prompt, or none can within the time limit.
        """
        while True:
            known = self._span_request.look()
            segments = self._plan(known)
            if segments is None:
                await self._wait_for_engines(known)
                continue
            result = await SpanTry(
                self._services, self._span_request, known, self._leader_runner, segments
            ).run()
            if not isinstance(result, NotReserved):
                return result
            await self._after_refusal(result)

    def _plan(self, known: Mapping[str, Reachable]) -> list[Segment] | None:
        """Return the segments, avoiding failed engines if the others can hold the prompt."""
        request = self._span_request.request
        refused = self._refused.keys()
        for excluded_vms in (refused | self._span_request.failed_vms, refused):
            engines = [_member_engine(item) for vm, item in known.items() if vm not in excluded_vms]
            segments = plan_span(engines, request.prompt_tokens, request.max_output_tokens)
            if segments is not None:
                return segments
        return None

    async def _wait_for_engines(self, known: Mapping[str, Reachable]) -> None:
        """Pause if too few engines are left, or raise the refusal.

        An engine that restarts is missing from the load reports for seconds. Refusing at once
        would fail most spans in which one of several engines is replaced.
        """
        permanent = [
            refused for refused in self._refused.values() if refused.code not in TRANSIENT_REFUSALS
        ]
        if permanent:
            raise _refusal_of(permanent[0])
        now_s = trio.current_time()
        if not self._has_lost_engine:
            raise self._no_span(known)
        self._engines_deadline_s = min(self._engines_deadline_s, now_s + ENGINE_RECOVERY_TIMEOUT_S)
        if now_s >= self._engines_deadline_s:
            if self._refused:
                raise _refusal_of(next(iter(self._refused.values())))
            raise self._no_span(known)
        self._refused.clear()
        await self._pause(BASE_PAUSE_S)

    def _no_span(self, known: Mapping[str, Reachable]) -> Refusal:
        request = self._span_request.request
        engines = [_member_engine(item) for item in known.values()]
        max_held_tokens = held_tokens(engines, request.max_output_tokens)
        detail = f"So much hold the {len(engines)} engines of the model together."
        return Refusal(NO_SPAN, Figures(max_held_tokens, request.prompt_tokens, detail=detail))

    async def _after_refusal(self, result: NotReserved) -> None:
        refused = result.refused
        if refused.code not in CAPACITY_REFUSALS:
            self._refused[result.vm] = refused
            self._has_lost_engine = True
        left_s = self._span_request.request.deadline_s - trio.current_time()
        if refused.code in CAPACITY_REFUSALS and refused.retry_after_s >= left_s:
            raise _refusal_of(refused)
        await self._pause(refused.retry_after_s)

    async def _pause(self, min_s: float) -> None:
        pause_s = min(MAX_PAUSE_S, max(BASE_PAUSE_S, min_s))
        await trio.sleep(pause_s * self._services.random.uniform(*JITTER))


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
