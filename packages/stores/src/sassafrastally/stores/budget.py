"""Call budgets of the KV service, one for each purpose.

The service counts each call and its rates grow more slowly than the fleet. With one budget for
all, a burst of one purpose would use up what the others need; a bucket each keeps them apart.
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
    """Lets through a rate of calls and short bursts above it.

    Parameters
    ----------
    rate_per_s
        Tokens that come back each second.
    burst
        Tokens that the bucket holds at most; it starts full.
    """

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = float(burst)
        self._updated_s = trio.current_time()

    def take(self) -> float:
        """Take a token; return 0, or the seconds until there is one when there is none."""
        now_s = trio.current_time()
        refilled = self._tokens + (now_s - self._updated_s) * self.rate_per_s
        self._tokens = min(float(self.burst), refilled)
        self._updated_s = now_s
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s if self.rate_per_s else float("inf")


class PurposeBudgets:
    """The buckets of a process, by purpose.

    Parameters
    ----------
    overrides
        Budgets that take the place of `DEFAULT_BUDGETS` for their purposes.
    """

    def __init__(self, overrides: Iterable[PurposeBudget] = ()) -> None:
        budgets = {budget.purpose: budget for budget in (*DEFAULT_BUDGETS, *overrides)}
        self._buckets = {
            purpose: TokenBucket(budget.calls_per_s, budget.burst)
            for purpose, budget in budgets.items()
        }

    @property
    def purposes(self) -> frozenset[str]:
        """The purposes that have a budget."""
        return frozenset(self._buckets)

    def require(self, purpose: str) -> None:
        """Raise `KvRequestInvalid` when the purpose has no budget."""
        if purpose not in self._buckets:
            known = ", ".join(sorted(self._buckets))
            raise KvRequestInvalid(f"no KV budget for the purpose {purpose!r}; known: {known}")

    def spend(self, purpose: str) -> None:
        """Take one call out of a purpose's budget.

        Raises
        ------
        KvBudgetSpent
            When it is spent; the call must not be sent.
        KvRequestInvalid
            When the purpose has no budget.
        """
        self.require(purpose)
        wait_s = self._buckets[purpose].take()
        if wait_s > 0.0:
            spent = KvBudgetSpent(f"the KV budget for {purpose} is spent")
            spent.retry_after_s = wait_s
            raise spent
