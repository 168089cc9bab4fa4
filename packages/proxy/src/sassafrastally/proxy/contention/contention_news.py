"""What entries tell each other about contention, and how a data centre's entries are summed."""

from __future__ import annotations

import hashlib
from functools import lru_cache
from heapq import nlargest
from itertools import zip_longest
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MAX_CUSTOMERS_SENT = 16
"""Customers in one datagram. Those with more than a sixteenth of the work are all among them, and
the log names only the one with the most."""

MAX_REFUSALS_SENT = 16
"""Refusals in one datagram. Each is sent for half a second, so that up to 32 a second are complete:
an entry of load A starts about two requests a second."""


class ContentionNews(NamedTuple):
    """Contention state of an entry, or of a data centre."""

    is_contended: bool = False
    """Whether requests wait for room at the sender, or have lately waited or been refused."""
    customers: Mapping[int, float] = MappingProxyType({})
    """Engine milliseconds by hash of the customer's name, the largest first."""
    refusals: Mapping[int, float] = MappingProxyType({})
    """Remaining seconds until the caller of a refused request may retry, by the request's
    fingerprint; the latest refusal first."""


NO_CONTENTION_NEWS = ContentionNews()


@lru_cache(maxsize=8192)
def customer_hash(name: str) -> int:
    """Return the 64-bit key of a customer; empty for requests without one."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def largest_customers(work_ms: Mapping[int, float]) -> dict[int, float]:
    """Return the customers to send, the one with the most work first."""
    largest = nlargest(MAX_CUSTOMERS_SENT, work_ms.items(), key=lambda item: item[1])
    return {customer: ms for customer, ms in largest if ms > 0}


def total_work_ms(news: Iterable[ContentionNews]) -> dict[int, float]:
    """Return the work of each customer over several senders."""
    total_ms: dict[int, float] = {}
    for one in news:
        for customer, ms in one.customers.items():
            total_ms[customer] = total_ms.get(customer, 0.0) + ms
    return total_ms


def sum_contention(news: Sequence[tuple[ContentionNews, float]]) -> ContentionNews:
    """Return the sum of a data centre's entries.

    Parameters
    ----------
    news
        State of each entry, with its age in seconds.
    """
    if all(one == NO_CONTENTION_NEWS for one, _ in news):
        return NO_CONTENTION_NEWS
    refusals: dict[int, float] = {}
    # The latest refusal of each entry, then the second latest of each, and so on: the messages
    # don't contain the time of a refusal.
    aged = [
        [(request, due_s - age_s) for request, due_s in one.refusals.items()] for one, age_s in news
    ]
    for rank in zip_longest(*aged):
        for request, due_s in filter(None, rank):
            if due_s > 0 and len(refusals) < MAX_REFUSALS_SENT:
                refusals[request] = max(due_s, refusals.get(request, 0.0))
    return ContentionNews(
        any(one.is_contended for one, _ in news),
        largest_customers(total_work_ms(one for one, _ in news)),
        refusals,
    )
