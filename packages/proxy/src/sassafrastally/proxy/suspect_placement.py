"""Placement of requests that were running on a server when it crashed.

A server crashes with about eight requests on it, one of which is the cause. If every entry retries
them on the least busy server, they meet on the same server again, the harmful request crashes it
too, and all of them fail for good because routes allow two attempts. Therefore all entries, which
know the requests that ran on the crashed server, compute the same assignment of each suspect
request to a server of its own, so that the next crash identifies the cause. Requests with more than
one crash are assigned first, because two requests that share a third crash are both quarantined.
Identical request bodies from several callers are assigned to one server, so that fewer servers
crash at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.proxy.lanes import ServerView

MAX_ASSIGNED_REQUESTS = 16
"""Most requests that are assigned together: those that a server runs and those in its queue. The
limit bounds the cost, as each assigned request scans all servers."""

UINT64_MASK = (1 << 64) - 1


def assigned_servers(
    views: Sequence[ServerView], fingerprint: int, suspects: Mapping[int, int]
) -> list[ServerView]:
    """Return the server assigned to a suspect request, or the candidates if there are too few.

    Requests with the most crashes are assigned first. Servers known to run a suspect request are
    assigned last, except if several requests have more than one crash each.

    Parameters
    ----------
    views
        Servers that can take the request.
    fingerprint
        Fingerprint of the request.
    suspects
        Number of crashes by fingerprint, for this request and for those that were on the same
        crashed servers, the latest first.
    """
    unassigned = list(views)
    taken_incarnation_ids: set[str] = set()
    """Servers assigned to requests with more crashes."""
    assignment_order = _assignment_order(fingerprint, suspects)
    has_repeated_suspects = sum(suspects[one] > 1 for one in assignment_order) > 1
    for one in assignment_order:
        idle = [view for view in unassigned if not view.work.suspect_requests]
        # Entries can briefly disagree on which servers are idle. Requests with more than one crash
        # ignore idleness, so that all entries still assign them to different servers.
        candidates = (
            unassigned if has_repeated_suspects and suspects[one] > 1 else idle or unassigned
        )
        if not candidates:
            break
        assigned = min(candidates, key=lambda view: _rank(one, view))
        if one == fingerprint:
            return [assigned]
        unassigned.remove(assigned)
        if suspects[one] > suspects[fingerprint]:
            taken_incarnation_ids.add(assigned.server.incarnation_id)
    return [
        view for view in views if view.server.incarnation_id not in taken_incarnation_ids
    ] or list(views)


def _assignment_order(fingerprint: int, suspects: Mapping[int, int]) -> list[int]:
    """Return the requests to assign, in the same order at all entries."""
    most_crashed = sorted(suspects, key=lambda one: -suspects[one])[:MAX_ASSIGNED_REQUESTS]
    return sorted({fingerprint, *most_crashed}, key=lambda one: (-suspects[one], one))


def _rank(fingerprint: int, view: ServerView) -> int:
    """Return the rank of a server for a request, a mix of both hashes (rendezvous hashing)."""
    mixed = (fingerprint ^ server_hash(view.server.incarnation_id)) & UINT64_MASK
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9 & UINT64_MASK
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EB & UINT64_MASK
    return mixed ^ (mixed >> 31)
