"""Times of a response, as its caller sees them."""

from __future__ import annotations

from typing import NamedTuple


class ResponseTimes(NamedTuple):
    """Times of a complete response."""

    first_s: float
    """Time to the first event or to the response."""
    total_s: float
    longest_pause_s: float = 0.0
    """Longest pause between two events."""
