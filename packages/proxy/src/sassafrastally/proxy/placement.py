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
    from random import Random

    from sassafrastally.proxy.model import BackendServer, EngineFigures, PromptSize, Route

LONG_PAUSE_GOAL_S = 0.4
"""Routes that allow longer pauses belong to the long lane. An event takes about 50 ms and the
reading of a short prompt as much; a part of a long one takes 0.1 to 0.5 s."""

SHORT_REQUEST_S = 1.5
"""Usual time that a short request keeps its slot; from it and the requests in progress follows how
many begin in a moment."""

WINDOW_SHARE = 4.0
"""Engines among which a short request is drawn, for each one that others have placed unheard."""

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

SHORT_PAUSES_MS = (170.0, 260.0)
LONG_PAUSES_MS = (450.0, 900.0)
"""Pauses from which on events of short and long requests come too late, and at which all do. The
routes allow 250 ms, and 600 to 1,000 ms; predictions of a pass are off by about a third."""

LONG_VALUE_PER_K = 0.1
"""What a late long request counts for, in late short ones for each 1,000 tokens: a caller with a
dossier of 180,000 tokens waits on as much work as some twenty with a short note."""

DELAY_COST = 0.05
"""Part of a request's value lost by a first event at its goal rather than at once: among plans that
harm nobody the fastest is taken."""

SHORT_LANE_PART_MS = 250.0
"""A part of this length on an engine of the short lane makes one future short request late."""

OPENING_COST = 0.5
"""What it costs to let an engine write for its first long request. Engines that only read harm
nobody, so long requests are answered by few engines and read by the others."""

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
    lanes: str = ""
    """Sizes of the long and the short lane at the decision, for the log."""


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


class Scatter(NamedTuple):
    """How entries that can't see each other's latest choices keep out of each other's way.

    The load that it answers: twenty entries place 150 requests a second and hear of each other
    after a tenth of a second. If each took the best engine by the same rule, all would take the
    same one until they hear of it, and fill it far beyond its slots while its neighbours idle: a
    third of the short requests had their first event late, by 0.7 s in the mean. So each draws
    among as many equally good engines as there are requests under way that it hasn't heard of.
    """

    random: Random
    news_age_s: float = 0.0
    """How old the latest news of other entries is."""

    def unheard(self, short_requests: int) -> float:
        """Return how many short requests others have begun since their latest news."""
        return short_requests * self.news_age_s / SHORT_REQUEST_S


def most_prompt_tokens(figures: EngineFigures) -> int:
    """Return the largest prompt that any number of engines could hold."""
    return (MOST_HELPERS + 1) * figures.memory_tokens


