"""Runs on the model engine: from the queue over the stream to freed memory."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

import trio

from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.serving.scheduling import Prediction, Work
from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.sidecar.backend import Admitted, RunResult
from sassafrastally.sidecar.engine import (
    EngineFailed,
    EngineRefused,
    EngineRequest,
    EngineUnavailable,
)
from sassafrastally.sidecar.events import AttemptStarted, CancelUnconfirmed
from sassafrastally.sidecar.segments import MIN_RETRY_S, Promises, Segments, own_tokens

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.sidecar.answer import AnswerStore
    from sassafrastally.sidecar.attempts import Attempt, AttemptTable
    from sassafrastally.sidecar.engine import Engine, EngineRun, EngineUsage
    from sassafrastally.sidecar.engine_watch import EngineWatch
    from sassafrastally.sidecar.ledger import Ledger
    from sassafrastally.sidecar.queue import WorkQueue
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.messages import Reserve

DECODE_SAMPLE_TOKENS = 32
"""So many tokens make one sample of the decode rate."""

EVENT_STREAM = "text/event-stream"
JSON = "application/json"


def stream_id_of(incarnation: str, key: AttemptKey) -> str:
    """Return the name of an attempt's stream on the engine, unique over the sidecar's lives."""
    return f"{incarnation}-{key.request_id}-{key.attempt}"


class EngineBackend:
    """The model engine as a `Backend`.

    Parameters
    ----------
    kernel
        The process.
    settings
        Bounds and limits.
    engine
        Client of the engine.
    watch
        What is known of the engine.
    ledger
        Its memory.
    queue
        Its work.
    table
        All attempts.
    answers
        Where answers grow.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: SidecarSettings,
        engine: Engine,
        watch: EngineWatch,
        ledger: Ledger,
        queue: WorkQueue,
        table: AttemptTable,
        answers: AnswerStore,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._engine = engine
        self._watch = watch
        self._ledger = ledger
        self._queue = queue
        self._table = table
        self._answers = answers
        self.segments = Segments(kernel, settings, engine, ledger)
        """Imports and exports of spans."""
        self.promises = Promises(table, ledger)
        """Memory that is kept for segments of spans."""

    def admit(self, reserve: Reserve, now_s: float) -> Admitted:
        """Return the prediction for an attempt; raises `Refusal`."""
        if self._watch.info is None:
            raise Refusal("no-replica", Figures(detail="the engine doesn't answer"))
        if not self._watch.serves(reserve.model):
            raise Refusal("no-replica", Figures(detail=f"{reserve.model} is not served here"))
        tokens = own_tokens(reserve) + reserve.max_output_tokens
        most = self._ledger.total_blocks * self._ledger.block_tokens
        if tokens > most:
            raise Refusal("no-span", Figures(most, tokens, detail="more than this engine holds"))
        if reserve.segment_tokens:
            self.promises.check_room(self.segments.blocks(reserve), now_s)
        work = self._work(reserve, now_s)
        prediction = self._predict(work, reserve)
        if math.isinf(prediction.total_s):
            raise self._no_room(work)
        if prediction.total_s > reserve.time_limit_s:
            raise self._unreachable(work, prediction, reserve.time_limit_s)
        alone_s = self._queue.scheduler.cost.prefill_s(work.prompt_tokens - work.cached_tokens)
        wait_s = prediction.first_token_s - alone_s
        if 0 < reserve.max_wait_s < wait_s:
            raise Refusal("busy", Figures(reserve.max_wait_s, wait_s, wait_s))
        if not reserve.segment_tokens:
            self.promises.check_beside(work, prediction.total_s, now_s)
        return Admitted(prediction, work.cached_tokens)

    def register(self, attempt: Attempt, admitted: Admitted) -> None:
        """Let the attempt count for the predictions of those that come after it."""
        work = self._work(attempt.reserve, attempt.arrived_s)
        attempt.work = work._replace(cached_tokens=admitted.cached_tokens)
        attempt.stream_id = stream_id_of(self._kernel.incarnation, attempt.key)
        attempt.segment = self.segments.describe(
            attempt.reserve,
            attempt.arrived_s,
            self._segment_s(attempt.reserve),
            admitted.prediction.first_token_s,
        )

    def expected_work(self) -> list[Work]:
        """Return the work that is reserved or waits.

        Segments that are only promised are left out: they start when others are done, and until
        then their memory is refused to other work by itself.
        """
        return [
            a.work
            for a in self._table.live
            if a.work is not None and not a.has_started and (a.segment is None or self._is_due(a))
        ]

    def _is_due(self, attempt: Attempt) -> bool:
        """Return whether a segment waits for its turn: the ones before it are done."""
        return attempt.is_handed_over and not self._ledger.holds(attempt.stream_id)

    async def run(self, attempt: Attempt) -> RunResult:
        """Wait for the attempt's turn and run it to its end mark."""
        assert attempt.work is not None
        attempt.work = attempt.work._replace(deadline_s=attempt.deadline_s)
        body = attempt.take_body()
        is_streamed = _asks_for_stream(body)
        stream_id = attempt.stream_id
        await self._queue.turn(attempt.work, stream_id)
        if attempt.segment is not None:
            await self.segments.fetch(attempt)
        now_s = self._kernel.clock.now_s()
        attempt.has_started = True
        self._kernel.events.emit(AttemptStarted(*attempt.key, now_s - attempt.arrived_s))
        request = EngineRequest(
            stream_id=stream_id,
            model=attempt.reserve.model,
            operation=attempt.reserve.operation,
            body=body,
            prompt_tokens=attempt.reserve.prompt_tokens,
            max_output_tokens=attempt.reserve.max_output_tokens,
            priority=self._queue.scheduler.engine_priority(attempt.work, now_s),
            resume_from_tokens=attempt.reserve.shown_tokens,
            import_handles=attempt.reserve.import_handles,
        )
        try:
            async with self._engine.generate(request) as run:
                if attempt.segment is not None and not attempt.segment.is_leader:
                    await self._hold_segment(attempt, run)
                usage = await self._follow(attempt, run, is_streamed)
        except (EngineUnavailable, EngineRefused):
            attempt.has_started = False
            raise
        self._ledger.free(stream_id)
        content_type = EVENT_STREAM if is_streamed else JSON
        return RunResult(200, content_type, *usage)

    async def _hold_segment(self, attempt: Attempt, run: EngineRun) -> None:
        """Compute and export a segment, announce it and keep it until the attempt is given up.

        Inside the run's context: leaving it frees the blocks of a run that isn't exported yet.
        """
        async for _ in run:
            pass
        if run.usage is None:
            raise EngineFailed("the engine ended the segment without its end mark")
        self._table.release_body(attempt)
        done = await self.segments.export(attempt)
        self._queue.leave(attempt.key)
        await self.segments.free_imports(attempt)
        self._answers.append(attempt.answer, done, 0)
        await trio.sleep_forever()

    async def release(self, attempt: Attempt) -> None:
        """Free the blocks; a run that was cut is cancelled on the engine first."""
        stream_id = attempt.stream_id
        self._queue.leave(attempt.key)
        if attempt.segment is not None:
            await self.segments.free_all(attempt)
        if not self._ledger.holds(stream_id):
            return
        if not attempt.has_started:
            self._ledger.free(stream_id)
        else:
            await self._cancel(stream_id)
        self._queue.notice_change()

    async def _cancel(self, stream_id: str) -> None:
        self._ledger.disown(stream_id, self._kernel.clock.now_s())
        with trio.move_on_after(self._settings.cancel_limit_s) as scope:
            try:
                await self._engine.cancel(stream_id)
            except (EngineUnavailable, EngineFailed, EngineRefused):
                self._kernel.events.emit(CancelUnconfirmed(stream_id))
                return
        if scope.cancelled_caught:
            self._kernel.events.emit(CancelUnconfirmed(stream_id))
            return
        self._ledger.free(stream_id)

    async def _follow(self, attempt: Attempt, run: EngineRun, is_streamed: bool) -> EngineUsage:
        started_s = mark_s = self._kernel.clock.now_s()
        first_token_s: float | None = None
        busy = self._queue.running_count
        cost = self._queue.scheduler.cost
        tokens = 0
        async for chunk in run:
            now_s = self._kernel.clock.now_s()
            if first_token_s is None:
                first_token_s = mark_s = now_s
                self._table.release_body(attempt)
            else:
                tokens += chunk.tokens
            self._queue.note_tokens(attempt.key, chunk.tokens)
            data = b"data: " + chunk.data + b"\n\n" if is_streamed else chunk.data
            self._answers.append(attempt.answer, data, chunk.tokens)
            if is_streamed and tokens >= DECODE_SAMPLE_TOKENS:
                cost.observe_decode(tokens, now_s - mark_s, self._queue.running_count)
                tokens, mark_s = 0, now_s
            await self._answers.wait_room(attempt.answer)
        if run.usage is None:
            raise EngineFailed("the engine ended the answer without its end mark")
        if attempt.segment is not None:
            # The engine counts the whole prompt, most of which others computed.
            return run.usage
        if is_streamed and first_token_s is not None:
            uncached = run.usage.prompt_tokens - run.usage.cached_tokens
            cost.observe_first_token(uncached, first_token_s - started_s, busy)
        self._watch.correct(attempt, run.usage)
        return run.usage

    def _work(self, reserve: Reserve, now_s: float) -> Work:
        return Work(
            request_id=reserve.request_id,
            attempt=reserve.attempt,
            customer=reserve.customer,
            prompt_tokens=self._held_tokens(reserve),
            cached_tokens=0 if reserve.segment_tokens else self._watch.cached_tokens(reserve),
            output_tokens=reserve.max_output_tokens,
            priority=reserve.priority,
            arrived_s=now_s,
            deadline_s=now_s + reserve.time_limit_s,
        )

    def _held_tokens(self, reserve: Reserve) -> int:
        """Return the tokens of a prompt whose blocks stand on this engine, imports included."""
        if not reserve.segment_tokens:
            return reserve.prompt_tokens
        blocks = self.segments.blocks(reserve)
        return blocks * self._ledger.block_tokens - reserve.max_output_tokens

    def _predict(self, work: Work, reserve: Reserve) -> Prediction:
        """Return when work would be served; a segment not before those ahead of it are done."""
        state = self._queue.state()
        prediction = self._queue.scheduler.predict(work, self.expected_work(), state)
        if not reserve.segment_tokens:
            return prediction
        own_s = self._segment_s(reserve)
        wait_s = max(
            0.0,
            prediction.first_token_s
            - self._queue.scheduler.cost.prefill_s(max(1, work.prompt_tokens)),
        )
        done_s = max(wait_s, reserve.starts_in_s) + own_s
        answer_s = prediction.total_s - prediction.first_token_s
        return Prediction(done_s, done_s + answer_s)

    def _segment_s(self, reserve: Reserve) -> float:
        """Return how long a segment takes alone: its tokens look at all those before them."""
        cost = self._queue.scheduler.cost
        before = reserve.prompt_tokens - reserve.segment_tokens
        if before <= 0:
            return cost.prefill_s(max(1, reserve.prompt_tokens))
        return cost.prefill_s(reserve.prompt_tokens) - cost.prefill_s(before)

    def _no_room(self, work: Work) -> Refusal:
        """Say that memory is held by what no prediction sees the end of.

        That is a segment of a span, which lasts as long as the span, or a hold whose end the
        engine hasn't confirmed yet.
        """
        need = self._ledger.blocks_for(work.prompt_tokens + work.output_tokens)
        return Refusal("memory-full", Figures(self._ledger.free_blocks, need, MIN_RETRY_S))

    def _unreachable(self, work: Work, prediction: Prediction, time_limit_s: float) -> Refusal:
        """Say when to come back: when what is ahead will be done, or never."""
        idle = self._queue.state()._replace(running=(), free_blocks=self._ledger.total_blocks)
        alone = self._queue.scheduler.predict(work, (), idle)
        retry_after_s = 0.0
        if alone.total_s <= time_limit_s:
            retry_after_s = prediction.total_s - time_limit_s
        return Refusal(
            "time-limit-unreachable", Figures(time_limit_s, prediction.total_s, retry_after_s)
        )


def _asks_for_stream(body: bytes) -> bool:
    """Return whether a caller's JSON body asks for a streamed answer."""
    if b'"stream"' not in body:
        return False
    try:
        document = json.loads(body)
    except ValueError as cause:
        raise Refusal("bad-request", Figures(detail=f"the body is not JSON: {cause}")) from cause
    return isinstance(document, dict) and document.get("stream") is True
