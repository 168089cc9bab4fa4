"""Request-path streams from entries, each handled sequentially in a task of its own."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import time_limit
from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.sidecar.answer import AnswerNotKept
from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.sidecar.attempts import CancelReason
from sassafrastally.sidecar.events import (
    REFUSALS,
    RESERVATIONS,
    AttemptCommitted,
    AttemptRefused,
    AttemptReserved,
    ReservationVoided,
)
from sassafrastally.sidecar.runner import make_end
from sassafrastally.wire.link import LinkCut, StreamEnded
from sassafrastally.wire.messages import (
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

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.sidecar.admission import Admission, Reservation
    from sassafrastally.sidecar.answer import Answer, AnswerStore
    from sassafrastally.sidecar.attempts import Attempt, AttemptTable
    from sassafrastally.sidecar.runner import Runner
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.link import Peers, Stream
    from sassafrastally.wire.messages import Message

SEGMENT_GRACE_FACTOR = 2
"""Multiple of the usual grace period for which an unread segment is kept.

Its leader may have lost its reader too and needs the segment until its own grace period ends."""

_OUTCOMES = {
    AttemptState.VOIDED: Outcome.NOT_RUN,
    AttemptState.COMPLETED: Outcome.COMPLETED,
    AttemptState.FAILED: Outcome.FAILED,
}


class AttemptStreams:
    """Handles the request-path streams that entries open.

    Parameters
    ----------
    kernel
        The process.
    settings
        Reattach grace period and engine address.
    admission
        Admission control.
    table
        All attempts.
    answers
        Answers of the attempts.
    runner
        Runs committed attempts.
    nursery
        Nursery in which runs continue after their stream is closed.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: SidecarSettings,
        admission: Admission,
        table: AttemptTable,
        answers: AnswerStore,
        runner: Runner,
        nursery: trio.Nursery,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._admission = admission
        self._table = table
        self._answers = answers
        self._runner = runner
        self._nursery = nursery

    def register(self, peers: Peers) -> None:
        """Register handlers for streams that begin with a request-path message."""
        peers.on_stream(Reserve, self.on_reserve)
        peers.on_stream(Commit, self.on_commit)
        peers.on_stream(Cancel, self.on_cancel)
        peers.on_stream(Query, self.on_query)
        peers.on_stream(Attach, self.on_attach)

    async def on_reserve(self, stream: Stream, message: Message) -> None:
        """Handle an attempt from its reservation to its end mark."""
        assert isinstance(message, Reserve)
        try:
            reservation = self._admission.reserve(message)
        except Refusal as refusal:
            await self._refuse(stream, AttemptKey(message.request_id, message.attempt), refusal)
            return
        attempt = reservation.attempt
        try:
            await stream.send(self._reserved(reservation))
            if await self._wait_commit(stream, attempt) and await self._receive_body(
                stream, attempt
            ):
                self._start_run(reservation)
        finally:
            # If this ends before the whole body has arrived (for example because the link was
            # cut), no server has seen the attempt. It is voided so that it can't run later.
            if not attempt.is_handed_over:
                self._void(attempt, "the stream ended before the whole body came")
        if attempt.is_handed_over:
            await self._relay(stream, attempt.answer, attempt, 0)

    async def on_commit(self, stream: Stream, message: Message) -> None:
        """Refuse a commit that arrives outside the stream of its reservation."""
        assert isinstance(message, Commit)
        key = AttemptKey(message.request_id, message.attempt)
        if message.incarnation != self._kernel.incarnation:
            refusal = Refusal("no-replica", Figures(detail="another incarnation"))
        else:
            refusal = self._admission.refuse_commit(key)
        await self._refuse(stream, key, refusal)

    async def on_cancel(self, stream: Stream, message: Message) -> None:
        """Cancel an attempt of another stream and report how it ended."""
        assert isinstance(message, Cancel)
        key = AttemptKey(message.request_id, message.attempt)
        now_s = self._kernel.clock.now_s()
        attempt = self._table.find(key, now_s)
        if attempt is None:
            await stream.send(self._settled_end(key))
            return
        self._cancel(attempt, message.reason)
        await attempt.settled.wait()
        await stream.send(self._settled_end(key))

    async def on_query(self, stream: Stream, message: Message) -> None:
        """Report the state of an attempt, voiding an uncommitted one on request."""
        assert isinstance(message, Query)
        key = AttemptKey(message.request_id, message.attempt)
        if message.incarnation != self._kernel.incarnation:
            state = AttemptState.OTHER_INCARNATION
        else:
            state = self._query(key, message.void_if_uncommitted)
        await stream.send(QueryReply(*key, self._kernel.incarnation, state.value))

    async def on_attach(self, stream: Stream, message: Message) -> None:
        """Send the chunks of a committed attempt from a given number on and follow it live."""
        assert isinstance(message, Attach)
        key = AttemptKey(message.request_id, message.attempt)
        now_s = self._kernel.clock.now_s()
        if message.incarnation != self._kernel.incarnation:
            refusal = Refusal("outcome-unknown", Figures(detail="another incarnation"))
            await self._refuse(stream, key, refusal)
            return
        attempt = self._table.find(key, now_s)
        if attempt is not None and attempt.state is AttemptState.RESERVED:
            refusal = Refusal("no-replica", Figures(detail="reserved, not committed"))
            await self._refuse(stream, key, refusal)
            return
        answer = attempt.answer if attempt is not None else self._answers.find(key)
        if answer is not None:
            await self._relay(stream, answer, attempt, message.from_sequence)
        elif (state := self._table.state(key, now_s)) in _OUTCOMES:
            await stream.send(self._settled_end(key))
        else:
            refusal = Refusal("outcome-unknown", Figures(detail=f"{state.value} here"))
            await self._refuse(stream, key, refusal)

    def _query(self, key: AttemptKey, is_voiding: bool) -> AttemptState:
        now_s = self._kernel.clock.now_s()
        attempt = self._table.find(key, now_s)
        if is_voiding and attempt is not None and attempt.state is AttemptState.RESERVED:
            self._void(attempt, "voided by a query")
        state = self._table.state(key, now_s)
        if is_voiding and state is AttemptState.ABSENT:
            self._table.void_absent(key, now_s)
        return state

    def _reserved(self, reservation: Reservation) -> Reserved:
        attempt, admitted = reservation.attempt, reservation.admitted
        prediction = admitted.prediction
        RESERVATIONS.add(1)
        self._kernel.events.emit(AttemptReserved(*attempt.key, prediction.total_s))
        return Reserved(
            *attempt.key,
            self._kernel.incarnation,
            prediction.first_token_s,
            prediction.total_s,
            attempt.lapses_at_s - attempt.arrived_s,
            admitted.cached_tokens,
            str(self._settings.engine_address or "") if attempt.segment else "",
        )

    def _start_run(self, reservation: Reservation) -> None:
        attempt = reservation.attempt
        attempt.is_handed_over = True
        self._kernel.events.emit(AttemptCommitted(*attempt.key))
        self._nursery.start_soon(self._runner.run, attempt, reservation.backend)

    async def _wait_commit(self, stream: Stream, attempt: Attempt) -> bool:
        if attempt.reserve.commit_now:
            attempt.commit(self._kernel.clock.now_s(), attempt.reserve.time_limit_s)
            return True
        message: Message | None = None
        with trio.move_on_at(attempt.lapses_at_s):
            message = await stream.receive()
        if message is None:
            return await self._refuse_lapsed(stream, attempt)
        return await self._handle_commit(stream, attempt, message)

    async def _handle_commit(self, stream: Stream, attempt: Attempt, message: Message) -> bool:
        now_s = self._kernel.clock.now_s()
        if isinstance(message, Cancel):
            self._cancel(attempt, message.reason)
            await stream.send(self._settled_end(attempt.key))
            return False
        # The lapse is checked here as well as by the timer: after a freeze of this process, the
        # commit may be read before the timer fires, long after its sender has given up.
        if self._table.find(attempt.key, now_s) is None:
            return await self._refuse_lapsed(stream, attempt)
        if not isinstance(message, Commit) or message[:2] != attempt.key:
            return await self._refuse_malformed(stream, attempt, "its commit was expected")
        if message.incarnation != self._kernel.incarnation:
            self._void(attempt, "committed to another incarnation")
            refusal = Refusal("no-replica", Figures(detail="another incarnation"))
            await self._refuse(stream, attempt.key, refusal)
            return False
        attempt.commit(now_s, message.time_limit_s)
        return True

    async def _receive_body(self, stream: Stream, attempt: Attempt) -> bool:
        remaining_bytes = attempt.reserve.body_size_bytes
        while remaining_bytes > 0:
            message: Message | None = None
            with trio.move_on_at(attempt.deadline_s):
                message = await stream.receive()
            if message is None:
                return await self._end_time_limit_passed(stream, attempt)
            if isinstance(message, Cancel) or attempt.settled.is_set():
                self._void(attempt, "cancelled before the whole body came")
                await stream.send(self._settled_end(attempt.key))
                return False
            if not isinstance(message, Chunk) or not _is_next(attempt, message):
                return await self._refuse_malformed(stream, attempt, "its next chunk was expected")
            attempt.body.append(message.data)
            remaining_bytes -= len(message.data)
        if remaining_bytes < 0:
            return await self._refuse_malformed(
                stream, attempt, "the body is longer than announced"
            )
        return not attempt.settled.is_set()

    async def _relay(
        self, stream: Stream, answer: Answer, attempt: Attempt | None, sequence: int
    ) -> None:
        """Send an answer from a chunk up to its end mark while watching for a cancellation.

        The answer is delivered once the reader, after the end mark was sent, closes the stream
        without a code. A frame that is queued may still be lost with the link, or be unread when
        the reader closes the stream to read the answer again later.
        """
        answer.readers += 1
        sent = trio.Event()
        is_delivered = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_answer, stream, answer, sequence, sent)
                is_accepted = await self._follow_reader(stream, attempt)
                nursery.cancel_scope.cancel()
            is_delivered = is_accepted and sent.is_set()
            answer.is_delivered = answer.is_delivered or is_delivered
        finally:
            answer.remove_reader()
            if attempt is not None and not answer.readers and _is_cancelled_when_unread(attempt):
                self._cancel_or_drop_unread(attempt, is_delivered)

    async def _send_answer(
        self, stream: Stream, answer: Answer, sequence: int, sent: trio.Event
    ) -> None:
        try:
            while True:
                chunk = answer.chunk(sequence)
                if chunk is not None:
                    await stream.send(chunk)
                    answer.mark_sent(chunk)
                    sequence += 1
                elif answer.end is not None:
                    await stream.send(answer.end)
                    sent.set()
                    return
                else:
                    await answer.wait_change()
        except AnswerNotKept as cause:
            outcome = answer.end.outcome if answer.end else Outcome.UNKNOWN.value
            end = End(*answer.key, outcome=outcome, code="answer-not-kept", detail=cause.detail)
            with suppress(LinkCut, StreamEnded):
                await stream.send(end)
                sent.set()
        except (LinkCut, StreamEnded):
            return  # The task that follows the reader handles it.

    async def _follow_reader(self, stream: Stream, attempt: Attempt | None) -> bool:
        """Cancel the attempt on request; return whether the reader closes the stream in order.

        A further commit on this stream is ignored: a reply to it between the chunks could be
        mistaken for a reply to the attempt.
        """
        try:
            while True:
                message = await stream.receive()
                if attempt is not None and isinstance(message, Cancel):
                    self._cancel(attempt, message.reason)
        except StreamEnded as ended:
            return not ended.peer_code
        except LinkCut:
            return False

    def _cancel_or_drop_unread(self, attempt: Attempt, delivered: bool) -> None:
        """Drop a delivered answer, or cancel a run without readers after the grace period."""
        if delivered:
            self._answers.drop(attempt.key)
        elif not attempt.settled.is_set():
            self._nursery.start_soon(self._give_up_unread, attempt)

    async def _give_up_unread(self, attempt: Attempt) -> None:
        async with time_limit(trio.current_time() + self._unread_grace_s(attempt)):
            await attempt.settled.wait()
        if not attempt.answer.readers and not attempt.settled.is_set():
            attempt.give_up(CancelReason("", "nobody reads the answer any more"))

    def _unread_grace_s(self, attempt: Attempt) -> float:
        """Return how long a run may go unread; a segment must outlast its leader's run."""
        is_member = attempt.segment is not None and not attempt.segment.is_leader
        return self._settings.reattach_grace_s * (SEGMENT_GRACE_FACTOR if is_member else 1)

    def _cancel(self, attempt: Attempt, reason: str) -> None:
        if attempt.is_handed_over:
            attempt.give_up(CancelReason("", f"cancelled: {reason}"))
        else:
            self._void(attempt, f"cancelled: {reason}")

    def _void(self, attempt: Attempt, reason: str) -> None:
        if attempt.settled.is_set():
            self._answers.drop(attempt.key)
            return
        self._table.void(attempt, self._kernel.clock.now_s())
        # A reader that attached while the body was being received waits for an end mark.
        attempt.answer.finish(make_end(attempt, Outcome.NOT_RUN, "", reason))
        self._answers.drop(attempt.key)
        self._kernel.events.emit(ReservationVoided(*attempt.key, reason))

    async def _refuse_lapsed(self, stream: Stream, attempt: Attempt) -> bool:
        self._void(attempt, "lapsed")
        refusal = Refusal("no-replica", Figures(detail="reservation lapsed"))
        await self._refuse(stream, attempt.key, refusal)
        return False

    async def _end_time_limit_passed(self, stream: Stream, attempt: Attempt) -> bool:
        self._void(attempt, "the time limit passed before the whole body came")
        detail = "the whole body didn't come within it"
        await stream.send(make_end(attempt, Outcome.NOT_RUN, "time-limit-passed", detail))
        return False

    async def _refuse_malformed(self, stream: Stream, attempt: Attempt, detail: str) -> bool:
        self._void(attempt, detail)
        refusal = Refusal("bad-request", Figures(detail=detail))
        await self._refuse(stream, attempt.key, refusal)
        return False

    async def _refuse(self, stream: Stream, key: AttemptKey, refusal: Refusal) -> None:
        code, figures = refusal.kind.code, refusal.figures
        REFUSALS.add(1, {"code": code})
        self._kernel.events.emit(
            AttemptRefused(*key, code, figures.limit, figures.measured, figures.detail)
        )
        await stream.send(Refused(*key, code, **figures._asdict()))

    def _settled_end(self, key: AttemptKey) -> End:
        """Return the end mark of an attempt that is not live."""
        answer = self._answers.find(key)
        if answer is not None and answer.end is not None:
            return answer.end
        state = self._table.state(key, self._kernel.clock.now_s())
        if state is AttemptState.ABSENT:
            self._table.void_absent(key, self._kernel.clock.now_s())
            state = AttemptState.VOIDED
        outcome = _OUTCOMES.get(state, Outcome.UNKNOWN)
        code = "answer-not-kept" if outcome is Outcome.COMPLETED else ""
        return End(*key, outcome=outcome.value, code=code)


def _is_cancelled_when_unread(attempt: Attempt) -> bool:
    """Return whether a run is cancelled when nobody reads its answer any more.

    Idempotent runs are, because they can be repeated. Every run of a span is too, even a leader
    that may not be repeated: the entry that disconnected kept the other segments alive, and
    without them the leader would read memory that other work overwrites.
    """
    return attempt.reserve.idempotent or attempt.segment is not None


def _is_next(attempt: Attempt, chunk: Chunk) -> bool:
    """Return whether a chunk is the next one of the attempt's body, and brings it forward."""
    return chunk[:3] == (*attempt.key, len(attempt.body)) and bool(chunk.data)
