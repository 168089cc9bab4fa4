"""The two deployments that the bench measures, at their sizes of today."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.control.bundle import Weights
from sassafrastally.testing.engine_model import EngineShape, EngineTiming

MODEL = "reader"
"""Name of the one model that the bench's engines serve."""

SERVICE = "scheduling"
"""Name of the plain service that stands beside the engines."""


class Deployment(NamedTuple):
    """A fleet with its places, customers and weights."""

    name: str
    data_centres: tuple[str, ...]
    engines: int
    services: int
    """Replicas of the plain service."""
    entries: int
    between_s: float
    """One way between data centres."""
    client_s: float
    """One way between an entry and its clients."""
    customer_shares: tuple[float, ...]
    """Share of the arrivals that each customer sends."""
    weights: Weights


TEN_CUSTOMERS = (0.25, 0.2, 0.15) + (0.4 / 7,) * 7
"""Ten customers, three of them large."""

DEPLOYMENTS = {
    "yeso-justo": Deployment(
        name="yeso-justo",
        data_centres=("sala-cordon", "sala-prado", "sala-cerro"),
        engines=20,
        services=3,
        entries=3,
        between_s=0.001,
        client_s=0.001,
        customer_shares=TEN_CUSTOMERS,
        weights=Weights(short_slowdown=4.0, long_first_token=1.0),
    ),
    "sondrio": Deployment(
        name="sondrio",
        data_centres=("sondrio", "tirano", "chiavenna"),
        engines=15,
        services=3,
        entries=3,
        between_s=0.0015,
        client_s=0.003,
        customer_shares=TEN_CUSTOMERS,
        weights=Weights(short_slowdown=1.0, long_first_token=4.0),
    ),
}
"""Deployments by name."""

ENGINE_MEMORY_TOKENS = 1_100_000
"""Memory of each engine. The longest prompt fits, so that the class is measured on one engine."""

BLOCK_TOKENS = 256


def engine_shape(memory_tokens: int = ENGINE_MEMORY_TOKENS) -> EngineShape:
    """Return the sizes of the bench's engines; their step times are the model's own."""
    return EngineShape(
        models=(MODEL,),
        total_blocks=memory_tokens // BLOCK_TOKENS,
        block_tokens=BLOCK_TOKENS,
    )


def prefill_alone_s(tokens: int, shape: EngineShape) -> float:
    """Return how long an idle engine takes for a prefill of so many tokens."""
    timing: EngineTiming = shape.timing
    steps = -(-tokens // shape.step_tokens)
    compute_s = tokens * (timing.prefill_token_s + timing.attention_s * tokens / 2)
    return (steps * timing.step_s + compute_s) / shape.speed


def data_centre_of(place: int, deployment: Deployment) -> str:
    """Return the data centre of the VM of a number; VMs take turns over the data centres."""
    return deployment.data_centres[place % len(deployment.data_centres)]
