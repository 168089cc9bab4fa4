"""Engines divided into those that answer short prompts and those that read long ones.

The load that it answers: short prompts, whose callers notice a pause of a quarter of a second,
beside prompts that take an engine seconds to read, in a mix that swings by a factor of ten within
seconds. An engine that reads a long prompt holds up all that it writes, so short requests and long
ones are kept on different engines.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import MOST_HELPERS, reading_ms
from sassafrastally.proxy.load import Lane, Work

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sassafrastally.proxy.model import BackendServer, EngineFigures, PromptSize, Route
    from sassafrastally.proxy.reading_limits import ReadingLimits

SHORT_REQUEST_S = 1.5
"""Usual time that a short request keeps its slot; from it and the requests in progress follows how
many begin in a moment."""

SHORT_FILL = 0.75
"""Share of an engine's slots that the short lane is sized for; the rest is room for what other
entries place at the same moment."""

LONG_LANE_SHARE = 0.12
"""Least share of the engines in the long lane, so that the first long prompt after a quiet time
finds engines without short requests."""


class ServerView(NamedTuple):
    """What is known of one engine when a prompt is placed."""

    server: BackendServer
    work: Work
    is_suspect: bool = False
    """Recent answers speak against it; it is used only when no other is left."""
    pace: float = 1.0
    """How many times slower than its figures it works."""
    is_limited: bool = False
    """It takes few requests, so it reads parts of prompts that others answer only in need."""


class Lanes(NamedTuple):
    """Engines by lane, in the order that all entries share."""

    long: tuple[ServerView, ...]
    short: tuple[ServerView, ...]


class Scatter(NamedTuple):
    """How entries that can't see each other's latest choices keep out of each other's way.

    The load that it answers: many entries place requests faster than they hear of each other's. If
    each took the best engine by the same rule, all would take the same one until they hear of it,
    and fill it far beyond its slots while its neighbours idle. So each draws among as many equally
    good engines as there are requests under way that it hasn't heard of.
    """

    random: Random
    news_age_s: float = 0.0
    """How old the latest news of other entries is."""

    def unheard(self, short_requests: int) -> float:
        """Return how many short requests others have begun since their latest news."""
        return short_requests * self.news_age_s / SHORT_REQUEST_S


def lane_of(
    route: Route, prompt: PromptSize, figures: EngineFigures, limits: ReadingLimits
) -> Lane:
    """Return the lane of a request."""
    if limits.is_tolerant(route.pause_goal_s):
        return Lane.LONG
    too_long_ms = limits.short_part_ms * (MOST_HELPERS + 1)
    return Lane.LONG if reading_ms(figures, prompt.prompt_tokens) > too_long_ms else Lane.SHORT


def split_by_centre(
    views: Sequence[ServerView], figures: EngineFigures, scatter: Scatter | None = None
) -> Lanes:
    """Divide the engines of each data centre by itself, as its own entries do.

    Parameters
    ----------
    views, figures, scatter
        As for `split_lanes`.
    """
    centres: dict[str, list[ServerView]] = {}
    for view in views:
        centres.setdefault(view.server.data_centre, []).append(view)
    split = [split_lanes(of_one, figures, scatter) for of_one in centres.values()]
    return Lanes(
        tuple(view for lanes in split for view in lanes.long),
        tuple(view for lanes in split for view in lanes.short),
    )


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
