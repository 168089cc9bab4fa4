"""Where a prompt is read and answered.

Pure functions over what is known of the engines; the tasks that own connections call them.

The load that they answer: short prompts, whose callers notice a pause of a quarter of a second,
beside prompts that take an engine seconds to read, in a mix that swings by a factor of ten within
seconds. An engine that reads a long prompt holds up all that it writes, so short requests and long
ones are kept on different engines (lanes), and a long prompt is read in parts by many engines of
its lane at once.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import pass_ms, reading_ms
from sassafrastally.proxy.load import Lane, Part, Work

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.model import BackendServer, EngineFigures, PromptSize, Route

LONG_PAUSE_GOAL_S = 0.4
"""Routes that allow longer pauses belong to the long lane. An event takes about 50 ms and the
reading of a short prompt as much; a part of a long one takes 0.1 to 0.5 s."""

SHORT_FILL = 0.6
"""Share of an engine's slots that the short lane is sized for. At 0.6 a pass with the reading of
new prompts stays under 100 ms, and a swing of two thirds fits before the lane grows."""

LONG_LANE_SHARE = 0.12
"""Least share of the engines in the long lane, so that the first long prompt after a quiet time
finds engines without short requests."""

PART_MS = 40.0
"""Least reading time of a part; below this another helper gains less than one pass."""

SHORT_PART_MS = 60.0
"""Longest reading on one engine for a short prompt; larger ones get helpers. Two of them in one
pass stay inside a pause of 250 ms."""

MOST_HELPERS = 16
"""Helpers that an engine accepts for one prompt."""

MEMORY_SHARE = 0.96
"""Share of an engine's memory that is given out; the rest covers what counts of others miss."""


class ServerView(NamedTuple):
    """What is known of one engine when a prompt is placed."""

    server: BackendServer
    work: Work
    is_suspect: bool = False
    """Recent answers speak against it; it is used only when no other is left."""


class Placement(NamedTuple):
    """Where a prompt goes."""

    server: BackendServer
    helpers: tuple[BackendServer, ...]
    lane: Lane
    parts: tuple[Part, ...]
    predicted_s: float
    """Predicted time to the first event."""


class Lanes(NamedTuple):
    """Engines by lane, in the order that all entries share."""

    long: tuple[ServerView, ...]
    short: tuple[ServerView, ...]


def lane_of(route: Route, prompt: PromptSize, figures: EngineFigures) -> Lane:
    """Return the lane of a request."""
    pause_goal_s = route.pause_goal_s or 0.0
    if pause_goal_s >= LONG_PAUSE_GOAL_S:
        return Lane.LONG
    too_long_ms = SHORT_PART_MS * (MOST_HELPERS + 1)
    return Lane.LONG if reading_ms(figures, prompt.prompt_tokens) > too_long_ms else Lane.SHORT


def split_lanes(views: Sequence[ServerView], figures: EngineFigures) -> Lanes:
    """Divide the engines by the short requests in progress.

    The short lane gets what its requests need, the long lane all the rest: long prompts gain from
    each engine, short ones gain nothing beyond room. Entries that see the same load divide alike,
    because the order is fixed by the servers' ids.

    Parameters
    ----------
    views
        Engines that may get work, in the shared order.
    figures
        Figures of the engines.
    """
    count = len(views)
    if count < 2:
        return Lanes(tuple(views), tuple(views))
    short_requests = sum(view.work.short_requests for view in views)
    wanted = math.ceil(short_requests / (SHORT_FILL * figures.slots)) + 1
    least_long = max(1, math.ceil(LONG_LANE_SHARE * count))
    short = max(1, min(wanted, count - least_long))
    return Lanes(tuple(views[: count - short]), tuple(views[count - short :]))


def place_prompt(
    lanes: Lanes, lane: Lane, prompt: PromptSize, figures: EngineFigures
) -> Placement | None:
    """Return where a prompt goes; ``None`` when no engine has room."""
    if lane is Lane.SHORT:
        return _place_short(lanes, prompt, figures)
    return _place_long(lanes, prompt, figures)