def split_lanes(
    views: Sequence[ServerView], figures: EngineFigures, scatter: Scatter | None = None
) -> Lanes:
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
    scatter
        Tells how many requests others may have placed since.
    """
    count = len(views)
    if count < 2:
        return Lanes(tuple(views), tuple(views))
    short_requests: float = sum(view.work.short_requests for view in views)
    if scatter is not None:
        short_requests += scatter.unheard(int(short_requests))
    wanted = math.ceil(short_requests / (SHORT_FILL * figures.slots)) + 1
    least_long = max(1, math.ceil(LONG_LANE_SHARE * count))
    short = max(1, min(wanted, count - least_long))
    return Lanes(tuple(views[: count - short]), tuple(views[count - short :]))


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
        return _place_short(lanes, prompt, goal_s, figures, scatter)
    return _place_long(lanes, prompt, goal_s, figures, scatter)


def _place_short(
    lanes: Lanes,
    prompt: PromptSize,
    goal_s: float,
    figures: EngineFigures,
    scatter: Scatter,
) -> Placement | None:
    """Return the engine for a short prompt.

    Engines are filled from the end of the order, one after the other, as long as they have few
    requests and little to read. The long lane begins at the other end; when it grows, it finds
    engines on which no short request is under way.

    When the mix turns from long to short, the engines that the lane gains are still reading. An
    engine of the long lane that reads nothing is then better than those.
    """
    own_ms = reading_ms(figures, prompt.prompt_tokens)
    fitting = [view for view in reversed(lanes.short) if _has_room(view, prompt, figures)]
    ranked = _scattered(fitting, figures, scatter)
    latest_ms = SAFE_GOAL_SHARE * goal_s * 1000 - own_ms
    if not ranked or _first_event_ms(ranked[0], 0.0, figures) > latest_ms:
        fitting += [view for view in reversed(lanes.long) if _has_room(view, prompt, figures)]
        ranked = sorted(fitting, key=lambda view: _first_event_ms(view, 0.0, figures))
    if not ranked:
        return None
    group_size = min(math.ceil(own_ms / SHORT_PART_MS), MOST_HELPERS + 1, len(ranked))
    group = ranked[: max(1, group_size)]
    holdings = (Holding(group[0].server, prompt.prompt_tokens + prompt.output_tokens),)
    return _placement(group, holdings, Lane.SHORT, own_ms / len(group), figures)


def _scattered(
    fitting: Sequence[ServerView], figures: EngineFigures, scatter: Scatter
) -> list[ServerView]:
    """Return engines in the order in which they are taken.

    Those that aren't busy come first. Among the first of them the order is drawn: of two at a time
    the one with fewer requests.
    """
    ranked = sorted(fitting, key=lambda view: _short_rank(view, figures))
    if not ranked:
        return []
    unheard = scatter.unheard(sum(view.work.short_requests for view in fitting))
    latest_ms = _first_event_ms(ranked[0], 0.0, figures) + SHORT_PART_MS
    width = 1 + math.ceil(WINDOW_SHARE * unheard)
    window = [view for view in ranked[:width] if _first_event_ms(view, 0.0, figures) <= latest_ms]
    rest = [view for view in ranked if view not in window]
    drawn = []
    while window:
        pair = scatter.random.sample(window, min(2, len(window)))
        best = min(pair, key=lambda view: view.work.requests)
        window.remove(best)
        drawn.append(best)
    return drawn + rest


def _short_rank(view: ServerView, figures: EngineFigures) -> tuple[bool, float]:
    """Return the rank of an engine: all that aren't busy alike, then by the first event's time."""
    is_full = view.work.requests >= SHORT_FILL * figures.slots
    is_busy = is_full or view.work.reading_ms > SHORT_PART_MS
    return is_busy, _first_event_ms(view, 0.0, figures) if is_busy else 0.0


def _place_long(
    lanes: Lanes,
    prompt: PromptSize,
    goal_s: float,
    figures: EngineFigures,
    scatter: Scatter,
) -> Placement | None:
    """Return the cheapest plan to read a long prompt, over all sizes of the group that reads it.

    More engines read it sooner but hold up more of what others write. Both are counted in the same
    unit, short requests that become late.
    """
    own_ms = reading_ms(figures, prompt.prompt_tokens)
    in_short_lane = {view.server.server_id for view in lanes.short} - {
        view.server.server_id for view in lanes.long
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
    for size in range(1, min(MOST_HELPERS + 1, len(views), max(1, int(own_ms / PART_MS))) + 1):
        part_ms = own_ms / size
        harms = {
            view.server.server_id: _harm(view, part_ms, figures)
            + (part_ms / SHORT_LANE_PART_MS if view.server.server_id in in_short_lane else 0.0)
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
            cost += sum(harms[part.server_id] for part in plan.parts)
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
    ranked = sorted(views, key=lambda view: (harms[view.server.server_id], view.work.reading_ms))
    needed = prompt.prompt_tokens + prompt.output_tokens
    leaders = [
        view
        for view in ranked
        if view.work.requests < figures.slots and _free_tokens(view, figures) >= needed
    ]
    if not leaders:
        holdings = _holdings(ranked[: MOST_HELPERS + 1], needed, figures)
        if holdings is None:
            return None
        holders = {holding.server.server_id for holding in holdings}
        group = [view for view in ranked if view.server.server_id in holders]
        group += [view for view in ranked if view not in group][: max(0, size - len(group))]
        return _placement(group, holdings, Lane.LONG, part_ms * size / len(group), figures)

    def leader_cost(view: ServerView) -> tuple[float, float]:
        opens = 0.0 if view.work.long_requests else OPENING_COST
        return harms[view.server.server_id] + opens, view.work.reading_ms

    leader = min(leaders, key=leader_cost)
    group = [leader, *[view for view in ranked if view is not leader][: size - 1]]
    return _placement(group, (Holding(leader.server, needed),), Lane.LONG, part_ms, figures)


def _late_cost(prompt: PromptSize, share_of_goal: float) -> float:
    """Return what a first event at that share of its goal costs."""
    value = max(1.0, LONG_VALUE_PER_K * prompt.prompt_tokens / 1000)
    late = min(1.0, max(0.0, share_of_goal - SAFE_GOAL_SHARE) / (1.2 - SAFE_GOAL_SHARE))
    return value * (late + DELAY_COST * share_of_goal)


def _harm(view: ServerView, part_ms: float, figures: EngineFigures) -> float:
    """Return how many requests there become late by a part, counted in short ones."""
    work = view.work
    before_ms = pass_ms(figures, work.requests, work.tokens) + work.reading_ms
    after_ms = before_ms + part_ms
    short = work.short_requests * (
        _lateness(after_ms, SHORT_PAUSES_MS) - _lateness(before_ms, SHORT_PAUSES_MS)
    )
    # Only long requests that are being written have pauses; counted with those that are still read,
    # engines that lead a dossier seemed so dear that the next one was read by two or three alone.
    written = LONG_VALUE_PER_K * work.writing_tokens / 1000
    long = written * (_lateness(after_ms, LONG_PAUSES_MS) - _lateness(before_ms, LONG_PAUSES_MS))
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
    roomy = sorted(group, key=lambda view: _free_tokens(view, figures), reverse=True)
    leaders = [
        view
        for view in roomy
        if view.work.requests < figures.slots and _free_tokens(view, figures) > 0
    ]
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
    # Entries that place at the same moment can give out more than there is, for a while.
    return max(0, int(MEMORY_SHARE * figures.memory_tokens) - view.work.tokens)


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
