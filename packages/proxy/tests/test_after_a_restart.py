"""What a restart of entries begins anew, to the harm of servers."""

from __future__ import annotations

from sassafrastally.proxy.load_exchange import Member
from sassafrastally.proxy.peer_table import PeerTable
from sassafrastally.proxy.retry_budget import RetryBudget

ENTRIES = 3
RATIO, EXTRA, WINDOW_S = 0.2, 20, 10.0
REQUESTS = 10
"""Requests that each entry gets before and after its start."""


def spend_all(budget: RetryBudget, entries: int, now_s: float) -> int:
    """Return how many retries an entry sends while each attempt fails."""
    for _ in range(REQUESTS):
        budget.count_request("desk", now_s)
    spent = 0
    while budget.try_spend("desk", entries, now_s):
        spent += 1
    return spent


class TestRetryBudget:
    """Guards against a retry storm of entries that have lost their counts."""

    def test_entries_that_all_start_again_stay_within_the_budget(self):
        """Guards against entries each of which takes itself for the only one, as it hasn't heard
        the others yet."""
        budgets = [RetryBudget(RATIO, EXTRA, WINDOW_S) for _ in range(ENTRIES)]
        retries = sum(spend_all(budget, ENTRIES, 10.0) for budget in budgets)
        for own in range(ENTRIES):
            table = PeerTable(Member(f"10.0.0.{own}", 100), "here")
            for other in range(ENTRIES):
                table.add_address(f"10.0.0.{other}", "here", 12.0)
            assert table.entries(12.0) == 1
            budget = RetryBudget(RATIO, EXTRA, WINDOW_S)
            retries += spend_all(budget, table.known_entries(12.0), 12.0)
        assert retries <= RATIO * 2 * ENTRIES * REQUESTS + EXTRA

    def test_one_entry_that_starts_again_stays_within_the_budget(self):
        budgets = [RetryBudget(RATIO, EXTRA, WINDOW_S) for _ in range(ENTRIES)]
        retries = sum(spend_all(budget, ENTRIES, 10.0) for budget in budgets)
        retries += spend_all(RetryBudget(RATIO, EXTRA, WINDOW_S), ENTRIES, 12.0)
        assert retries <= RATIO * (ENTRIES + 1) * REQUESTS + EXTRA
