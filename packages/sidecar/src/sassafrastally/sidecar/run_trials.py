"""When a run that seems to be too slow for its time limit is tried nevertheless."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sassafrastally.serving.cost import OnlineCostModel

if TYPE_CHECKING:
    from sassafrastally.serving.scheduling import Work

TRIAL_AFTER_S = 5.0
"""Time without a run after which the cost model no longer tells how fast the engine is. Refused
runs measure nothing: an engine whose sidecar was paused would be refused without end."""

_PRIOR = OnlineCostModel()
"""Cost model without samples."""


def prior_duration_s(work: Work) -> float:
    """Return how long work takes on an idle engine of which nothing is known."""
    uncached_tokens = max(1, work.prompt_tokens - work.cached_tokens)
    return _PRIOR.prefill_s(uncached_tokens) + work.output_tokens * _PRIOR.token_s(1)


class RunTrials:
    """Runs that find out whether an idle engine is as slow as its cost model says.

    The load is an engine that was slow for a while, or whose sidecar was, beside requests with
    limits on both sides of the prediction. One run is tried each `TRIAL_AFTER_S`, and the next ones
    at once, one after the other, while they are as fast as on a usual engine.
    """

    def __init__(self) -> None:
        self._begun_s = -math.inf

    def is_due(self, work: Work, now_s: float) -> bool:
        """Return whether an idle engine tries work that would be too late by its cost model."""
        is_hopeful = now_s + prior_duration_s(work) <= work.deadline_s
        return is_hopeful and now_s - self._begun_s >= TRIAL_AFTER_S

    def begin(self, now_s: float) -> None:
        """Record that a run begins."""
        self._begun_s = now_s

    def record(self, work: Work, elapsed_s: float) -> None:
        """Record how long a run took that is complete."""
        if elapsed_s <= prior_duration_s(work):
            self._begun_s = -math.inf
