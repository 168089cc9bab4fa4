"""Decisions on whether and when to retry a failed attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

_MAX_DOUBLINGS = 16


class RetryRules(NamedTuple):
    """Retry limits of one request."""

    max_attempts: int = 3
    """Maximum number of attempts that may have run, including the first."""
    base_backoff_s: float = 0.05
    """Maximum delay of the first retry; doubles with each retry."""
    max_backoff_s: float = 2.0
    """Maximum delay of any retry, excluding a delay requested by the server."""
    max_spent_ratio: float = 2.0
    """Maximum token cost of all attempts, as a multiple of the cost of one complete run."""


class Attempted(NamedTuple):
    """Resources that a request has used so far."""

    attempts: int
    """Attempts that may have run."""
    spent_tokens: int
    """Tokens processed by engines for the request."""
    run_tokens: int
    """Token cost of one complete run."""


class RetryDecision(NamedTuple):
    """Whether to make another attempt."""

    is_allowed: bool
    pause_s: float = 0.0
    """Delay before the attempt."""
    reason: str = ""
    """Limit that forbids the attempt; empty when it is allowed."""


class RetryBudget:
    """Limits the retries of a process to a ratio of its first attempts.

    Each process has its own token bucket with the ratio of the bundle, so the ratio holds for the
    whole fleet without communication.

    Parameters
    ----------
    burst
        Maximum number of accumulated retries.

    Notes
    -----
    Retry budgets as token buckets are described in "Addressing Cascading Failures" of Beyer et
    al., "Site Reliability Engineering" (2016), chapter 22.
    """

    def __init__(self, burst: float) -> None:
        self._burst = burst
        self._level = burst

    @property
    def level(self) -> float:
        """Number of retries currently available."""
        return self._level

    def on_first_attempt(self, ratio: float) -> None:
        """Credit the budget for a first attempt."""
        self._level = min(self._burst, self._level + ratio)

    def has_retry(self) -> bool:
        """Return whether a retry is available."""
        return self._level >= 1.0

    def take_retry(self) -> None:
        """Consume one retry."""
        self._level -= 1.0


def decide_retry(
    rules: RetryRules,
    attempted: Attempted,
    budget: RetryBudget,
    time_left_s: float,
    server_hint_s: float,
    random: Random,
) -> RetryDecision:
    """Decide whether to retry a failed attempt, and charge an allowed retry to the budget.

    Parameters
    ----------
    rules
        Retry limits of the request.
    attempted
        Resources used by the request so far.
    budget
        Retry budget of the process.
    time_left_s
        Time until the time limit of the request.
    server_hint_s
        Delay requested by the server; 0 for none.
    random
        Source of the jitter.
    """
    if attempted.attempts >= rules.max_attempts:
        return RetryDecision(False, reason="attempts")
    if attempted.spent_tokens + attempted.run_tokens > rules.max_spent_ratio * max(
        1, attempted.run_tokens
    ):
        return RetryDecision(False, reason="spent tokens")
    pause_s = backoff_s(rules, attempted.attempts - 1, server_hint_s, random)
    if pause_s >= time_left_s:
        # Sleeping past the time limit would only delay the failure of the request.
        return RetryDecision(False, reason="time left")
    if not budget.has_retry():
        return RetryDecision(False, reason="retry ratio")
    budget.take_retry()
    return RetryDecision(True, pause_s)


def backoff_s(rules: RetryRules, retry: int, server_hint_s: float, random: Random) -> float:
    """Return the delay before a retry; retries are counted from 0.

    The jitter is added to the delay requested by the server, so that callers with the same hint do
    not retry simultaneously.

    Notes
    -----
    Full jitter after Brooker, "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015).
    """
    doublings = max(0, min(retry, _MAX_DOUBLINGS))
    bound_s = min(rules.max_backoff_s, rules.base_backoff_s * 2.0**doublings)
    return server_hint_s + random.uniform(0.0, bound_s)
