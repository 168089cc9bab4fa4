"""What a plan for a prompt consists of, and what plans of all kinds are made from."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import MOST_HELPERS, pass_ms
from sassafrastally.proxy.load import NO_WORK, Lane, Part

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import BackendServer, EngineFigures, PromptSize

MEMORY_SHARE = 0.96
"""Share of an engine's memory that is given out; the rest covers what counts of others miss."""


SAFE_GOAL_SHARE = 0.6
"""A plan predicted within this share of the goal counts as timely; the rest is room for what other
entries place at the same moment."""


class Holding(NamedTuple):
    """Memory that a prompt takes at one engine."""

    server: BackendServer
    tokens: int


class Placement(NamedTuple):
    """Where a prompt goes."""

    server: BackendServer
    helpers: tuple[BackendServer, ...]
    lane: Lane
    parts: tuple[Part, ...]
    holdings: tuple[Holding, ...]
    """The prompt's memory, the answering engine's first; what others hold has to be reserved."""
    predicted_s: float
    """Predicted time to the first event."""
    alone_s: float
    """What it would be if the engines had nothing else to do."""
    own_s: float = 0.0
    """Reading of the prompt, spread over the engines of the long lane."""
    backlog_s: float = 0.0
    """Reading under way at all engines, spread in the same way."""
    lanes: str = ""
    """Sizes of the long and the short lane at the decision, for the log."""


def most_prompt_tokens(figures: EngineFigures) -> int:
    """Return the largest prompt that any number of engines could hold."""
    return (MOST_HELPERS + 1) * figures.memory_tokens


def free_tokens(view: ServerView, figures: EngineFigures) -> int:
    """Return the memory that an engine can still give to a prompt."""
    # Entries that place at the same moment can give out more than there is, for a while.
    return max(0, int(MEMORY_SHARE * figures.memory_tokens) - view.work.tokens)


def has_room(view: ServerView, prompt: PromptSize, figures: EngineFigures) -> bool:
    """Return whether an engine has a slot and the memory for a prompt."""
    needed = prompt.prompt_tokens + prompt.output_tokens
    return free_tokens(view, figures) >= needed and view.work.requests < figures.slots


def first_event_ms(view: ServerView, part_ms: float, figures: EngineFigures) -> float:
    """Return when a prompt's first event is due: the pass under way, all reading, its own pass."""
    work = view.work
    one_pass_ms = pass_ms(figures, work.requests, work.tokens) * view.pace
    under_way_ms = one_pass_ms / 2 if work.requests else 0.0
    return under_way_ms + work.reading_ms + part_ms * view.pace + one_pass_ms


def make_placement(
    group: Sequence[ServerView],
    holdings: tuple[Holding, ...],
    lane: Lane,
    part_ms: float,
    figures: EngineFigures,
) -> Placement:
    """Return a plan.

    Parameters
    ----------
    group
        The engines that read the prompt.
    holdings
        Where its memory lies; the first one answers.
    lane
        Lane of the prompt.
    part_ms
        Reading time of each one's part.
    figures
        Figures of the engines.
    """
    server = holdings[0].server
    predicted_ms = max(first_event_ms(view, part_ms, figures) for view in group)
    alone_ms = max(first_event_ms(_idle(view), part_ms, figures) for view in group)
    return Placement(
        server=server,
        helpers=tuple(view.server for view in group if view.server is not server),
        lane=lane,
        parts=tuple(Part(view.server.life_id, part_ms * view.pace) for view in group),
        holdings=holdings,
        predicted_s=predicted_ms / 1000,
        alone_s=alone_ms / 1000,
    )


def _idle(view: ServerView) -> ServerView:
    return view._replace(work=NO_WORK)
