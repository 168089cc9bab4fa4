"""Decides how many idle connections give way when the process lacks descriptors.

The load is a shortage that comes and goes: each connection that is accepted takes the descriptor
that another one has left, so that the next one can't be accepted, some twenty times a second.
"""

from __future__ import annotations

import math

SHORTAGE_SHARE = 0.5
"""Share of the idle connections that is closed at first."""

SHORTAGE_INTERVAL_S = 1.0
"""Least time until that share is closed again: what was closed has been used by then, and callers
who lost a kept connection have connected anew."""


class ShortageBound:
    """Bounds what a shortage of descriptors closes."""

    def __init__(self) -> None:
        self._share_closed_s = -math.inf

    def count(self, idle: int, now_s: float) -> int:
        """Return how many idle connections to close for an occasion.

        Parameters
        ----------
        idle
            Number of idle connections.
        now_s
            Present time on a monotonic clock.
        """
        if now_s - self._share_closed_s < SHORTAGE_INTERVAL_S:
            return min(idle, 1)
        self._share_closed_s = now_s
        return math.ceil(idle * SHORTAGE_SHARE)
