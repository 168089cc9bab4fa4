"""Rate limits of backend servers: which are in effect, and this entry's share of each.

The modules decide without I/O; `Backpressure` calls them and exchanges limits with the peers.
"""

from __future__ import annotations

from sassafrastally.proxy.rate_limits.limit_exchange import (
    LimitExchange,
    LimitReport,
    NullLimitExchange,
)
from sassafrastally.proxy.rate_limits.rate_limit_sharing import (
    MIN_LIMIT_PER_S,
    RetrySchedule,
    SentRequests,
    own_share_per_s,
)
from sassafrastally.proxy.rate_limits.server_limits import LimitChange, ServerLimits

__all__ = [
    "MIN_LIMIT_PER_S",
    "LimitChange",
    "LimitExchange",
    "LimitReport",
    "NullLimitExchange",
    "RetrySchedule",
    "SentRequests",
    "ServerLimits",
    "own_share_per_s",
]
