"""Which backend server of a plain service gets a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import ServerView
    from sassafrastally.proxy.model import BackendServer

FAR_REQUESTS = 0.5
"""What the way to another data centre counts for, in requests in progress. A request takes 20 to
90 ms, the way there and back one to three; between servers that are equally busy the near one is
taken, and one more request under way there already outweighs it."""


def place_plain(views: Sequence[ServerView], data_centre: str) -> BackendServer | None:
    """Return the server with the fewest requests in progress; ``None`` when there is none.

    The load that it answers: few servers with few slots each, whose requests differ in length by a
    factor of ten. Requests in progress tell more than any average.

    Parameters
    ----------
    views
        Servers that may get the request, in the shared order.
    data_centre
        The data centre of this process.
    """
    if not views:
        return None

    def cost(view: ServerView) -> float:
        is_far = view.server.data_centre != data_centre
        return view.work.requests + FAR_REQUESTS * is_far

    return min(views, key=cost).server
