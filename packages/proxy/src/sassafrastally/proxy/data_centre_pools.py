"""Division of a service's engines into one pool per data centre, if there are enough of them.

In a deployment of 68 entries and 195 engines in five data centres, an entry learns of load in its
own data centre within 50 ms, but of load elsewhere only through aggregated reports. A short prompt
placed in another data centre crosses between data centres twice, and choosing among all engines
takes five times as long. Short prompts are therefore placed in the entry's own data centre unless
they would be late there. Where the entries' links are uneven, this also applies to long prompts and
their helpers, since their parts would cross between data centres.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import MAX_HELPERS
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.plan import SAFE_GOAL_SHARE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.plan import Placement

MIN_POOL_ENGINES = MAX_HELPERS + 1
"""Fewest engines for a pool of its own: as many as the longest prompt can use. With fewer engines,
the lanes can be sized only in coarse steps. With a higher bound, a data centre that loses a quarter
of its engines would fall below it in the middle of a burst."""


def divide_by_data_centre(servers: Iterable[BackendServer]) -> dict[str, list[BackendServer]]:
    """Return a service's engines by data centre, in order; empty if any centre has too few."""
    pools: dict[str, list[BackendServer]] = {}
    for server in servers:
        pools.setdefault(server.data_centre, []).append(server)
    if len(pools) < 2 or any(len(pool) < MIN_POOL_ENGINES for pool in pools.values()):
        return {}
    return pools


def prefers_local_data_centre(lane: Lane, has_uneven_links: Callable[[], bool]) -> bool:
    """Return whether a prompt is placed in its entry's own data centre if it is in time there.

    Parameters
    ----------
    lane
        Lane of the prompt.
    has_uneven_links
        Returns whether the entries' links are uneven; called for long prompts only.
    """
    return lane is Lane.SHORT or has_uneven_links()


def place_locally_first(
    place: Callable[[Sequence[ServerView]], Placement | None],
    local_views: Sequence[ServerView],
    all_views: Callable[[], Sequence[ServerView]],
    goal_s: float,
) -> Placement | None:
    """Return the placement in the own data centre if it is in time, and one anywhere otherwise.

    Parameters
    ----------
    place
        Returns the placement among several engines.
    local_views
        Engines of the own data centre; empty if they aren't preferred.
    all_views
        Returns the engines of all data centres.
    goal_s
        Goal for the time to the first event.
    """
    plan = place(local_views) if local_views else None
    return plan if fits_in_local_data_centre(plan, goal_s) else place(all_views())


def fits_in_local_data_centre(plan: Placement | None, goal_s: float) -> bool:
    """Return whether a prompt is placed in its own data centre without considering all engines.

    Parameters
    ----------
    plan
        Placement in its own data centre; ``None`` when no engine there has room.
    goal_s
        Goal for the time to its first event.
    """
    return plan is not None and plan.predicted_s <= SAFE_GOAL_SHARE * goal_s
