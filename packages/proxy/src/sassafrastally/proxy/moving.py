"""When a prompt that waits for its first event is read elsewhere instead.

The load that it answers: an engine turns several times slower while it reads a part of a prompt.
Whoever answers the prompt waits for that part, until its caller leaves.
"""

from __future__ import annotations

OVERDUE_FACTOR = 1.5
OVERDUE_S = 0.1
"""A first event that isn't there after this many times its predicted time and this much more casts
doubt on the engines that read for it."""

MOVE_GAIN = 2.0
"""How many times sooner a first event must be expected elsewhere for a prompt to move there: its
reading begins anew, and what the first engines have read is lost."""


def is_overdue(elapsed_s: float, predicted_s: float) -> bool:
    """Return whether a first event is so late that its engines should be asked."""
    return elapsed_s > OVERDUE_FACTOR * predicted_s + OVERDUE_S


def remaining_s(elapsed_s: float, predicted_s: float, pace: float) -> float:
    """Return how long a first event may still take when the slowest of its engines has a pace.

    Parameters
    ----------
    elapsed_s
        Time since the prompt was sent.
    predicted_s
        Time that was predicted then.
    pace
        Pace of the slowest engine that reads a part of it.
    """
    # When it turned slow isn't known: at the latest now, at the earliest before the prompt came.
    since_now_s = (predicted_s - elapsed_s) * pace
    since_then_s = predicted_s * pace - elapsed_s
    return max(0.0, since_now_s, since_then_s)


def is_worth_moving(left_s: float, predicted_elsewhere_s: float, goal_left_s: float) -> bool:
    """Return whether a prompt that waits for its first event should be read elsewhere.

    Parameters
    ----------
    left_s
        Time that its first event may still take here.
    predicted_elsewhere_s
        Time that it would take elsewhere.
    goal_left_s
        Time until its goal. What is timely here stays here.
    """
    return left_s > goal_left_s and left_s > MOVE_GAIN * predicted_elsewhere_s
