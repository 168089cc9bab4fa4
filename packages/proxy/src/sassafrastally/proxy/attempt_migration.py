"""When a prompt that waits for its first event is moved to other engines.

An engine can become several times slower while it prefills a part of a prompt. The engine that
answers the prompt waits for that part, possibly until the caller disconnects.
"""

from __future__ import annotations

OVERDUE_FACTOR = 1.5
OVERDUE_TOLERANCE_S = 0.1
"""A first event is overdue after this factor of its predicted time plus this many seconds. The
engines that prefill its prompt are then checked for slowness."""

MOVE_CHECK_INTERVAL_S = 0.3
"""Minimum interval between checks whether to move an attempt; reports bring new data as often."""

MIN_MOVE_SPEEDUP = 2.0
"""Factor by which a first event must be expected sooner elsewhere for a prompt to move: its prefill
starts again, and the work of the first engines is lost."""


def is_overdue(elapsed_s: float, predicted_s: float) -> bool:
    """Return whether a first event is so late that its engines should be polled."""
    return elapsed_s > OVERDUE_FACTOR * predicted_s + OVERDUE_TOLERANCE_S


def remaining_s(elapsed_s: float, predicted_s: float, pace: float) -> float:
    """Return the longest time that a first event may still take, given the slowest engine's pace.

    Parameters
    ----------
    elapsed_s
        Time since the prompt was sent.
    predicted_s
        Time to the first event that was predicted at that point.
    pace
        Pace of the slowest engine that prefills a part of it.
    """
    # It isn't known when the engine became slow: at the latest now, at the earliest before the
    # prompt was sent.
    slow_from_now_s = (predicted_s - elapsed_s) * pace
    slow_from_start_s = predicted_s * pace - elapsed_s
    return max(0.0, slow_from_now_s, slow_from_start_s)


def should_move_attempt(left_s: float, predicted_elsewhere_s: float, goal_left_s: float) -> bool:
    """Return whether a prompt that waits for its first event should be moved to other engines.

    Parameters
    ----------
    left_s
        Time that its first event may still take here.
    predicted_elsewhere_s
        Time that it would take elsewhere.
    goal_left_s
        Time until its goal. A prompt expected to meet its goal here isn't moved.
    """
    return left_s > goal_left_s and left_s > MIN_MOVE_SPEEDUP * predicted_elsewhere_s


def slow_detail(pace: float, left_s: float, predicted_elsewhere_s: float) -> str:
    """Return why a prompt is moved, for the log; parameters as above."""
    elsewhere = f"{predicted_elsewhere_s:.2f} s elsewhere"
    return f"an engine is {pace:.1f} times slower: {left_s:.2f} s more, {elsewhere}"
