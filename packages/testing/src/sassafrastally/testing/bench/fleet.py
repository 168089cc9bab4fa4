"""What both modes of the bench share: policies by name, engines for synthetic prompts, faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.testing.engine_model import EngineModel

if TYPE_CHECKING:
    from sassafrastally.testing.bench.deployment import Deployment
    from sassafrastally.testing.bench.measures import Sample
    from sassafrastally.testing.engine_model import EngineShape
    from sassafrastally.testing.engine_run import Run, RunRequest


class PolicyPair(NamedTuple):
    """A routing policy and a scheduler, by their registered names."""

    name: str
    routing: str
    scheduler: str


class RunPlan(NamedTuple):
    """One run of the bench."""

    deployment: Deployment
    policy: PolicyPair
    load: float
    duration_s: float
    seed: int
    fault: str
    """``engine-lost`` or empty."""
    shape: EngineShape


class RunResult(NamedTuple):
    """What a run of either mode gives."""

    samples: list[Sample]
    wasted_tokens: int
    """Tokens computed by runs that didn't end."""
    wall_s: float
    """Real time of the run."""


ENGINE_LOST = "engine-lost"
"""Fault: halfway through the arrivals the first engine dies for good."""


class SyntheticEngine(EngineModel):
    """An engine that takes the prompt's length from the request, not from its text.

    The bench sends prompts of a million tokens without their megabytes of text; only the text of
    a shared document is there, so that the prefix cache has something to find.
    """

    def submit(self, request: RunRequest) -> Run:
        """Queue a run of as many prompt tokens as the request says."""
        tokens = request.prefill_tokens or request.prompt.tokens
        return super().submit(request._replace(prompt=request.prompt._replace(tokens=tokens)))
