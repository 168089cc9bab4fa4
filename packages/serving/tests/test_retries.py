"""Tests of retry decisions."""

from __future__ import annotations

from random import Random

import pytest

from sassafrastally.serving.retries import (
    Attempted,
    RetryBudget,
    RetryRules,
    backoff_s,
    decide_retry,
)

RULES = RetryRules(max_attempts=3, base_backoff_s=0.1, max_backoff_s=1.0, max_spent_ratio=2.0)
FIRST = Attempted(attempts=1, spent_tokens=100, run_tokens=100)


class TestDecision:
    @pytest.mark.parametrize(
        ("attempted", "time_left_s", "hint_s", "level", "reason"),
        [
            (FIRST._replace(attempts=3), 10.0, 0.0, 5.0, "attempts"),
            (FIRST._replace(spent_tokens=101), 10.0, 0.0, 5.0, "spent tokens"),
            (FIRST, 2.0, 2.0, 5.0, "time left"),
            (FIRST, 0.0, 0.0, 5.0, "time left"),
            (FIRST, 10.0, 0.0, 0.9, "retry ratio"),
            (FIRST, 10.0, 0.0, 1.0, ""),
        ],
    )
    def test_limits(
        self,
        attempted: Attempted,
        time_left_s: float,
        hint_s: float,
        level: float,
        reason: str,
    ) -> None:
        budget = RetryBudget(level)
        decision = decide_retry(RULES, attempted, budget, time_left_s, hint_s, Random(1))
        assert (decision.is_allowed, decision.reason) == (not reason, reason)
        assert budget.level == pytest.approx(level - decision.is_allowed)


class TestBudget:
    def test_retries_stay_within_the_ratio_of_first_attempts(self) -> None:
        """When all engines of a model fail, retries must not triple the load.

        Without a common budget, three attempts per request cause three times the load during the
        outage.
        """
        budget = RetryBudget(burst=10.0)
        retries = 0
        for _ in range(1_000):
            budget.on_first_attempt(0.1)
            for attempts in (1, 2):
                attempted = Attempted(attempts, 0, 100)
                retries += decide_retry(RULES, attempted, budget, 9.0, 0.0, Random(1)).is_allowed
        assert 100 <= retries <= 1_000 * 0.1 + 10


class TestBackoff:
    def test_full_jitter_under_a_doubling_bound(self) -> None:
        random = Random(1)
        for retry, bound_s in ((0, 0.1), (1, 0.2), (3, 0.8), (9, 1.0)):
            pauses = [backoff_s(RULES, retry, 0.0, random) for _ in range(500)]
            assert 0.0 <= min(pauses) < 0.05 * bound_s
            assert 0.95 * bound_s < max(pauses) <= bound_s

    def test_jitter_is_added_to_the_server_hint(self) -> None:
        pauses = [backoff_s(RULES, 0, 5.0, Random(seed)) for seed in range(100)]
        assert 5.0 <= min(pauses) < max(pauses) <= 5.1
