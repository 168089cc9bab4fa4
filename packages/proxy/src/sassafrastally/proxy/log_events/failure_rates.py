"""Log events about servers that are avoided for their failures over all entries."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10075, "warning")
class ServerAvoided(NamedTuple):
    """A backend server fails too large a share of its requests over all entries."""

    server_id: str
    failures: int
    """Failures in the last ten seconds over all entries."""
    responses: int
    """Responses in that time, failed ones included."""
    entries: int
    """Number of entries, or sums of data centres, that saw a failure."""


@event(10076)
class ServerUsedAgain(NamedTuple):
    """A backend server is no longer avoided for its failures over all entries.

    It has recovered, or the other servers can't carry the load without it.
    """

    server_id: str
    failures: int
    responses: int
    entries: int
