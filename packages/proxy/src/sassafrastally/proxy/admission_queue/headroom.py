"""Headroom for more urgent prompts: when a less urgent one that has waited may start.

Guards against floods of long prompts beside short ones where engines are few. Long prompts that
wait take freed room at once, so that engines are never idle, and each urgent prompt that arrives
finds them busy and misses its goal.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.admission_queue.expected_room import RATE_WINDOW_S
from sassafrastally.proxy.admission_queue.queue_order import is_late
from sassafrastally.proxy.engine_time import MAX_HELPERS, prefill_ms
from sassafrastally.proxy.load import NO_WORK
from sassafrastally.proxy.model import PromptSize
from sassafrastally.proxy.plan import SAFE_GOAL_SHARE, first_event_ms, free_tokens

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.proxy.admission_queue.queue_order import WaitingFacts
    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import EngineProfile, Route
    from sassafrastally.proxy.plan import Placement

MAX_ARRIVALS = 512
"""Arrivals of a service that are kept: those of three seconds, up to 170 a second and entry. Beyond
that, the rate is underestimated."""


class ArrivingKind(NamedTuple):
    """Requests of one route and priority that have arrived in the last seconds."""

    route: str
    priority: int
    goal_s: float
    prompt: PromptSize
    """Mean size of their prompts."""
    per_s: float
    """Arrivals a second at this entry."""


class Shortage(NamedTuple):
    """Room that a more urgent kind would lack."""

    route: str
    timely: int
    """Prompts of the kind that engines could start in time."""
    needed: int


class _Arrival(NamedTuple):
    at_s: float
    route: str
    priority: int
    goal_s: float
    prompt: PromptSize


class RecentArrivals:
    """Requests with a goal that have arrived at this entry in the last seconds, by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, deque[_Arrival]] = {}

    def record(
        self, service: str, route: Route, priority: int, prompt: PromptSize, now_s: float
    ) -> None:
        """Record a request; one whose route has no goal that can be met needs no headroom."""
        if route.goal_s is not None and 0 < route.goal_s < math.inf:
            arrivals = self._by_service.setdefault(service, deque(maxlen=MAX_ARRIVALS))
            arrivals.append(_Arrival(now_s, route.name, priority, route.goal_s, prompt))

    def ahead_of(
        self, service: str, facts: WaitingFacts, views: Iterable[ServerView], now_s: float
    ) -> list[ArrivingKind]:
        """Return the kinds that come before a waiting request.

        These are the more urgent ones. While less urgent work is about, a request that has missed
        its goal also comes after its own kind: room that is taken for it makes the next one late.
        """
        arrivals = self._recent(service, now_s)
        yields = is_late(facts, now_s) and (
            any(arrival.priority > facts.priority for arrival in arrivals)
            or any(view.work.long_requests for view in views)
        )
        kinds: dict[tuple[int, str], list[_Arrival]] = {}
        for arrival in arrivals:
            if arrival.priority < facts.priority + yields:
                kinds.setdefault((arrival.priority, arrival.route), []).append(arrival)
        return [_kind(kinds[key]) for key in sorted(kinds)]

    def _recent(self, service: str, now_s: float) -> deque[_Arrival]:
        arrivals = self._by_service.get(service, deque())
        while arrivals and arrivals[0].at_s < now_s - RATE_WINDOW_S:
            arrivals.popleft()
        return arrivals


def _kind(arrivals: Sequence[_Arrival]) -> ArrivingKind:
    first, count = arrivals[0], len(arrivals)
    prompt = PromptSize(
        sum(arrival.prompt.prompt_tokens for arrival in arrivals) // count,
        sum(arrival.prompt.output_tokens for arrival in arrivals) // count,
    )
    return ArrivingKind(first.route, first.priority, first.goal_s, prompt, count / RATE_WINDOW_S)


def find_shortage(
    kinds: Iterable[ArrivingKind],
    placement: Placement,
    views: Sequence[ServerView],
    profile: EngineProfile,
    entries: int,
) -> Shortage | None:
    """Return what the first of several kinds would lack if a prompt started; ``None`` if nothing.

    Each kind needs room for the prompts that are expected until the started one is prefilled, and
    for those of one more goal, after which room that becomes free comes too late for them. Engines
    that are cold, limited or suspected don't count, and nothing is reserved for a kind that no
    engine could serve in time even if it were idle.

    Parameters
    ----------
    kinds
        Kinds that have arrived lately and come first.
    placement
        Where the prompt would start.
    views
        The engines as they are now.
    profile
        Performance profile of the engines.
    entries
        Number of live entries; each is assumed to receive as many requests as this one.
    """
    usable = [view for view in views if not (view.is_suspect or view.is_limited or view.is_cold)]
    after = [_after(view, placement) for view in usable]
    for kind in kinds:
        if not any(_timely_prompts(view._replace(work=NO_WORK), kind, profile) for view in usable):
            continue
        reserved_s = placement.predicted_s + kind.goal_s
        needed = math.ceil(kind.per_s * entries * reserved_s)
        timely = sum(_timely_prompts(view, kind, profile) for view in after)
        if timely < needed:
            return Shortage(kind.route, timely, needed)
    return None


def _after(view: ServerView, placement: Placement) -> ServerView:
    """Return an engine as it is once the prompt has started."""
    incarnation_id, work = view.server.incarnation_id, view.work
    for part in placement.parts:
        if part.incarnation_id == incarnation_id:
            work = work._replace(
                prefill_requests=work.prefill_requests + 1,
                prefill_ms=work.prefill_ms + part.prefill_ms,
            )
    for holding in placement.holdings:
        if holding.server.incarnation_id == incarnation_id:
            work = work._replace(tokens=work.tokens + holding.tokens)
    if placement.server.incarnation_id == incarnation_id:
        work = work._replace(long_requests=work.long_requests + 1)
    return view._replace(work=work)


def _timely_prompts(view: ServerView, kind: ArrivingKind, profile: EngineProfile) -> int:
    """Return how many prompts of a kind an engine could start so that they meet their goal."""
    limit_ms = SAFE_GOAL_SHARE * kind.goal_s * 1000
    left_ms = limit_ms - first_event_ms(view, 0.0, profile)
    own_ms = prefill_ms(profile, kind.prompt.prompt_tokens) * view.pace
    # A prompt that takes one engine too long is prefilled by several.
    part_ms = own_ms / min(MAX_HELPERS + 1, max(1, math.ceil(2 * own_ms / limit_ms)))
    tokens = kind.prompt.prompt_tokens + kind.prompt.output_tokens
    return max(
        0,
        min(
            profile.slots - view.work.requests,
            int(left_ms / part_ms) if part_ms else profile.slots,
            free_tokens(view, profile) // tokens if tokens else profile.slots,
        ),
    )
