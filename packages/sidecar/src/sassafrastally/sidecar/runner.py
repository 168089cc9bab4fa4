"""Runs each committed attempt in a task, up to its end mark and the release of its memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core import time_limit
from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.serving.refusals import Refusal
from sassafrastally.sidecar.engine import EngineFailed, EngineRefused, EngineUnavailable
from sassafrastally.sidecar.events import SETTLED, AttemptSettled
from sassafrastally.wire.messages import End

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.sidecar.answer import AnswerStore
    from sassafrastally.sidecar.attempts import Attempt, AttemptTable
    from sassafrastally.sidecar.backend import Backend, RunResult
    from sassafrastally.sidecar.settings import SidecarSettings

MAX_TEXT_CHARS = 2_000
"""Length of a text of the engine or service in an end mark. A frame has 256 KB, but the message of
an engine's error may have a megabyte."""

_STATES = {
    Outcome.COMPLETED: AttemptState.COMPLETED,
    Outcome.NOT_RUN: AttemptState.VOIDED,
    Outcome.FAILED: AttemptState.FAILED,
    Outcome.UNKNOWN: AttemptState.FAILED,
}


class Runner:
    """Runs committed attempts.

    Parameters
    ----------
    kernel
        The process.
    settings
        Timeout for releasing memory.
    table
        All attempts.
    answers
        Store for the answers of attempts.
    """

    def __init__(
        self, kernel: Kernel, settings: SidecarSettings, table: AttemptTable, answers: AnswerStore
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._table = table
        self._answers = answers

    async def run(self, attempt: Attempt, backend: Backend) -> None:
        """Run an attempt to completion, time limit or cancellation, and free its memory.

        The end mark is set before the memory is freed, so that a reader of an attempt that reached
        its time limit doesn't also wait for the engine.
        """
        end: End | None = None
        try:
            async with time_limit(attempt.deadline_s, attempt.scope):
                end = await self._run_to_end(attempt, backend)
        finally:
            self.settle(attempt, end or self._interrupted_end(attempt))
            limit_s = self._settings.cancel_limit_s
            with trio.CancelScope(shield=True, deadline=trio.current_time() + limit_s):
                await backend.release(attempt)

    def settle(self, attempt: Attempt, end: End) -> None:
        """Record how an attempt ended and publish the end mark to its readers."""
        now_s = self._kernel.clock.now_s()
        end = _with_short_texts(end)
        outcome = Outcome(end.outcome)
        self._table.settle(attempt, _STATES[outcome], now_s)
        attempt.answer.finish(end)
        if outcome is Outcome.NOT_RUN:
            self._answers.drop(attempt.key)
        else:
            self._answers.keep(attempt.answer, now_s)
        SETTLED.add(1, {"outcome": end.outcome})
        elapsed_s = now_s - attempt.arrived_s
        self._kernel.events.emit(
            AttemptSettled(*attempt.key, end.outcome, end.code, end.detail, elapsed_s)
        )

    async def _run_to_end(self, attempt: Attempt, backend: Backend) -> End:
        try:
            return _completed(attempt, await backend.run(attempt))
        except EngineRefused as cause:
            return make_end(attempt, Outcome.NOT_RUN, cause.refusal_code, cause.detail)
        except EngineUnavailable as cause:
            return make_end(attempt, Outcome.NOT_RUN, "no-replica", cause.detail)
        except Refusal as cause:
            return make_end(attempt, cause.outcome, cause.kind.code, cause.figures.detail)
        except EngineFailed as cause:
            if self._kernel.clock.now_s() >= attempt.deadline_s:
                # A client may end its call at the limit by itself.
                return self._interrupted_end(attempt)
            if attempt.answer.chunk_count or attempt.answer.size_bytes:
                return make_end(attempt, Outcome.FAILED, "backend-failed", cause.detail)
            # Nothing was received, so it is unknown whether the engine had started.
            return make_end(attempt, Outcome.UNKNOWN, "outcome-unknown", cause.detail)

    def _interrupted_end(self, attempt: Attempt) -> End:
        outcome = Outcome.FAILED if attempt.has_started else Outcome.NOT_RUN
        if attempt.cancel_reason is not None:
            return make_end(attempt, outcome, *attempt.cancel_reason)
        if self._kernel.clock.now_s() >= attempt.deadline_s:
            return make_end(attempt, outcome, "time-limit-passed", _limit_detail(attempt))
        return make_end(attempt, outcome, "backend-failed", "the sidecar was ended")


def make_end(attempt: Attempt, outcome: Outcome, code: str, detail: str) -> End:
    """Return the end mark of an attempt that didn't complete."""
    return End(*attempt.key, outcome=outcome.value, code=code, detail=detail)


def _with_short_texts(end: End) -> End:
    return end._replace(
        detail=end.detail[:MAX_TEXT_CHARS],
        finish_reason=end.finish_reason[:MAX_TEXT_CHARS],
        content_type=end.content_type[:MAX_TEXT_CHARS],
    )


def _limit_detail(attempt: Attempt) -> str:
    return f"limit {attempt.deadline_s - attempt.arrived_s:.3f} s"


def _completed(attempt: Attempt, result: RunResult) -> End:
    return End(
        *attempt.key,
        outcome=Outcome.COMPLETED.value,
        status=result.status,
        prompt_tokens=result.prompt_tokens,
        cached_tokens=result.cached_tokens,
        output_tokens=result.output_tokens,
        finish_reason=result.finish_reason,
        content_type=result.content_type,
    )
