"""Limits on the prefill time that an engine can add to its decoding, from the goals of the routes.

On some routes callers notice a pause of a tenth to a quarter of a second, others allow several
times as much, and engines differ in speed. The limits are derived from the pauses that the routes
declare and from the length of a pass: fixed values that suit one workload make short requests late
on slower engines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import pass_ms
from sassafrastally.proxy.model import RouteKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.proxy.model import Configuration, EngineProfile, Route

UNDECLARED_PAUSE_S = 1.0
"""Pause goal of routes that declare none: long enough not to restrict the other routes."""

UNDECLARED_GOAL_S = 10.0
"""Goal for the first event if no route declares one: the usual time limit."""

TOLERANT_FACTOR = 1.6
"""Routes that allow at least this many times the strictest route's pause count as tolerant. For
routes that are closer, separate lanes gain less than the variation in the length of a pass."""

SHORT_PART_SHARE = 0.3
"""Largest share of the slack in a pause that one prompt's prefill takes, so that three prompts in
one pass still fit."""

MIN_PART_PASSES = 0.9
"""Shortest prefill time of a part, in passes. Below it, a further helper saves less time than the
pass in which it works."""

LATENESS_RISES_FROM = 0.7
LATENESS_RISES_TO = 1.05
"""Shares of an allowed pause at which the probability of lateness starts to rise and at which it
reaches one. The range covers errors of the predicted pass in both directions."""

TOLERANT_LATENESS_RISES_FROM = 0.75
TOLERANT_LATENESS_RISES_TO = 0.9
"""The same for tolerant routes, as shares of the shortest and of the longest pause that they allow:
the long prompts on an engine can come from any of them."""


class PrefillLimits(NamedTuple):
    """Limits on the prefill time that a prompt adds to a pass."""

    strict_pause_ms: float
    """Pause that the strictest route allows."""
    max_short_part_ms: float
    """Longest prefill of a short prompt on one engine; larger prompts get helpers."""
    min_long_part_ms: float
    """Shortest prefill time of a long prompt's part."""
    short_pauses_ms: tuple[float, float]
    """Pauses of short requests at which the probability of lateness starts to rise and is one."""
    long_pauses_ms: tuple[float, float]
    """The same for long requests."""
    longest_goal_s: float
    """Longest goal of the routes for the time to the first event."""

    def is_tolerant(self, pause_s: float | None) -> bool:
        """Return whether a route that allows this pause counts as tolerant."""
        allowed_ms = 1000 * (UNDECLARED_PAUSE_S if pause_s is None else pause_s)
        return allowed_ms >= TOLERANT_FACTOR * self.strict_pause_ms


class PrefillLimitsCache:
    """Cache of the limits by service, computed once per configuration version."""

    def __init__(self) -> None:
        self._version: int | None = None
        self._by_service: dict[str, PrefillLimits] = {}

    def for_service(
        self, configuration: Configuration, service: str, profile: EngineProfile
    ) -> PrefillLimits:
        """Return the limits for the engines of a service."""
        if self._version != configuration.version:
            self._version = configuration.version
            self._by_service.clear()
        if service not in self._by_service:
            routes = (
                route
                for route in configuration.routes
                if any(share.service == service for share in route.shares)
            )
            self._by_service[service] = prefill_limits_for(routes, profile)
        return self._by_service[service]


def prefill_limits_for(routes: Iterable[Route], profile: EngineProfile) -> PrefillLimits:
    """Return the limits for the routes of one service.

    Parameters
    ----------
    routes
        Routes to the service; those that don't stream are ignored.
    profile
        Performance profile of the engines.
    """
    routes = [route for route in routes if route.kind is RouteKind.STREAM]
    pauses_ms = sorted(
        1000 * (UNDECLARED_PAUSE_S if route.pause_goal_s is None else route.pause_goal_s)
        for route in routes
    ) or [1000 * UNDECLARED_PAUSE_S]
    strict_ms = pauses_ms[0]
    tolerant_ms = [pause for pause in pauses_ms if pause >= TOLERANT_FACTOR * strict_ms]
    shortest_ms, longest_ms = (
        (tolerant_ms[0], tolerant_ms[-1]) if tolerant_ms else (strict_ms, strict_ms)
    )
    full_pass_ms = pass_ms(profile, profile.slots, 0)
    slack_ms = max(strict_ms - full_pass_ms, full_pass_ms / 2)
    long_from_ms = TOLERANT_LATENESS_RISES_FROM * shortest_ms
    goals_s = [route.goal_s for route in routes if route.goal_s is not None]
    return PrefillLimits(
        strict_pause_ms=strict_ms,
        max_short_part_ms=SHORT_PART_SHARE * slack_ms,
        min_long_part_ms=MIN_PART_PASSES * full_pass_ms,
        short_pauses_ms=(LATENESS_RISES_FROM * strict_ms, LATENESS_RISES_TO * strict_ms),
        long_pauses_ms=(
            long_from_ms,
            max(TOLERANT_LATENESS_RISES_TO * longest_ms, 1.1 * long_from_ms),
        ),
        longest_goal_s=max(goals_s, default=UNDECLARED_GOAL_S),
    )
