"""Tests of the call budgets."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.stores import (
    KvBudgetSpent,
    KvRequestInvalid,
    PurposeBudget,
    PurposeBudgets,
    TokenBucket,
)


def spend_all(budgets: PurposeBudgets, purpose: str) -> float:
    while True:
        try:
            budgets.spend(purpose)
        except KvBudgetSpent as cause:
            return cause.retry_after_s


class TestPurposeBudgets:
    async def test_one_purpose_cannot_starve_another(self, autojump_clock: object) -> None:
        """Guards against one purpose using up the budget of the others.

        An operator's script polls the status in a tight loop. With a shared budget there would be
        no calls left for claims, and requests with an idempotency key would be rejected."""
        budgets = PurposeBudgets()
        spend_all(budgets, "admin")
        budgets.spend("claims")

    async def test_an_exhausted_budget_reports_the_retry_delay(
        self, autojump_clock: object
    ) -> None:
        budgets = PurposeBudgets([PurposeBudget("admin", calls_per_s=2.0, burst=3)])
        retry_after_s = spend_all(budgets, "admin")
        assert retry_after_s == pytest.approx(0.5)
        await trio.sleep(retry_after_s)
        budgets.spend("admin")

    async def test_a_purpose_without_budget_is_rejected(self) -> None:
        with pytest.raises(KvRequestInvalid, match="known: admin, bundle"):
            PurposeBudgets().spend("other")


class TestTokenBucket:
    async def test_an_idle_period_refills_up_to_the_burst(self, autojump_clock: object) -> None:
        bucket = TokenBucket(rate_per_s=1.0, burst=2)
        await trio.sleep(100.0)
        assert [bucket.take() for _ in range(3)] == [0.0, 0.0, pytest.approx(1.0)]
