"""Engines of one data centre as a fleet of their own, where there are enough of them.

The load that it answers: 195 engines in five data centres before 68 entries. Of the engines in its
own data centre an entry hears within a twentieth of a second, of the others through sums; a short
prompt that goes there passes between data centres twice, and a choice among all takes five times as
long. So short prompts are answered near by, unless they would be late there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import MOST_HELPERS
from sassafrastally.proxy.plan import SAFE_GOAL_SHARE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.plan import Placement

LEAST_ENGINES = MOST_HELPERS + 1
"""Engines that a data centre needs: as many as the longest prompt may take. With fewer, a lane of
one engine more or less is a coarse step; with a higher bound, data centres that lose a quarter of
their engines fall below it in the middle of a burst."""


def divide(servers: Iterable[BackendServer]) -> dict[str, list[BackendServer]]:
    """Return the engines of a service by data centre, in their order; empty if one has too few."""
    pools: dict[str, list[BackendServer]] = {}
    for server in servers:
        pools.setdefault(server.data_centre, []).append(server)
    if len(pools) < 2 or any(len(pool) < LEAST_ENGINES for pool in pools.values()):
        return {}
    return pools


def stays_near(plan: Placement | None, goal_s: float) -> bool:
    """Return whether a prompt is answered near by, as planned, and the other engines aren't asked.

    Parameters
    ----------
    plan
        Where it would go in its own data centre; ``None`` when nothing there has room.
    goal_s
        Time within which its first event is wanted.
    """
    return plan is not None and plan.predicted_s <= SAFE_GOAL_SHARE * goal_s
