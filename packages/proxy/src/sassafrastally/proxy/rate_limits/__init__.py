"""Rate limits of backend servers: which are in effect, and this entry's share of each.

The modules decide without I/O; `Backpressure` calls them and exchanges limits with the peers.
"""

from __future__ import annotations

from sassafrastally.proxy.rate_limits.limit_exchange import (
    LimitExchange,
    LimitReport,
    NullLimitExchange,
)
from sassafrastally.proxy.rate_limits.own_shares import GrantDecision, OwnShares
from sassafrastally.proxy.rate_limits.rate_limit_sharing import (
    MIN_LIMIT_PER_S,
    RetrySchedule,
    SentRequests,
    own_share_per_s,
)
from sassafrastally.proxy.rate_limits.server_limits import LimitChange, ServerLimits
from sassafrastally.proxy.rate_limits.share_grants import (
    COLD_GRANT_VALID_S,
    GRANT_VALID_S,
    NO_SHARE_NEWS,
    Grant,
    ShareGrants,
    ShareNews,
    decide_grants,
)

__all__ = [
    "COLD_GRANT_VALID_S",
    "GRANT_VALID_S",
    "MIN_LIMIT_PER_S",
    "NO_SHARE_NEWS",
    "Grant",
    "GrantDecision",
    "LimitChange",
    "LimitExchange",
    "LimitReport",
    "NullLimitExchange",
    "OwnShares",
    "RetrySchedule",
    "SentRequests",
    "ServerLimits",
    "ShareGrants",
    "ShareNews",
    "decide_grants",
    "own_share_per_s",
]
