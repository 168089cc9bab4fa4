"""What an experiment plays, as its TOML file says."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

NOTHING: Mapping[str, Any] = MappingProxyType({})


class Sizes(NamedTuple):
    """Token counts: log-normal around a median, up to a bound."""

    median_tokens: int
    sigma: float = 0.0
    most_tokens: int = 1_000_000


class RoutePlan(NamedTuple):
    """A route and what its callers expect."""

    name: str
    kind: str = "streaming"
    service: str = "engines"
    timeout_ms: int = 5000
    goal_ms: int = 300
    """Time until the first event, or the answer, for one served in time."""
    gap_goal_ms: int = 250
    """Longest pause between two events for one served in time."""
    max_attempts: int = 2


class Burst(NamedTuple):
    """A time with several times the usual traffic."""

    at_s: float
    for_s: float
    times: float


class Wave(NamedTuple):
    """Traffic that swings around its mean."""

    period_s: float
    share: float
    """Greatest deviation, as a share of the mean."""


class TrafficPlan(NamedTuple):
    """Callers of one route."""

    route: str
    per_s: float
    prompt: Sizes = Sizes(1000)
    output: Sizes = Sizes(340)
    from_s: float = 0.0
    until_s: float = float("inf")
    bursts: tuple[Burst, ...] = ()
    wave: Wave = Wave(1.0, 0.0)
    repeated_share: float = 0.0
    """Share of the requests that ask for one of a few bodies."""
    harmful_share: float = 0.0
    """Share of the requests that crash each engine that runs them."""
    customer: str = "ana"


class TroublePlan(NamedTuple):
    """Something that goes wrong for a while."""

    kind: str
    at_s: float
    for_s: float
    share: float = 0.2
    """Share of the entries or engines that it strikes; one at least."""
    x: float = 1.0
    """How bad it is; what that means depends on the kind."""


class EngineGroup(NamedTuple):
    """Engines of one pace."""

    number: int
    pace: float = 1.0
    """How many times slower than their figures they work."""


class VariantPlan(NamedTuple):
    """The same fleet with other settings of policies."""

    constants: Mapping[str, Any] = NOTHING
    """New values of constants, by module and name: ``lanes.SHORT_FILL``."""
    without: tuple[str, ...] = ()
    """Mechanisms that are off."""


class ExperimentPlan(NamedTuple):
    """A whole experiment."""

    name: str
    duration_s: float
    seeds: tuple[int, ...]
    routes: tuple[RoutePlan, ...]
    traffic: tuple[TrafficPlan, ...]
    engines: tuple[EngineGroup, ...]
    entries: int = 3
    data_centres: int = 1
    plain_servers: int = 4
    engine: Mapping[str, float] = NOTHING
    """Figures of an engine that differ from the usual ones."""
    link_delay_ms: float = 0.2
    """Least time from one host to another."""
    link_jitter_ms: float = 1.0
    """Most time beyond that."""
    lost_share: float = 0.0
    """Share of the datagrams between entries that are lost."""
    troubles: tuple[TroublePlan, ...] = ()
    variants: Mapping[str, VariantPlan] = NOTHING

    def variant(self, name: str) -> VariantPlan:
        """Return a variant; the base has no changes."""
        return self.variants.get(name, VariantPlan())

    @property
    def variant_names(self) -> tuple[str, ...]:
        """Names of all variants, the base first."""
        return (BASE, *(name for name in self.variants if name != BASE))


BASE = "base"
"""The variant that others are compared with."""
