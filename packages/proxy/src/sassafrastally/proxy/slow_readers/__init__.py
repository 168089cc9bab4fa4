"""Bounds for what an entry holds for callers that read slowly or not at all."""

from __future__ import annotations

from sassafrastally.proxy.slow_readers.blocked_callers import (
    CALLER_BUFFER_BYTES,
    MIN_BLOCKED_S,
    BlockedCallers,
    most_buffered_bytes,
)

__all__ = [
    "CALLER_BUFFER_BYTES",
    "MIN_BLOCKED_S",
    "BlockedCallers",
    "most_buffered_bytes",
]
