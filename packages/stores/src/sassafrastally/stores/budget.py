"""Call budgets for the KV service, one token bucket per purpose.

The service meters each call, and its rate limits grow more slowly than the fleet. With one shared
budget, a burst of calls for one purpose would starve the others, so each has its own bucket.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core.kv import KvBudgetSpent
from sassafrastally.stores.requests import KvRequestInvalid
from sassafrastally.stores.settings import DEFAULT_BUDGETS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.stores.settings import PurposeBudget


class TokenBucket:
    """Token bucket that limits a call rate and allows short bursts above it.

    Parameters
    ----------
    rate_per_s
        Tokens added per second.
    burst
        Capacity of the bucket; it starts full.
    """

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = float(burst)
        self._updated_s = trio.current_time()

    def take(self) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        now_s = trio.current_time()
        refilled = self._tokens + (now_s - self._updated_s) * self.rate_per_s
        self._tokens = min(float(self.burst), refilled)
        self._updated_s = now_s
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s if self.rate_per_s else float("inf")


class PurposeBudgets:
    """Token buckets of a process, by purpose.

    Parameters
    ----------
    overrides
        Budgets that override `DEFAULT_BUDGETS` for their purposes.
    """

    def __init__(self, overrides: Iterable[PurposeBudget] = ()) -> None:
        budgets = {budget.purpose: budget for budget in (*DEFAULT_BUDGETS, *overrides)}
        self._buckets = {
            purpose: TokenBucket(budget.calls_per_s, budget.burst)
            for purpose, budget in budgets.items()
        }

    @property
    def purposes(self) -> frozenset[str]:
        """Purposes that have a budget."""
        return frozenset(self._buckets)

    def require(self, purpose: str) -> None:
        """Raise `KvRequestInvalid` if the purpose has no budget."""
        if purpose not in self._buckets:
            known = ", ".join(sorted(self._buckets))
            raise KvRequestInvalid(f"no KV budget for the purpose {purpose!r}; known: {known}")

    def spend(self, purpose: str) -> None:
        """Take one call from the budget of a purpose.

        Raises
        ------
        KvBudgetSpent
            If the budget is exhausted; the call must not be sent.
        KvRequestInvalid
            If the purpose has no budget.
        """
        self.require(purpose)
        wait_s = self._buckets[purpose].take()
        if wait_s > 0.0:
            spent = KvBudgetSpent(f"the KV budget for {purpose} is exhausted")
            spent.retry_after_s = wait_s
            raise spent
