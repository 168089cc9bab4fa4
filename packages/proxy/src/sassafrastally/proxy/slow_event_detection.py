"""Detection of engines that are several times slower than their figures, from their events.

An eighth of the engines can become four times slower for some seconds. They still answer, so no
request fails, but a long prompt that is prefilled in parts waits for its slowest part.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import pass_ms

if TYPE_CHECKING:
    from sassafrastally.proxy.model import EngineProfile

SLOW_FACTOR = 2.0
"""An event that takes this many times the longest pass without prefill indicates a slow engine or
one that prefills. Usual events take 0.5 to 1.5 times that pass."""

SLOW_EVENTS_IN_A_ROW = 4
"""Consecutive slow events from which an engine counts as slow. Prefill that this process doesn't
know of yet causes one or two, and packet loss on a link delays single events."""

SLOW_EJECTION_S = 3.0
"""How long a slow engine is ejected before it gets requests again: several request durations."""

MAX_EJECTED_SHARE = 0.25
"""Largest share of a service's engines that are ejected for slowness. If more seem slow, the cause
is this process, its link or the whole service, and ejecting them would overload the others."""


class SlowEventDetector:
    """Outlier detection by consecutive slow events of each backend server."""

    def __init__(self) -> None:
        self._in_a_row: dict[str, int] = {}
        self._until_s: dict[str, float] = {}

    def record_usual(self, incarnation_id: str) -> None:
        """Note an event that arrived in the usual time."""
        self._in_a_row.pop(incarnation_id, None)

    def record_slow(self, incarnation_id: str, servers: int, now_s: float) -> bool:
        """Note a slow event not caused by known prefill; return whether its engine is ejected.

        Parameters
        ----------
        incarnation_id
            The engine.
        servers
            Number of the service's engines.
        now_s
            Present time.
        """
        count = self._in_a_row.get(incarnation_id, 0) + 1
        self._in_a_row[incarnation_id] = count
        others = self.slow_servers(now_s).keys() - {incarnation_id}
        if count < SLOW_EVENTS_IN_A_ROW or len(others) + 1 > MAX_EJECTED_SHARE * servers:
            return False
        del self._in_a_row[incarnation_id]
        self._until_s[incarnation_id] = now_s + SLOW_EJECTION_S
        return True

    def forget_gone(self, known: set[str]) -> None:
        """Forget engines that no longer exist."""
        for incarnation_id in self._in_a_row.keys() - known:
            del self._in_a_row[incarnation_id]

    def slow_servers(self, now_s: float) -> dict[str, float]:
        """Return the ejected engines with the remaining time in seconds."""
        self._until_s = {key: until for key, until in self._until_s.items() if until > now_s}
        return {key: until - now_s for key, until in self._until_s.items()}


def event_time_s(waited_s: float, events: int) -> float:
    """Return the time that an engine took for each event of a read.

    Several events arrive together if this entry or the network was late, rather than the engine.

    Parameters
    ----------
    waited_s
        Time until the read returned.
    events
        Number of events that it completed; 0 if it brought a part of one.
    """
    return waited_s / max(1, events)


def slow_event_time_s(profile: EngineProfile) -> float:
    """Return the time from which an event is slow on an engine that doesn't prefill."""
    return SLOW_FACTOR * pass_ms(profile, profile.slots, profile.memory_tokens) / 1000
