"""What the model engine tells late: its load, and its cache events with gaps."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import trio

from sassafrastally.sidecar.engine import CacheEvent, EngineLoad

if TYPE_CHECKING:
    from random import Random

EVENT_CAPACITY = 8192
"""Cache events that are kept; the oldest leave first, which readers see as a gap."""

LOAD_CAPACITY = 64
"""Samples of the load inside the lag; the rest is thinned out."""


class CacheFeed:
    """Cache events, known only after a lag and never told for a share of them.

    Parameters
    ----------
    lag_s
        How late an event is known.
    gap_share
        Share of the events that are lost.
    random
        Draws the losses.
    """

    def __init__(self, lag_s: float, gap_share: float, random: Random) -> None:
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._random = random
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=EVENT_CAPACITY)

    def add(self, kind: str, prefix_hash: int) -> None:
        """Take in a change of the prefix cache."""
        self._sequence += 1
        if self._random.random() >= self._gap_share:
            known_s = trio.current_time() + self._lag_s
            self._events.append((known_s, CacheEvent(self._sequence, kind, prefix_hash)))

    def read(self, after: int) -> list[CacheEvent]:
        """Return the events after a sequence number that are known by now."""
        now = trio.current_time()
        return [item for known, item in self._events if known <= now and item.sequence > after]


class LoadFeed:
    """The load as it was a lag ago.

    Parameters
    ----------
    lag_s
        The lag.
    initial
        Load at the start.
    """

    def __init__(self, lag_s: float, initial: EngineLoad) -> None:
        self._lag_s = lag_s
        self._samples: deque[tuple[float, EngineLoad]] = deque([(-math.inf, initial)])

    def add(self, load: EngineLoad) -> None:
        """Take in the load of now."""
        now = trio.current_time()
        samples = self._samples
        if len(samples) > 1 and now - samples[-2][0] < self._lag_s / LOAD_CAPACITY:
            samples[-1] = (now, load)
        else:
            samples.append((now, load))
        while len(samples) > 1 and samples[1][0] <= now - self._lag_s:
            samples.popleft()

    def read(self) -> EngineLoad:
        """Return the load of a lag ago."""
        horizon = trio.current_time() - self._lag_s
        return next(load for at_s, load in reversed(self._samples) if at_s <= horizon)
