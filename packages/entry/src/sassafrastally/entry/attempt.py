"""One attempt: reserve on a sidecar, commit, relay the answer; ask again after a cut."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

import trio

from sassafrastally.core import CodedError
from sassafrastally.entry.relay import EVENT_STREAM, JSON, Answer, AnswerBroken, ChunkOrder, Head
from sassafrastally.entry.site import Site
from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.serving.refusals import REFUSALS
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import (
    MAX_CHUNK_BYTES,
    Attach,
    Cancel,
    Chunk,
    Commit,
    End,
    Query,
    QueryReply,
    Refused,
    Reserve,
    Reserved,
)
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from sassafrastally.core import Address
    from sassafrastally.entry.claiming import KeyClaim
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.serving.claims import Placement
    from sassafrastally.wire.link import Link, Peers, Stream

CANCEL_LIMIT_S = 1.0
"""Bound of the shield round the message that gives an attempt up."""

_STATUS_OK = 200


class Whole(NamedTuple):
    """The whole answer came; its end is proved."""

    end: End


class TurnedDown(NamedTuple):
    """Proved: the attempt hasn't run and never will."""

    refused: Refused


class Unreached(NamedTuple):
    """The sidecar wasn't reached, or contact was lost before anything was committed."""

    cause: str


class Failed(NamedTuple):
    """It ran and gave no whole answer, or its end is not known."""

    end: End
    is_adopted: bool = False
    """Whether it was the run of another request of the same key."""


class Lost(NamedTuple):
    """It was committed and contact was lost, or its answer broke the protocol."""

    cause: str
    is_broken: bool = False
    """Whether the answer broke the protocol."""


class Gone(NamedTuple):
    """The incarnation that had it is gone: nobody can tell what became of it."""

    vm: str


class Elsewhere(NamedTuple):
    """The idempotency key belongs to another placement; the reservation here is released."""

    owner: Placement


AttemptResult: TypeAlias = Whole | TurnedDown | Unreached | Failed | Lost | Gone | Elsewhere


class AttemptPlan(NamedTuple):
    """What one attempt is to do."""

    request: CallerRequest
    request_id: str
    number: int
    vm: str
    address: Address
    generation: int
    shown_tokens: int
    commits_now: bool
    reserve_timeout_s: float
    max_answer_bytes: int
    max_wait_s: float = 0.0
    """How long other work there may delay the first token; 0 is any time."""


