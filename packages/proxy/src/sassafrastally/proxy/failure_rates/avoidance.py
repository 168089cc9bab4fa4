"""Decision which servers are avoided because they fail too large a share of their requests.

Answers load A with faulty servers: a seventh of its engines reject 40 % of their requests although
they are idle, and plain servers answer 500 to 40 %. No entry sees two consecutive failures of one
server, so outlier ejection doesn't take effect.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.failure_rates.failure_counts import NO_COUNTS, FailureCounts

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from collections.abc import Set as AbstractSet

MIN_SHARE = 0.2
"""Failure share from which a server is avoided: one caller in 25 loses both attempts."""

HEALTHY_SHARE = 0.05
"""Failure share of healthy servers: plain ones fail a few requests in a hundred."""

MAX_CHANCE = 0.001
"""Probability up to which the failures of a healthy server count as too many to be chance. With
some sixty servers, a healthy one is avoided about once in some minutes."""

MAX_RESPONSES = 200
"""Responses that are considered; more are scaled down. A failure share of 0.2 among so many is
beyond chance, and their probabilities can be computed with floats."""

MIN_RATIO_TO_COMMON = 2.0
"""Ratio between the failure share of an avoided server and the share common to all. Below it,
callers would gain little from another server."""

MAX_USED_SHARE = 0.75
"""Used share of the remaining servers' slots up to which they can carry the load: a third more
requests still fit."""


class ServerState(NamedTuple):
    """What is known of a server of one service."""

    key: int
    """Hash of the incarnation id."""
    slots: int
    requests: int
    """Number of requests in progress from all entries."""
    is_usable: bool = True
    """Whether it isn't avoided for another reason."""


def is_beyond_chance(counts: FailureCounts, common_share: float = 0.0) -> bool:
    """Return whether a healthy server hardly ever fails so many of its requests.

    Parameters
    ----------
    counts
        Failures and responses of the server over all entries.
    common_share
        Failure share that is common to the servers of its service.
    """
    if counts.failures < 1 or counts.share < MIN_SHARE:
        return False
    healthy_share = max(HEALTHY_SHARE, common_share)
    responses = min(counts.responses, MAX_RESPONSES)
    fewer = sum(
        math.comb(responses, number)
        * healthy_share**number
        * (1 - healthy_share) ** (responses - number)
        for number in range(counts.failures * responses // counts.responses)
    )
    return 1.0 - fewer < MAX_CHANCE


def common_share(
    servers: Sequence[ServerState],
    counts: Mapping[int, FailureCounts],
    unlisted_share: float,
) -> float:
    """Return the failure share that the best quarter of a service's servers doesn't exceed.

    If even these fail, the cause is common to all, and avoiding some would only load the others.

    Parameters
    ----------
    servers
        All servers of the service.
    counts
        Failures and responses over all entries.
    unlisted_share
        Failure share assumed for servers without counts.
    """
    shares = sorted(
        counts[server.key].share if server.key in counts else unlisted_share for server in servers
    )
    return shares[len(shares) // 4] if shares else 0.0


def is_worse_than_common(counts: FailureCounts, common: float) -> bool:
    """Return whether callers of a server gain by another one of its service."""
    # A server that is avoided has few responses, which may all be good for a while.
    return max(MIN_SHARE, counts.share) >= MIN_RATIO_TO_COMMON * common


def servers_to_avoid(
    servers: Sequence[ServerState],
    counts: Mapping[int, FailureCounts],
    failing: AbstractSet[int],
) -> set[int]:
    """Return the servers of a service to avoid, chosen from the failing ones, worst first.

    Parameters
    ----------
    servers
        All servers of the service.
    counts
        Failures and responses over all entries.
    failing
        Servers that fail too much to be healthy, now or shortly before.
    """
    worst_first = sorted(
        (server for server in servers if server.key in failing),
        key=lambda server: (-counts.get(server.key, NO_COUNTS).share, server.key),
    )
    requests = sum(server.requests for server in servers)
    slots = sum(server.slots for server in servers if server.is_usable)
    avoided: set[int] = set()
    for server in worst_first:
        slots -= server.slots * server.is_usable
        if slots <= 0 or requests > MAX_USED_SHARE * slots:
            break
        avoided.add(server.key)
    return avoided
