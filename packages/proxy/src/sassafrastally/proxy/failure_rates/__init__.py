"""Failures of backend servers counted over all entries.

The modules decide without I/O; `FleetView` calls them, and `Peers` exchanges the counts.
"""

from __future__ import annotations

from sassafrastally.proxy.failure_rates.avoidance import ServerState, is_beyond_chance
from sassafrastally.proxy.failure_rates.failure_counts import (
    MAX_SENT_SERVERS,
    FailureCounts,
    with_most_failures,
)
from sassafrastally.proxy.failure_rates.failure_rates import (
    RECOVERED_RESPONSES,
    AvoidanceChange,
    FailureRates,
)
from sassafrastally.proxy.failure_rates.message_fields import decode_failures, encode_failures
from sassafrastally.proxy.failure_rates.sender_faults import SenderCounts, sum_of_centre

__all__ = [
    "MAX_SENT_SERVERS",
    "RECOVERED_RESPONSES",
    "AvoidanceChange",
    "FailureCounts",
    "FailureRates",
    "SenderCounts",
    "ServerState",
    "decode_failures",
    "encode_failures",
    "is_beyond_chance",
    "sum_of_centre",
    "with_most_failures",
]
