"""Where a prompt is read and answered.

Pure functions over what is known of the engines; the tasks that own connections call them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.long_placement import place_long
from sassafrastally.proxy.short_placement import place_short

if TYPE_CHECKING:
    from sassafrastally.proxy.lanes import Lanes, Scatter
    from sassafrastally.proxy.model import EngineFigures, PromptSize
    from sassafrastally.proxy.plan import Placement


def place_prompt(
    lanes: Lanes,
    lane: Lane,
    prompt: PromptSize,
    goal_s: float,
    figures: EngineFigures,
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
    scatter
        Draws among engines that are equally good.
    """
    if lane is Lane.SHORT:
        return place_short(lanes, prompt, goal_s, figures, scatter)
    return place_long(lanes, prompt, goal_s, figures, scatter)
