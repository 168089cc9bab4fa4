"""Hybrid logical clock: time stamps that keep the causal order although wall clocks differ.

Notes
-----
Kulkarni, Demirbas et al., "Logical Physical Clocks and Consistent Snapshots in Globally
Distributed Databases" (2014). A stamp packs 48 bits of wall milliseconds and 16 bits of counter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrastally.core.clock import Clock

COUNTER_BITS = 16
COUNTER_MASK = (1 << COUNTER_BITS) - 1
MAX_DRIFT_MS = 60_000
"""A peer's stamp further ahead than this is not followed, so that one broken clock can't drag
the fleet's stamps along."""


class HybridClock:
    """Source of hybrid logical stamps of one process.

    Parameters
    ----------
    clock
        The process's clock; its wall time may be wrong by seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp for a local event or a message to be sent; strictly growing."""
        self._last = max(self._wall_stamp(), self._last + 1)
        return self._last

    def observe(self, stamp: int) -> int:
        """Take in the stamp of a received message and return a later one."""
        limit = self._wall_stamp() + (MAX_DRIFT_MS << COUNTER_BITS)
        if stamp <= limit:
            self._last = max(self._last, stamp)
        return self.tick()

    def _wall_stamp(self) -> int:
        return int(self._clock.wall_s() * 1000) << COUNTER_BITS


def stamp_wall_s(stamp: int) -> float:
    """Return the wall time of a stamp in seconds since 1970."""
    return (stamp >> COUNTER_BITS) / 1000
