"""Contention state shared between entries: work by customer, and refused requests.

Answers floods of which one customer causes a large part, and clients that ignore Retry-After.
Callers choose entries at random: with 25 entries, each sees a twenty-fifth of a customer's work,
and 24 of 25 early retries reach an entry that hasn't refused them.
"""

from __future__ import annotations

from sassafrastally.proxy.contention.contention_exchange import (
    ContentionExchange,
    NullContentionExchange,
)
from sassafrastally.proxy.contention.contention_messages import (
    decode_contention,
    encode_contention,
    shortened,
)
from sassafrastally.proxy.contention.contention_news import (
    MAX_CUSTOMERS_SENT,
    MAX_REFUSALS_SENT,
    NO_CONTENTION_NEWS,
    ContentionNews,
    customer_hash,
    largest_customers,
    sum_contention,
    total_work_ms,
)
from sassafrastally.proxy.contention.contention_window import CONTENTION_WINDOW_S, ContentionWindow
from sassafrastally.proxy.contention.peer_refusals import MAX_PEER_REFUSALS, PeerRefusals
from sassafrastally.proxy.contention.sent_refusals import REFUSAL_SENT_S, SentRefusals
from sassafrastally.proxy.contention.shared_contention import ContentionSummary, SharedContention

__all__ = [
    "CONTENTION_WINDOW_S",
    "MAX_CUSTOMERS_SENT",
    "MAX_PEER_REFUSALS",
    "MAX_REFUSALS_SENT",
    "NO_CONTENTION_NEWS",
    "REFUSAL_SENT_S",
    "ContentionExchange",
    "ContentionNews",
    "ContentionSummary",
    "ContentionWindow",
    "NullContentionExchange",
    "PeerRefusals",
    "SentRefusals",
    "SharedContention",
    "customer_hash",
    "decode_contention",
    "encode_contention",
    "largest_customers",
    "shortened",
    "sum_contention",
    "total_work_ms",
]
