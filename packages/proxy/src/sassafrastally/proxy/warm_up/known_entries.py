"""Entries that may send requests to cold servers, remembered beyond a network partition.

If entries that lose contact with each other took over each other's quotas, a partition would
multiply what a cold server receives. The quota of an entry that has died is lost instead. This
costs a small share of the rate of servers that are cold for seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

KEPT_S = 3700.0
"""How long an entry counts after it was last known to others. Regions are cut off from each other
for up to an hour."""

REFRESH_INTERVAL_S = 1.0
"""Time between two updates of the times at which entries were last known."""


class KnownEntries:
    """The other entries, with the time at which each was last known."""

    def __init__(self) -> None:
        self._last_known_s: dict[str, float] = {}
        self._hosts: frozenset[str] = frozenset()
        self._refreshed_s = float("-inf")

    @property
    def hosts(self) -> frozenset[str]:
        """The other entries; the same object as long as they don't change."""
        return self._hosts

    def record(self, hosts: Collection[str], now_s: float) -> bool:
        """Record the entries that are known now; return whether the remembered ones change."""
        is_complete = self._hosts.issuperset(hosts)
        if is_complete and now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return False
        self._refreshed_s = now_s
        self._last_known_s.update(dict.fromkeys(hosts, now_s))
        self._last_known_s = {
            host: last_s for host, last_s in self._last_known_s.items() if now_s - last_s < KEPT_S
        }
        if is_complete and len(self._last_known_s) == len(self._hosts):
            return False
        self._hosts = frozenset(self._last_known_s)
        return True
