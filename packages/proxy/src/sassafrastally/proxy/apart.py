"""Where a request is placed under which a server has crashed.

The load that it answers: a server crashes with some eight requests on it, one of which was the
cause. Entries that all choose the least busy server sent them to the same next one, where the
harmful one broke them all off again, for good: routes allow two attempts. All entries know which
requests ran on the server and deal them out in the same way, each to a server of its own, so that
the next crash tells them apart. A body that many callers ask for goes to one server for all of
them, so that fewer crash at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.proxy.lanes import ServerView

MOST_DEALT = 16
"""Requests that are dealt out together: what a server runs and what waits there. More would take a
millisecond and more at some hundred servers."""

MASK = (1 << 64) - 1


def dealt_server(
    views: Sequence[ServerView], fingerprint: int, others: Iterable[int]
) -> list[ServerView]:
    """Return the server that a request is dealt; none if there is no server.

    Servers that are known to run another such request are passed over, if there are others.

    Parameters
    ----------
    views
        Servers that may get the request.
    fingerprint
        The request.
    others
        Fingerprints of the requests that were on the same crashed servers.
    """
    left = [view for view in views if not view.work.suspect_requests] or list(views)
    for one in sorted({fingerprint, *list(others)[:MOST_DEALT]}):
        if not left:
            break
        dealt = min(left, key=lambda view: _rank(one, view))
        if one == fingerprint:
            return [dealt]
        left.remove(dealt)
    return list(views)


def _rank(fingerprint: int, view: ServerView) -> int:
    """Return the place of a server in the order of a request, by a mix of both hashes."""
    mixed = (fingerprint ^ server_hash(view.server.life_id)) & MASK
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9 & MASK
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EB & MASK
    return mixed ^ (mixed >> 31)
