"""Which callers are turned away, and when they are asked to come back.

The load that it answers: a burst of several times what the engines can take, for some seconds. All
who are turned away at once and told the same short time come back at once, in the same burst, and
are turned away for good. They are spread over the later part of the time that they would wait at
most, so that the engines meet them one after the other when the burst is likely over.
"""

from __future__ import annotations

EARLIEST_SHARE = 0.2
LATEST_SHARE = 0.32
"""Shares of the caller's time left between which it is asked to come back. Callers honour up to a
third; a short time leads back into the same burst."""

LEAST_S = 0.02
"""Shortest time; anything less is the way there and back."""

NO_TIME_LIMIT_S = 10.0
"""Time left that is assumed for a caller that doesn't say; the usual limit of routes."""


def is_hopeless(predicted_s: float, patience_s: float, time_left_s: float | None) -> bool:
    """Return whether a caller would have left before its answer begins.

    The load that it answers: dossiers of many minutes' reading in a row, so that one more would
    begin to be answered after its caller's time. Sent on, it would hold engines up for nobody, and
    its caller would learn of it only when its time is over.

    Parameters
    ----------
    predicted_s
        Predicted time to the first event.
    patience_s
        Silence after which the caller leaves.
    time_left_s
        How long it would wait for the whole answer; ``None`` without limit.
    """
    waits_s = patience_s if time_left_s is None else min(patience_s, time_left_s)
    return predicted_s > waits_s


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
