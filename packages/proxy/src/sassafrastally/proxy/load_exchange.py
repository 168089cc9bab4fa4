"""Topology of the load exchange: which entries send each other which reports.

With 68 entries in five data centres, a full mesh of reports would cause a number of datagrams that
grows with the square of the entries, and most of the traffic would cross data centres. Entries of
one data centre place requests on the same engines and need each other's latest placements. For the
other data centres a slightly older sum of the data centre's work is sufficient.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import NO_WORK, server_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sassafrastally.proxy.load import Work

PEER_TIMEOUT_S = 1.0
"""A peer counts as dead after four missed datagrams; one or two may be lost."""

MAX_SEND_INTERVAL_S = 0.25
"""Maximum time between two datagrams, and between two sums of a data centre."""

MIN_SEND_INTERVAL_S = 0.02
"""Minimum time between two datagrams; changes within it are sent together. Shorter than an engine's
pass, so that peers know of requests that began in the last pass."""

FULL_DATAGRAM_INTERVAL_S = 2.0
"""Time between two datagrams that list the peers, and between repeats of older quarantine news. The
list makes up most of a datagram's bytes and rarely changes; a new peer is listed at once."""

MAX_DIRECT_PEERS = 25
"""Most peers with which each entry reports to all others directly. With more peers, the reports
would be so rare that the sum of a data centre is as recent."""

RELAYS = 2
"""Entries of a data centre that send its sum to the other data centres, so that the sum still
arrives when one of them fails."""

STORE_PROBERS = 6
"""Entries that probe an unavailable store. The first one that gets an answer notifies all others.
Several are needed to notice a store that is available again but rejects some entries."""

URGENT_PREFILL_MS = 250.0
"""Prefill time on one engine from which other data centres are notified at once. Shorter prefills
are over by the time they could react: regular reports reach them within a quarter of a second."""


class Member(NamedTuple):
    """An entry of a data centre, as a candidate for sending the data centre's sum."""

    host: str
    link_mbps: int
    """Link speed in megabits per second."""
    is_stopping: bool = False
    is_overloaded: bool = False
    """Whether it leaves duties to others that can take them."""


def reports_directly(peers: int) -> bool:
    """Return whether an entry reports directly to each of that many peers."""
    return peers <= MAX_DIRECT_PEERS


def is_ranked_first(own: Member, others: Iterable[Member], count: int) -> bool:
    """Return whether an entry is among the first of several, ordered by link speed.

    All entries compute the same order, so the relays of a data centre needn't be elected. The
    entries with the fastest links are chosen, since a sum is sent to every entry of the other data
    centres.

    Parameters
    ----------
    own
        The entry.
    others
        The other live entries.
    count
        Number of entries to choose.
    """
    return position_among(own, others) < count


def position_among(own: Member, others: Iterable[Member]) -> int:
    """Return an entry's position among several, ordered by link speed, from 0."""
    own_rank = _member_rank(own)
    return sum(1 for other in others if not other.is_stopping and _member_rank(other) < own_rank)


def without_overloaded(members: Iterable[Member]) -> list[Member]:
    """Return the members that aren't overloaded; all of them if none is left."""
    everyone = list(members)
    return [member for member in everyone if not member.is_overloaded] or everyone


def _member_rank(member: Member) -> tuple[bool, int, int]:
    """Return the sort key of an entry: overloaded ones last, so that they keep only duties that
    nobody else can take."""
    return member.is_overloaded, *link_rank(member.host, member.link_mbps)


def is_urgent_for_sums(reported: Mapping[int, Work], current: Mapping[int, Work]) -> bool:
    """Return whether an entry has started a prefill that other data centres must learn of at once.

    Parameters
    ----------
    reported
        Its previously reported work by engine.
    current
        Its current work by engine.
    """
    return any(
        work.prefill_ms >= URGENT_PREFILL_MS
        and work.prefill_requests > reported.get(server, NO_WORK).prefill_requests
        for server, work in current.items()
    )


def link_rank(host: str, link_mbps: int) -> tuple[int, int]:
    """Return the sort key for the assignment of duties: fastest links first."""
    return -link_mbps, server_hash(host)
