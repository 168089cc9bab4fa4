"""Waiting for room: which refused requests wait, for how long and in which order.

Guards against floods of one kind of request that last some seconds. Without a queue, a long prompt
with a goal of several seconds is refused as soon as the engines have much prefill under way, and a
caller that is refused twice is lost, although the prompt could have waited.
"""

from __future__ import annotations

from sassafrastally.proxy.admission_queue.admission_queue import (
    AdmissionQueue,
    Waited,
    WaitingRequest,
)
from sassafrastally.proxy.admission_queue.applicability import QueueingCache, is_queueing_useful
from sassafrastally.proxy.admission_queue.customer_work import CustomerWork, request_work_ms
from sassafrastally.proxy.admission_queue.early_retries import EarlyRetries
from sassafrastally.proxy.admission_queue.expected_room import RoomRate, is_wait_hopeless
from sassafrastally.proxy.admission_queue.headroom import RecentArrivals, Shortage, find_shortage
from sassafrastally.proxy.admission_queue.prefill_overtaking import (
    StartTimes,
    can_yield,
    yield_reason,
    yields_until_s,
)
from sassafrastally.proxy.admission_queue.queue_order import (
    QueueBounds,
    WaitingFacts,
    order_key,
    requests_to_refuse,
)
from sassafrastally.proxy.admission_queue.waiting_time import (
    latest_start_s,
    least_alone_s,
    response_s,
)

__all__ = [
    "AdmissionQueue",
    "CustomerWork",
    "EarlyRetries",
    "QueueBounds",
    "QueueingCache",
    "RecentArrivals",
    "RoomRate",
    "Shortage",
    "StartTimes",
    "Waited",
    "WaitingFacts",
    "WaitingRequest",
    "can_yield",
    "find_shortage",
    "is_queueing_useful",
    "is_wait_hopeless",
    "latest_start_s",
    "least_alone_s",
    "order_key",
    "request_work_ms",
    "requests_to_refuse",
    "response_s",
    "yield_reason",
    "yields_until_s",
]
