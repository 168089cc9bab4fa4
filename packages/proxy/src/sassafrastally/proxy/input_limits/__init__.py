"""Bounds for input that is held before it is complete, by peer and for the whole process."""

from __future__ import annotations

from sassafrastally.core.held_input import HeldInput, most_held_bytes
from sassafrastally.proxy.input_limits.bounds import (
    DISCARD_TIME_S,
    MAX_BODY_BYTES,
    MAX_DISCARDED_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    MAX_IDLE_BYTES,
    MAX_INTERIM_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_READ_EVENTS,
    MAX_SMALL_CHUNKS,
    MAX_TRAILER_BYTES,
    SMALL_CHUNK_BYTES,
    InputExcess,
    InputPlace,
)
from sassafrastally.proxy.input_limits.input_budget import (
    InputAccount,
    InputBudget,
    InputBudgetExceeded,
)

__all__ = [
    "DISCARD_TIME_S",
    "MAX_BODY_BYTES",
    "MAX_DISCARDED_BYTES",
    "MAX_EVENT_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_IDLE_BYTES",
    "MAX_INTERIM_BYTES",
    "MAX_INTERIM_RESPONSES",
    "MAX_READ_EVENTS",
    "MAX_SMALL_CHUNKS",
    "MAX_TRAILER_BYTES",
    "SMALL_CHUNK_BYTES",
    "HeldInput",
    "InputAccount",
    "InputBudget",
    "InputBudgetExceeded",
    "InputExcess",
    "InputPlace",
    "most_held_bytes",
]
