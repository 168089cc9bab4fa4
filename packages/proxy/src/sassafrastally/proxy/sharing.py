"""Which entries tell each other what, by their number and their data centres.

The load that it answers: 68 entries in five data centres. If each told each other one all it knows,
datagrams would grow with the square of the entries, and most of their bytes would pass between data
centres. Entries of one data centre place on the same engines and need each other's latest choices;
to the others a sum, a little older, says as much.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import NO_WORK, server_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sassafrastally.proxy.load import Work

MOST_TOLD = 25
"""Peers up to which each entry tells all others itself. With more of them each would hear so seldom
of each other that a sum is as fresh."""

RELAYS = 2
"""Entries of a data centre that tell the others its sum. When one dies, the other one's goes on."""

PROBERS = 6
"""Entries that try a store which answers nobody. The first that is answered tells all others; with
so many a store that turns some entries away is found too."""

FAR_NEWS_MS = 250.0
"""Reading on one engine of which other data centres hear at once: what is shorter is over when they
would act on it, since they hear of it a quarter of a second later anyway."""


class Member(NamedTuple):
    """An entry of a data centre, as one that may tell its sum."""

    host: str
    link_mbps: int
    """Speed of its link, megabits a second."""
    is_stopping: bool = False


def tells_all(peers: int) -> bool:
    """Return whether an entry tells each of that many peers itself."""
    return peers <= MOST_TOLD


def is_first(own: Member, others: Iterable[Member], count: int) -> bool:
    """Return whether an entry is among the first of several, fastest links first.

    All choose alike, so that nobody has to appoint the relays of a data centre: the fastest links
    do it, since a sum goes to every entry of the other data centres.

    Parameters
    ----------
    own
        The entry.
    others
        The other live ones.
    count
        How many are chosen.
    """
    own_rank = link_rank(own.host, own.link_mbps)
    before = sum(
        1
        for other in others
        if not other.is_stopping and link_rank(other.host, other.link_mbps) < own_rank
    )
    return before < count


def is_news_afar(known: Mapping[int, Work], told: Mapping[int, Work]) -> bool:
    """Return whether an entry has begun to read a prompt for which other data centres can't wait.

    Parameters
    ----------
    known
        Its work as it told it before, by engine.
    told
        Its work now.
    """
    return any(
        work.reading_ms >= FAR_NEWS_MS
        and work.reading_requests > known.get(server, NO_WORK).reading_requests
        for server, work in told.items()
    )


def link_rank(host: str, link_mbps: int) -> tuple[int, int]:
    """Return the place of an entry in the order in which duties are taken: fastest links first."""
    return -link_mbps, server_hash(host)
