"""Failures whose cause is the entry that reports them, such as a link that loses packets.

The failures of such an entry are spread over all servers that it uses, and other entries get good
responses from them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.failure_rates.failure_counts import FailureCounts, sum_by_server

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MAX_UNCONFIRMED_SERVERS = 2
"""Number of servers up to which the failures that an entry alone sees may be the servers' fault.
From three servers on, a fault of the entry is more likely than of three servers at once."""

CONFIRMING_SHARE = 0.1
"""Failure share at the other entries from which they confirm that a server fails: half of the share
from which a server is avoided, as others may have few responses."""


class SenderCounts(NamedTuple):
    """Counts of one entry, or of a data centre whose relay has left out entries at fault."""

    counts: Mapping[int, FailureCounts]
    is_sum: bool = False


def credible_senders(senders: Sequence[SenderCounts]) -> list[SenderCounts]:
    """Return the senders whose failures aren't their own fault."""
    totals = sum_by_server(sender.counts for sender in senders)
    return [
        sender
        for sender in senders
        if sender.is_sum or len(_unconfirmed(sender, totals)) <= MAX_UNCONFIRMED_SERVERS
    ]


def is_confirmed(key: int, senders: Iterable[SenderCounts]) -> bool:
    """Return whether a server's failures are confirmed by a second sender.

    The word of a single sender suffices if it reports no failures of other servers.
    """
    reporting = [one for one in senders if key in one.counts and one.counts[key].failures]
    if len(reporting) != 1:
        return bool(reporting)
    return sum(1 for counts in reporting[0].counts.values() if counts.failures) == 1


def sum_of_centre(senders: Sequence[SenderCounts]) -> dict[int, FailureCounts]:
    """Return the counts of a data centre without those of entries at fault."""
    return sum_by_server(sender.counts for sender in credible_senders(senders))


def _unconfirmed(sender: SenderCounts, totals: Mapping[int, FailureCounts]) -> list[int]:
    """Return the servers that fail for this sender only."""
    unconfirmed: list[int] = []
    for key, own in sender.counts.items():
        others = FailureCounts(
            totals[key].failures - own.failures, totals[key].responses - own.responses
        )
        if own.failures and others.share < CONFIRMING_SHARE:
            unconfirmed.append(key)
    return unconfirmed
