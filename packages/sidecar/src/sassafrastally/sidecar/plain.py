"""Plain services: the same guarantees as for engines, with a limit on concurrent calls."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

import trio

from sassafrastally.core import require_time
from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.serving.scheduling import Prediction
from sassafrastally.sidecar.backend import Admitted, RunResult
from sassafrastally.sidecar.call_duration import CallDuration
from sassafrastally.sidecar.engine import EngineFailed, EngineUnavailable
from sassafrastally.sidecar.events import AttemptStarted
from sassafrastally.sidecar.plain_client import PlainMaybeRan, PlainNotSent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping
    from contextlib import AbstractAsyncContextManager

    from sassafrastally.core import Kernel
    from sassafrastally.sidecar.answer import AnswerStore
    from sassafrastally.sidecar.attempts import Attempt, AttemptTable
    from sassafrastally.wire.messages import Reserve

BODY_CONTENT_TYPE = "application/json"
"""Content type of request bodies; a reservation doesn't carry one."""


class ServiceResponse(Protocol):
    """A response whose head was received; iterate over its body."""

    @property
    def status(self) -> int:
        """HTTP status."""
        ...

    @property
    def content_type(self) -> str:
        """Content type of the body."""
        ...

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has been read."""
        ...

    def __aiter__(self) -> AsyncIterator[bytes]: ...


class Caller(Protocol):
    """Client of one plain service, such as `sassafrastally.sidecar.plain_client.PlainClient`."""

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> AbstractAsyncContextManager[ServiceResponse]:
        """Call the service once, without retries.

        Raises
        ------
        PlainNotSent
            The call certainly did not run.
        PlainMaybeRan
            The call may have run.
        """
        ...


class PlainBackend:
    """One plain service as a `Backend`.

    Parameters
    ----------
    kernel
        The process.
    name
        Name of the service.
    client
        Client of the service.
    max_concurrent
        Returns the limit on concurrent calls, which the bundle may change.
    table
        All attempts.
    answers
        Store for the answers of attempts.
    """

    def __init__(
        self,
        kernel: Kernel,
        name: str,
        client: Caller,
        max_concurrent: Callable[[], int],
        table: AttemptTable,
        answers: AnswerStore,
    ) -> None:
        self.name = name
        self._kernel = kernel
        self._client = client
        self._max_concurrent = max_concurrent
        self._table = table
        self._answers = answers
        self._waiting: deque[tuple[Attempt, trio.Event]] = deque()
        self._running: set[Attempt] = set()
        self._duration = CallDuration()

    @property
    def running_count(self) -> int:
        """Number of calls in flight."""
        return len(self._running)

    def admit(self, reserve: Reserve, now_s: float) -> Admitted:
        """Return the prediction for an attempt; raises `Refusal`."""
        ahead = sum(
            1 for a in self._table.live if a.reserve.service == self.name and not a.has_started
        )
        rounds = (ahead + self.running_count) // max(1, self._max_concurrent())
        expected_s = self._duration.expected_s
        total_s = (rounds + 1) * expected_s
        is_trial = not (ahead or rounds or self._duration.is_valid(now_s))
        if total_s > reserve.time_limit_s and not is_trial:
            retry_after_s = 0.0 if expected_s > reserve.time_limit_s else rounds * expected_s
            figures = Figures(reserve.time_limit_s, total_s, retry_after_s)
            raise Refusal("time-limit-unreachable", figures)
        return Admitted(Prediction(total_s, total_s), 0)

    def register(self, attempt: Attempt, admitted: Admitted) -> None:
        """Do nothing: the table already counts the attempt."""

    async def run(self, attempt: Attempt) -> RunResult:
        """Wait for a free slot and call the service once."""
        await self._wait_turn(attempt)
        await require_time(attempt.deadline_s)
        started_s = self._kernel.clock.now_s()
        self._kernel.events.emit(AttemptStarted(*attempt.key, started_s - attempt.arrived_s))
        attempt.has_started = True
        self._duration.begin(started_s)
        try:
            result = await self._call(attempt, attempt.deadline_s - started_s)
        except PlainNotSent as cause:
            attempt.has_started = False
            raise EngineUnavailable(cause.detail) from cause
        except PlainMaybeRan as cause:
            raise EngineFailed(cause.detail) from cause
        self._duration.record(started_s, self._kernel.clock.now_s() - started_s)
        return result

    async def release(self, attempt: Attempt) -> None:
        """Free the slot for the next call."""
        self._running.discard(attempt)
        self._start_waiting()
        await trio.lowlevel.checkpoint()

    async def _call(self, attempt: Attempt, timeout_s: float) -> RunResult:
        method, _, path = attempt.reserve.operation.partition(" ")
        body = attempt.take_body()
        headers = {"Content-Type": BODY_CONTENT_TYPE} if body else {}
        async with self._client.call(method, path, headers, body, timeout_s) as answer:
            self._table.release_body(attempt)
            async for piece in answer:
                self._answers.append(attempt.answer, piece, 0)
                await self._answers.wait_room(attempt.answer)
            if not answer.is_complete:
                raise EngineFailed("the service ended its answer before the end")
            return RunResult(answer.status, answer.content_type)

    async def _wait_turn(self, attempt: Attempt) -> None:
        entry = (attempt, trio.Event())
        self._waiting.append(entry)
        self._start_waiting()
        try:
            await entry[1].wait()
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)

    def _start_waiting(self) -> None:
        now_s = self._kernel.clock.now_s()
        while self._waiting and len(self._running) < max(1, self._max_concurrent()):
            attempt, turn = self._waiting.popleft()
            # After a freeze of the process this may run before the time limit has cancelled the
            # waiting task; an expired attempt must not start.
            if attempt.deadline_s > now_s:
                self._running.add(attempt)
                turn.set()
