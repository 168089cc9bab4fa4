"""A queue and its engine in small steps of time: slow and obviously right.

Predictions of the schedulers are compared with it, and their order is watched over long histories.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.scheduling import EngineState, Running

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.serving.scheduling import Scheduler, Work

STEP_S = 0.005


class FixedCost(NamedTuple):
    """Costs that are known and don't change."""

    tokens_per_s: float = 10_000.0
    step_s: float = 0.01

    def observe_first_token(self, uncached_tokens: int, elapsed_s: float, running: int) -> None:
        """Learn nothing."""

    def observe_decode(self, tokens: int, elapsed_s: float, running: int) -> None:
        """Learn nothing."""

    def prefill_s(self, uncached_tokens: int) -> float:
        """Return the prefill time, in proportion to the length."""
        return uncached_tokens / self.tokens_per_s

    def token_s(self, running: int) -> float:
        """Return the same step for any batch."""
        return self.step_s


class _Task:
    """Work on the engine."""

    def __init__(self, work: Work, priority: int, order: int, now_s: float, left_s: float) -> None:
        self.work = work
        self.rank = (priority, order)
        self.started_s = now_s
        self.left_s = left_s
        self.first_token_s: float | None = None
        self.end_s = float("inf")


class SteppedEngine:
    """One engine with a scheduler before it.

    Parameters
    ----------
    scheduler
        Decides; its costs are the engine's true ones.
    total_blocks
        Memory in blocks.
    block_tokens
        Tokens in a block.
    step_s
        Length of a step.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        total_blocks: int,
        block_tokens: int = 100,
        step_s: float = STEP_S,
    ) -> None:
        self.scheduler = scheduler
        self.step_s = step_s
        self.now_s = 0.0
        self.waiting: list[Work] = []
        self.first_tokens: dict[str, float] = {}
        """When each request's first token came."""
        self._total_blocks = total_blocks
        self._block_tokens = block_tokens
        self._tasks: list[_Task] = []
        self._order = 0

    def state(self) -> EngineState:
        """Return what the scheduler sees."""
        held = sum(self._blocks(task.work) for task in self._tasks)
        running = tuple(
            Running(task.work, task.started_s, task.first_token_s, self._shown(task))
            for task in self._tasks
        )
        return EngineState(
            self.now_s, self._block_tokens, self._total_blocks, self._total_blocks - held, running
        )

    def step(self, arrivals: Sequence[Work] = ()) -> None:
        """Take in arrivals, start what the scheduler picks and let a little time pass."""
        self.waiting += arrivals
        while (work := self.scheduler.pick(self.waiting, self.state())) is not None:
            self.waiting.remove(work)
            self._start(work)
        prefills = [task for task in self._tasks if task.first_token_s is None]
        self.now_s += self.step_s
        if prefills:
            self._compute(min(prefills, key=lambda task: task.rank))
        self._tasks = [task for task in self._tasks if task.end_s > self.now_s]

    def run_until_first_token(self, request_id: str, limit_s: float) -> float:
        """Step until a request's first token and return how long that took."""
        begin_s = self.now_s
        while request_id not in self.first_tokens:
            if self.now_s - begin_s > limit_s:
                return float("inf")
            self.step()
        return self.first_tokens[request_id] - begin_s

    def _start(self, work: Work) -> None:
        self._order += 1
        priority = self.scheduler.engine_priority(work, self.now_s)
        left_s = self.scheduler.cost.prefill_s(work.prompt_tokens - work.cached_tokens)
        self._tasks.append(_Task(work, priority, self._order, self.now_s, left_s))

    def _compute(self, task: _Task) -> None:
        task.left_s -= self.step_s
        if task.left_s <= self.step_s / 2:
            task.first_token_s = self.first_tokens[task.work.request_id] = self.now_s
            token_s = self.scheduler.cost.token_s(len(self._tasks))
            task.end_s = self.now_s + task.work.output_tokens * token_s

    def _shown(self, task: _Task) -> int:
        if task.first_token_s is None:
            return 0
        return int((self.now_s - task.first_token_s) / self.scheduler.cost.token_s(1))

    def _blocks(self, work: Work) -> int:
        return -(-(work.prompt_tokens + work.output_tokens) // self._block_tokens)
