"""Order and bounds of the requests that wait for room at one entry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

AGING_SHARE = 0.5
"""Share of its longest wait after which a request moves up one priority, so that a flood of more
urgent requests doesn't starve any kind."""


class QueueBounds(NamedTuple):
    """Bounds of the requests that wait at one entry."""

    requests: int = 64
    """A caller's connection, its task and its header take some 20 KB."""
    body_bytes: int = 8_000_000


class WaitingFacts(NamedTuple):
    """What decides the place of a request in its queue."""

    priority: int
    """Priority of the customer, or of the route; 0 is the highest."""
    is_early: bool
    """Whether the caller has come back before the time that it was given."""
    customer: str
    work_ms: float
    """Engine time that the request takes."""
    body_bytes: int
    since_s: float
    """When the request began to wait."""
    latest_start_s: float
    fingerprint: int = 0
    """Identifies the request across its caller's retries; 0 if unknown."""
    timely_start_s: float = math.inf
    """Latest start that meets the goal, for requests of the most urgent routes; after it, they wait
    behind those of their priority that can still meet theirs."""
    yields: bool = False
    """Whether it may wait only for others in prefill, which isn't contention."""


OrderKey = tuple[int, bool, bool, float, float]


def order_key(facts: WaitingFacts, work_by_customer: Mapping[str, float], now_s: float) -> OrderKey:
    """Return the sort key of a waiting request; the smallest is placed first.

    Parameters
    ----------
    facts
        The request.
    work_by_customer
        Recent work of each customer, in engine milliseconds. A customer with much load waits
        behind its neighbours.
    now_s
        Current time.
    """
    priority = facts.priority - is_aged(facts, now_s)
    late = is_late(facts, now_s)
    work_ms = work_by_customer.get(facts.customer, 0.0)
    return priority, facts.is_early, late, work_ms, facts.latest_start_s


def is_aged(facts: WaitingFacts, now_s: float) -> bool:
    """Return whether a request has used so much of its longest wait that it moves up."""
    if is_late(facts, now_s):
        return False  # Otherwise it would keep the next ones from meeting their goal.
    return now_s >= facts.since_s + AGING_SHARE * (facts.latest_start_s - facts.since_s)


def is_late(facts: WaitingFacts, now_s: float) -> bool:
    """Return whether a request of the most urgent routes can no longer meet its goal."""
    return now_s > facts.timely_start_s


def is_unhindered(facts: WaitingFacts) -> bool:
    """Return whether a request needn't wait for others that wait already.

    Those of the most urgent routes that wait have mostly missed their goal, and until the queue is
    checked again, so has one that arrives. Callers whose first attempt failed leave soonest.
    """
    return math.isfinite(facts.timely_start_s) and not facts.is_early


def requests_to_refuse(ordered: Sequence[WaitingFacts], bounds: QueueBounds) -> int:
    """Return how many requests at the end of the order exceed the bounds.

    Parameters
    ----------
    ordered
        The waiting requests, in order.
    bounds
        Bounds of their number and of the sum of their bodies.
    """
    excess = max(0, len(ordered) - bounds.requests)
    kept = len(ordered) - excess
    body_bytes = sum(facts.body_bytes for facts in ordered[:kept])
    while kept and body_bytes > bounds.body_bytes:
        kept -= 1
        body_bytes -= ordered[kept].body_bytes
    return len(ordered) - kept
