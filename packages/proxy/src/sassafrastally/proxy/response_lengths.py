"""How long responses take, compared with the longest ones that their callers allow.

Callers declare the largest number of output tokens; most responses are far shorter. A decision that
depends on when a response ends can't use the declared size.
"""

from __future__ import annotations

from collections import deque

KEPT_RESPONSES = 64
"""Latest responses of a route that are considered."""

MAX_ROUTES = 1024
"""Maximum number of routes with responses; the one that was answered first is forgotten."""

QUANTILE = 0.9
"""Share of the latest responses that ended within the expected time."""


class ResponseLengths:
    """Shares of the declared time that the latest responses took, by route."""

    def __init__(self) -> None:
        self._shares: dict[str, deque[float]] = {}

    def record(self, route: str, writing_s: float, declared_s: float) -> None:
        """Record a complete response.

        Parameters
        ----------
        route
            Name of the route.
        writing_s
            Time from its first to its last event.
        declared_s
            Predicted time of a response of the declared size.
        """
        if declared_s <= 0:
            return
        shares = self._shares.setdefault(route, deque(maxlen=KEPT_RESPONSES))
        shares.append(writing_s / declared_s)
        if len(self._shares) > MAX_ROUTES:
            del self._shares[next(iter(self._shares))]

    def expected_s(self, route: str, declared_s: float) -> float:
        """Return the time within which most responses end; the declared one if unknown."""
        shares = sorted(self._shares.get(route, ()))
        if not shares:
            return declared_s
        return shares[min(int(QUANTILE * len(shares)), len(shares) - 1)] * declared_s

    def longest_s(self, route: str, declared_s: float) -> float:
        """Return the time of a response of the declared size, on servers as slow as any lately."""
        return declared_s * max(1.0, max(self._shares.get(route, ()), default=0.0))
