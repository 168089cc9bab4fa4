"""Service kernel, clock, settings, errors, events and metrics, shared by every process."""

from __future__ import annotations

from sassafrastally.core.accept_queue import waiting_connections
from sassafrastally.core.accepting import (
    SHORTAGES,
    AcceptBetweenSteps,
    Acceptor,
    ClosedListener,
)
from sassafrastally.core.clock import Clock
from sassafrastally.core.errors import ERRORS, CodedError, error
from sassafrastally.core.event_stream import (
    EVENT_STREAM_TYPE,
    MAX_EVENT_BYTES,
    EventBlocks,
    EventTooLong,
    FoundField,
    event_fields,
    field_pattern,
    is_event_stream,
)
from sassafrastally.core.events import CATALOGUE, EventKind, EventLog, EventRecord, event
from sassafrastally.core.findings import Finding, FindingsError, Place
from sassafrastally.core.hlc import HybridClock, stamp_wall_s
from sassafrastally.core.ids import Incarnation, RequestId, new_incarnation, new_request_id
from sassafrastally.core.kernel import Kernel, KernelError, Service
from sassafrastally.core.kv import (
    MAX_VALUE_BYTES,
    Kv,
    KvBudgetSpent,
    KvConflict,
    KvEntry,
    KvEvent,
    KvUnavailable,
    KvWrite,
    LeaseLost,
    MaybeApplied,
)
from sassafrastally.core.late_limits import TimeLimit, require_time, time_limit
from sassafrastally.core.log_rate import LogRate
from sassafrastally.core.metrics import METRICS, MetricKind, counter, gauge, histogram
from sassafrastally.core.network import Address, Network, TcpNetwork, is_ip_address
from sassafrastally.core.registry import Registry
from sassafrastally.core.response_status import is_final_status
from sassafrastally.core.second_handle import second_handle
from sassafrastally.core.sender_time import SenderTime, read_in_time
from sassafrastally.core.stream_end import StreamEnd, stream_end
from sassafrastally.core.unread_input import UnreadInput, unread_input

__all__ = [
    "CATALOGUE",
    "ERRORS",
    "EVENT_STREAM_TYPE",
    "MAX_EVENT_BYTES",
    "MAX_VALUE_BYTES",
    "METRICS",
    "SHORTAGES",
    "AcceptBetweenSteps",
    "Acceptor",
    "Address",
    "Clock",
    "ClosedListener",
    "CodedError",
    "EventBlocks",
    "EventKind",
    "EventLog",
    "EventRecord",
    "EventTooLong",
    "Finding",
    "FindingsError",
    "FoundField",
    "HybridClock",
    "Incarnation",
    "Kernel",
    "KernelError",
    "Kv",
    "KvBudgetSpent",
    "KvConflict",
    "KvEntry",
    "KvEvent",
    "KvUnavailable",
    "KvWrite",
    "LeaseLost",
    "LogRate",
    "MaybeApplied",
    "MetricKind",
    "Network",
    "Place",
    "Registry",
    "RequestId",
    "SenderTime",
    "Service",
    "StreamEnd",
    "TcpNetwork",
    "TimeLimit",
    "UnreadInput",
    "counter",
    "error",
    "event",
    "event_fields",
    "field_pattern",
    "gauge",
    "histogram",
    "is_event_stream",
    "is_final_status",
    "is_ip_address",
    "new_incarnation",
    "new_request_id",
    "read_in_time",
    "require_time",
    "second_handle",
    "stamp_wall_s",
    "stream_end",
    "time_limit",
    "unread_input",
    "waiting_connections",
]
