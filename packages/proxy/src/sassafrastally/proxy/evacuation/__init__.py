"""Evacuation of data centres: decisions without I/O.

Answers the load of a data centre whose backend servers must get no new work within seconds, while
callers at any entry are served by the servers of the others, which may be loaded already.
"""

from __future__ import annotations

from sassafrastally.proxy.evacuation.home_regions import DataCentres, home_data_centres
from sassafrastally.proxy.evacuation.registry import KEPT_S, EvacuationRegistry
from sassafrastally.proxy.evacuation.unavailability import Unavailability, find_unavailability

__all__ = [
    "KEPT_S",
    "DataCentres",
    "EvacuationRegistry",
    "Unavailability",
    "find_unavailability",
    "home_data_centres",
]
