"""Tests that settings are validated as a whole and findings have locations."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from sassafrastally.core import Address, FindingsError
from sassafrastally.core.secret import Secret
from sassafrastally.core.settings import (
    MAX_ITEM_PROBLEMS,
    check_table,
    load_settings,
    toml_lines,
)

VALID_SETTINGS = """
role = "entry"
[process]
vm = "vm-1"
data_centre = "sala-prado"
region = "uy-sur"
"""


class Example(NamedTuple):
    """A table with fields of several types."""

    address: Address
    secret: Secret
    period_s: float = 1.0
    names: tuple[str, ...] = ()


class TestLoadSettings:
    """`load_settings` on whole files."""

    def test_wrong_type_unknown_key_missing_key_and_unknown_table_are_reported_together(self):
        text = VALID_SETTINGS.replace('vm = "vm-1"', "vm = 7\nvmm = 1").replace(
            'region = "uy-sur"', "[x]"
        )
        with pytest.raises(FindingsError) as caught:
            load_settings(text, "entry.toml")
        found = [str(finding) for finding in caught.value.findings]
        assert "entry.toml:3: process.region: missing" in found
        assert "entry.toml:4: process.vm: must be of type str, not 7" in found
        assert "entry.toml:5: process.vmm: unknown key" in found
        assert "entry.toml:7: x: no such table for the role entry" in found

    def test_invalid_toml_reports_its_line(self):
        with pytest.raises(FindingsError) as caught:
            load_settings('role = "entry"\n[process\n', "entry.toml")
        assert caught.value.findings[0].place.line == 2

    def test_unknown_role_is_a_finding(self):
        with pytest.raises(FindingsError, match="must be one of entry, sidecar"):
            load_settings('role = "control"', "entry.toml")


class TestCheckTable:
    """`check_table` on single values."""

    @pytest.mark.parametrize(
        ("value", "message"),
        [
            ({"address": "localhost:80", "secret": "s"}, "must be an IP address and a port"),
            ({"address": "127.0.0.1:99999", "secret": "s"}, "port must be 0 to 65535"),
            ({"address": "127.0.0.1:1", "secret": "s", "period_s": -1}, "must not be negative"),
            ({"address": "127.0.0.1:1", "secret": "s", "period_s": True}, "a finite number"),
            ({"address": "127.0.0.1:1", "secret": "s", "names": [1]}, "must be of type str"),
            ([], "must be a table"),
        ],
    )
    def test_invalid_value_is_reported(self, value: object, message: str):
        checked, problems = check_table(value, Example)
        assert checked is None
        assert any(message in text for _, text in problems)

    def test_finding_about_a_secret_does_not_show_it(self):
        _, problems = check_table({"address": "127.0.0.1:1", "secret": 12345}, Example)
        assert all("12345" not in message for _, message in problems)

    def test_valid_value_gets_defaults(self):
        checked, problems = check_table({"address": "[::1]:80", "secret": "s"}, Example)
        assert problems == []
        assert checked == Example(Address("::1", 80), Secret("s"), 1.0, ())
        assert "s'" not in repr(checked)


class TestTomlLines:
    """`toml_lines`."""

    def test_entries_of_an_array_of_tables_are_numbered(self):
        lines = toml_lines('[[models]]\nname = "a"\n[[models]]\nname = "b"\n')
        assert lines["models[1].name"] == 4


class TestLongLists:
    @pytest.mark.parametrize("value", ["x" * 200_000, [1] * 200_000, [[]] * 200_000, {"a": 1}, 5])
    def test_a_list_of_wrong_items_is_refused_without_a_report_of_each(self, value: object) -> None:
        """Guards against a process that stands still for seconds while it decodes a record.

        Each wrong item of a list, or character of a text in its place, made an error of its own.
        """

        class Table(NamedTuple):
            names: tuple[str, ...] = ()

        table, problems = check_table({"names": value}, Table)
        assert table is None
        assert 1 <= len(problems) <= MAX_ITEM_PROBLEMS
