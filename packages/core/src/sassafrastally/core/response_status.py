"""Which statuses a response can have (RFC 9110, section 15)."""

from __future__ import annotations

MIN_FINAL_STATUS = 200
"""Statuses below it are those of interim responses, which another response follows."""

MAX_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a response with this status may be the response to a request.

    A response with another status is none: whether its request has run is unknown, as with bytes
    that aren't HTTP. HTTP libraries accept any number of three digits.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS
