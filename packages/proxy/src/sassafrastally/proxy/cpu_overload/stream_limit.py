"""Number of streams that an overloaded entry passes on in time.

The work of an entry grows with its streams. If its tasks are late by three times the permitted
delay, a third of the streams would be in time. New ones beyond that are refused with a short delay:
the retry reaches another entry, which costs the caller less than a late stream.
"""

from __future__ import annotations

import math

from sassafrastally.proxy.cpu_overload.lag_window import MAX_LAG_S, WINDOW_S

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.2
"""Retry delay of refused streams. Entries are chosen anew for each retry, so it needn't outlast the
overload; it only spreads the retries."""


class StreamLimit:
    """Limit for the streams in progress, while the entry is overloaded."""

    def __init__(self) -> None:
        self.most_streams = math.inf
        """Number of streams in progress from which new ones are refused."""
        self._set_s = -math.inf

    def update(self, lag_s: float, streams: int, now_s: float) -> None:
        """Adapt the limit to the delay.

        It is set when the overload begins and lowered each time that a full window of delays shows
        that it was too high.
        """
        if lag_s <= MAX_LAG_S:
            self.most_streams, self._set_s = math.inf, -math.inf
        elif now_s - self._set_s >= WINDOW_S:
            self._set_s = now_s
            allowed = min(self.most_streams, streams) * MAX_LAG_S / lag_s
            self.most_streams = max(1, round(allowed))

    def accepts(self, streams: int) -> bool:
        """Return whether a new stream is accepted next to those in progress."""
        return streams < self.most_streams


def shed_retry_delay_s(draw: float) -> float:
    """Return the retry delay of a refused stream for a random number from 0 to 1."""
    return MIN_RETRY_DELAY_S + (MAX_RETRY_DELAY_S - MIN_RETRY_DELAY_S) * draw
