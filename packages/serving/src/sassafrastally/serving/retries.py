"""When a failed attempt is repeated, and after which pause."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

_MAX_DOUBLINGS = 16


class RetryRules(NamedTuple):
    """Bounds of the retries of one request."""

    max_attempts: int = 3
    """Most attempts that may have run, the first one included."""
    base_backoff_s: float = 0.05
    """Upper bound of the first pause; it doubles with each retry."""
    max_backoff_s: float = 2.0
    """Upper bound of any pause that no server asked for."""
    max_spent_ratio: float = 2.0
    """Most tokens that all attempts together may cost, in costs of one whole run."""


class Attempted(NamedTuple):
    """What a request has used up so far."""

    attempts: int
    """Attempts that may have run."""
    spent_tokens: int
    """Tokens that engines have worked through for it."""
    run_tokens: int
    """Tokens that one whole run costs."""


class RetryDecision(NamedTuple):
    """Whether an attempt follows."""

    is_allowed: bool
    pause_s: float = 0.0
    """How long to wait before it."""
    reason: str = ""
    """Bound that forbids it."""


class RetryBudget:
    """Bounds the retries of a process to a ratio of its first attempts.

    Each process keeps its own bucket with the ratio of the bundle, so the ratio holds for the
    fleet as a sum, without any message.

    Parameters
    ----------
    burst
        Retries that may be saved up.

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
        """Retries that may be made now."""
        return self._level

    def on_first_attempt(self, ratio: float) -> None:
        """Add what one first attempt earns."""
        self._level = min(self._burst, self._level + ratio)

    def has_retry(self) -> bool:
        """Return whether a retry may be taken."""
        return self._level >= 1.0

    def take_retry(self) -> None:
        """Take one retry out."""
        self._level -= 1.0


def decide_retry(
    rules: RetryRules,
    attempted: Attempted,
    budget: RetryBudget,
    time_left_s: float,
    server_hint_s: float,
    random: Random,
) -> RetryDecision:
    """Decide on an attempt after one that failed, and take it from the budget.

    Parameters
    ----------
    rules
        Bounds of the request.
    attempted
        What the request has used up.
    budget
        Retries left to the process.
    time_left_s
        Seconds until the time limit.
    server_hint_s
        Pause that the server asked for; 0 when it asked for none.
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
        # Sleeping past the limit would hold back a request that is already lost.
        return RetryDecision(False, reason="time left")
    if not budget.has_retry():
        return RetryDecision(False, reason="retry ratio")
    budget.take_retry()
    return RetryDecision(True, pause_s)


def backoff_s(rules: RetryRules, retry: int, server_hint_s: float, random: Random) -> float:
    """Return the pause before a retry, counted from 0.

    The server's hint comes first: the jitter is added to it, so that callers told the same moment
    don't all come at it.

    Notes
    -----
    Full jitter after Brooker, "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015).
    """
    doublings = max(0, min(retry, _MAX_DOUBLINGS))
    bound_s = min(rules.max_backoff_s, rules.base_backoff_s * 2.0**doublings)
    return server_hint_s + random.uniform(0.0, bound_s)
