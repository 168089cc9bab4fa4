"""Routing of a data centre's sum: to the relays of the other data centres, or to all their entries.

With 38 entries in three data centres whose links range from 7 to 100 Mbit/s, two relays that each
send the sum to every entry elsewhere cause 50 datagrams between data centres per update, and
traffic between data centres is expensive. Sent to the other relays only, which forward it within
their data centres, each update takes 4.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MAX_EVEN_LINK_RATIO = 10
"""Largest ratio of the fastest link to the slowest that counts as even. Beyond an order of
magnitude, the slowest entries can't take part in everything that the fastest do; with more even
links, direct sending saves one hop."""

RELAY_HEARD_S = 0.6
"""A relay is known while its sums arrive at least this often. Shorter than the time after which a
sum expires, less one send interval: if all relays of a data centre die together, its entries get
the sum directly before the previous one has expired."""


class SumRoute(NamedTuple):
    """Destinations of a data centre's sum."""

    direct: tuple[str, ...] = ()
    """Hosts that get the sum for themselves."""
    forwarding: tuple[str, ...] = ()
    """Relays that forward the sum within their data centres."""


def are_links_uneven(links_mbps: Iterable[int]) -> bool:
    """Return whether links differ so much that sums pass through relays.

    Parameters
    ----------
    links_mbps
        Link speeds of the entries heard, in megabits per second; 0 if unknown.
    """
    known = [link_mbps for link_mbps in links_mbps if link_mbps > 0]
    return bool(known) and max(known) > MAX_EVEN_LINK_RATIO * min(known)


def route_sum(
    position: int,
    hosts_by_centre: Mapping[str, Sequence[str]],
    relays_by_centre: Mapping[str, Sequence[str]],
) -> SumRoute:
    """Return the destinations of the sum that one relay sends.

    The k-th relay sends to the k-th relay of each data centre, so that the two chains share no
    entry and one of them continues when a relay dies.

    Parameters
    ----------
    position
        Position of the sender among the relays of its data centre, from 0.
    hosts_by_centre
        Known entries of each other data centre.
    relays_by_centre
        Relays heard lately of each other data centre, in their order.
    """
    direct: list[str] = []
    forwarding: list[str] = []
    for data_centre, hosts in hosts_by_centre.items():
        relays = relays_by_centre.get(data_centre)
        if relays:
            forwarding.append(relays[min(position, len(relays) - 1)])
        else:
            direct += hosts
    return SumRoute(tuple(direct), tuple(forwarding))
