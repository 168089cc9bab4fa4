"""Backend servers that have asked this entry for some time without requests.

The load that it answers: a server that turns requests away for seconds and says for how long. Asked
again within that time it turns away again, and each such request has one attempt less elsewhere.
"""

from __future__ import annotations


class CoolDowns:
    """When each server's time is over."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._until_s)

    def note(self, life_id: str, for_s: float, now_s: float) -> bool:
        """Note that a server asks for some time; return whether that prolongs what it has asked."""
        until_s = now_s + for_s
        if until_s <= self._until_s.get(life_id, now_s):
            return False
        self._until_s[life_id] = until_s
        return True

    def left_s(self, life_id: str, now_s: float) -> float:
        """Return how long a server still wants no request."""
        return max(0.0, self._until_s.get(life_id, now_s) - now_s)

    def forget_over(self, now_s: float) -> None:
        """Forget servers whose time is over."""
        self._until_s = {one: until_s for one, until_s in self._until_s.items() if until_s > now_s}
