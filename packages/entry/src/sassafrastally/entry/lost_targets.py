"""How long requests wait for a sidecar when all links to those of their target were just lost."""

from __future__ import annotations

import math

RELINK_S = 1.0
"""Time for new links and their first reports. Callers that are refused are told to come back after
as long."""


class LostTargets:
    """Targets that were served and aren't.

    The load is requests to an entry that has lost all its links at once: it was paused, so that the
    sidecars took it for dead, or its network was cut. What lay in its sockets would be refused
    although the sidecars are sound. Those of a target that stays away, or never was there, are
    refused at once.
    """

    def __init__(self) -> None:
        self._lost_s: dict[str, float] = {}
        """When each target was first found to be lost; infinite while it is served."""

    def record(self, target: str, now_s: float, *, is_served: bool) -> None:
        """Record whether any sidecar serves a target."""
        if is_served:
            self._lost_s[target] = math.inf
        elif target in self._lost_s:
            self._lost_s[target] = min(self._lost_s[target], now_s)

    def forget(self, target: str) -> None:
        """Record that the last sidecars of a target leave, which won't come back."""
        self._lost_s.pop(target, None)

    def waits(self, target: str, now_s: float) -> bool:
        """Return whether a request waits for a sidecar of its target that isn't there."""
        return now_s < self._lost_s.get(target, -math.inf) + RELINK_S
