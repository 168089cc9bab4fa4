"""Detection of an entry that gets far more of the callers' connections than the others.

A load balancer may send most new connections of a data centre to one of its entries for some
seconds. The other entries have CPU time left then, whatever their links.
"""

from __future__ import annotations

CROWDED_FACTOR = 2.0
"""Requests in progress, relative to the mean of the other entries, from which an entry is crowded.
Balancers that hash callers give even entries of one data centre up to about half as many again."""

MIN_CROWD_REQUESTS = 8
"""Requests in progress below which an entry isn't crowded: few requests are never spread evenly."""


def is_crowded(own_requests: int, other_requests: int, others: int) -> bool:
    """Return whether an entry has far more requests in progress than the others.

    Parameters
    ----------
    own_requests
        Its requests in progress.
    other_requests
        Requests in progress of all other entries together.
    others
        Number of other entries.
    """
    if not others or own_requests < MIN_CROWD_REQUESTS:
        return False
    return own_requests > CROWDED_FACTOR * other_requests / others
