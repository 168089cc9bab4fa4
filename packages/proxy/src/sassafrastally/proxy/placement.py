"""Where a prompt is read and answered.

Pure functions over what is known of the engines; the tasks that own connections call them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.lanes import Lanes, split_by_centre, split_lanes
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.long_placement import place_long
from sassafrastally.proxy.pace import SLOW_PACE
from sassafrastally.proxy.short_placement import place_short

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import Scatter, ServerView
    from sassafrastally.proxy.model import EngineFigures, PromptSize
    from sassafrastally.proxy.plan import Placement
    from sassafrastally.proxy.reading_limits import ReadingLimits


MOST_PART_SHARE = 0.06
"""Part of the longest goal that one prompt's reading on one engine counts for at most: what comes
later is read before a larger one, and needn't wait until that is done."""


def place_request(
    views: Sequence[ServerView],
    lane: Lane,
    prompt: PromptSize,
    goal_s: float,
    figures: EngineFigures,
    limits: ReadingLimits,
    scatter: Scatter,
    *,
    by_centre: bool = False,
) -> Placement | None:
    """Return where a prompt goes among all engines; ``None`` when none has room.

    The load that it answers: some engines turn several times slower. Those that work by their
    figures get the prompt as long as they answer it in time; the slow ones are used when even they
    are sooner, so that with all engines slow service goes on.

    Parameters
    ----------
    views
        The engines, in the shared order.
    lane, prompt, goal_s, figures, limits, scatter
        As for `place_prompt`.
    by_centre
        Whether each data centre's engines have lanes of their own.
    """
    split = split_by_centre if by_centre else split_lanes
    usual = [view for view in views if view.pace < SLOW_PACE]
    has_slow = 0 < len(usual) < len(views)
    plans = []
    for candidates in (usual, views) if has_slow else (views,):
        if not candidates:
            continue
        lanes = split(candidates, figures, scatter)
        plan = place_prompt(lanes, lane, prompt, goal_s, figures, limits, scatter)
        if plan is None:
            continue
        plans.append(_with_lanes(plan, lanes, candidates, limits))
        if plan.predicted_s <= goal_s:
            break
    return min(plans, key=lambda plan: plan.predicted_s, default=None)


def _with_lanes(
    plan: Placement, lanes: Lanes, views: Sequence[ServerView], limits: ReadingLimits
) -> Placement:
    """Return a plan with what its lanes have to do."""
    readers = len(lanes.long)
    most_ms = MOST_PART_SHARE * limits.longest_goal_s * 1000
    backlog_ms = sum(
        min(view.work.reading_ms, most_ms * view.work.reading_requests) for view in views
    )
    return plan._replace(
        lanes=f"{readers}+{len(lanes.short)}",
        own_s=sum(part.reading_ms for part in plan.parts) / 1000 / readers,
        backlog_s=backlog_ms / 1000 / readers,
    )


def place_prompt(
    lanes: Lanes,
    lane: Lane,
    prompt: PromptSize,
    goal_s: float,
    figures: EngineFigures,
    limits: ReadingLimits,
    scatter: Scatter,
) -> Placement | None:
    """Return where a prompt goes; ``None`` when no engine has room.

    Parameters
    ----------
    lanes
        The engines.
    lane
        Lane of the prompt.
    prompt
        Its size.
    goal_s
        Time within which its first event is wanted.
    figures
        Figures of the engines.
    limits
        What reading may add to a pass.
    scatter
        Draws among engines that are equally good.
    """
    if lane is Lane.SHORT:
        return place_short(lanes, prompt, goal_s, figures, limits, scatter)
    sparing = place_long(lanes, prompt, goal_s, figures, limits, scatter)
    if sparing is not None and sparing.predicted_s <= goal_s:
        return sparing
    unsparing = place_long(_unlimited(lanes), prompt, goal_s, figures, limits, scatter)
    plans = [plan for plan in (sparing, unsparing) if plan is not None]
    return min(plans, key=lambda plan: plan.predicted_s, default=None)


def _unlimited(lanes: Lanes) -> Lanes:
    """Return the lanes with limited engines that read parts like all others.

    A prompt that no engine can read alone in time, or hold, would otherwise never be answered while
    all engines are limited.
    """
    long, short = (
        tuple(view._replace(is_limited=False) for view in lane)
        for lane in (lanes.long, lanes.short)
    )
    return Lanes(long, short)
