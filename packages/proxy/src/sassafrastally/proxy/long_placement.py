"""Which engines read and answer a long prompt.

The load that it answers: prompts that take one engine seconds to read, several at a time, beside
short ones. They are read in parts by many engines at once; more engines read sooner and hold up
more of what others write, and the cheapest plan is taken.
"""

from __future__ import annotations

import math
from heapq import nsmallest
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import MOST_HELPERS, pass_ms, reading_ms
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

    from sassafrastally.proxy.lanes import Lanes, Scatter, ServerView
    from sassafrastally.proxy.model import EngineFigures, PromptSize
    from sassafrastally.proxy.reading_limits import ReadingLimits

LONG_VALUE_PER_K = 0.1
"""What a late long request counts for, in late short ones for each 1,000 tokens: a caller with a
dossier of 180,000 tokens waits on as much work as some twenty with a short note."""

DELAY_COST = 0.05
"""Part of a request's value lost by a first event at its goal rather than at once: among plans that
harm nobody the fastest is taken."""

OPENING_COST = 0.5
"""What it costs to let an engine write for its first long request. Engines that only read harm
nobody, so long requests are answered by few engines and read by the others."""

CONSIDERED = 3 * (MOST_HELPERS + 1)
"""Engines among which a long prompt's are chosen: three times what it may take. A choice among some
hundred would hold up all else that the process does."""


def place_long(
    lanes: Lanes,
    prompt: PromptSize,
    goal_s: float,
    figures: EngineFigures,
    limits: ReadingLimits,
    scatter: Scatter,
) -> Placement | None:
    """Return the cheapest plan to read a long prompt, over all sizes of the group that reads it.

    More engines read it sooner but hold up more of what others write. Both are counted in the same
    unit, short requests that become late.
    """
    own_ms = reading_ms(figures, prompt.prompt_tokens)
    in_long_lane = {view.server.life_id for view in lanes.long}
    candidates = [
        _candidate(view, view.server.life_id not in in_long_lane, figures)
        for view in dict.fromkeys([*lanes.long, *lanes.short])
        if view.work.reading_requests < figures.slots
    ]
    # Engines that are equally good are taken in an order of this entry's own: two entries that
    # place at the same moment would otherwise read two dossiers on the same engines.
    scatter.random.shuffle(candidates)
    needed = prompt.prompt_tokens + prompt.output_tokens
    usual_part_ms = own_ms / min(MOST_HELPERS + 1, max(1, len(candidates)))
    considered = _least_harmed(candidates, CONSIDERED, usual_part_ms, limits)
    if not _has_leader(considered, needed, figures) and _has_leader(candidates, needed, figures):
        considered = candidates
    # Engines with much to read already are harmed least by more, and would be taken first; the
    # prompt must also be weighed against those that can begin soon.
    soon = [
        candidate for candidate in considered if candidate.view.work.reading_ms < goal_s * 1000 / 3
    ]
    choices = (considered, soon) if len(soon) < len(considered) else (considered,)
    most_parts = min(MOST_HELPERS + 1, len(considered), max(1, int(own_ms / limits.least_part_ms)))
    best: Placement | None = None
    best_cost = math.inf
    for size in range(1, most_parts + 1):
        for group in choices:
            plan = _plan_group(group, size, own_ms / size, needed, figures, limits)
            if plan is None:
                continue
            cost = _late_cost(prompt, plan.placement.predicted_s / goal_s) + plan.harm
            if cost < best_cost:
                best, best_cost = plan.placement, cost
    return best


class _Candidate(NamedTuple):
    """An engine with what doesn't depend on the part that it would read."""

    view: ServerView
    before_ms: float
    """Pause that its writers have without the part."""
    written: float
    """What the long requests that it writes count for, in short ones."""
    is_short_lane: bool


class _GroupPlan(NamedTuple):
    placement: Placement
    harm: float
    """Requests that become late by it, counted in short ones."""


def _candidate(view: ServerView, is_short_lane: bool, figures: EngineFigures) -> _Candidate:
    work = view.work
    before_ms = pass_ms(figures, work.requests, work.tokens) * view.pace + work.reading_ms
    # Only long requests that are being written have pauses; counted with those that are still read,
    # engines that lead a dossier seemed so dear that the next one was read by two or three alone.
    written = LONG_VALUE_PER_K * work.writing_tokens / 1000
    return _Candidate(view, before_ms, written, is_short_lane)


def _can_lead(view: ServerView, needed: int, figures: EngineFigures) -> bool:
    """Return whether an engine has a slot and the memory to answer a prompt alone."""
    return view.work.requests < figures.slots and free_tokens(view, figures) >= needed


def _has_leader(candidates: Sequence[_Candidate], needed: int, figures: EngineFigures) -> bool:
    return any(_can_lead(candidate.view, needed, figures) for candidate in candidates)


