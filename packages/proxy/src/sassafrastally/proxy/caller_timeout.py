"""How long callers of streams wait for the next event."""

from __future__ import annotations

CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_GOALS = 4.0
CALLER_TIMEOUT_PAUSES = 8.0
"""Callers close a stream after a silence of two seconds, four times the goal for the first event or
eight times the goal for a pause, whichever is longest."""


def caller_timeout_s(goal_s: float | None, pause_goal_s: float | None) -> float:
    """Return the silence after which a caller closes its stream.

    Parameters
    ----------
    goal_s, pause_goal_s
        Goals of the route for the first event and for the pauses; ``None`` without one.
    """
    return max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_GOALS * (goal_s or 0.0),
        CALLER_TIMEOUT_PAUSES * (pause_goal_s or 0.0),
    )
