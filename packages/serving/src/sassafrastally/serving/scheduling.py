"""Interface of the schedulers, which order the work of a sidecar and predict its completion."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.control.bundle import Weights


class Work(NamedTuple):
    """One attempt that is queued at a sidecar or runs on its engine."""

    request_id: str
    attempt: int
    customer: str
    prompt_tokens: int
    cached_tokens: int
    """Estimated number of prompt tokens in the prefix cache of the engine."""
    output_tokens: int
    """Maximum number of output tokens."""
    priority: int
    """Priority of the customer; lower values run first."""
    arrived_s: float
    """Arrival time at this sidecar, on its monotonic clock."""
    deadline_s: float
    """End of the time limit, on the monotonic clock of this sidecar."""


class Running(NamedTuple):
    """Work that runs on the engine."""

    work: Work
    started_s: float
    first_token_s: float | None
    """Time of the first token; ``None`` before it."""
    shown_tokens: int


class EngineState(NamedTuple):
    """State of an engine at one time, as known to the sidecar."""

    now_s: float
    block_tokens: int
    total_blocks: int
    free_blocks: int
    """From the sidecar's own accounting, not from the delayed report of the engine."""
    running: tuple[Running, ...]


class Prediction(NamedTuple):
    """Predicted times of some work, relative to the current time."""

    first_token_s: float
    total_s: float


class CostModel(Protocol):
    """Durations of prefill and decode on one engine, learned from observations."""

    def observe_first_token(self, uncached_tokens: int, elapsed_s: float, running: int) -> None:
        """Add a prefill sample, measured from the start on the engine to the first token."""
        ...

    def observe_decode(self, tokens: int, elapsed_s: float, running: int) -> None:
        """Add a decode sample of some tokens after the first one."""
        ...

    def prefill_s(self, uncached_tokens: int) -> float:
        """Return the duration of a prefill on an otherwise idle engine."""
        ...

    def token_s(self, running: int) -> float:
        """Return the time between tokens with the given number of streams in the batch."""
        ...


class Scheduler(Protocol):
    """Orders the work on one engine."""

    cost: CostModel

    def pick(self, waiting: Sequence[Work], state: EngineState) -> Work | None:
        """Return the work to start on the engine now, or ``None`` to wait."""
        ...

    def engine_priority(self, work: Work, now_s: float) -> int:
        """Return the priority for the engine; lower values run first."""
        ...

    def predict(self, work: Work, waiting: Sequence[Work], state: EngineState) -> Prediction:
        """Predict when new work would be served after the waiting and running work."""
        ...


SCHEDULERS: Registry[Callable[[Weights], Scheduler]] = Registry("scheduler")
"""Factories of schedulers by name: ``naive`` (first come, first served) and ``lanes``."""
