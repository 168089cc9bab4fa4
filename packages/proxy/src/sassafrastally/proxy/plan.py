"""Plan for the placement of a prompt, and functions shared by the kinds of placement."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import MAX_HELPERS, pass_ms
from sassafrastally.proxy.load import NO_WORK, Lane, PrefillPart

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import BackendServer, EngineProfile, PromptSize

USABLE_MEMORY_SHARE = 0.96
"""Share of an engine's memory that is allocated. The rest is a reserve for requests of other
entries that aren't known yet."""


SAFE_GOAL_SHARE = 0.6
"""Share of the goal within which a plan counts as timely. The rest is a reserve for requests that
other entries place at the same time."""


class Holding(NamedTuple):
    """Memory that a prompt occupies on one engine."""

    server: BackendServer
    tokens: int


class Placement(NamedTuple):
    """Planned placement of a prompt."""

    server: BackendServer
    helpers: tuple[BackendServer, ...]
    lane: Lane
    parts: tuple[PrefillPart, ...]
    holdings: tuple[Holding, ...]
    """Memory of the prompt, that of the answering engine first. Memory on the other engines has to
    be reserved."""
    predicted_s: float
    """Predicted time to the first event."""
    alone_s: float
    """Predicted time to the first event if the engines were idle."""
    own_s: float = 0.0
    """Prefill time of the prompt, divided by the number of engines in the long lane."""
    backlog_s: float = 0.0
    """Remaining prefill time on all engines, divided in the same way."""
    lanes: str = ""
    """Sizes of the long and the short lane at the time of the decision, for the log."""


def max_prompt_tokens(profile: EngineProfile) -> int:
    """Return the largest prompt that a group of engines can hold."""
    return (MAX_HELPERS + 1) * profile.memory_tokens


def free_tokens(view: ServerView, profile: EngineProfile) -> int:
    """Return the memory of an engine that is still free for a prompt."""
    # Entries that place prompts at the same time can briefly overcommit an engine's memory.
    return max(0, int(USABLE_MEMORY_SHARE * profile.memory_tokens) - view.work.tokens)


def has_room(view: ServerView, prompt: PromptSize, profile: EngineProfile) -> bool:
    """Return whether an engine has a free slot and enough memory for a prompt."""
    needed = prompt.prompt_tokens + prompt.output_tokens
    return free_tokens(view, profile) >= needed and view.work.requests < profile.slots


def first_event_ms(view: ServerView, part_ms: float, profile: EngineProfile) -> float:
    """Return the predicted time to a prompt's first event.

    The sum of the rest of the current pass, the prefill backlog, the prompt's part and one pass.
    """
    work = view.work
    one_pass_ms = pass_ms(profile, work.requests, work.tokens) * view.pace
    current_pass_ms = one_pass_ms / 2 if work.requests else 0.0
    return current_pass_ms + work.prefill_ms + part_ms * view.pace + one_pass_ms


def make_placement(
    group: Sequence[ServerView],
    holdings: tuple[Holding, ...],
    lane: Lane,
    part_ms: float,
    profile: EngineProfile,
) -> Placement:
    """Return the plan for a group of engines.

    Parameters
    ----------
    group
        The engines that prefill the prompt.
    holdings
        Memory of the prompt by engine; the first engine answers.
    lane
        Lane of the prompt.
    part_ms
        Prefill time of each engine's part.
    profile
        Performance profile of the engines.
    """
    server = holdings[0].server
    predicted_ms = max(first_event_ms(view, part_ms, profile) for view in group)
    alone_ms = max(first_event_ms(_idle(view), part_ms, profile) for view in group)
    return Placement(
        server=server,
        helpers=tuple(view.server for view in group if view.server is not server),
        lane=lane,
        parts=tuple(PrefillPart(view.server.incarnation_id, part_ms * view.pace) for view in group),
        holdings=holdings,
        predicted_s=predicted_ms / 1000,
        alone_s=alone_ms / 1000,
    )


def _idle(view: ServerView) -> ServerView:
    return view._replace(work=NO_WORK)
