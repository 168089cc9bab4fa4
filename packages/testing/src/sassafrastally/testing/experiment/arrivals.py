"""Requests of an experiment's callers, drawn from its seed."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.testing.experiment.plan import ExperimentPlan, Sizes, TrafficPlan

POPULAR_BODIES = 4
"""Bodies that are asked for again and again."""


class Arrival(NamedTuple):
    """A request as its caller means it."""

    number: int
    at_s: float
    route: str
    customer: str
    prompt_tokens: int
    output_tokens: int
    body: bytes
    is_harmful: bool
    entry_draw: float
    """Decides which entry it comes to first."""


def arrivals(plan: ExperimentPlan, seed: int) -> list[Arrival]:
    """Return all requests in the order in which they come."""
    drawn = [
        arrival
        for number, traffic in enumerate(plan.traffic)
        for arrival in _of_traffic(plan, traffic, random.Random(f"{seed}/{number}"))
    ]
    drawn.sort(key=lambda arrival: arrival.at_s)
    return [arrival._replace(number=number) for number, arrival in enumerate(drawn)]


def rate_per_s(traffic: TrafficPlan, at_s: float) -> float:
    """Return the rate of a traffic at a moment."""
    if not traffic.from_s <= at_s < traffic.until_s:
        return 0.0
    times = math.prod(
        burst.times for burst in traffic.bursts if burst.at_s <= at_s < burst.at_s + burst.for_s
    )
    swing = 1 + traffic.wave.share * math.sin(2 * math.pi * at_s / traffic.wave.period_s)
    return traffic.per_s * times * max(0.0, swing)


def _of_traffic(
    plan: ExperimentPlan, traffic: TrafficPlan, draw: random.Random
) -> Iterator[Arrival]:
    """Yield the requests of one traffic: a Poisson process that is thinned to the rate."""
    bursts = math.prod(max(1.0, burst.times) for burst in traffic.bursts)
    most_per_s = traffic.per_s * bursts * (1 + traffic.wave.share)
    at_s = 0.0
    while most_per_s > 0:
        at_s += draw.expovariate(most_per_s)
        if at_s >= plan.duration_s:
            return
        if draw.random() * most_per_s < rate_per_s(traffic, at_s):
            yield _arrival(traffic, at_s, draw)


def _arrival(traffic: TrafficPlan, at_s: float, draw: random.Random) -> Arrival:
    prompt_tokens, output_tokens = _size(traffic.prompt, draw), _size(traffic.output, draw)
    is_harmful = draw.random() < traffic.harmful_share
    is_repeated = draw.random() < traffic.repeated_share
    content = draw.randrange(POPULAR_BODIES) if is_repeated else draw.getrandbits(64)
    word = "harmful" if is_harmful else "prompt"
    body = f"{traffic.route} {word} {content}".encode()
    return Arrival(
        0,
        at_s,
        traffic.route,
        traffic.customer,
        prompt_tokens,
        output_tokens,
        body,
        is_harmful,
        draw.random(),
    )


def _size(sizes: Sizes, draw: random.Random) -> int:
    tokens = sizes.median_tokens * math.exp(draw.gauss(0.0, sizes.sigma))
    return max(1, min(sizes.most_tokens, round(tokens)))
