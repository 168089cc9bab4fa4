"""Protection of cold backend servers, which crash above a low request rate.

A server that has just started or has lost its caches stays cold for some seconds. The modules
decide without I/O which servers are cold and how many requests this entry may send them.
"""

from __future__ import annotations

from sassafrastally.proxy.warm_up.cold_announcements import (
    MAX_COLDS_SENT,
    MIN_DIFFERENCE_S,
    ColdAnnouncements,
    age_colds,
    known_until_s,
    longest_first,
)
from sassafrastally.proxy.warm_up.cold_exchange import (
    ColdExchange,
    NullColdExchange,
    decode_colds,
    encode_colds,
)
from sassafrastally.proxy.warm_up.cold_quota import ColdBound, own_quota, wait_s
from sassafrastally.proxy.warm_up.cold_servers import (
    MAX_COLD_S,
    ColdNotice,
    ColdServers,
    is_plausible,
)
from sassafrastally.proxy.warm_up.known_entries import KnownEntries
from sassafrastally.proxy.warm_up.warm_up_limits import WarmUpLimits

__all__ = [
    "MAX_COLDS_SENT",
    "MAX_COLD_S",
    "MIN_DIFFERENCE_S",
    "ColdAnnouncements",
    "ColdBound",
    "ColdExchange",
    "ColdNotice",
    "ColdServers",
    "KnownEntries",
    "NullColdExchange",
    "WarmUpLimits",
    "age_colds",
    "decode_colds",
    "encode_colds",
    "is_plausible",
    "known_until_s",
    "longest_first",
    "own_quota",
    "wait_s",
]