def _least_harmed(
    candidates: Sequence[_Candidate], count: int, part_ms: float, limits: ReadingLimits
) -> list[_Candidate]:
    """Return the engines that a part harms least, those with least to read first among equals."""
    return nsmallest(
        count,
        candidates,
        key=lambda one: (_harm(one, part_ms, limits), one.view.work.reading_ms),
    )


def _plan_group(
    candidates: Sequence[_Candidate],
    size: int,
    part_ms: float,
    needed: int,
    figures: EngineFigures,
    limits: ReadingLimits,
) -> _GroupPlan | None:
    """Return the plan with the least harm for a group of that size."""
    ranked = sorted(
        ((_harm(one, part_ms, limits), one.view.work.reading_ms, one.view) for one in candidates),
        key=lambda row: row[:2],
    )
    harms = {view.server.life_id: harm for harm, _, view in ranked}
    leaders = [
        (harm + (0.0 if view.work.long_requests else OPENING_COST), reading, place)
        for place, (harm, reading, view) in enumerate(ranked)
        if _can_lead(view, needed, figures)
    ]
    helpers = [view for _, _, view in ranked if not view.is_limited]
    if leaders:
        leader = ranked[min(leaders)[2]][2]
        holdings: tuple[Holding, ...] = (Holding(leader.server, needed),)
        group = [leader, *[view for view in helpers if view is not leader][: size - 1]]
    else:
        views = helpers
        shared = _holdings(views[: MOST_HELPERS + 1], needed, figures)
        if shared is None:
            return None
        holdings = shared
        holders = {holding.server.life_id for holding in holdings}
        group = [view for view in views if view.server.life_id in holders]
        group += [view for view in views if view not in group][: max(0, size - len(group))]
    part_ms = part_ms * size / len(group)
    placement = make_placement(group, holdings, Lane.LONG, part_ms, figures)
    return _GroupPlan(placement, sum(harms[view.server.life_id] for view in group))


def _late_cost(prompt: PromptSize, share_of_goal: float) -> float:
    """Return what a first event at that share of its goal costs."""
    value = max(1.0, LONG_VALUE_PER_K * prompt.prompt_tokens / 1000)
    late = min(1.0, max(0.0, share_of_goal - SAFE_GOAL_SHARE) / (1.2 - SAFE_GOAL_SHARE))
    return value * (late + DELAY_COST * share_of_goal)


def _harm(candidate: _Candidate, part_ms: float, limits: ReadingLimits) -> float:
    """Return how many requests there become late by a part, counted in short ones."""
    work = candidate.view.work
    harm = 0.0
    if candidate.is_short_lane:
        # A part as long as a pause in the short lane makes one future request late.
        harm = part_ms / limits.strict_pause_ms
    if not work.short_requests and not candidate.written:
        return harm
    before_ms = candidate.before_ms
    after_ms = before_ms + part_ms * candidate.view.pace
    for requests, limits_ms in (
        (work.short_requests, limits.short_pauses_ms),
        (candidate.written, limits.long_pauses_ms),
    ):
        if requests:
            harm += requests * (_lateness(after_ms, limits_ms) - _lateness(before_ms, limits_ms))
    return harm


def _lateness(pause_ms: float, limits_ms: tuple[float, float]) -> float:
    """Return how likely a pause is too long, rising between two limits."""
    low_ms, high_ms = limits_ms
    return min(1.0, max(0.0, (pause_ms - low_ms) / (high_ms - low_ms)))


def _holdings(
    group: Sequence[ServerView], needed: int, figures: EngineFigures
) -> tuple[Holding, ...] | None:
    """Return where a prompt's memory lies; ``None`` when the group hasn't enough.

    One engine holds it if one can. Otherwise the one with most room answers, and the others hold
    as much as they can, those with most room first.
    """
    roomy = sorted(group, key=lambda view: free_tokens(view, figures), reverse=True)
    leaders = [
        view
        for view in roomy
        if view.work.requests < figures.slots and free_tokens(view, figures) > 0
    ]
    fitting = [view for view in leaders if free_tokens(view, figures) >= needed]
    if fitting:
        leader = min(fitting, key=lambda view: (view.work.requests, view.work.tokens))
        return (Holding(leader.server, needed),)
    if not leaders:
        return None
    leader = leaders[0]
    left = needed - free_tokens(leader, figures)
    holdings = [Holding(leader.server, free_tokens(leader, figures))]
    for view in roomy:
        if view is not leader and left > 0:
            tokens = min(left, free_tokens(view, figures))
            if tokens > 0:
                holdings.append(Holding(view.server, tokens))
                left -= tokens
    return tuple(holdings) if left <= 0 else None
