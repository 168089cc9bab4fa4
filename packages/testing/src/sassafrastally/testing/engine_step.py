"""What one step of the model engine does, and how long it takes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.testing.engine_run import RunState

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.testing.engine_run import Run


class EngineTiming(NamedTuple):
    """Costs in seconds at speed 1."""

    step_s: float = 0.006
    """Each step."""
    prefill_token_s: float = 0.00005
    """Each prefilled token."""
    attention_s: float = 2e-11
    """Each pair of a prefilled token and a token of context before it."""
    decode_stream_s: float = 0.0001
    """Each stream that decodes in the step."""
    load_model_s: float = 8.0
    """Loading a model or adapter."""
    transfer_block_s: float = 0.0002
    """Announcing one block of an export to the engine that imports it."""


class EngineShape(NamedTuple):
    """Sizes and habits of an engine."""

    models: tuple[str, ...] = ("small",)
    total_blocks: int = 4096
    block_tokens: int = 16
    step_tokens: int = 2048
    """Most prefill tokens in a step."""
    max_streams: int = 64
    """Most runs in the batch."""
    decode_stride: int = 1
    """Engine steps that are taken in one event: coarser and cheaper for long simulations."""
    checks_fencing: bool = True
    speed: float = 1.0
    load_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_gap_share: float = 0.02
    """Share of the cache events that are never told."""
    timing: EngineTiming = EngineTiming()


class Prefill(NamedTuple):
    """One run's share of a step's prefill."""

    run: Run
    tokens: int


class Step(NamedTuple):
    """One step of the whole batch."""

    duration_s: float
    prefills: list[Prefill]
    decodes: list[Run]
    strides: int
    """Engine steps that it stands for."""


def plan_step(active: Iterable[Run], shape: EngineShape) -> Step:
    """Return the next step: every decode goes on, prefills share the token budget by rank."""
    timing = shape.timing
    prefilling: list[Run] = []
    decodes: list[Run] = []
    for run in active:
        (prefilling if run.state is RunState.PREFILL else decodes).append(run)
    prefilling.sort(key=lambda run: run.rank)
    strides = _strides(prefilling, decodes, shape)
    budget = max(1, shape.step_tokens - len(decodes)) * strides
    duration_s = strides * (timing.step_s + len(decodes) * timing.decode_stream_s)
    prefills = []
    for run in prefilling:
        tokens = min(budget, run.goal_tokens - run.prefilled_tokens)
        context = run.prefilled_tokens + tokens / 2
        duration_s += tokens * (timing.prefill_token_s + timing.attention_s * context)
        prefills.append(Prefill(run, tokens))
        budget -= tokens
        if budget <= 0:
            break
    return Step(duration_s / shape.speed, prefills, decodes, strides)


def _strides(prefilling: Sequence[Run], decodes: Sequence[Run], shape: EngineShape) -> int:
    """Return how many engine steps to take at once: not past the end of the first prefill."""
    if shape.decode_stride == 1:
        return 1
    if prefilling:
        head = prefilling[0]
        needed = (head.goal_tokens - head.prefilled_tokens) / shape.step_tokens
    else:
        needed = max(run.output_limit - run.emitted for run in decodes)
    return max(1, min(shape.decode_stride, math.ceil(needed)))
