"""How long an attempt may take to its first event before it is abandoned."""

from __future__ import annotations

SILENCE_TIMEOUT_SHARE = 0.65
"""Share of the caller's timeout after which an attempt at a silent engine is abandoned if another
engine may be tried. The rest is left for the first event of the other engine."""

FIRST_EVENT_TIMEOUT_FACTOR = 1.5
MAX_FIRST_EVENT_TIMEOUT_SHARE = 0.95
"""Timeout for the first event: `FIRST_EVENT_TIMEOUT_FACTOR` times the predicted time, but no more
than `MAX_FIRST_EVENT_TIMEOUT_SHARE` of the caller's timeout."""


def expected_first_event_s(predicted_s: float, caller_timeout_s: float) -> float:
    """Return how long an attempt is given for its first event because of its prediction.

    Under overload, the prediction already says that the engine will be slow, and another engine
    would be no faster. The attempt is therefore abandoned only well after the predicted time.
    """
    return min(
        FIRST_EVENT_TIMEOUT_FACTOR * predicted_s, MAX_FIRST_EVENT_TIMEOUT_SHARE * caller_timeout_s
    )
