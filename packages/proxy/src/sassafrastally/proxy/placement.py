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

SHORT_FILL = 0.75
"""Share of an engine's slots that the short lane is sized for. A pass takes the same time with six
requests as with three; the rest is room for what other entries place at the same moment."""

LONG_LANE_SHARE = 0.12
"""Least share of the engines in the long lane, so that the first long prompt after a quiet time
finds engines without short requests."""

PART_MS = 40.0
"""Least reading time of a part; below this another helper gains less than one pass."""

SHORT_PART_MS = 60.0
"""Longest reading on one engine for a short prompt; larger ones get helpers. Two of them in one
pass stay inside a pause of 250 ms."""

SAFE_GOAL_SHARE = 0.6
"""A plan predicted within this share of the goal counts as timely: predictions were short by up to
a third where several entries placed at the same moment."""

THIN_PENALTY = 0.05
"""What thin parts in the short lane count for, as a share of the goal missed: they hold a pass up
by less than the reading of one short prompt."""

DISTURBING_PENALTY = 0.25
"""What parts on engines that write for short requests count for. Each such request gets a pause
beyond its goal; a long prompt is worth some ten of them."""

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
    lanes: Lanes, lane: Lane, prompt: PromptSize, goal_s: float, figures: EngineFigures
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
    """
    if lane is Lane.SHORT:
        return _place_short(lanes, prompt, figures)
    return _place_long(lanes, prompt, goal_s, figures)


def _place_short(lanes: Lanes, prompt: PromptSize, figures: EngineFigures) -> Placement | None:
    """Return the engine for a short prompt.

    Engines are filled from the end of the order, one after the other, as long as they have few
    requests and little to read. The long lane begins at the other end; when it grows, it finds
    engines on which no short request is under way.
    """
    own_ms = reading_ms(figures, prompt.prompt_tokens)
    fitting = [view for view in lanes.short if _has_room(view, prompt, figures)]
    if not fitting:
        fitting = [view for view in lanes.long if _has_room(view, prompt, figures)]
    if not fitting:
        return None
    filled = SHORT_FILL * figures.slots

    def cost(view: ServerView) -> tuple[bool, float]:
        is_busy = view.work.requests >= filled or view.work.reading_ms > SHORT_PART_MS
        return is_busy, _first_event_ms(view, 0.0, figures) if is_busy else 0.0

    from_the_end = list(reversed(fitting))
    ranked = sorted(from_the_end, key=cost)
    group_size = min(math.ceil(own_ms / SHORT_PART_MS), MOST_HELPERS + 1, len(ranked))
    group = ranked[: max(1, group_size)]
    holdings = (Holding(group[0].server, prompt.prompt_tokens + prompt.output_tokens),)
    return _placement(group, holdings, Lane.SHORT, own_ms / len(group), figures)


def _place_long(
    lanes: Lanes, prompt: PromptSize, goal_s: float, figures: EngineFigures
) -> Placement | None:
    """Return the cheapest of three plans.

    Engines of the long lane without short requests come first. When they would miss the goal, the
    prompt may be read in thin parts by the short lane, or by engines of the long lane that still
    write for short requests: just after the mix has turned, these are most of them.
    """
    own_ms = reading_ms(figures, prompt.prompt_tokens)
    clean = [view for view in lanes.long if not view.work.short_requests]
    plans = [
        (_read_apart(clean, prompt, own_ms, figures), 0.0),
        (_read_thinly(lanes.short, prompt, own_ms, figures), THIN_PENALTY),
        (_read_apart(lanes.long, prompt, own_ms, figures), DISTURBING_PENALTY),
    ]
    possible = [(plan, penalty) for plan, penalty in plans if plan is not None]
    if not possible:
        return _read_apart(lanes.short, prompt, own_ms, figures)

    def cost(choice: tuple[Placement, float]) -> float:
        plan, penalty = choice
        return max(0.0, plan.predicted_s / goal_s - SAFE_GOAL_SHARE) + penalty

    return min(possible, key=cost)[0]


def _read_thinly(
    views: Sequence[ServerView], prompt: PromptSize, own_ms: float, figures: EngineFigures
) -> Placement | None:
    """Return a plan whose parts are too small to hold up short requests."""
    group_size = math.ceil(own_ms / SHORT_PART_MS)
    if group_size > min(len(views), MOST_HELPERS + 1):
        return None
    return _read_apart(views, prompt, own_ms, figures, least_group=group_size)


def _read_apart(
    views: Sequence[ServerView],
    prompt: PromptSize,
    own_ms: float,
    figures: EngineFigures,
    least_group: int = 1,
) -> Placement | None:
    """Return the plan by which a group of these engines has read a prompt first."""
    ranked = sorted(
        (view for view in views if view.work.reading_requests < figures.slots),
        key=lambda view: view.work.reading_ms,
    )
    most = min(MOST_HELPERS + 1, len(ranked), max(least_group, int(own_ms / PART_MS)))
    needed = prompt.prompt_tokens + prompt.output_tokens
    best: tuple[float, tuple[Holding, ...], Sequence[ServerView]] | None = None
    for size in range(least_group, most + 1):
        group: Sequence[ServerView] = ranked[:size]
        holdings = _holdings(group, needed, figures)
        if holdings is None:
            continue
        end_ms = group[-1].work.reading_ms + own_ms / size
        if best is None or end_ms < best[0]:
            best = end_ms, holdings, group
    if best is None:
        return None
    end_ms, holdings, group = best
    return _placement(group, holdings, Lane.LONG, own_ms / len(group), figures)


def _holdings(
    group: Sequence[ServerView], needed: int, figures: EngineFigures
) -> tuple[Holding, ...] | None:
    """Return where a prompt's memory lies; ``None`` when the group hasn't enough.

    One engine holds it if one can. Otherwise the one with most room answers, and the others hold
    as much as they can, those with most room first.
    """
    roomy = sorted(group, key=lambda view: _free_tokens(view, figures), reverse=True)
    leaders = [view for view in roomy if view.work.requests < figures.slots]
    fitting = [view for view in leaders if _free_tokens(view, figures) >= needed]
    if fitting:
        leader = min(fitting, key=lambda view: (view.work.requests, view.work.tokens))
        return (Holding(leader.server, needed),)
    if not leaders:
        return None
    leader = leaders[0]
    left = needed - _free_tokens(leader, figures)
    holdings = [Holding(leader.server, _free_tokens(leader, figures))]
    for view in roomy:
        if view is not leader and left > 0:
            tokens = min(left, _free_tokens(view, figures))
            if tokens > 0:
                holdings.append(Holding(view.server, tokens))
                left -= tokens
    return tuple(holdings) if left <= 0 else None


def _free_tokens(view: ServerView, figures: EngineFigures) -> int:
    return int(MEMORY_SHARE * figures.memory_tokens) - view.work.tokens


def _has_room(view: ServerView, prompt: PromptSize, figures: EngineFigures) -> bool:
    needed = prompt.prompt_tokens + prompt.output_tokens
    return _free_tokens(view, figures) >= needed and view.work.requests < figures.slots


def _first_event_ms(view: ServerView, part_ms: float, figures: EngineFigures) -> float:
    """Return when a prompt's first event is due: the pass under way, all reading, its own pass."""
    work = view.work
    one_pass_ms = pass_ms(figures, work.requests, work.tokens)
    under_way_ms = one_pass_ms / 2 if work.requests else 0.0
    return under_way_ms + work.reading_ms + part_ms + one_pass_ms


def _placement(
    group: Sequence[ServerView],
    holdings: tuple[Holding, ...],
    lane: Lane,
    part_ms: float,
    figures: EngineFigures,
) -> Placement:
    server = holdings[0].server
    predicted_ms = max(_first_event_ms(view, part_ms, figures) for view in group)
    return Placement(
        server=server,
        helpers=tuple(view.server for view in group if view.server is not server),
        lane=lane,
        parts=tuple(Part(view.server.server_id, part_ms) for view in group),
        holdings=holdings,
        predicted_s=predicted_ms / 1000,
    )
