"""Placement of prompts: which engines prefill and answer them.

Pure functions of the known state of the engines, called by the tasks that own the connections.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.lanes import Lanes, split_lanes, split_lanes_by_centre
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.long_placement import place_long
from sassafrastally.proxy.pace import SLOW_PACE
from sassafrastally.proxy.short_placement import place_short

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView
    from sassafrastally.proxy.model import EngineProfile, PromptSize
    from sassafrastally.proxy.plan import Placement
    from sassafrastally.proxy.prefill_limits import PrefillLimits


MAX_PART_SHARE = 0.06
"""Largest prefill time that one prompt on one engine adds to the backlog, as a share of the longest
goal. Engines prefill later prompts before larger ones, so these needn't wait for a large one."""


def place_request(
    views: Sequence[ServerView],
    lane: Lane,
    prompt: PromptSize,
    goal_s: float,
    profile: EngineProfile,
    limits: PrefillLimits,
    randomizer: PlacementRandomizer,
    *,
    by_centre: bool = False,
) -> Placement | None:
    """Return the placement of a prompt among all engines; ``None`` when none has room.

    Some engines can become several times slower. Engines of usual pace are preferred as long as
    they meet the goal. Otherwise all engines are considered and the earliest plan is taken, so that
    requests are still served when all engines are slow.

    Parameters
    ----------
    views
        The engines, in the order that all entries use.
    lane, prompt, goal_s, profile, limits, randomizer
        As for `place_prompt`.
    by_centre
        Whether the engines of each data centre are split into lanes separately.
    """
    split = split_lanes_by_centre if by_centre else split_lanes
    usual = [view for view in views if view.pace < SLOW_PACE]
    has_slow = 0 < len(usual) < len(views)
    plans = []
    for candidates in (usual, views) if has_slow else (views,):
        if not candidates:
            continue
        lanes = split(candidates, profile, randomizer)
        plan = place_prompt(lanes, lane, prompt, goal_s, profile, limits, randomizer)
        if plan is None:
            continue
        plans.append(_with_lanes(plan, lanes, candidates, limits))
        if plan.predicted_s <= goal_s:
            break
    return min(plans, key=lambda plan: plan.predicted_s, default=None)


def _with_lanes(
    plan: Placement, lanes: Lanes, views: Sequence[ServerView], limits: PrefillLimits
) -> Placement:
    """Return a plan with the sizes and the prefill backlog of its lanes."""
    readers = len(lanes.long)
    max_part_ms = MAX_PART_SHARE * limits.longest_goal_s * 1000
    backlog_ms = sum(
        min(view.work.prefill_ms, max_part_ms * view.work.prefill_requests) for view in views
    )
    return plan._replace(
        lanes=f"{readers}+{len(lanes.short)}",
        own_s=sum(part.prefill_ms for part in plan.parts) / 1000 / readers,
        backlog_s=backlog_ms / 1000 / readers,
    )


def place_prompt(
    lanes: Lanes,
    lane: Lane,
    prompt: PromptSize,
    goal_s: float,
    profile: EngineProfile,
    limits: PrefillLimits,
    randomizer: PlacementRandomizer,
) -> Placement | None:
    """Return the placement of a prompt; ``None`` when no engine has room.

    Parameters
    ----------
    lanes
        The engines by lane.
    lane
        Lane of the prompt.
    prompt
        Size of the prompt.
    goal_s
        Goal for the time to its first event.
    profile
        Performance profile of the engines.
    limits
        Limits on the prefill time that a prompt adds to a pass.
    randomizer
        Randomizes the choice among equally good engines.
    """
    if lane is Lane.SHORT:
        return place_short(lanes, prompt, goal_s, profile, limits, randomizer)
    within_limits = place_long(lanes, prompt, goal_s, profile, limits, randomizer)
    if within_limits is not None and within_limits.predicted_s <= goal_s:
        return within_limits
    ignoring_limits = place_long(
        _without_limits(lanes), prompt, goal_s, profile, limits, randomizer
    )
    plans = [plan for plan in (within_limits, ignoring_limits) if plan is not None]
    return min(plans, key=lambda plan: plan.predicted_s, default=None)


def _without_limits(lanes: Lanes) -> Lanes:
    """Return the lanes with no engine marked as limited.

    While all engines are limited, a prompt that no single engine can prefill in time or hold in
    memory would otherwise never be answered.
    """
    long, short = (
        tuple(view._replace(is_limited=False) for view in lane)
        for lane in (lanes.long, lanes.short)
    )
    return Lanes(long, short)
