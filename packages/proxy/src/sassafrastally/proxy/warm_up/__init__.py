"""Protection of cold backend servers, which crash above a low request rate.

A server that has just started or has lost its caches stays cold for some seconds. The modules
decide without I/O which servers are cold and how many requests this entry may send them.
"""

from __future__ import annotations

from sassafrastally.proxy.warm_up.cold_quota import ColdBound, own_quota, wait_s
from sassafrastally.proxy.warm_up.cold_servers import MAX_COLD_S, ColdNotice, ColdServers
from sassafrastally.proxy.warm_up.known_entries import KnownEntries
from sassafrastally.proxy.warm_up.warm_up_limits import WarmUpLimits

__all__ = [
    "MAX_COLD_S",
    "ColdBound",
    "ColdNotice",
    "ColdServers",
    "KnownEntries",
    "WarmUpLimits",
    "own_quota",
    "wait_s",
]
