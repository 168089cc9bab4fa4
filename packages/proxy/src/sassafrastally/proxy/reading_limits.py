"""How much reading an engine can take beside what it writes, by what the routes allow.

The load that it answers: routes whose callers notice a pause of a tenth to a quarter of a second,
beside routes that allow several times as much, on engines of any speed. What a prompt may add to a
pass follows from the pauses that the routes declare and from the length of a pass: figures that fit
one workload make short requests late on slower engines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import pass_ms
from sassafrastally.proxy.model import RouteKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.proxy.model import Configuration, EngineFigures, Route

UNDECLARED_PAUSE_S = 1.0
"""Pause that a route allows which declares none: long enough to bind nothing else."""

UNDECLARED_GOAL_S = 10.0
"""Goal where no route declares one: the usual time limit."""

TOLERANT_FACTOR = 1.6
"""Routes that allow this many times the strictest route's pause count as tolerant. Between two
routes that are closer a lane of their own would gain less than the spread of a pass."""

SHORT_PART_SHARE = 0.3
"""Share of the room in a pause that one prompt's reading may take: three that meet in one pass
still fit."""

LEAST_PART_PASSES = 0.9
"""Least reading time of a part, in passes: below this a further helper gains less than the pass in
which it reads."""

RISING_FROM = 0.7
RISING_TO = 1.05
"""Shares of an allowed pause from which on pauses come too late, and at which all do; predictions
of a pass err both ways."""

TOLERANT_RISING_FROM = 0.75
TOLERANT_RISING_TO = 0.9
"""The same for tolerant routes, of the least pause that one of them allows and of the longest: the
long prompts on an engine may come from any of them."""


class ReadingLimits(NamedTuple):
    """What reading may add to a pass; times in milliseconds."""

    strict_pause_ms: float
    """Pause that the strictest route allows."""
    short_part_ms: float
    """Longest reading on one engine for a short prompt; larger ones get helpers."""
    least_part_ms: float
    """Least reading time of a long prompt's part."""
    short_pauses_ms: tuple[float, float]
    """Pauses from which on events of short requests come too late, and at which all do."""
    long_pauses_ms: tuple[float, float]
    """The same for long requests."""
    longest_goal_s: float
    """Longest time within which a route wants its first event."""

    def is_tolerant(self, pause_s: float | None) -> bool:
        """Return whether a route that allows this pause counts as tolerant."""
        allowed_ms = 1000 * (UNDECLARED_PAUSE_S if pause_s is None else pause_s)
        return allowed_ms >= TOLERANT_FACTOR * self.strict_pause_ms


class KnownReadingLimits:
    """Limits by service, worked out once for each configuration."""

    def __init__(self) -> None:
        self._version: int | None = None
        self._by_service: dict[str, ReadingLimits] = {}

    def of(
        self, configuration: Configuration, service: str, figures: EngineFigures
    ) -> ReadingLimits:
        """Return what reading may add to a pass at the engines of a service."""
        if self._version != configuration.version:
            self._version = configuration.version
            self._by_service.clear()
        if service not in self._by_service:
            routes = (
                route
                for route in configuration.routes
                if any(share.service == service for share in route.shares)
            )
            self._by_service[service] = reading_limits(routes, figures)
        return self._by_service[service]


def reading_limits(routes: Iterable[Route], figures: EngineFigures) -> ReadingLimits:
    """Return the limits for the routes of one service.

    Parameters
    ----------
    routes
        Routes whose requests its engines answer; others are passed over.
    figures
        Figures of the engines.
    """
    routes = [route for route in routes if route.kind is RouteKind.STREAM]
    pauses_ms = sorted(
        1000 * (UNDECLARED_PAUSE_S if route.pause_goal_s is None else route.pause_goal_s)
        for route in routes
    ) or [1000 * UNDECLARED_PAUSE_S]
    strict_ms = pauses_ms[0]
    tolerant_ms = [pause for pause in pauses_ms if pause >= TOLERANT_FACTOR * strict_ms]
    least_ms, most_ms = (tolerant_ms[0], tolerant_ms[-1]) if tolerant_ms else (strict_ms, strict_ms)
    full_pass_ms = pass_ms(figures, figures.slots, 0)
    room_ms = max(strict_ms - full_pass_ms, full_pass_ms / 2)
    long_from_ms = TOLERANT_RISING_FROM * least_ms
    goals_s = [route.goal_s for route in routes if route.goal_s is not None]
    return ReadingLimits(
        strict_pause_ms=strict_ms,
        short_part_ms=SHORT_PART_SHARE * room_ms,
        least_part_ms=LEAST_PART_PASSES * full_pass_ms,
        short_pauses_ms=(RISING_FROM * strict_ms, RISING_TO * strict_ms),
        long_pauses_ms=(long_from_ms, max(TOLERANT_RISING_TO * most_ms, 1.1 * long_from_ms)),
        longest_goal_s=max(goals_s, default=UNDECLARED_GOAL_S),
    )
