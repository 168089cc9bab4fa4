"""Placement of requests to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import BackendServer

REMOTE_COST_REQUESTS = 0.5
"""Cost of a round trip to another data centre, in requests in progress. A request takes 20 to 90 ms
and the round trip 1 to 3 ms: of two equally busy servers the one in the same data centre is taken,
but one more request in progress there already outweighs the round trip."""


QUEUE_PER_SLOT = 1.0
"""Requests that may wait at a server, for each of its slots. Beyond that the server rejects further
ones, which costs each an attempt."""


def has_slot(views: Sequence[ServerView]) -> bool:
    """Return whether a server takes another request: it has a slot or a place to wait for one."""
    return any(
        view.work.requests < (1.0 + QUEUE_PER_SLOT) * max(1, view.server.slots) for view in views
    )


def place_plain(views: Sequence[ServerView], data_centre: str) -> BackendServer | None:
    """Return the server with the fewest requests in progress; ``None`` when there is none.

    Plain services have few servers with few slots each, and the durations of their requests differ
    by a factor of ten. The number of requests in progress is a better load signal than any average.

    Parameters
    ----------
    views
        Servers that can take the request, in the order that all entries use.
    data_centre
        The data centre of this process.
    """
    if not views:
        return None

    def cost(view: ServerView) -> tuple[float, bool]:
        is_remote = view.server.data_centre != data_centre
        return view.work.requests + REMOTE_COST_REQUESTS * is_remote, view.is_cold

    return min(views, key=cost).server
