"""Decides what happens to a new caller's connection that can't be served.

A close lets callers try another entry at once with whatever they sent. It resets the connection,
though, and a caller can't tell whether a request that had arrived long before has been read. So
only what has just arrived may be closed: it crosses the close. What has waited is refused, which
costs CPU time and the caller an attempt.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrastally.core import UnreadInput

CROSSING_SHARE = 0.5
"""Share of the time in which a request may cross a close after which it is refused. The other half
is for its way to the entry and that of the close to the caller."""

EXTRA_SHARE = 0.125
"""Connections beyond the bound of an entry that may be open for the time of their refusal."""


class Admission(Enum):
    """What happens to a new connection."""

    SERVE = "served"
    REFUSE = "refused"
    CLOSE = "closed"


def turn_away(unread: UnreadInput, crossing_s: float, *, can_refuse: bool = True) -> Admission:
    """Return whether a new connection is refused or closed unread.

    Parameters
    ----------
    unread
        What has arrived on it. An age that isn't known counts as none.
    crossing_s
        Time after its last byte within which a request may be cut by a close.
    can_refuse
        Whether there are resources to keep the connection until its caller has read the refusal.
    """
    has_waited = unread.age_s is not None and unread.age_s >= crossing_s * CROSSING_SHARE
    return Admission.REFUSE if has_waited and can_refuse else Admission.CLOSE


def can_refuse(open_connections: int, most_connections: float) -> bool:
    """Return whether an entry may keep another connection for the time of its refusal."""
    return open_connections <= most_connections * (1 + EXTRA_SHARE)
