"""When callers are asked to come back.

The load that it answers: a burst of several times what the engines can take, for some seconds. All
who are turned away at once and told the same short time come back at once, in the same burst, and
are turned away for good. They are spread over the later part of the time that they would wait at
most, so that the engines meet them one after the other when the burst is likely over.
"""

from __future__ import annotations

EARLIEST_SHARE = 0.2
LATEST_SHARE = 0.32
"""Shares of the caller's time left between which it is asked to come back. Callers honour up to a
third; below a fifth most bursts still last."""

LEAST_S = 0.02
"""Shortest time; anything less is the way there and back."""

NO_TIME_LIMIT_S = 10.0
"""Time left that is assumed for a caller that doesn't say; the usual limit of routes."""


def come_back_after_s(time_left_s: float | None, draw: float) -> float:
    """Return after how long a caller should come back.

    Parameters
    ----------
    time_left_s
        How long it would wait for its answer.
    draw
        Random number from 0 to 1.
    """
    left_s = NO_TIME_LIMIT_S if time_left_s is None else time_left_s
    share = EARLIEST_SHARE + (LATEST_SHARE - EARLIEST_SHARE) * draw
    return max(LEAST_S, left_s * share)
