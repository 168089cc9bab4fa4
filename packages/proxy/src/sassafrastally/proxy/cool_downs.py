"""Cool-down periods that backend servers have requested from this entry.

A server that rejects requests for some seconds can state for how long. Requests sent within that
time are rejected as well, and each of them loses one of its attempts.
"""

from __future__ import annotations


class CoolDowns:
    """End of the cool-down by server."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._until_s)

    def record(self, incarnation_id: str, for_s: float, now_s: float) -> bool:
        """Note a requested cool-down and return whether it ends later than the known one."""
        until_s = now_s + for_s
        if until_s <= self._until_s.get(incarnation_id, now_s):
            return False
        self._until_s[incarnation_id] = until_s
        return True

    def remaining_s(self, incarnation_id: str, now_s: float) -> float:
        """Return the rest of a server's cool-down; 0 without one."""
        return max(0.0, self._until_s.get(incarnation_id, now_s) - now_s)

    def forget_expired(self, now_s: float) -> None:
        """Forget cool-downs that have ended."""
        self._until_s = {one: until_s for one, until_s in self._until_s.items() if until_s > now_s}
