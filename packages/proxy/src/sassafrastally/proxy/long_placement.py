"""Placement of long prompts: which engines prefill and answer them.

Long prompts take one engine seconds to prefill, and several arrive at a time, next to short ones.
Many engines prefill parts of one prompt in parallel. More engines finish the prefill sooner but
delay more of the requests that they decode; the plan with the lowest cost is chosen.
"""

from __future__ import annotations

import math
from heapq import nsmallest
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import MAX_HELPERS, pass_ms, prefill_ms
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.plan import (
    SAFE_GOAL_SHARE,
    Holding,
    Placement,
    free_tokens,
    make_placement,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import Lanes, PlacementRandomizer, ServerView
    from sassafrastally.proxy.model import EngineProfile, PromptSize
    from sassafrastally.proxy.prefill_limits import PrefillLimits

LONG_VALUE_PER_1000_TOKENS = 0.1
"""Cost of a late long request for each 1,000 tokens, in late short requests: a prompt of 180,000
tokens is as much work as about twenty short ones."""

DELAY_COST = 0.05
"""Share of a request's value that is lost if its first event comes at its goal rather than at once.
Among plans that delay no other request, it selects the fastest."""

FIRST_LONG_DECODE_COST = 0.5
"""Cost of starting to decode a long request on an engine that has none. Engines that only prefill
delay no decoding, so few engines answer long requests and the others only prefill."""

MAX_CONSIDERED_ENGINES = 3 * (MAX_HELPERS + 1)
"""Most engines considered for a long prompt: three times as many as it can use. A search over a
hundred or more would block the process for too long."""


def place_long(
    lanes: Lanes,
    prompt: PromptSize,
    goal_s: float,
    profile: EngineProfile,
    limits: PrefillLimits,
    randomizer: PlacementRandomizer,
) -> Placement | None:
    """Return the plan with the lowest cost for a long prompt, over all group sizes.

    More engines prefill the prompt sooner but delay more requests that are being decoded. Both
    costs have the same unit: short requests that become late.
    """
    own_ms = prefill_ms(profile, prompt.prompt_tokens)
    in_long_lane = {view.server.incarnation_id for view in lanes.long}
    candidates = [
        _make_candidate(view, view.server.incarnation_id not in in_long_lane, profile)
        for view in dict.fromkeys([*lanes.long, *lanes.short])
        if view.work.prefill_requests < profile.slots
    ]
    # Equally good engines are taken in a random order: otherwise two entries that place long
    # prompts at the same time would choose the same engines.
    randomizer.random.shuffle(candidates)
    needed = prompt.prompt_tokens + prompt.output_tokens
    usual_part_ms = own_ms / min(MAX_HELPERS + 1, max(1, len(candidates)))
    considered = _least_delayed(candidates, MAX_CONSIDERED_ENGINES, usual_part_ms, limits)
    if not _any_can_answer_alone(considered, needed, profile) and _any_can_answer_alone(
        candidates, needed, profile
    ):
        considered = candidates
    # A further part adds least lateness on engines with a long prefill backlog, so these rank
    # first. The engines that can start soon are therefore tried as a separate choice.
    ready_soon = [
        candidate for candidate in considered if candidate.view.work.prefill_ms < goal_s * 1000 / 3
    ]
    choices = (considered, ready_soon) if len(ready_soon) < len(considered) else (considered,)
    max_parts = min(MAX_HELPERS + 1, len(considered), max(1, int(own_ms / limits.min_long_part_ms)))
    best: Placement | None = None
    best_cost = math.inf
    for size in range(1, max_parts + 1):
        for group in choices:
            plan = _plan_group(group, size, own_ms / size, needed, profile, limits)
            if plan is None:
                continue
            cost = _late_cost(prompt, plan.placement.predicted_s / goal_s) + plan.added_lateness
            if cost < best_cost:
                best, best_cost = plan.placement, cost
    return best


class _Candidate(NamedTuple):
    """An engine with the values that don't depend on the size of its part."""

    view: ServerView
    pause_before_ms: float
    """Pause of the requests that it decodes, without the part."""
    decoding_weight: float
    """Weight of the long requests that it decodes, in short requests."""
    is_short_lane: bool


class _GroupPlan(NamedTuple):
    placement: Placement
    added_lateness: float
    """Expected number of requests that it makes late, in short requests."""


def _make_candidate(view: ServerView, is_short_lane: bool, profile: EngineProfile) -> _Candidate:
    work = view.work
    pause_before_ms = pass_ms(profile, work.requests, work.tokens) * view.pace + work.prefill_ms
    # Only long requests that are being decoded have pauses. If those in prefill counted too, the
    # engines that answer long prompts would look so expensive that two or three engines would
    # prefill the next prompt alone.
    decoding_weight = LONG_VALUE_PER_1000_TOKENS * work.decoding_tokens / 1000
    return _Candidate(view, pause_before_ms, decoding_weight, is_short_lane)


def _can_answer_alone(view: ServerView, needed: int, profile: EngineProfile) -> bool:
    """Return whether an engine has a free slot and enough memory to answer a prompt alone."""
    return view.work.requests < profile.slots and free_tokens(view, profile) >= needed


def _any_can_answer_alone(
    candidates: Sequence[_Candidate], needed: int, profile: EngineProfile
) -> bool:
    return any(_can_answer_alone(candidate.view, needed, profile) for candidate in candidates)


def _least_delayed(
    candidates: Sequence[_Candidate], count: int, part_ms: float, limits: PrefillLimits
) -> list[_Candidate]:
    """Return the engines with the least added lateness, then with the least prefill backlog."""
    return nsmallest(
        count,
        candidates,
        key=lambda one: (_added_lateness(one, part_ms, limits), one.view.work.prefill_ms),
    )


def _plan_group(
    candidates: Sequence[_Candidate],
    size: int,
    part_ms: float,
    needed: int,
    profile: EngineProfile,
    limits: PrefillLimits,
) -> _GroupPlan | None:
    """Return the plan that adds the least lateness for a group of that size."""
    ranked = sorted(
        (
            (_added_lateness(one, part_ms, limits), one.view.work.prefill_ms, one.view)
            for one in candidates
        ),
        key=lambda row: row[:2],
    )
    lateness_by_incarnation_id = {
        view.server.incarnation_id: added_lateness for added_lateness, _, view in ranked
    }
    primaries = [
        (
            added_lateness + (0.0 if view.work.long_requests else FIRST_LONG_DECODE_COST),
            backlog_ms,
            view.is_cold,
            index,
        )
        for index, (added_lateness, backlog_ms, view) in enumerate(ranked)
        if _can_answer_alone(view, needed, profile)
    ]
    helpers = [view for _, _, view in ranked if not view.is_limited]
    if primaries:
        primary = ranked[min(primaries)[-1]][2]
        holdings: tuple[Holding, ...] = (Holding(primary.server, needed),)
        group = [primary, *[view for view in helpers if view is not primary][: size - 1]]
    else:
        views = helpers
        shared = _holdings(views[: MAX_HELPERS + 1], needed, profile)
        if shared is None:
            return None
        holdings = shared
        holders = {holding.server.incarnation_id for holding in holdings}
        group = [view for view in views if view.server.incarnation_id in holders]
        group += [view for view in views if view not in group][: max(0, size - len(group))]
    part_ms = part_ms * size / len(group)
    placement = make_placement(group, holdings, Lane.LONG, part_ms, profile)
    return _GroupPlan(
        placement, sum(lateness_by_incarnation_id[view.server.incarnation_id] for view in group)
    )


def _late_cost(prompt: PromptSize, share_of_goal: float) -> float:
    """Return the cost of a first event at that share of its goal."""
    value = max(1.0, LONG_VALUE_PER_1000_TOKENS * prompt.prompt_tokens / 1000)
    late = min(1.0, max(0.0, share_of_goal - SAFE_GOAL_SHARE) / (1.2 - SAFE_GOAL_SHARE))
    return value * (late + DELAY_COST * share_of_goal)


def _added_lateness(candidate: _Candidate, part_ms: float, limits: PrefillLimits) -> float:
    """Return the expected requests on an engine that a part makes late, in short requests."""
    work = candidate.view.work
    added_lateness = 0.0
    if candidate.is_short_lane:
        # A part as long as the strictest pause is assumed to make one future request late.
        added_lateness = part_ms / limits.strict_pause_ms
    if not work.short_requests and not candidate.decoding_weight:
        return added_lateness
    pause_before_ms = candidate.pause_before_ms
    pause_after_ms = pause_before_ms + part_ms * candidate.view.pace
    for requests, limits_ms in (
        (work.short_requests, limits.short_pauses_ms),
        (candidate.decoding_weight, limits.long_pauses_ms),
    ):
        if requests:
            added_lateness += requests * (
                _late_probability(pause_after_ms, limits_ms)
                - _late_probability(pause_before_ms, limits_ms)
            )
    return added_lateness


def _late_probability(pause_ms: float, limits_ms: tuple[float, float]) -> float:
    """Return the probability that a pause is too long; it rises linearly between two limits."""
    low_ms, high_ms = limits_ms
    return min(1.0, max(0.0, (pause_ms - low_ms) / (high_ms - low_ms)))


def _holdings(
    group: Sequence[ServerView], needed: int, profile: EngineProfile
) -> tuple[Holding, ...] | None:
    """Return how a prompt's memory is divided; ``None`` when the group doesn't have enough.

    A single engine holds it if possible. Otherwise the engine with the most free memory answers,
    and the others hold as much as they can, in the order of their free memory.
    """
    by_free_memory = sorted(group, key=lambda view: free_tokens(view, profile), reverse=True)
    primaries = [
        view
        for view in by_free_memory
        if view.work.requests < profile.slots and free_tokens(view, profile) > 0
    ]
    fitting = [view for view in primaries if free_tokens(view, profile) >= needed]
    if fitting:
        primary = min(fitting, key=lambda view: (view.work.requests, view.work.tokens))
        return (Holding(primary.server, needed),)
    if not primaries:
        return None
    primary = primaries[0]
    left = needed - free_tokens(primary, profile)
    holdings = [Holding(primary.server, free_tokens(primary, profile))]
    for view in by_free_memory:
        if view is not primary and left > 0:
            tokens = min(left, free_tokens(view, profile))
            if tokens > 0:
                holdings.append(Holding(view.server, tokens))
                left -= tokens
    return tuple(holdings) if left <= 0 else None
