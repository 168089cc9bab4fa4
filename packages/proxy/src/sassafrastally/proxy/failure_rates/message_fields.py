"""The field `failures` of the messages between entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sassafrastally.proxy.failure_rates.failure_counts import (
    MAX_SENT_SERVERS,
    FailureCounts,
)
from sassafrastally.proxy.message_numbers import to_uint16

if TYPE_CHECKING:
    from collections.abc import Mapping


def encode_failures(counts: Mapping[int, FailureCounts]) -> dict[str, list[dict[str, int]]]:
    """Return the field; nothing without counts, since even an empty list takes some bytes."""
    if not counts:
        return {}
    return {
        "failures": [
            {
                "server": key,
                "failures": to_uint16(one.failures),
                "responses": to_uint16(one.responses),
            }
            for key, one in list(counts.items())[:MAX_SENT_SERVERS]
        ]
    }


def decode_failures(message: Any) -> dict[int, FailureCounts]:
    """Return the counts of a message; ones with more failures than responses are ignored."""
    return {
        one.server: FailureCounts(one.failures, one.responses)
        for one in list(message.failures)[:MAX_SENT_SERVERS]
        if one.failures <= one.responses
    }
