"""Registry of cases of `step_times`, and their measurement."""

from __future__ import annotations

import gc
import inspect
import time
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    StepsFunction = Callable[[], Iterator[Callable[[], object]]]

RUNS = 5


class StepCase(NamedTuple):
    """Steps that handle the largest input of a kind."""

    source: str
    """Where the input comes from, and what bounds it."""
    steps: StepsFunction
    """Yields the steps in order; what happens between them is not measured."""


CASES: dict[str, StepCase] = {}


def case(name: str, source: str) -> Callable[[StepsFunction], StepsFunction]:
    """Return a decorator that registers a generator of steps."""

    def register(steps: StepsFunction) -> StepsFunction:
        CASES[name] = StepCase(source, steps)
        return steps

    return register


def longest_step_s(name: str) -> float:
    """Return the processor time of the longest step of a case, the least of some runs."""
    return min(_longest_s(CASES[name]) for _ in range(RUNS))


def _longest_s(one: StepCase) -> float:
    """Return the processor time of the longest step of one run.

    Collections of garbage are not in it: they depend on the process that measures.
    """
    gc.collect()
    gc.disable()
    try:
        return max(_time_s(step) for step in one.steps())
    finally:
        gc.enable()


def _time_s(step: Callable[[], object]) -> float:
    """Return the processor time of a step, or of the longest one of an asynchronous function."""
    if inspect.iscoroutinefunction(step):
        longest = _LongestStep()
        trio.run(step, instruments=[longest])
        return longest.longest_s
    begin_s = time.thread_time()
    step()
    return time.thread_time() - begin_s


class _LongestStep(trio.abc.Instrument):
    """Measures the longest step of all tasks."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._begin_s = 0.0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._begin_s = time.thread_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        self.longest_s = max(self.longest_s, time.thread_time() - self._begin_s)
