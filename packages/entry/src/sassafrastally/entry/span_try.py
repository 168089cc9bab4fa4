"""One try at a span: a set of engines reserved together, computed in order, held to the end."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import event
from sassafrastally.entry.attempt import Attempt, Failed, TurnedDown, Unreached
from sassafrastally.entry.span_member import (
    Imports,
    Member,
    Place,
    SpanBroken,
    segment_reserve,
)
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import Refusal
from sassafrastally.wire.messages import End, Refused

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping
    from typing import TypeAlias

    from sassafrastally.entry.attempt import AttemptPlan, AttemptResult
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
    Lead: TypeAlias = Callable[[Reachable, MakeAttempt], Awaitable[AttemptResult]]


@event(6013)
class SpanPlanned(NamedTuple):
    """A prompt goes over several engines."""

    request_id: str
    vms: tuple[str, ...]
    tokens: tuple[int, ...]


@event(6014, "warning")
class SpanBrokenOff(NamedTuple):
    """A segment was lost, so the span was given up."""

    request_id: str
    cause: str


class SpanRequest(NamedTuple):
    """The request that needs a span."""

    request: CallerRequest
    request_id: str
    generation: int
    look: Callable[[], Mapping[str, Reachable]]
    """Returns the sidecars that serve the model at this moment, by VM."""
    failed_vms: set[str]
    """Where earlier attempts failed; used only when the others can't hold the prompt."""
    is_repeated: bool
    """Whether an earlier try failed: an engine that it had may be missing now."""
    next_number: Callable[[], int]
    """Gives each member the number of an attempt."""


class NotReserved(NamedTuple):
    """A member didn't take its segment; nothing of the span has run."""

    vm: str
    refused: Refused


class SpanTry:
    """One set of engines: reserved together, computed one after the other, held to the end."""

    def __init__(
        self,
        around: ExecutionServices,
        asked: SpanRequest,
        known: Mapping[str, Reachable],
        lead: Lead,
        segments: list[Segment],
    ) -> None:
        self._around = around
        self._asked = asked
        self._known = known
        self._lead = lead
        self._segments = segments
        self._members: list[Member] = []
        self._imports = Imports()
        self._starts_in_s = 0.0
        self._broken = ""
        """Why the span can't go on; empty while it can."""
        self._scopes: list[trio.CancelScope] = []
        self._is_computed = False
        """Whether the members were committed: from then on a failure costs a retry."""
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
        asked, around = self._asked, self._around
        place = Place(
            asked.request_id,
            asked.next_number(),
            segment.vm,
            self._known[segment.vm].address,
            asked.generation,
            around.settings.reserve_timeout_s,
        )
        return Member(around.peers, place, segment, asked.request)

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
                result = await self._lead(self._known[leader.vm], self._make_leader)
            except Refusal as caught:
                # Kept out of the nursery, which would wrap it into a group.
                refusal = caught
            self._nursery.cancel_scope.cancel()
        if refusal is not None:
            raise refusal
        assert result is not None
        if not self._is_computed:
            if isinstance(result, TurnedDown):
                return NotReserved(leader.vm, result.refused)
            if isinstance(result, Unreached):
                return NotReserved(leader.vm, Refused(code="no-replica", detail=result.cause))
        if self._broken:
            self._around.events.emit(SpanBrokenOff(self._asked.request_id, self._broken))
        return result

    def _make_leader(
        self, plan: AttemptPlan, peers: Peers, answer: Answer, claim: KeyClaim | None
    ) -> Attempt:
        # Reserved and committed in two messages: the members compute in between.
        plan = plan._replace(commits_now=False)
        return _Leader(self, plan, peers, answer, claim)

    def as_segment(self, reserve: Reserve) -> Reserve:
        """Return the leader's reservation."""
        return segment_reserve(reserve, self._segments[-1], self._starts_in_s, self._imports)

    async def compute(self) -> None:
        """Let the members compute their segments in prompt order; all are reserved by now.

        Raises
        ------
        SpanBroken
            When one can't.
        """
        segments = self._segments
        self._around.events.emit(
            SpanPlanned(
                self._asked.request_id,
                tuple(segment.vm for segment in segments),
                tuple(segment.tokens for segment in segments),
            )
        )
        self._is_computed = True
        for member in self._members:
            try:
                await member.compute()
            except SpanBroken as cause:
                self._asked.failed_vms.add(member.place.vm)
                self._broken = cause.detail
                raise
            if self._broken:
                raise SpanBroken(self._broken)
            self._nursery.start_soon(self._watch, member)

    async def release(self) -> None:
        """Free the members' memory, when the answer comes from elsewhere."""
        self._is_released = True
        for member in self._members:
            await member.give_up()

    async def unbroken(self, work: Callable[[], Awaitable[AttemptResult]]) -> AttemptResult:
        """Do a part of the leader's work for as long as all members hold their memory."""
        with trio.CancelScope() as scope:
            self._scopes.append(scope)
            try:
                return await work()
            except SpanBroken as cause:
                return Unreached(cause.detail)
            finally:
                self._scopes.remove(scope)
        return Unreached(self._broken)

    async def _watch(self, member: Member) -> None:
        try:
            await member.watch()
        except SpanBroken as cause:
            if self._is_released:
                return
            # The leader's engine reads the members' memory and doesn't notice that it is gone.
            # What it generates from now on doesn't rest on the whole prompt, so it is stopped.
            self._asked.failed_vms.add(member.place.vm)
            self._broken = self._broken or cause.detail
            for scope in self._scopes:
                scope.cancel()


class _Gate:
    """Stands where the leader claims its key, between reservation and commit."""

    def __init__(self, span: SpanTry, claim: KeyClaim | None, time_left_s: Callable[[], float]):
        self._span = span
        self._claim = claim
        self._time_left_s = time_left_s

    def release(self, site: Site) -> None:
        if self._claim is not None:
            self._claim.release(site)

    async def take(self, site: Site, limit_s: float, shown_tokens: int = 0) -> Placement | None:
        await self._span.compute()
        if self._claim is None:
            return None
        owner = await self._claim.take(site, min(limit_s, self._time_left_s()), shown_tokens)
        if owner is not None:
            await self._span.release()
        return owner


class _Leader(Attempt):
    """The attempt at the last engine: the only one of a span that generates anything."""

    def __init__(
        self,
        span: SpanTry,
        plan: AttemptPlan,
        peers: Peers,
        answer: Answer,
        claim: KeyClaim | None,
    ) -> None:
        gate = _Gate(span, claim, self._time_left_s)
        super().__init__(plan, peers, answer, gate)  # type: ignore[arg-type]
        self._span = span

    async def run(self) -> AttemptResult:
        return self._concluded(await self._span.unbroken(super().run))

    async def attach(self) -> AttemptResult:
        if self.is_adopted:
            return await super().attach()
        return self._concluded(await self._span.unbroken(super().attach))

    def _concluded(self, result: AttemptResult) -> AttemptResult:
        if not (isinstance(result, Unreached) and self.is_committed):
            return result
        end = End(
            *(self.site.request_id, self.site.attempt),
            outcome=Outcome.FAILED.value,
            code="backend-failed",
            detail=result.cause,
        )
        return Failed(end)

    def _runs_on(self) -> bool:
        """Return whether the run goes on without this reader: never without its members."""
        return self.is_adopted

    def _reserve_message(self) -> Reserve:
        return self._span.as_segment(super()._reserve_message())
