"""Ranges of the values that decoders accept from outside the process.

A value can be well formed and still be infinite, not a number, or too large for what lies behind
its decoder: arithmetic, waits, and the fields of datagrams. Each range is narrow enough for all of
these and wider than any value that a working sender states. What is out of range is handled like a
value of the wrong type.
"""

from __future__ import annotations

from typing import NamedTuple


class ValueRange(NamedTuple):
    """Smallest and largest accepted value, both included."""

    least: float
    most: float

    def holds(self, value: float) -> bool:
        """Return whether a number is in the range; NaN isn't in any."""
        return self.least <= value <= self.most


COUNTER = ValueRange(0, 2**63 - 1)
"""Revisions, epochs, versions, ids of leases and events, and points in Unix milliseconds, which
datagrams carry as 64-bit integers."""

DURATION_S = ValueRange(0.0, 1e9)
"""Time limits and goals."""

PACE = ValueRange(0.0, 1000.0)
"""Slowdown factor of an engine."""

LIMIT_PER_S = ValueRange(0.0, 1e6)
"""Requests per second that a backend server accepts; datagrams carry them in thousandths."""

COOL_DOWN_S = ValueRange(0.0, 3600.0)
"""Time for which a backend server wants no requests."""

COLD_S = ValueRange(0.0, 3600.0)
"""Remaining cold time of a backend server."""

REQUESTS = ValueRange(0, 0xFFFF)
"""Requests at one backend server; datagrams carry them as 16-bit integers."""

CONNECTIONS = ValueRange(0, 1_000_000_000)
"""Connections and slots of one backend server."""

TOKENS = ValueRange(0, 1_000_000_000_000)
"""Tokens of a prompt or of a response, and of an engine's memory."""

SIZE_BYTES = ValueRange(0, 2**53)
"""Sizes of headers and bodies."""

RATE = ValueRange(0.0, 1e12)
"""Weights of services, and performance figures of engines."""
