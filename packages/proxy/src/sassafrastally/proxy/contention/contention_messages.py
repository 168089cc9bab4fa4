"""Encoding of the contention state in the datagrams between entries."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Any

from sassafrastally.proxy.contention.contention_news import (
    MAX_CUSTOMERS_SENT,
    MAX_REFUSALS_SENT,
    NO_CONTENTION_NEWS,
    ContentionNews,
)
from sassafrastally.proxy.message_numbers import to_uint32

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_DUE_S = 60.0
"""Longest time until a retry that is accepted. Callers honour at most a third of their remaining
time, and deadlines are far below three minutes."""


def encode_contention(news: ContentionNews) -> dict[str, Any]:
    """Return the fields of a datagram; without contention none, as an empty list takes space."""
    fields: dict[str, Any] = {}
    if news.is_contended:
        fields["isContended"] = True
    if news.customers:
        fields["customers"] = [
            {"customer": customer, "workMs": to_uint32(work_ms)}
            for customer, work_ms in islice(news.customers.items(), MAX_CUSTOMERS_SENT)
        ]
    if news.refusals:
        fields["refusals"] = [
            {"request": request, "dueMs": to_uint32(due_s * 1000)}
            for request, due_s in islice(news.refusals.items(), MAX_REFUSALS_SENT)
        ]
    return fields


def decode_contention(message: Any) -> ContentionNews:
    """Return the state in a datagram; surplus items and implausible times are ignored."""
    if not (message.isContended or len(message.customers) or len(message.refusals)):
        return NO_CONTENTION_NEWS
    refusals = islice(message.refusals, MAX_REFUSALS_SENT)
    return ContentionNews(
        message.isContended,
        {one.customer: float(one.workMs) for one in islice(message.customers, MAX_CUSTOMERS_SENT)},
        {one.request: one.dueMs / 1000 for one in refusals if 0 < one.dueMs <= MAX_DUE_S * 1000},
    )


def shortened(news: ContentionNews) -> ContentionNews:
    """Return the first half of the state, for a datagram that would be too large."""
    if not news.customers and not news.refusals:
        return NO_CONTENTION_NEWS
    return news._replace(customers=_first_half(news.customers), refusals=_first_half(news.refusals))


def _first_half(items: Mapping[int, float]) -> dict[int, float]:
    return dict(islice(items.items(), len(items) // 2))
