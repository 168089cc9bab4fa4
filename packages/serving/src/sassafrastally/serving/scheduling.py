"""Interface of what a sidecar asks its scheduler: what starts next and when it would finish."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.control.bundle import Weights


class Work(NamedTuple):
    """One attempt that waits on a sidecar or runs on its engine."""

    request_id: str
    attempt: int
    customer: str
    prompt_tokens: int
    cached_tokens: int
    """Guess of the prompt's tokens that the engine has in its prefix cache."""
    output_tokens: int
    """Most output tokens."""
    priority: int
    """Priority of the customer; lower goes first."""
    arrived_s: float
    """When it came to this sidecar, on its monotonic clock."""
    deadline_s: float
    """When its time limit ends, on this sidecar's monotonic clock."""


class Running(NamedTuple):
    """Work on the engine."""

    work: Work
    started_s: float
    first_token_s: float | None
    """When its first token came; ``None`` before."""
    shown_tokens: int


class EngineState(NamedTuple):
    """What the sidecar knows of its engine at a moment."""

    now_s: float
    block_tokens: int
    total_blocks: int
    free_blocks: int
    """By the sidecar's own ledger, not by the engine's lagging report."""
    running: tuple[Running, ...]


class Prediction(NamedTuple):
    """When work would be done, counted from now."""

    first_token_s: float
    total_s: float


class CostModel(Protocol):
    """What prefill and decode cost on one engine, learned from what was seen."""

    def observe_first_token(self, uncached_tokens: int, elapsed_s: float, running: int) -> None:
        """Take in one prefill: from start on the engine to the first token."""
        ...

    def observe_decode(self, tokens: int, elapsed_s: float, running: int) -> None:
        """Take in a stretch of decoding after the first token."""
        ...

    def prefill_s(self, uncached_tokens: int) -> float:
        """Return how long a prefill takes on the engine alone."""
        ...

    def token_s(self, running: int) -> float:
        """Return the time between tokens with so many streams in the batch."""
        ...


class Scheduler(Protocol):
    """Order of work on one engine."""

    cost: CostModel

    def pick(self, waiting: Sequence[Work], state: EngineState) -> Work | None:
        """Return the work to hand to the engine now, ``None`` to wait."""
        ...

    def engine_priority(self, work: Work, now_s: float) -> int:
        """Return the priority for the engine; lower runs first."""
        ...

    def predict(self, work: Work, waiting: Sequence[Work], state: EngineState) -> Prediction:
        """Return when new work would be served behind what waits and runs."""
        ...


SCHEDULERS: Registry[Callable[[Weights], Scheduler]] = Registry("scheduler")
"""Makers of schedulers by name: ``naive`` (first come, first served) and ``lanes``."""
