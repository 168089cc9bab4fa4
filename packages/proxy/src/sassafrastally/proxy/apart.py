"""Where a request is placed under which a server has crashed.

The load that it answers: a server crashes with some eight requests on it, one of which was the
cause. Entries that all choose the least busy server sent them to the same next one, where the
harmful one broke them all off again, for good: routes allow two attempts. All entries know which
requests ran on the server and deal them out in the same way, each to a server of its own, so that
the next crash tells them apart. Those with more than one crash come first: two that meet for the
third time are both quarantined. A body that many callers ask for goes to one server for all of
them, so that fewer crash at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.proxy.lanes import ServerView

MOST_DEALT = 16
"""Requests that are dealt out together: what a server runs and what waits there. Each looks through
all servers."""

MASK = (1 << 64) - 1


def dealt_server(
    views: Sequence[ServerView], fingerprint: int, suspects: Mapping[int, int]
) -> list[ServerView]:
    """Return the server that a request is dealt; those to choose from if there are too few.

    Those with the most crashes are dealt first. Servers that are known to run such a request are
    dealt last, but for rivals: requests with more than one crash each.

    Parameters
    ----------
    views
        Servers that may get the request.
    fingerprint
        The request.
    suspects
        Crashes by fingerprint, of it and of the requests that were on the same crashed servers, the
        latest first.
    """
    left = list(views)
    kept_off: set[str] = set()
    """Servers that requests with more crashes are dealt."""
    turns = _turns(fingerprint, suspects)
    has_rivals = sum(suspects[one] > 1 for one in turns) > 1
    for one in turns:
        idle = [view for view in left if not view.work.suspect_requests]
        # Entries may differ for a moment on which servers are idle; rivals part all the same.
        choice = left if has_rivals and suspects[one] > 1 else idle or left
        if not choice:
            break
        dealt = min(choice, key=lambda view: _rank(one, view))
        if one == fingerprint:
            return [dealt]
        left.remove(dealt)
        if suspects[one] > suspects[fingerprint]:
            kept_off.add(dealt.server.life_id)
    return [view for view in views if view.server.life_id not in kept_off] or list(views)


def _turns(fingerprint: int, suspects: Mapping[int, int]) -> list[int]:
    """Return the requests that are dealt servers, in an order on which all entries agree."""
    most = sorted(suspects, key=lambda one: -suspects[one])[:MOST_DEALT]
    return sorted({fingerprint, *most}, key=lambda one: (-suspects[one], one))


def _rank(fingerprint: int, view: ServerView) -> int:
    """Return the place of a server in the order of a request, by a mix of both hashes."""
    mixed = (fingerprint ^ server_hash(view.server.life_id)) & MASK
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9 & MASK
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EB & MASK
    return mixed ^ (mixed >> 31)
