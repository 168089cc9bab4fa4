"""Log events about contention at this entry."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10071)
class ContentionBegan(NamedTuple):
    """Requests wait for room at this entry or are refused for load; peers are told of customers."""

    waiting: int
    refusals: int
    """Requests refused for load in the last ten seconds."""
    customer: str
    """Customer with the most work among those with work at this entry; empty if unknown."""
    customer_work_ms: float
    """Engine time of its work over all entries in the last ten seconds."""


@event(10072)
class ContentionEnded(NamedTuple):
    """For ten seconds no request has waited for room at this entry or been refused for load."""

    waiting: int
    refusals: int
    customer: str
    customer_work_ms: float
    lasted_s: float
