"""Runs attempts on the model engine: queueing, streaming and freeing of memory."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import require_time
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
from sassafrastally.sidecar.run_trials import RunTrials
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
"""Number of tokens in one sample of the decode rate."""

EVENT_STREAM = "text/event-stream"
JSON = "application/json"


def stream_id_of(incarnation: str, key: AttemptKey) -> str:
    """Return the id of an attempt's engine stream, unique across restarts of the sidecar."""
    return f"{incarnation}-{key.request_id}-{key.attempt}"


class EngineBackend:
    """The model engine as a `Backend`.

    Parameters
    ----------
    kernel
        The process.
    settings
        Limits.
    engine
        Client of the engine.
    watch
        Monitor of the engine's state.
    ledger
        Ledger of the engine's memory.
    queue
        Queue of the engine's work.
    table
        All attempts.
    answers
        Store for the answers of attempts.
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
        """KV imports and exports of span segments."""
        self.promises = Promises(table, ledger)
        """Memory reserved for segments of spans."""
        self._trials = RunTrials()

    def admit(self, reserve: Reserve, now_s: float) -> Admitted:
        """Return the prediction for an attempt; raises `Refusal`."""
        if self._watch.info is None:
            raise Refusal("no-replica", Figures(detail="the engine doesn't answer"))
        if not self._watch.serves(reserve.model):
            raise Refusal("no-replica", Figures(detail=f"{reserve.model} is not served here"))
        tokens = own_tokens(reserve) + reserve.max_output_tokens
        capacity_tokens = self._ledger.total_blocks * self._ledger.block_tokens
        if tokens > capacity_tokens:
            raise Refusal(
                "no-span", Figures(capacity_tokens, tokens, detail="more than this engine holds")
            )
        if reserve.segment_tokens:
            self.promises.check_room(self.segments.blocks(reserve), now_s)
        work = self._work(reserve, now_s)
        prediction = self._predict(work, reserve)
        if math.isinf(prediction.total_s):
            raise self._memory_full_refusal(work)
        if prediction.total_s > reserve.time_limit_s and not self._is_trial(work, now_s):
            raise self._time_limit_refusal(work, prediction, reserve.time_limit_s)
        alone_s = self._queue.scheduler.cost.prefill_s(work.prompt_tokens - work.cached_tokens)
        wait_s = prediction.first_token_s - alone_s
        if 0 < reserve.max_wait_s < wait_s:
            raise Refusal("busy", Figures(reserve.max_wait_s, wait_s, wait_s))
        if not reserve.segment_tokens:
            self.promises.check_backfill(work, prediction.total_s, now_s)
        return Admitted(prediction, work.cached_tokens)

    def _is_trial(self, work: Work, now_s: float) -> bool:
        is_idle = not (self._queue.running_count or self._queue.waiting or self.expected_work())
        return is_idle and self._trials.is_due(work, now_s)

    def register(self, attempt: Attempt, admitted: Admitted) -> None:
        """Include the attempt in the predictions for later attempts."""
        work = self._work(attempt.reserve, attempt.arrived_s)
        attempt.work = work._replace(cached_tokens=admitted.cached_tokens)
        attempt.stream_id = stream_id_of(self._kernel.incarnation, attempt.key)
        attempt.segment = self.segments.describe(
            attempt.reserve,
            attempt.arrived_s,
            self._segment_prefill_s(attempt.reserve),
            admitted.prediction.first_token_s,
        )

    def expected_work(self) -> list[Work]:
        """Return the work that is reserved or waiting.

        Segments that wait for earlier segments are excluded: until they are due, the admission
        check for promised memory already protects their blocks from other work. Work whose turn
        has come is excluded too: the engine state counts it as running.
        """
        return [
            a.work
            for a in self._table.live
            if a.work is not None
            and not a.has_started
            and not self._queue.is_running(a.key)
            and (a.segment is None or self._is_due(a))
        ]

    def _is_due(self, attempt: Attempt) -> bool:
        """Return whether the segments before this one are done, so that it waits for its turn."""
        return attempt.is_handed_over and not self._ledger.holds(attempt.stream_id)

    async def run(self, attempt: Attempt) -> RunResult:
        """Wait for the attempt's turn and run it to its end mark."""
        assert attempt.work is not None
        attempt.work = attempt.work._replace(deadline_s=attempt.deadline_s)
        body = attempt.take_body()
        is_streamed = _asks_for_stream(body)
        stream_id = attempt.stream_id
        await self._queue.wait_turn(attempt.work, stream_id)
        if attempt.segment is not None:
            await self.segments.fetch(attempt)
        await require_time(attempt.deadline_s)
        now_s = self._kernel.clock.now_s()
        attempt.has_started = True
        self._trials.begin(now_s)
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
                usage = await self._relay_chunks(attempt, run, is_streamed)
        except (EngineUnavailable, EngineRefused):
            attempt.has_started = False
            raise
        self._ledger.free(stream_id)
        self._trials.record(attempt.work, self._kernel.clock.now_s() - now_s)
        content_type = EVENT_STREAM if is_streamed else JSON
        return RunResult(200, content_type, *usage)

    async def _hold_segment(self, attempt: Attempt, run: EngineRun) -> None:
        """Compute, export and announce a segment, then hold it until the attempt is cancelled.

        This runs inside the run's context: leaving the context frees the blocks of a run that
        was not exported yet.
        """
        async for _ in run:
            pass
        if run.usage is None:
            raise EngineFailed("the engine ended the segment without its end mark")
        self._table.release_body(attempt)
        done = await self.segments.export(attempt)
        self._queue.remove(attempt.key)
        await self.segments.free_imports(attempt)
        self._answers.append(attempt.answer, done, 0)
        await trio.sleep_forever()

    async def release(self, attempt: Attempt) -> None:
        """Free the attempt's blocks, cancelling an interrupted run on the engine first."""
        stream_id = attempt.stream_id
        self._queue.remove(attempt.key)
        if attempt.segment is not None:
            await self.segments.free_all(attempt)
        if not self._ledger.holds(stream_id):
            return
        if not attempt.has_started:
            self._ledger.free(stream_id)
        else:
            await self._cancel(stream_id)
        self._queue.notify_change()

    async def _cancel(self, stream_id: str) -> None:
        self._ledger.mark_orphaned(stream_id, self._kernel.clock.now_s())
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

    async def _relay_chunks(
        self, attempt: Attempt, run: EngineRun, is_streamed: bool
    ) -> EngineUsage:
        started_s = sample_start_s = self._kernel.clock.now_s()
        first_token_s: float | None = None
        running_before = self._queue.running_count
        cost = self._queue.scheduler.cost
        tokens = 0
        async for chunk in run:
            now_s = self._kernel.clock.now_s()
            if first_token_s is None:
                first_token_s = sample_start_s = now_s
                self._table.release_body(attempt)
            else:
                tokens += chunk.tokens
            self._queue.record_tokens(attempt.key, chunk.tokens)
            data = b"data: " + chunk.data + b"\n\n" if is_streamed else chunk.data
            self._answers.append(attempt.answer, data, chunk.tokens)
            if is_streamed and tokens >= DECODE_SAMPLE_TOKENS:
                cost.observe_decode(tokens, now_s - sample_start_s, self._queue.running_count)
                tokens, sample_start_s = 0, now_s
            await self._answers.wait_room(attempt.answer)
        if run.usage is None:
            raise EngineFailed("the engine ended the answer without its end mark")
        if attempt.segment is not None:
            # The usage covers the whole prompt, most of which other engines computed.
            return run.usage
        if is_streamed and first_token_s is not None:
            uncached = run.usage.prompt_tokens - run.usage.cached_tokens
            cost.observe_first_token(uncached, first_token_s - started_s, running_before)
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
        """Return the prompt tokens whose blocks are held on this engine, including imports."""
        if not reserve.segment_tokens:
            return reserve.prompt_tokens
        blocks = self.segments.blocks(reserve)
        return blocks * self._ledger.block_tokens - reserve.max_output_tokens

    def _predict(self, work: Work, reserve: Reserve) -> Prediction:
        """Predict when work is served; a segment starts only after the segments before it."""
        state = self._queue.state()
        prediction = self._queue.scheduler.predict(work, self.expected_work(), state)
        if not reserve.segment_tokens:
            return prediction
        own_s = self._segment_prefill_s(reserve)
        wait_s = max(
            0.0,
            prediction.first_token_s
            - self._queue.scheduler.cost.prefill_s(max(1, work.prompt_tokens)),
        )
        done_s = max(wait_s, reserve.starts_in_s) + own_s
        answer_s = prediction.total_s - prediction.first_token_s
        return Prediction(done_s, done_s + answer_s)

    def _segment_prefill_s(self, reserve: Reserve) -> float:
        """Return a segment's own prefill time; its tokens also attend to all earlier ones."""
        cost = self._queue.scheduler.cost
        before = reserve.prompt_tokens - reserve.segment_tokens
        if before <= 0:
            return cost.prefill_s(max(1, reserve.prompt_tokens))
        return cost.prefill_s(reserve.prompt_tokens) - cost.prefill_s(before)

    def _memory_full_refusal(self, work: Work) -> Refusal:
        """Return the refusal for memory that is held for an unpredictable time.

        The holder is a segment, which lasts as long as its span, or a hold whose release the
        engine has not confirmed yet.
        """
        need = self._ledger.blocks_for(work.prompt_tokens + work.output_tokens)
        return Refusal("memory-full", Figures(self._ledger.free_blocks, need, MIN_RETRY_S))

    def _time_limit_refusal(
        self, work: Work, prediction: Prediction, time_limit_s: float
    ) -> Refusal:
        """Return the refusal for an unreachable time limit.

        The retry-after time is when the work ahead will be done; it is 0 when the limit is too
        short even on an idle engine.
        """
        idle = self._queue.state()._replace(running=(), free_blocks=self._ledger.total_blocks)
        alone = self._queue.scheduler.predict(work, (), idle)
        retry_after_s = 0.0
        if alone.total_s <= time_limit_s:
            retry_after_s = prediction.total_s - time_limit_s
        return Refusal(
            "time-limit-unreachable", Figures(time_limit_s, prediction.total_s, retry_after_s)
        )


def _asks_for_stream(body: bytes) -> bool:
    """Return whether a JSON request body asks for a streamed answer."""
    if b'"stream"' not in body:
        return False
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as cause:
        raise Refusal("bad-request", Figures(detail=f"the body is not JSON: {cause}")) from cause
    return isinstance(document, dict) and document.get("stream") is True
