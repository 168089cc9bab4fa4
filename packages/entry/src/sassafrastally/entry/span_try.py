"""One try at a span: engines reserved together, computed in order and held until the end."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import event
from sassafrastally.entry.attempt import Attempt
from sassafrastally.entry.attempt_result import Failed, Rejected, Unreachable
from sassafrastally.entry.span_member import (
    Imports,
    Member,
    SegmentPlacement,
    SpanBroken,
    segment_reserve,
)
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import Refusal
from sassafrastally.wire.messages import End, Refused

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping
    from typing import TypeAlias

    from sassafrastally.entry.attempt_plan import AttemptPlan
    from sassafrastally.entry.attempt_result import AttemptResult
    from sassafrastally.entry.candidates import Reachable
    from sassafrastally.entry.claiming import KeyClaim
    from sassafrastally.entry.execution_services import ExecutionServices
    from sassafrastally.entry.relay import Answer
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.site import Site
    from sassafrastally.serving.claims import Placement
    from sassafrastally.serving.spans import Segment
    from sassafrastally.wire.link import Peers
    from sassafrastally.wire.messages import Reserve

    MakeAttempt: TypeAlias = Callable[[AttemptPlan, Peers, Answer, KeyClaim | None], Attempt]
    LeaderRunner: TypeAlias = Callable[[Reachable, MakeAttempt], Awaitable[AttemptResult]]


@event(6013)
class SpanPlanned(NamedTuple):
    """A prompt was split across several engines."""

    request_id: str
    vms: tuple[str, ...]
    tokens: tuple[int, ...]


@event(6014, "warning")
class SpanBrokenOff(NamedTuple):
    """A segment was lost, so the span was aborted."""

    request_id: str
    cause: str


class SpanRequest(NamedTuple):
    """The request that needs a span."""

    request: CallerRequest
    request_id: str
    generation: int
    look: Callable[[], Mapping[str, Reachable]]
    """Returns the sidecars that currently serve the model, by VM."""
    failed_vms: set[str]
    """VMs of earlier failed attempts; used only if the others can't hold the prompt."""
    is_repeated: bool
    """Whether an earlier try failed, so that one of its engines may be missing now."""
    next_number: Callable[[], int]
    """Returns a new attempt number for each member."""


class NotReserved(NamedTuple):
    """A member refused its segment or wasn't reached; no part of the span has run."""

    vm: str
    refused: Refused


