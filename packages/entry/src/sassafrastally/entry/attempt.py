"""One attempt: reserve on a sidecar, commit, relay the answer and reattach after a lost link."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from sassafrastally.core import CodedError, is_final_status, time_limit
from sassafrastally.entry.attempt_plan import reserve_message
from sassafrastally.entry.attempt_result import (
    AttemptResult,
    Completed,
    ContactLost,
    Failed,
    KeyOwnedElsewhere,
    Rejected,
    TakenElsewhere,
    Unreachable,
)
from sassafrastally.entry.commit_turn import CommitTurn
from sassafrastally.entry.held_answers import AnswerBroken
from sassafrastally.entry.late_reservation import LateReservation
from sassafrastally.entry.relay import (
    EVENT_STREAM,
    JSON,
    Answer,
    AnswerUnread,
    ChunkOrder,
    Head,
)
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
    Reserved,
)
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from sassafrastally.entry.attempt_plan import AttemptPlan
    from sassafrastally.entry.claiming import KeyClaim
    from sassafrastally.wire.link import Link, Peers, Stream
    from sassafrastally.wire.messages import Reserve

MAX_BROKEN_ANSWERS = 2
"""How often an answer that violates the protocol is requested again before it counts as failed."""

CANCEL_LIMIT_S = 0.05
"""Time limit of the shielded send that cancels an attempt; it waits if the link has no room."""

_STATUS_OK = 200


class Attempt:
    """One attempt at a request on one sidecar.

    Parameters
    ----------
    plan
        Parameters of the attempt.
    peers
        The links of the process.
    answer
        Receives the data.
    claim
        Claim of the idempotency key; ``None`` without a key.
    """

    def __init__(
        self, plan: AttemptPlan, peers: Peers, answer: Answer, claim: KeyClaim | None
    ) -> None:
        self.plan = plan
        self.site = Site(plan.vm, plan.address, "", plan.request_id, plan.number)
        self.is_committed = False
        """Whether a commit may have reached the sidecar."""
        self.has_data = False
        """Whether any part of an answer arrived, which proves that the attempt ran."""
        self._peers = peers
        self._answer = answer
        self._claim = claim
        self.buffered = answer.held.make_buffer()
        """What is held of the answer until it is whole."""
        self._chunk_order = ChunkOrder(plan.request_id, plan.number)
        self._is_over = False
        """Whether the attempt is known to have ended or never to run."""
        self._is_cancel_sent = False
        self._is_adopted = False
        self._linked_incarnation = ""
        self._broken_answers = 0
        self._held_at: int | None = None
        """Pieces that the caller had when the answer was begun to be held back, if it is."""
        self._held_tokens = 0

    @property
    def is_adopted(self) -> bool:
        """Whether the run belongs to another request with the same key and is only read here."""
        return self._is_adopted

    @property
    def received_chunks(self) -> int:
        """Number of chunks of the answer received so far."""
        return self._chunk_order.next_sequence

    @property
    def runs_unread(self) -> bool:
        """Whether a run may go on that nobody reads, as its sidecar wasn't told to cancel it."""
        is_settled = self._is_over or self._is_cancel_sent
        return self.is_committed and not (is_settled or self._continues_without_reader())

    def assume_incarnation(self) -> None:
        """Take the attempt to be with the incarnation at the other end of the link.

        A short request commits with its reservation. If the link is lost before the reply, only
        the handshake has told which incarnation has it.
        """
        if not self.site.incarnation:
            self.site = self.site._replace(incarnation=self._linked_incarnation)

    def hold_back(self) -> None:
        """Deliver the answer only once it is whole, and leave the run as it is until then.

        So it can be read beside an attempt that may send its own tokens at any time.
        """
        if self._held_at is None:
            self._held_at = self._answer.pieces

    async def forward_held(self) -> None:
        """Forward the answer as it comes from now on, after what was held back."""
        self._held_at = None
        if self.plan.request.is_streamed and self.buffered:
            held, tokens = self.buffered.take(), self._held_tokens
            self._held_tokens = 0
            await self._answer.put(held, tokens)

    async def run(self) -> AttemptResult:
        """Reserve, commit and relay the answer."""
        try:
            link = await self._peers.link_to(self.plan.vm, self.plan.address)
            self._linked_incarnation = link.peer.incarnation
            async with link.open_stream() as stream:
                return await self._run_or_cancel(stream, self._reserve_and_run(stream))
        except (LinkRefused, TooManyStreams) as cause:
            return Unreachable(cause.detail)
        except (LinkCut, StreamEnded) as cause:
            return self._on_link_lost(cause)

    async def query(self, *, void_if_uncommitted: bool) -> AttemptState | None:
        """Ask the incarnation for the state of the attempt.

        Parameters
        ----------
        void_if_uncommitted
            Whether the sidecar permanently voids the attempt if it isn't committed.

        Returns
        -------
        AttemptState | None
            ``None`` if the sidecar can't be reached.
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
        """Reattach to the committed attempt, from the chunk after the last one received."""
        site = self.site
        message = Attach(
            site.request_id,
            site.attempt,
            site.incarnation,
            self._chunk_order.next_sequence,
            self._time_left_s(),
        )
        try:
            link: Link = await self._peers.link_to(site.vm, site.address)
            async with link.open_stream() as stream:
                await stream.send(message)
                result = await self._run_or_cancel(stream, self._read_until_lost(stream))
        except (LinkRefused, LinkCut, StreamEnded, TooManyStreams) as cause:
            return ContactLost(cause.detail)
        if isinstance(result, Rejected) and result.refused.code:
            # The attach was refused, not the attempt: this proves nothing about the run.
            self._is_over = False
            return ContactLost(f"not joined: {result.refused.detail}")
        return result

    def adopt(self, site: Site) -> None:
        """Switch to reading an attempt that another request with the same key committed."""
        self.site = site
        self.is_committed = True
        self._is_adopted = True
        self._chunk_order = ChunkOrder(site.request_id, site.attempt)

    async def _run_or_cancel(
        self, stream: Stream, work: Coroutine[Any, Any, AttemptResult]
    ) -> AttemptResult:
        """Run the exchange, and cancel the attempt on every exit that leaves it open.

        Otherwise, after a time limit, a disconnect of the caller or a failed claim, the
        reservation or run would hold engine memory until it expires.
        """
        self._is_over = self._is_cancel_sent = is_read_again = False
        try:
            result = await work
            self._is_over = not isinstance(result, KeyOwnedElsewhere | Unreachable | ContactLost)
            is_read_again = self._is_read_again(result)
            return result
        finally:
            if not self._is_over:
                if is_read_again or self._continues_without_reader():
                    stream.close(AnswerUnread.code, "not read to its end")
                else:
                    await self._send_cancel(stream)

    def _is_read_again(self, result: AttemptResult) -> bool:
        """Return whether the answer is requested again, for which its run must go on."""
        if not isinstance(result, ContactLost):
            return False
        self._broken_answers += result.is_protocol_error
        return not result.is_protocol_error or self._broken_answers <= MAX_BROKEN_ANSWERS

    def _continues_without_reader(self) -> bool:
        """Return whether the run continues without this reader.

        A caller that lost its connection repeats the request with its key and is attached to the
        first run. A cancel after the lost connection, or by one of two readers of the same run,
        would make the repeated request fail.
        """
        has_claim = bool(self.plan.request.key) and self.is_committed
        is_read_later = self._held_at is not None and not self._is_overtaken
        return is_read_later or self._is_adopted or (has_claim and self._time_left_s() > 0)

    @property
    def _is_overtaken(self) -> bool:
        """Whether another attempt has sent something since this one's answer is held back."""
        return self._held_at is not None and self._held_at != self._answer.pieces

    def _ends_unread(self) -> bool:
        """Return whether the sidecar ends the run by itself if nobody reads it any more."""
        return self.plan.request.is_idempotent

    async def _send_cancel(self, stream: Stream) -> None:
        if self.is_committed and not self._ends_unread():
            # What is sent on a silent link may be lost with it. `UnreadRuns` waits for a reply.
            return
        with trio.move_on_after(CANCEL_LIMIT_S, shield=True):
            try:
                await stream.send(Cancel(self.site.request_id, self.site.attempt, "given up"))
                self._is_cancel_sent = True
            except (LinkCut, StreamEnded):
                return

    async def _reserve_and_run(self, stream: Stream) -> AttemptResult:
        # The sidecar wouldn't run what is sent while the limit acts, but the caller would be told
        # that it may have run.
        await self.plan.limit.require_time()
        if self.plan.commits_now:
            self.is_committed = True
        await stream.send(self._reserve_message())
        if self.plan.commits_now:
            return await self._send_and_read(stream)
        answered = await self._wait_reserved(stream)
        if answered is None:
            return Unreachable(f"no reservation within {self.plan.reserve_timeout_s:g} s")
        if isinstance(answered, TakenElsewhere):
            return answered
        if isinstance(answered, Refused):
            return self._after_refusal(answered)
        self.site = self.site._replace(incarnation=answered.incarnation)
        await self.plan.limit.require_time()
        if self._claim is not None:
            # The claim must complete before the reservation expires; otherwise the sidecar refuses
            # the commit that follows.
            limit_s = min(self._time_left_s(), answered.lapse_s)
            owner = await self._claim.acquire(self.site, limit_s, self.plan.shown_tokens)
            if owner is not None:
                return KeyOwnedElsewhere(owner)
            await self.plan.limit.require_time()
        # If the link is lost from here on, it is unknown whether the commit arrived. The flag is
        # set before the send so that an exception from the send also counts as committed.
        self.is_committed = True
        site = self.site
        await stream.send(
            Commit(site.request_id, site.attempt, site.incarnation, self._time_left_s())
        )
        return await self._send_and_read(stream)

    async def _wait_reserved(self, stream: Stream) -> Reserved | Refused | TakenElsewhere | None:
        """Return the reply to the reservation, having the turn to commit if it is granted."""
        plan, turn = self.plan, self.plan.turn or CommitTurn()
        answered: Reserved | Refused | None = None
        async with time_limit(trio.current_time() + plan.reserve_timeout_s):
            answered = await self._receive_reserved(stream)
        if answered is None and plan.ask_others is not None:
            late = LateReservation[TakenElsewhere](self, turn, self._is_retried_after)
            return await late.wait(lambda: self._receive_late(stream), plan.ask_others)
        if isinstance(answered, Reserved):
            await turn.take(self)
        return answered

    def _is_retried_after(self, other: TakenElsewhere) -> bool:
        """Return whether the retry after another sidecar's failure may be this attempt.

        The tokens that the caller had were sent with the reservation.
        """
        return not other.is_complete and self._answer.shown_tokens == self.plan.shown_tokens

    async def _receive_late(self, stream: Stream) -> Reserved | Refused | None:
        try:
            return await self._receive_reserved(stream)
        except (LinkCut, StreamEnded):
            return None

    async def _receive_reserved(self, stream: Stream) -> Reserved | Refused:
        while True:
            message = await stream.receive()
            if isinstance(message, Reserved | Refused) and self._is_own(message):
                return message

    async def _send_and_read(self, stream: Stream) -> AttemptResult:
        """Send the body and read the answer concurrently.

        A refusal may arrive while a long body is blocked on flow-control credit that the sidecar
        no longer grants.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, stream)
            result = await self._read_until_lost(stream)
            nursery.cancel_scope.cancel()
        return result

    async def _send_body(self, stream: Stream) -> None:
        body, plan = self.plan.request.body, self.plan
        try:
            for sequence, start in enumerate(range(0, len(body), MAX_CHUNK_BYTES)):
                part = body[start : start + MAX_CHUNK_BYTES]
                await stream.send(Chunk(plan.request_id, plan.number, sequence, 0, part))
        except (LinkCut, StreamEnded):
            # The reader of the same stream gets the same error and handles it.
            return

    async def _read_until_lost(self, stream: Stream) -> AttemptResult:
        try:
            return await self._read_answer(stream)
        except (LinkCut, StreamEnded) as cause:
            return self._on_link_lost(cause)

    async def _read_answer(self, stream: Stream) -> AttemptResult:
        while True:
            for message in await stream.receive_ready():
                try:
                    result = await self._handle_message(message)
                except AnswerBroken as cause:
                    return ContactLost(cause.detail, is_protocol_error=True)
                if result is not None:
                    return result

    async def _handle_message(self, message: object) -> AttemptResult | None:
        if self._is_overtaken:
            return ContactLost("another attempt has sent tokens")
        match message:
            case Chunk() if self._chunk_order.accepts(message):
                await self._relay(message)
            case Reserved() if self._is_own(message):
                self.site = self.site._replace(incarnation=message.incarnation)
            case Refused() if self._is_own(message):
                return self._after_refusal(message)
            case End() if self._chunk_order.owns(message):
                return self._conclude(message)
        return None

    async def _relay(self, chunk: Chunk) -> None:
        self.has_data = True
        self._answer.on_part()
        if self.plan.request.is_streamed and self._held_at is None:
            self.buffered.check()
            await self._answer.put(chunk.data, chunk.tokens)
            return
        self._held_tokens += chunk.tokens
        self.buffered.add(chunk.data, self.plan.max_answer_bytes)

    def _conclude(self, end: End) -> AttemptResult:
        if end.outcome == Outcome.NOT_RUN:
            detail = end.detail or "The backend server hasn't begun it."
            return Rejected(
                Refused(
                    end.request_id,
                    end.attempt,
                    end.code or "no-replica",
                    retry_after_s=end.retry_after_s,
                    detail=detail,
                )
            )
        if end.outcome != Outcome.COMPLETED or end.code:
            # "completed" with a code means that the answer is no longer kept. Its chunk count is
            # 0, so by the count alone it would pass as a complete, empty answer.
            return Failed(end, self._is_adopted)
        self._chunk_order.check_count(end)
        is_streamed = self.plan.request.is_streamed
        status = end.status or _STATUS_OK
        if not is_final_status(status):
            raise AnswerBroken(f"{status} is not the status of an answer")
        content_type = end.content_type or (EVENT_STREAM if is_streamed else JSON)
        self._answer.finish(end, Head(status, content_type), self.buffered.take())
        return Completed(end)

    def _after_refusal(self, refused: Refused) -> AttemptResult:
        kind = REFUSALS.get(refused.code)
        if kind is None or kind.outcome is Outcome.NOT_RUN:
            return Rejected(refused)
        # A sidecar that already has the attempt refuses a repeated reservation or commit with
        # outcome unknown. Treating that as "not run" would repeat a booking on another sidecar.
        self.is_committed = True
        return ContactLost(refused.detail)

    def _on_link_lost(self, cause: CodedError) -> AttemptResult:
        return ContactLost(cause.detail) if self.is_committed else Unreachable(cause.detail)

    def _is_own(self, message: Reserved | Refused) -> bool:
        own = (self.site.request_id, self.site.attempt)
        return (message.request_id, message.attempt) == own

    def _time_left_s(self) -> float:
        return max(0.0, self.plan.request.deadline_s - trio.current_time())

    def _reserve_message(self) -> Reserve:
        return reserve_message(self.plan, self._time_left_s())
