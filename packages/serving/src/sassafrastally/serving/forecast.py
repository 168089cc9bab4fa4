"""Prediction of start and completion times on one engine by simulating its queue."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.scheduling import EngineState, Prediction, Running

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.serving.scheduling import CostModel, Work

MIN_REMAINING_SHARE = 0.05
"""Minimum share of a prefill that is assumed to remain when it runs longer than expected."""

CHUNK_TOKENS = 2_048
"""Usual chunk size of a chunked prefill. A new prefill waits for the end of the current chunk, on
average half a chunk, regardless of its priority."""


def blocks_needed(work: Work, block_tokens: int) -> int:
    """Return the KV cache blocks needed for a prompt and its complete output."""
    return -(-(work.prompt_tokens + work.output_tokens) // max(1, block_tokens))


def service_s(work: Work, cost: CostModel) -> float:
    """Return the prefill duration of the work on an otherwise idle engine."""
    return cost.prefill_s(max(1, work.prompt_tokens - work.cached_tokens))


class PrefillProgress:
    """Estimates the remaining time of each prefill on the engine.

    Parameters
    ----------
    rank
        Order in which the engine computes prefills, lowest rank first.
    """

    def __init__(self, rank: Callable[[Work], float]) -> None:
        self._rank = rank
        self._remaining_s: dict[tuple[str, int], float] = {}
        self._updated_s = 0.0

    def update(self, state: EngineState, cost: CostModel) -> dict[tuple[str, int], float]:
        """Distribute the time since the last call and return the remaining seconds per prefill."""
        active = [run for run in state.running if run.first_token_s is None]
        remaining: dict[tuple[str, int], float] = {}
        for run in active:
            key = run.work.request_id, run.work.attempt
            remaining[key] = self._remaining_s.get(key, service_s(run.work, cost))
        clock_s = self._updated_s
        for run in sorted(active, key=lambda one: (self._rank(one.work), one.started_s)):
            key = run.work.request_id, run.work.attempt
            begin_s = max(clock_s, run.started_s)
            spent_s = min(max(0.0, state.now_s - begin_s), remaining[key])
            least_s = MIN_REMAINING_SHARE * service_s(run.work, cost)
            remaining[key] = max(remaining[key] - spent_s, least_s)
            clock_s = begin_s + spent_s
        self._updated_s = state.now_s
        self._remaining_s = remaining
        return remaining


class _Prefill(NamedTuple):
    rank: float
    number: int
    work: Work


class QueueSimulation:
    """Simulates an engine and its queue, using the scheduler's own decisions.

    Prefills run one at a time in the engine's order, and a new prefill with a lower rank preempts
    the current one. Decodes run concurrently at the speed of the batch that they join.

    Parameters
    ----------
    state
        Current state of the engine.
    remaining_s
        Remaining seconds of each prefill on the engine.
    cost
        Cost model of the engine.
    rank
        Order of prefills on the engine, lowest rank first.
    """

    def __init__(
        self,
        state: EngineState,
        remaining_s: dict[tuple[str, int], float],
        cost: CostModel,
        rank: Callable[[Work], float],
    ) -> None:
        self._state = state
        self._cost = cost
        self._rank = rank
        self._remaining_s = dict(remaining_s)
        self._now_s = state.now_s
        self._free = state.free_blocks
        self._running = dict(enumerate(state.running))
        """Runs by number. The same work may be given as running and as waiting."""
        self._prefills: list[_Prefill] = []
        self._decodes: list[tuple[float, int, Work]] = []
        for number in self._running:
            self._add_run(number)
        self._next_number = len(self._running)
        self._chunk_wait_s = cost.prefill_s(CHUNK_TOKENS) / 2 if self._prefills else 0.0

    def predict(
        self,
        target: Work,
        waiting: Sequence[Work],
        pick: Callable[[Sequence[Work], EngineState], Work | None],
    ) -> Prediction:
        """Predict when `target` would be served, relative to the current time."""
        queue = [*waiting, target]
        self._first: Work | None = None
        while True:
            self._start(queue, pick)
            done = self._step()
            if self._first is None and done is not None:
                self._first = done
            if done is target:
                first_s = self._now_s - self._state.now_s
                if target is self._first:
                    first_s += self._chunk_wait_s
                pace_s = self._cost.token_s(len(self._running))
                return Prediction(first_s, first_s + target.output_tokens * pace_s)
            if done is None:
                # Nothing runs and nothing can start: the target can never fit on this engine.
                return Prediction(float("inf"), float("inf"))

    def _add_run(self, number: int) -> None:
        run = self._running[number]
        work = run.work
        if run.first_token_s is None:
            heapq.heappush(self._prefills, _Prefill(self._rank(work), number, work))
        else:
            remaining = max(0, work.output_tokens - run.shown_tokens)
            end_s = self._now_s + remaining * self._cost.token_s(len(self._running))
            heapq.heappush(self._decodes, (end_s, number, work))

    def _start(
        self, queue: list[Work], pick: Callable[[Sequence[Work], EngineState], Work | None]
    ) -> None:
        while queue:
            state = self._state._replace(
                now_s=self._now_s, free_blocks=self._free, running=tuple(self._running.values())
            )
            work = pick(queue, state)
            if work is None:
                return
            queue.remove(work)
            self._free -= blocks_needed(work, self._state.block_tokens)
            self._remaining_s[work.request_id, work.attempt] = service_s(work, self._cost)
            self._running[self._next_number] = Running(work, self._now_s, None, 0)
            self._add_run(self._next_number)
            self._next_number += 1

    def _step(self) -> Work | None:
        """Advance to the next first token or completion and return its work."""
        if not self._prefills and not self._decodes:
            return None
        end_s = self._decodes[0][0] if self._decodes else float("inf")
        if not self._prefills:
            return self._finish_decode()
        _, number, head = self._prefills[0]
        key = head.request_id, head.attempt
        first_s = self._now_s + self._remaining_s[key]
        if end_s < first_s:
            self._remaining_s[key] -= max(0.0, end_s - self._now_s)
            return self._finish_decode()
        heapq.heappop(self._prefills)
        self._now_s = first_s
        self._running[number] = self._running[number]._replace(first_token_s=first_s)
        self._add_run(number)
        return head

    def _finish_decode(self) -> Work:
        end_s, number, work = heapq.heappop(self._decodes)
        self._now_s = max(self._now_s, end_s)
        del self._running[number]
        self._free += blocks_needed(work, self._state.block_tokens)
        return work
