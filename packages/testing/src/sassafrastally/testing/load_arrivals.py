"""Loads to replay: kinds of request, how often they come, and bursts."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

# These at run time too: they are fields of named tuples.
from sassafrastally.proxy.model import EngineProfile, PromptSize, Route, RouteKind

if TYPE_CHECKING:
    from collections.abc import Sequence

MOST_ATTEMPTS = 2


class Kind(NamedTuple):
    """One kind of request."""

    name: str
    rate_per_s: float
    prompt_tokens: float
    """Mean size of its prompts."""
    prompt_spread: float
    """Standard deviation of the size's logarithm."""
    most_tokens: int
    events: float
    """Mean number of an answer's events."""
    goal_s: float
    pause_goal_s: float
    patience_s: float
    """Time that a caller waits for the whole answer."""
    value: float
    """What a timely answer is worth."""
    late_value: float
    priority: int = 1
    """0 is the highest."""


class Deployment(NamedTuple):
    """Engines, entries and the usual load."""

    profile: EngineProfile
    engines: int
    entries: int
    kinds: tuple[Kind, ...]
    news_gap_s: float
    """Time between two datagrams of an entry."""
    customers: tuple[tuple[str, float], ...] = ()
    """Names of the customers and their weights; without any, requests have no customer."""
    data_centres: int = 1
    """Entries and engines are spread evenly over them. With several, the links are uneven: long
    prompts are placed in the entry's own data centre if they are in time there."""


class Burst(NamedTuple):
    """A time in which a kind of request comes more often, or more rarely."""

    from_s: float
    until_s: float
    factor: float
    kinds: tuple[str, ...] = ()
    """Names of the kinds; none stands for all."""


class Arrival(NamedTuple):
    """One caller's request."""

    at_s: float
    kind: Kind
    prompt: PromptSize
    events: int
    customer: str = ""
    data_centre: str = ""
    """Whose entries the caller chooses from; empty for all."""


def make_arrivals(
    deployment: Deployment, bursts: Sequence[Burst], length_s: float, seed: int
) -> list[Arrival]:
    """Return the requests of a load, in order.

    Parameters
    ----------
    deployment
        Whose kinds of request come.
    bursts
        What comes more often, and when.
    length_s
        How long the load lasts.
    seed
        Draws times and sizes.
    """
    draw = random.Random(seed)
    found = []
    for kind in deployment.kinds:
        now_s = 0.0
        highest = max([1.0, *(burst.factor for burst in bursts)])
        while (now_s := now_s + draw.expovariate(kind.rate_per_s * highest)) < length_s:
            factor = math.prod(
                burst.factor
                for burst in bursts
                if burst.from_s <= now_s < burst.until_s
                and (not burst.kinds or kind.name in burst.kinds)
            )
            if draw.random() < factor / highest:
                found.append(_arrival(kind, now_s, deployment.profile, draw))
    found.sort(key=lambda arrival: arrival.at_s)
    if not deployment.customers:
        return found
    names = [name for name, _ in deployment.customers]
    weights = [weight for _, weight in deployment.customers]
    chosen = draw.choices(names, weights, k=len(found))
    return [
        arrival._replace(customer=customer) for arrival, customer in zip(found, chosen, strict=True)
    ]


def make_route(kind: Kind) -> Route:
    """Return the route of a kind of request."""
    return Route(
        name=kind.name,
        host="h",
        path_prefix=f"/{kind.name}/",
        kind=RouteKind.STREAM,
        shares=(),
        time_limit_s=kind.patience_s,
        goal_s=kind.goal_s,
        pause_goal_s=kind.pause_goal_s,
        priority=kind.priority,
        max_attempts=MOST_ATTEMPTS,
        is_public=False,
        is_resumable=True,
    )


def _arrival(kind: Kind, at_s: float, profile: EngineProfile, draw: random.Random) -> Arrival:
    centre = math.log(kind.prompt_tokens) - kind.prompt_spread**2 / 2
    tokens = int(min(kind.most_tokens, draw.lognormvariate(centre, kind.prompt_spread)))
    events = max(1, round(kind.events * draw.uniform(0.5, 1.5)))
    return Arrival(at_s, kind, PromptSize(tokens, events * profile.steps_per_pass), events)
