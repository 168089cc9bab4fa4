"""Which engines read and answer a long prompt.

The load that it answers: prompts that take one engine seconds to read, several at a time, beside
short ones. They are read in parts by many engines at once; more engines read sooner and hold up
more of what others write, and the cheapest plan is taken.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import pass_ms, reading_ms
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.plan import (
    MOST_HELPERS,
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
    in_short_lane = {view.server.life_id for view in lanes.short} - {
        view.server.life_id for view in lanes.long
    }
    views = [
        view
        for view in dict.fromkeys([*lanes.long, *lanes.short])
        if view.work.reading_requests < figures.slots
    ]
    # Engines that are equally good are taken in an order of this entry's own: two entries that
    # place at the same moment would otherwise read two dossiers on the same engines.
    scatter.random.shuffle(views)
    best: Placement | None = None
    best_cost = math.inf
    for size in range(
        1, min(MOST_HELPERS + 1, len(views), max(1, int(own_ms / limits.least_part_ms))) + 1
    ):
        part_ms = own_ms / size
        harms = {
            view.server.life_id: _harm(view, part_ms, figures, limits)
            # A part as long as a pause in the short lane makes one future request late.
            + (part_ms / limits.strict_pause_ms if view.server.life_id in in_short_lane else 0.0)
            for view in views
        }
        # Engines with much to read already are harmed least by more, and would be taken first;
        # the prompt must also be weighed against those that can begin soon.
        soon = [view for view in views if view.work.reading_ms < goal_s * 1000 / 3]
        for candidates in (views, soon):
            plan = _plan_group(candidates, harms, size, part_ms, prompt, figures)
            if plan is None:
                continue
            cost = _late_cost(prompt, plan.predicted_s / goal_s)
            cost += sum(harms[part.life_id] for part in plan.parts)
            if cost < best_cost:
                best, best_cost = plan, cost
    return best


def _plan_group(
    views: Sequence[ServerView],
    harms: dict[str, float],
    size: int,
    part_ms: float,
    prompt: PromptSize,
    figures: EngineFigures,
) -> Placement | None:
    """Return the plan with the least harm for a group of that size."""
    ranked = sorted(views, key=lambda view: (harms[view.server.life_id], view.work.reading_ms))
    needed = prompt.prompt_tokens + prompt.output_tokens
    leaders = [
        view
        for view in ranked
        if view.work.requests < figures.slots and free_tokens(view, figures) >= needed
    ]
    if not leaders:
        holdings = _holdings(ranked[: MOST_HELPERS + 1], needed, figures)
        if holdings is None:
            return None
        holders = {holding.server.life_id for holding in holdings}
        group = [view for view in ranked if view.server.life_id in holders]
        group += [view for view in ranked if view not in group][: max(0, size - len(group))]
        return make_placement(group, holdings, Lane.LONG, part_ms * size / len(group), figures)

    def leader_cost(view: ServerView) -> tuple[float, float]:
        opens = 0.0 if view.work.long_requests else OPENING_COST
        return harms[view.server.life_id] + opens, view.work.reading_ms

    leader = min(leaders, key=leader_cost)
    group = [leader, *[view for view in ranked if view is not leader][: size - 1]]
    return make_placement(group, (Holding(leader.server, needed),), Lane.LONG, part_ms, figures)


def _late_cost(prompt: PromptSize, share_of_goal: float) -> float:
    """Return what a first event at that share of its goal costs."""
    value = max(1.0, LONG_VALUE_PER_K * prompt.prompt_tokens / 1000)
    late = min(1.0, max(0.0, share_of_goal - SAFE_GOAL_SHARE) / (1.2 - SAFE_GOAL_SHARE))
    return value * (late + DELAY_COST * share_of_goal)


def _harm(view: ServerView, part_ms: float, figures: EngineFigures, limits: ReadingLimits) -> float:
    """Return how many requests there become late by a part, counted in short ones."""
    work = view.work
    before_ms = pass_ms(figures, work.requests, work.tokens) * view.pace + work.reading_ms
    after_ms = before_ms + part_ms * view.pace
    short = work.short_requests * (
        _lateness(after_ms, limits.short_pauses_ms) - _lateness(before_ms, limits.short_pauses_ms)
    )
    # Only long requests that are being written have pauses; counted with those that are still read,
    # engines that lead a dossier seemed so dear that the next one was read by two or three alone.
    written = LONG_VALUE_PER_K * work.writing_tokens / 1000
    long = written * (
        _lateness(after_ms, limits.long_pauses_ms) - _lateness(before_ms, limits.long_pauses_ms)
    )
    return short + long


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
