"""Quota of one entry in the requests that a cold server accepts from all entries together.

Twenty-five entries may have work for a server that accepts 32 requests in a second and crashes well
above that. The requests are divided into whole numbers by a hash of server and entry, so that the
quotas of all entries add up to the server's rate in any window, not only on average. With more
entries than requests, the entries of the lowest ranks get none.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Collection

    from sassafrastally.proxy.rate_limits.rate_limit_sharing import SentRequests

WINDOW_S = 1.1
"""Window of the quotas. The bound holds for any second at the server, and requests that are sent a
second apart can arrive closer together: their transit times differ by up to a tenth of a second."""


class ColdBound(NamedTuple):
    """Deployment's bound on the requests to one cold server in any second."""

    overrun: float = 1.0
    """Factor on the rate that the server accepts."""
    slack: float = 0.0
    """Requests in addition."""

    def requests(self, cold_per_s: float) -> int:
        """Return the number of requests that all entries together plan for in a window.

        This is the accepted rate. What the bound allows beyond it is left to entries that don't
        know each other yet and to requests that are delayed in transit.
        """
        planned = min(cold_per_s, cold_per_s * self.overrun + self.slack)
        return max(1, math.floor(planned + 1e-9))


def own_quota(incarnation_id: str, requests: int, own_host: str, others: Collection[str]) -> int:
    """Return how many requests this entry may send to a cold server in a window.

    Parameters
    ----------
    incarnation_id
        The server.
    requests
        Requests of all entries together.
    own_host
        This entry.
    others
        All other entries that may send to it.
    """
    own_rank = _rank(incarnation_id, own_host)
    before = sum(1 for host in others if _rank(incarnation_id, host) > own_rank)
    whole, rest = divmod(requests, 1 + len(others))
    return whole + (1 if before < rest else 0)


def wait_s(sent: SentRequests, quota: int, cold_per_s: float, now_s: float) -> float:
    """Return the time until one more request fits into a quota; infinite without a quota."""
    return sent.wait_in_window_s(quota, window_s(cold_per_s), now_s)


def window_s(cold_per_s: float) -> float:
    """Return the window of the quotas; longer for less than one request per second."""
    return WINDOW_S * max(1.0, 1.0 / cold_per_s)


def _rank(incarnation_id: str, host: str) -> int:
    return server_hash(f"{host} {incarnation_id}")
