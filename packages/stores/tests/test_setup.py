"""Tests of the settings and of the clients created from them."""

from __future__ import annotations

from random import Random

from sassafrastally.core import Address
from sassafrastally.core.settings import Settings, check_table
from sassafrastally.stores import (
    KvSettings,
    PurposeBudget,
    VmListSettings,
    WeightStoreSettings,
    make_platform,
)

ADDRESS = Address("127.0.0.1", 9)


class TestKvSettings:
    def test_budgets_are_read_from_tables(self) -> None:
        budget = {"purpose": "admin", "calls_per_s": 1, "burst": 2}
        value, problems = check_table({"address": "127.0.0.1:9", "budgets": [budget]}, KvSettings)
        assert value == KvSettings(ADDRESS, budgets=(PurposeBudget("admin", 1.0, 2),))
        assert problems == []

    def test_a_negative_time_is_a_finding(self) -> None:
        table = {"address": "127.0.0.1:9", "call_time_limit_s": -1.0}
        _, problems = check_table(table, KvSettings)
        assert [key for key, _ in problems] == ["call_time_limit_s"]


class TestMakePlatform:
    async def test_without_an_address_there_is_no_weight_store(self) -> None:
        sections = {
            "kv": KvSettings(ADDRESS),
            "vm_list": VmListSettings(ADDRESS),
            "weight_store": WeightStoreSettings(),
        }
        assert make_platform(Settings("entry", sections), Random(1)).weight_store is None
        sections["weight_store"] = WeightStoreSettings(ADDRESS)
        assert make_platform(Settings("entry", sections), Random(1)).weight_store is not None