def _place_short(lanes: Lanes, prompt: PromptSize, figures: EngineFigures) -> Placement | None:
    own_ms = reading_ms(figures, prompt.prompt_tokens)
    fitting = [view for view in lanes.short if _has_room(view, prompt, figures)]
    if not fitting:
        fitting = [view for view in lanes.long if _has_room(view, prompt, figures)]
    if not fitting:
        return None
    ranked = sorted(fitting, key=lambda view: _first_event_ms(view, 0.0, figures))
    first = ranked[0]
    helper_count = min(math.ceil(own_ms / SHORT_PART_MS) - 1, MOST_HELPERS, len(ranked) - 1)
    chosen = ranked[: max(0, helper_count) + 1]
    part_ms = own_ms / len(chosen)
    predicted_ms = max(_first_event_ms(view, part_ms, figures) for view in chosen)
    return _placement(first, chosen, Lane.SHORT, part_ms, predicted_ms)


def _place_long(lanes: Lanes, prompt: PromptSize, figures: EngineFigures) -> Placement | None:
    own_ms = reading_ms(figures, prompt.prompt_tokens)
    ranked = sorted(
        (view for view in lanes.long if view.work.reading_requests < figures.slots),
        key=lambda view: (view.work.short_requests > 0, view.work.reading_ms),
    )
    leaders = [view for view in ranked if _has_room(view, prompt, figures)]
    if not leaders:
        leaders = [view for view in lanes.short if _has_room(view, prompt, figures)]
        ranked = [*ranked, *leaders]
    if not leaders:
        return None
    leader = min(leaders, key=lambda view: (view.work.short_requests, view.work.tokens))
    others = [view for view in ranked if view is not leader]
    chosen = [leader, *others[: _helper_count(leader, others, own_ms)]]
    part_ms = own_ms / len(chosen)
    predicted_ms = max(_first_event_ms(view, part_ms, figures) for view in chosen)
    return _placement(leader, chosen, Lane.LONG, part_ms, predicted_ms)


def _helper_count(leader: ServerView, others: Sequence[ServerView], own_ms: float) -> int:
    """Return with how many helpers the reading ends first."""
    best = 0
    best_ms = leader.work.reading_ms + own_ms
    most = min(MOST_HELPERS, len(others), max(0, int(own_ms / PART_MS) - 1))
    queue_ms = leader.work.reading_ms
    for count in range(1, most + 1):
        queue_ms = max(queue_ms, others[count - 1].work.reading_ms)
        end_ms = queue_ms + own_ms / (count + 1)
        if end_ms < best_ms:
            best, best_ms = count, end_ms
    return best


def _has_room(view: ServerView, prompt: PromptSize, figures: EngineFigures) -> bool:
    needed = prompt.prompt_tokens + prompt.output_tokens
    fits = view.work.tokens + needed <= MEMORY_SHARE * figures.memory_tokens
    return fits and view.work.requests < figures.slots


def _first_event_ms(view: ServerView, part_ms: float, figures: EngineFigures) -> float:
    """Return when a prompt's first event is due: the pass under way, all reading, its own pass."""
    work = view.work
    one_pass_ms = pass_ms(figures, work.requests, work.tokens)
    under_way_ms = one_pass_ms / 2 if work.requests else 0.0
    return under_way_ms + work.reading_ms + part_ms + one_pass_ms


def _placement(
    first: ServerView,
    chosen: Sequence[ServerView],
    lane: Lane,
    part_ms: float,
    predicted_ms: float,
) -> Placement:
    return Placement(
        server=first.server,
        helpers=tuple(view.server for view in chosen if view is not first),
        lane=lane,
        parts=tuple(Part(view.server.server_id, part_ms) for view in chosen),
        predicted_s=predicted_ms / 1000,
    )