class Attempt:
    """One attempt at a request on one sidecar.

    Parameters
    ----------
    plan
        What to do and where.
    peers
        The links of the process.
    answer
        Where the data goes.
    claim
        Claim of the idempotency key; ``None`` when there is none.
    """

    def __init__(
        self, plan: AttemptPlan, peers: Peers, answer: Answer, claim: KeyClaim | None
    ) -> None:
        self.plan = plan
        self.site = Site(plan.vm, plan.address, "", plan.request_id, plan.number)
        self.is_committed = False
        """Whether a commit may have reached the sidecar."""
        self.has_data = False
        """Whether any part of an answer came: it certainly ran."""
        self._peers = peers
        self._answer = answer
        self._claim = claim
        self._order = ChunkOrder(plan.request_id, plan.number)
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._is_settled = False
        self._is_adopted = False

    @property
    def is_adopted(self) -> bool:
        """Whether it belongs to another request of the same key, and is only read here."""
        return self._is_adopted

    async def run(self) -> AttemptResult:
        """Reserve, commit and relay."""
        try:
            link = await self._peers.link_to(self.plan.vm, self.plan.address)
            async with link.open_stream() as stream:
                return await self._settled(stream, self._reserve_and_run(stream))
        except (LinkRefused, TooManyStreams) as cause:
            return Unreached(cause.detail)
        except (LinkCut, StreamEnded) as cause:
            return self._after_cut(cause)

    async def query(self, *, void_if_uncommitted: bool) -> AttemptState | None:
        """Ask the incarnation what became of the attempt.

        Parameters
        ----------
        void_if_uncommitted
            Whether an attempt that wasn't committed is to be made void there, for good.

        Returns
        -------
        AttemptState | None
            ``None`` when it can't be reached.
        """
        site = self.site
        question = Query(site.request_id, site.attempt, site.incarnation, void_if_uncommitted)
        try:
            link = await self._peers.link_to(site.vm, site.address)
            reply = await link.call(question)
        except (LinkRefused, LinkCut, StreamEnded, TooManyStreams):
            return None
        is_own = (
            isinstance(reply, QueryReply)
            and reply.request_id == site.request_id
            and reply.attempt == site.attempt
        )
        return AttemptState(reply.state) if is_own and isinstance(reply, QueryReply) else None

    async def attach(self) -> AttemptResult:
        """Join the committed attempt again, from the chunk after the last one that came."""
        site = self.site
        message = Attach(
            site.request_id,
            site.attempt,
            site.incarnation,
            self._order.next_sequence,
            self._time_left_s(),
        )
        try:
            link: Link = await self._peers.link_to(site.vm, site.address)
            async with link.open_stream() as stream:
                await stream.send(message)
                result = await self._settled(stream, self._read_answer(stream))
        except (LinkRefused, LinkCut, StreamEnded, TooManyStreams) as cause:
            return Lost(cause.detail)
        if isinstance(result, TurnedDown) and result.refused.code:
            # Refused is the joining, not the attempt: it proves nothing about the run.
            return Lost(f"not joined: {result.refused.detail}")
        return result

    def adopt(self, site: Site) -> None:
        """Become the reader of an attempt that another request of the same key committed."""
        self.site = site
        self.is_committed = True
        self._is_adopted = True
        self._order = ChunkOrder(site.request_id, site.attempt)

    async def _settled(
        self, stream: Stream, work: Coroutine[Any, Any, AttemptResult]
    ) -> AttemptResult:
        """Run the conversation; on every way out that leaves the attempt open, cancel it.

        A time limit, a caller that went away or a claim that failed would otherwise leave a
        reservation or a run holding the engine's memory until it lapses by itself.
        """
        self._is_settled = False
        try:
            result = await work
            self._is_settled = not isinstance(result, Elsewhere | Unreached | Lost)
            return result
        finally:
            if not (self._is_settled or self._runs_on()):
                await self._give_up(stream)

    def _runs_on(self) -> bool:
        """Return whether the run goes on without this reader.

        A caller that lost its connection repeats the request with its key and is attached to the
        first run. A cancel sent for the lost connection, or by one of two readers of the same
        run, would turn that repeat into a failure.
        """
        has_claim = bool(self.plan.request.key) and self.is_committed
        return self._is_adopted or (has_claim and self._time_left_s() > 0)

    async def _give_up(self, stream: Stream) -> None:
        with trio.move_on_after(CANCEL_LIMIT_S, shield=True):
            try:
                await stream.send(Cancel(self.site.request_id, self.site.attempt, "given up"))
            except (LinkCut, StreamEnded):
                return

    async def _reserve_and_run(self, stream: Stream) -> AttemptResult:
        if self.plan.commits_now:
            self.is_committed = True
        await stream.send(self._reserve_message())
        if self.plan.commits_now:
            return await self._send_and_read(stream)
        answered: Reserved | Refused | None = None
        with trio.move_on_after(self.plan.reserve_timeout_s):
            answered = await self._receive_reserved(stream)
        if answered is None:
            return Unreached(f"no reservation within {self.plan.reserve_timeout_s:g} s")
        if isinstance(answered, Refused):
            return self._after_refusal(answered)
        self.site = self.site._replace(incarnation=answered.incarnation)
        if self._claim is not None:
            # Taken while the reservation stands: a claim that outlives it would be followed by a
            # commit that the sidecar refuses.
            limit_s = min(self._time_left_s(), answered.lapse_s)
            owner = await self._claim.take(self.site, limit_s, self.plan.shown_tokens)
            if owner is not None:
                return Elsewhere(owner)
        # From here on a cut leaves it open whether the commit arrived, so this comes before the
        # send: an exception of the send itself must already count as committed.
        self.is_committed = True
        site = self.site
        await stream.send(
            Commit(site.request_id, site.attempt, site.incarnation, self._time_left_s())
        )
        return await self._send_and_read(stream)

    async def _receive_reserved(self, stream: Stream) -> Reserved | Refused:
        while True:
            message = await stream.receive()
            if isinstance(message, Reserved | Refused) and self._is_own(message):
                return message

    async def _send_and_read(self, stream: Stream) -> AttemptResult:
        """Send the body and read the answer at once: a refusal may come while a long body waits
        for credit that the sidecar no longer gives."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, stream)
            try:
                result = await self._read_answer(stream)
            except (LinkCut, StreamEnded) as cause:
                result = self._after_cut(cause)
            nursery.cancel_scope.cancel()
        return result

    async def _send_body(self, stream: Stream) -> None:
        body, plan = self.plan.request.body, self.plan
        try:
            for sequence, start in enumerate(range(0, len(body), MAX_CHUNK_BYTES)):
                part = body[start : start + MAX_CHUNK_BYTES]
                await stream.send(Chunk(plan.request_id, plan.number, sequence, 0, part))
        except (LinkCut, StreamEnded):
            # The reader of the same stream meets the cut too and decides what it means.
            return

    async def _read_answer(self, stream: Stream) -> AttemptResult:
        while True:
            for message in await stream.receive_ready():
                try:
                    result = await self._take(message)
                except AnswerBroken as cause:
                    return Lost(cause.detail, is_broken=True)
                if result is not None:
                    return result

    async def _take(self, message: object) -> AttemptResult | None:
        match message:
            case Chunk() if self._order.accepts(message):
                await self._relay(message)
            case Reserved() if self._is_own(message):
                self.site = self.site._replace(incarnation=message.incarnation)
            case Refused() if self._is_own(message):
                return self._after_refusal(message)
            case End() if self._order.owns(message):
                return self._conclude(message)
        return None

    async def _relay(self, chunk: Chunk) -> None:
        self.has_data = True
        if self.plan.request.is_streamed:
            await self._answer.put(chunk.data, chunk.tokens)
            return
        self._held.append(chunk.data)
        self._held_bytes += len(chunk.data)
        if self._held_bytes > self.plan.max_answer_bytes:
            raise AnswerBroken(f"the answer is over {self.plan.max_answer_bytes} bytes")

    def _conclude(self, end: End) -> AttemptResult:
        if end.outcome == Outcome.NOT_RUN:
            detail = end.detail or "The backend server hasn't begun it."
            return TurnedDown(
                Refused(
                    end.request_id,
                    end.attempt,
                    end.code or "no-replica",
                    retry_after_s=end.retry_after_s,
                    detail=detail,
                )
            )
        if end.outcome != Outcome.COMPLETED or end.code:
            # A code beside "completed" says that the answer is no longer kept; its count of
            # chunks is 0, and by the count alone it would pass as a whole, empty answer.
            return Failed(end, self._is_adopted)
        self._order.check_count(end)
        is_streamed = self.plan.request.is_streamed
        status = end.status or _STATUS_OK
        content_type = end.content_type or (EVENT_STREAM if is_streamed else JSON)
        self._answer.finish(end, Head(status, content_type), b"".join(self._held))
        return Whole(end)

    def _after_refusal(self, refused: Refused) -> AttemptResult:
        kind = REFUSALS.get(refused.code)
        if kind is None or kind.outcome is Outcome.NOT_RUN:
            return TurnedDown(refused)
        # A sidecar that has the attempt already, by a repeated reservation or commit, refuses the
        # second one as unknown. Taken for "not run", a booking would be made once more elsewhere.
        self.is_committed = True
        return Lost(refused.detail)

    def _after_cut(self, cause: CodedError) -> AttemptResult:
        return Lost(cause.detail) if self.is_committed else Unreached(cause.detail)

    def _is_own(self, message: Reserved | Refused) -> bool:
        own = (self.site.request_id, self.site.attempt)
        return (message.request_id, message.attempt) == own

    def _time_left_s(self) -> float:
        return max(0.0, self.plan.request.deadline_s - trio.current_time())

    def _reserve_message(self) -> Reserve:
        plan, request = self.plan, self.plan.request
        return Reserve(
            request_id=plan.request_id,
            attempt=plan.number,
            model=request.model,
            service=request.service,
            customer=request.customer.name,
            prompt_tokens=request.prompt_tokens,
            max_output_tokens=request.max_output_tokens,
            prefix_hashes=request.prefix_hashes,
            time_limit_s=self._time_left_s(),
            idempotent=request.is_idempotent,
            priority=request.customer.priority,
            body_size_bytes=len(request.body),
            generation=plan.generation,
            commit_now=plan.commits_now,
            shown_tokens=plan.shown_tokens,
            operation=request.operation,
            max_wait_s=plan.max_wait_s,
        )