class SpanTry:
    """One set of engines: reserved together, computed one after another, held until the end."""

    def __init__(
        self,
        services: ExecutionServices,
        span_request: SpanRequest,
        known: Mapping[str, Reachable],
        leader_runner: LeaderRunner,
        segments: list[Segment],
    ) -> None:
        self._services = services
        self._span_request = span_request
        self._known = known
        self._leader_runner = leader_runner
        self._segments = segments
        self._members: list[Member] = []
        self._imports = Imports()
        self._starts_in_s = 0.0
        self._broken = ""
        """Why the span can't continue; empty while it can."""
        self._scopes: list[trio.CancelScope] = []
        self._is_computed = False
        """Whether the members were committed; from then on a failure counts as a retry."""
        self._is_released = False
        self._nursery: trio.Nursery

    async def run(self) -> AttemptResult | NotReserved:
        async with AsyncExitStack() as stack:
            for segment in self._segments[:-1]:
                member = self._member(segment)
                await stack.enter_async_context(member)
                not_reserved = await self._reserve(member)
                if not_reserved is not None:
                    return not_reserved
            return await self._run_leader()

    def _member(self, segment: Segment) -> Member:
        span_request, services = self._span_request, self._services
        place = SegmentPlacement(
            span_request.request_id,
            span_request.next_number(),
            segment.vm,
            self._known[segment.vm].address,
            span_request.generation,
            services.settings.reserve_timeout_s,
        )
        return Member(services.peers, place, segment, span_request.request)

    async def _reserve(self, member: Member) -> NotReserved | None:
        answered = await member.reserve(self._starts_in_s, self._imports)
        vm = member.place.vm
        if answered is None:
            detail = f"{vm} answered no reservation."
            return NotReserved(vm, Refused(code="no-replica", detail=detail))
        if isinstance(answered, Refused):
            return NotReserved(vm, answered)
        self._members.append(member)
        self._imports = self._imports.with_member(member)
        self._starts_in_s = answered.predicted_first_token_s
        return None

    async def _run_leader(self) -> AttemptResult | NotReserved:
        result: AttemptResult | None = None
        refusal: Refusal | None = None
        leader = self._segments[-1]
        async with trio.open_nursery() as self._nursery:
            try:
                result = await self._leader_runner(self._known[leader.vm], self._make_leader)
            except Refusal as caught:
                # Raised outside the nursery, which would wrap it in an exception group.
                refusal = caught
            self._nursery.cancel_scope.cancel()
        if refusal is not None:
            raise refusal
        assert result is not None
        if not self._is_computed:
            if isinstance(result, Rejected):
                return NotReserved(leader.vm, result.refused)
            if isinstance(result, Unreachable):
                return NotReserved(leader.vm, Refused(code="no-replica", detail=result.cause))
        if self._broken:
            self._services.events.emit(SpanBrokenOff(self._span_request.request_id, self._broken))
        return result

    def _make_leader(
        self, plan: AttemptPlan, peers: Peers, answer: Answer, claim: KeyClaim | None
    ) -> Attempt:
        # Reservation and commit are separate messages: the members compute in between.
        # A late reservation isn't waited for: it would hold the memory of all members.
        plan = plan._replace(commits_now=False, ask_others=None)
        return _Leader(self, plan, peers, answer, claim)

    def with_segment(self, reserve: Reserve) -> Reserve:
        """Return the leader's reservation, restricted to its segment."""
        return segment_reserve(reserve, self._segments[-1], self._starts_in_s, self._imports)

    async def compute(self) -> None:
        """Have the members compute their segments in prompt order, once all are reserved.

        Raises
        ------
        SpanBroken
            If a member fails.
        """
        segments = self._segments
        self._services.events.emit(
            SpanPlanned(
                self._span_request.request_id,
                tuple(segment.vm for segment in segments),
                tuple(segment.tokens for segment in segments),
            )
        )
        self._is_computed = True
        for member in self._members:
            try:
                await member.compute()
            except SpanBroken as cause:
                self._span_request.failed_vms.add(member.place.vm)
                self._broken = cause.detail
                raise
            if self._broken:
                raise SpanBroken(self._broken)
            self._nursery.start_soon(self._watch, member)

    async def release(self) -> None:
        """Free the memory of the members, because another attempt provides the answer."""
        self._is_released = True
        for member in self._members:
            await member.give_up()

    async def run_while_held(self, work: Callable[[], Awaitable[AttemptResult]]) -> AttemptResult:
        """Run a step of the leader; cancel it when a member loses its memory."""
        with trio.CancelScope() as scope:
            self._scopes.append(scope)
            try:
                return await work()
            except SpanBroken as cause:
                return Unreachable(cause.detail)
            finally:
                self._scopes.remove(scope)
        return Unreachable(self._broken)

    async def _watch(self, member: Member) -> None:
        try:
            await member.watch()
        except SpanBroken as cause:
            if self._is_released:
                return
            # The leader's engine reads the memory of the members and doesn't detect its loss. Its
            # further output wouldn't be based on the complete prompt, so the run is cancelled.
            self._span_request.failed_vms.add(member.place.vm)
            self._broken = self._broken or cause.detail
            for scope in self._scopes:
                scope.cancel()


class _SpanClaim:
    """Key claim of the leader that runs the members between reservation and commit."""

    def __init__(self, span: SpanTry, claim: KeyClaim | None, time_left_s: Callable[[], float]):
        self._span = span
        self._claim = claim
        self._time_left_s = time_left_s

    def release(self, site: Site) -> None:
        if self._claim is not None:
            self._claim.release(site)

    async def acquire(self, site: Site, limit_s: float, shown_tokens: int = 0) -> Placement | None:
        await self._span.compute()
        if self._claim is None:
            return None
        owner = await self._claim.acquire(site, min(limit_s, self._time_left_s()), shown_tokens)
        if owner is not None:
            await self._span.release()
        return owner


class _Leader(Attempt):
    """The attempt on the last engine, the only one of a span that generates output."""

    def __init__(
        self,
        span: SpanTry,
        plan: AttemptPlan,
        peers: Peers,
        answer: Answer,
        claim: KeyClaim | None,
    ) -> None:
        span_claim = _SpanClaim(span, claim, self._time_left_s)
        super().__init__(plan, peers, answer, span_claim)  # type: ignore[arg-type]
        self._span = span

    async def run(self) -> AttemptResult:
        return self._failed_if_committed(await self._span.run_while_held(super().run))

    async def attach(self) -> AttemptResult:
        if self.is_adopted:
            return await super().attach()
        return self._failed_if_committed(await self._span.run_while_held(super().attach))

    def _failed_if_committed(self, result: AttemptResult) -> AttemptResult:
        if not (isinstance(result, Unreachable) and self.is_committed):
            return result
        end = End(
            *(self.site.request_id, self.site.attempt),
            outcome=Outcome.FAILED.value,
            code="backend-failed",
            detail=result.cause,
        )
        return Failed(end)

    def _continues_without_reader(self) -> bool:
        """Return whether the run continues without this reader.

        The leader's own run never does, because it needs its members.
        """
        return self.is_adopted

    def _ends_unread(self) -> bool:
        """Return that the sidecar ends the run if nobody reads it, as it does all of a span."""
        return True

    def _reserve_message(self) -> Reserve:
        return self._span.with_segment(super()._reserve_message())
