"""Hybrid logical clock: timestamps that preserve causal order despite wall clock skew.

Notes
-----
Kulkarni, Demirbas et al., "Logical Physical Clocks and Consistent Snapshots in Globally
Distributed Databases" (2014). A timestamp packs 48 bits of wall time in milliseconds and a 16-bit
counter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrastally.core.clock import Clock

COUNTER_BITS = 16
COUNTER_MASK = (1 << COUNTER_BITS) - 1
MAX_DRIFT_MS = 60_000
"""A peer's timestamp that is further ahead than this is ignored, so that one broken clock can't
move the timestamps of the whole fleet."""


class HybridClock:
    """Hybrid logical clock of one process.

    Parameters
    ----------
    clock
        Clock of the process; its wall time may be off by seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a strictly increasing timestamp for a local event or an outgoing message."""
        self._last = max(self._wall_stamp(), self._last + 1)
        return self._last

    def observe(self, stamp: int) -> int:
        """Merge the timestamp of a received message and return a later one."""
        limit = self._wall_stamp() + (MAX_DRIFT_MS << COUNTER_BITS)
        if stamp <= limit:
            self._last = max(self._last, stamp)
        return self.tick()

    def _wall_stamp(self) -> int:
        return int(self._clock.wall_s() * 1000) << COUNTER_BITS


def stamp_wall_s(stamp: int) -> float:
    """Return the wall time of a timestamp in seconds since the Unix epoch."""
    return (stamp >> COUNTER_BITS) / 1000
