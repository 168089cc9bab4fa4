"""Engines that work several times slower than their figures.

The load that it answers: an eighth of the engines turn four times slower for some seconds. They
answer, so nothing fails; but a dossier that is read in parts waits for its slowest part.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import pass_ms

if TYPE_CHECKING:
    from sassafrastally.proxy.model import EngineFigures

SLOW_FACTOR = 2.0
"""An event that takes this many times the longest pass without reading came from a slow engine, or
from one that reads. Usual events take a half to one and a half times that pass."""

SLOW_EVENTS = 4
"""Slow events in a row that count. Reading that this process hasn't heard of yet makes one or two;
lost packets on a link delay single ones."""

LEFT_ALONE_S = 3.0
"""How long a slow engine is left alone before requests try it again: several of its requests' time.
"""

MOST_SHARE = 0.25
"""Share of a service's engines that may be left alone for slowness. When more seem slow it is this
process or its link, or the service as a whole; without them the others would be flooded."""


class Slowness:
    """Slow events in a row by backend server."""

    def __init__(self) -> None:
        self._in_a_row: dict[str, int] = {}
        self._until_s: dict[str, float] = {}

    def note_usual(self, life_id: str) -> None:
        """Note an event that came in its usual time."""
        self._in_a_row.pop(life_id, None)

    def note_slow(self, life_id: str, servers: int, now_s: float) -> bool:
        """Note a slow event that no reading explains; return whether to leave its engine alone.

        Parameters
        ----------
        life_id
            The engine.
        servers
            Number of the service's engines.
        now_s
            Present time.
        """
        count = self._in_a_row.get(life_id, 0) + 1
        self._in_a_row[life_id] = count
        others = self.slow_servers(now_s).keys() - {life_id}
        if count < SLOW_EVENTS or len(others) + 1 > MOST_SHARE * servers:
            return False
        del self._in_a_row[life_id]
        self._until_s[life_id] = now_s + LEFT_ALONE_S
        return True

    def forget_gone(self, known: set[str]) -> None:
        """Forget engines that no longer exist."""
        for life_id in self._in_a_row.keys() - known:
            del self._in_a_row[life_id]

    def slow_servers(self, now_s: float) -> dict[str, float]:
        """Return the engines to be left alone, with the seconds left."""
        self._until_s = {key: until for key, until in self._until_s.items() if until > now_s}
        return {key: until - now_s for key, until in self._until_s.items()}


def slow_event_time_s(figures: EngineFigures) -> float:
    """Return the time from which on an event of an engine that doesn't read is slow."""
    return SLOW_FACTOR * pass_ms(figures, figures.slots, figures.memory_tokens) / 1000
