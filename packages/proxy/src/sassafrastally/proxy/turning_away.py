"""Load shedding: which callers are rejected, and after which delay they are asked to retry.

In a burst of several times the capacity of the engines for some seconds, callers that are rejected
together and given the same short delay retry together, within the same burst, and are rejected for
good. Their retries are therefore spread over the later part of the longest time that they wait, so
that they arrive one after the other when the burst is likely to be over.
"""

from __future__ import annotations

from typing import NamedTuple

EARLIEST_SHARE = 0.2
LATEST_SHARE = 0.32
"""Range of the retry delay, as shares of the caller's time left. Callers honour up to a third, and
a short delay leads back into the same burst."""

LATEST_EARLIEST_SHARE = 0.24
"""Latest begin of the range if room is expected later, so that callers don't come back together."""

EARLIEST_AFTER_FAILURE_S = 0.1
LATEST_AFTER_FAILURE_S = 0.3
"""Range of the retry delay after failed attempts that load doesn't explain. Within a tenth of a
second the other entries know of the failed servers, and the caller's goal may still be met."""

EARLIEST_GOAL_SHARE = 0.1
LATEST_GOAL_SHARE = 0.2
"""The same as shares of the time until the goal, if that is longer: a long prompt needs many
servers, and while several fail at once, each attempt finds another of them."""

MIN_RETRY_DELAY_S = 0.02
"""Shortest retry delay; anything less is within the network round trip."""

DEFAULT_TIME_LEFT_S = 10.0
"""Assumed time left of a caller that doesn't state one: the usual time limit of routes."""


def would_miss_deadline(predicted_s: float, patience_s: float, time_left_s: float | None) -> bool:
    """Return whether a caller would disconnect before its answer starts.

    With long prompts of many minutes of prefill queued, the answer to one more can start only after
    its caller's time limit. Sent on, it would occupy engines without any use, and its caller would
    learn of the failure only after the time limit.

    Parameters
    ----------
    predicted_s
        Predicted time to the first event.
    patience_s
        Time without an event after which the caller disconnects.
    time_left_s
        How long the caller waits for the whole answer; ``None`` without a limit.
    """
    max_wait_s = patience_s if time_left_s is None else min(patience_s, time_left_s)
    return predicted_s > max_wait_s


def would_end_late(
    predicted_s: float, alone_s: float, writing_s: float, time_left_s: float | None
) -> bool:
    """Return whether other work makes an answer end after its caller's time limit.

    With engines lost, a long prompt was placed behind another one whose prefill left time for its
    first event but not for the rest: its stream was cut, and it delayed the other one past its
    limit. An answer that would end late on idle engines as well is still served.

    Parameters
    ----------
    predicted_s, alone_s
        Predicted time to the first event, now and on idle engines.
    writing_s
        Expected time from the first event to the last one.
    time_left_s
        How long the caller waits for the whole answer; ``None`` without a limit.
    """
    if time_left_s is None:
        return False
    return alone_s + writing_s <= time_left_s < predicted_s + writing_s


class PredictedAnswer(NamedTuple):
    """Predicted times of a request's answer."""

    first_s: float
    """Time to the first event."""
    alone_s: float
    """The same on idle engines."""
    writing_s: float
    """Expected time from the first event to the last one."""
    is_new: bool
    """Whether no part of the answer exists yet."""


def lateness_reason(answer: PredictedAnswer, patience_s: float, time_left_s: float | None) -> str:
    """Return why a caller would leave before its answer is whole; empty if it stays.

    Parameters
    ----------
    answer
        The answer, if it is begun now.
    patience_s
        Time without an event after which the caller disconnects.
    time_left_s
        How long the caller waits for the whole answer; ``None`` without a limit.
    """
    first_s, alone_s, writing_s, is_new = answer
    if would_miss_deadline(first_s, patience_s, time_left_s):
        return f"first event in {first_s:.1f} s"
    if is_new and would_end_late(first_s, alone_s, writing_s, time_left_s):
        return f"first event in {first_s:.1f} s, last one {writing_s:.1f} s later"
    return ""


def retry_delay_s(
    time_left_s: float | None, draw: float, expected_room_s: float | None = None
) -> float:
    """Return the delay after which a caller should retry.

    Parameters
    ----------
    time_left_s
        How long the caller waits for its answer; ``None`` without a limit.
    draw
        Random number from 0 to 1.
    expected_room_s
        Time after which room is expected; ``None`` if unknown.
    """
    left_s = DEFAULT_TIME_LEFT_S if time_left_s is None else time_left_s
    earliest_s = EARLIEST_SHARE * left_s
    if expected_room_s is not None:
        earliest_s = min(max(earliest_s, expected_room_s), LATEST_EARLIEST_SHARE * left_s)
    delay_s = earliest_s + (LATEST_SHARE * left_s - earliest_s) * draw
    return max(MIN_RETRY_DELAY_S, delay_s)


def retry_delay_after_failure_s(
    time_left_s: float | None, draw: float, goal_left_s: float = 0.0
) -> float:
    """Return the retry delay after attempts that failed for other reasons than load.

    Parameters
    ----------
    time_left_s, draw
        As for `retry_delay_s`.
    goal_left_s
        Time until the goal of the caller's route; negative if it is missed.
    """
    earliest_s = max(EARLIEST_AFTER_FAILURE_S, EARLIEST_GOAL_SHARE * goal_left_s)
    latest_s = max(LATEST_AFTER_FAILURE_S, LATEST_GOAL_SHARE * goal_left_s)
    delay_s = earliest_s + (latest_s - earliest_s) * draw
    left_s = DEFAULT_TIME_LEFT_S if time_left_s is None else time_left_s
    return max(MIN_RETRY_DELAY_S, min(delay_s, LATEST_SHARE * left_s))
