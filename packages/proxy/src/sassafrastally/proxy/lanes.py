"""Split of the engines into one lane for short prompts and one for long prompts.

Callers of short prompts notice a pause of a quarter of a second, while a long prompt takes an
engine seconds to prefill, and the mix of both changes by a factor of ten within seconds. An engine
that prefills a long prompt delays everything that it decodes, so short and long requests are placed
on different engines.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.engine_time import MAX_HELPERS, prefill_ms
from sassafrastally.proxy.load import Lane, Work

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sassafrastally.proxy.model import BackendServer, EngineProfile, PromptSize, Route
    from sassafrastally.proxy.prefill_limits import PrefillLimits

SHORT_REQUEST_DURATION_S = 1.5
"""Typical time that a short request occupies its slot. Together with the number of requests in
progress it gives the rate at which requests start."""

SHORT_FILL = 0.75
"""Share of the slots that the short lane is sized for. The rest is a reserve for requests that
other entries place at the same time."""

LONG_LANE_SHARE = 0.12
"""Smallest share of the engines in the long lane, so that the first long prompt after a period
without any finds engines without short requests."""


class ServerView(NamedTuple):
    """Known state of one engine when a prompt is placed."""

    server: BackendServer
    work: Work
    is_suspect: bool = False
    """Whether recent answers indicate a fault; it is used only when no other engine is left."""
    pace: float = 1.0
    """Factor by which it is slower than its published figures."""
    is_limited: bool = False
    """Whether it limits its request rate. It then prefills parts of prompts that other engines
    answer only if the prompt can't be answered in time without it."""
    is_cold: bool = False
    """Whether it has just started; of equally loaded servers a warm one is preferred."""


class Lanes(NamedTuple):
    """Engines by lane, in the order that all entries use."""

    long: tuple[ServerView, ...]
    short: tuple[ServerView, ...]


class PlacementRandomizer(NamedTuple):
    """Randomization against herding of entries that don't know each other's latest placements.

    Many entries place requests faster than they learn of each other's placements. If each took the
    best engine by the same rule, all would pick the same engine and overfill its slots while others
    are idle. Each entry therefore draws among equally good engines, in proportion to the estimated
    number of requests that it doesn't know of yet.
    """

    random: Random
    update_age_s: float = 0.0
    """Age of the latest load report of other entries."""

    def unreported_requests(self, short_requests: int) -> float:
        """Return the estimated short requests that others have started since their last reports."""
        return short_requests * self.update_age_s / SHORT_REQUEST_DURATION_S


def choose_lane(
    route: Route, prompt: PromptSize, profile: EngineProfile, limits: PrefillLimits
) -> Lane:
    """Return the lane of a request."""
    if limits.is_tolerant(route.pause_goal_s):
        return Lane.LONG
    too_long_ms = limits.max_short_part_ms * (MAX_HELPERS + 1)
    return Lane.LONG if prefill_ms(profile, prompt.prompt_tokens) > too_long_ms else Lane.SHORT


def split_lanes_by_centre(
    views: Sequence[ServerView],
    profile: EngineProfile,
    randomizer: PlacementRandomizer | None = None,
) -> Lanes:
    """Split the engines of each data centre separately, as its own entries do.

    Parameters
    ----------
    views, profile, randomizer
        As for `split_lanes`.
    """
    centres: dict[str, list[ServerView]] = {}
    for view in views:
        centres.setdefault(view.server.data_centre, []).append(view)
    split = [split_lanes(centre_views, profile, randomizer) for centre_views in centres.values()]
    return Lanes(
        tuple(view for lanes in split for view in lanes.long),
        tuple(view for lanes in split for view in lanes.short),
    )


def split_lanes(
    views: Sequence[ServerView],
    profile: EngineProfile,
    randomizer: PlacementRandomizer | None = None,
) -> Lanes:
    """Split the engines into lanes by the number of short requests in progress.

    The short lane gets as many engines as its requests need and the long lane gets the rest: each
    further engine speeds up long prompts, while short prompts need only free slots. Entries that
    see the same load compute the same split, because the order is fixed by the server ids.

    Parameters
    ----------
    views
        Engines that can take work, in the order that all entries use.
    profile
        Performance profile of the engines.
    randomizer
        Estimates the requests that other entries have placed since their latest reports.
    """
    count = len(views)
    if count < 2:
        return Lanes(tuple(views), tuple(views))
    short_requests: float = sum(view.work.short_requests for view in views)
    if randomizer is not None:
        short_requests += randomizer.unreported_requests(int(short_requests))
    needed_engines = math.ceil(short_requests / (SHORT_FILL * profile.slots)) + 1
    min_long = max(1, math.ceil(LONG_LANE_SHARE * count))
    short = max(1, min(needed_engines, count - min_long))
    return Lanes(tuple(views[: count - short]), tuple(views[count - short :]))
