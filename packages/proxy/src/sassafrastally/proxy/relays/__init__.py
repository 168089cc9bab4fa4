"""Sums of data centres: what they contain, who gets them, and which are known."""

from __future__ import annotations

from sassafrastally.proxy.relays.data_centre_sum import max_by_key, sum_hellos
from sassafrastally.proxy.relays.received_sums import DataCentreSum, ReceivedSums, is_stale
from sassafrastally.proxy.relays.sum_routing import (
    MAX_EVEN_LINK_RATIO,
    RELAY_HEARD_S,
    SumRoute,
    are_links_uneven,
    route_sum,
)

__all__ = [
    "MAX_EVEN_LINK_RATIO",
    "RELAY_HEARD_S",
    "DataCentreSum",
    "ReceivedSums",
    "SumRoute",
    "are_links_uneven",
    "is_stale",
    "max_by_key",
    "route_sum",
    "sum_hellos",
]
