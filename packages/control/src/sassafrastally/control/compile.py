"""Compiles TOML text into a validated bundle."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from sassafrastally.control.bundle import (
    Bundle,
    Customer,
    Drain,
    Limits,
    Model,
    PlainService,
    Weights,
)
from sassafrastally.control.rules import bundle_problems, entry_problems, name_problems
from sassafrastally.core import Finding, FindingsError, Place
from sassafrastally.core.settings import check_table, toml_lines

if TYPE_CHECKING:
    from collections.abc import Mapping

V = TypeVar("V")

_TOML_LINE = re.compile(r"at line (\d+)")
_KEYS = frozenset(Bundle._fields)


class _IndexedEntry(NamedTuple):
    """An entry with its index in the document's list."""

    position: int
    entry: Any


def compile_bundle(text: str, file: str) -> Bundle:
    """Validate a bundle in TOML and return it with its entries sorted by name.

    Parameters
    ----------
    text
        The document.
    file
        Name of the document's file, for findings.

    Raises
    ------
    FindingsError
        With every finding and its file, line and key.
    """
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as cause:  # Nesting and numbers of any size, too.
        line = int(match[1]) if (match := _TOML_LINE.search(str(cause))) else 0
        raise FindingsError([Finding(Place(file, line, ""), str(cause))]) from cause
    return _Compiler(document, toml_lines(text), file).compile()


class _Compiler:
    """Compiles one document and collects its findings."""

    def __init__(self, document: Mapping[str, Any], lines: Mapping[str, int], file: str) -> None:
        self._document = document
        self._lines = lines
        self._file = file
        self._findings: list[Finding] = []

    def compile(self) -> Bundle:
        """Return the bundle, or raise an error with all findings."""
        for key in self._document.keys() - _KEYS:
            self._add_finding(key, "unknown key")
        name = self._name()
        models = self._entries("models", Model)
        customers = self._entries("customers", Customer)
        services = self._entries("services", PlainService)
        weights = self._table("weights", Weights)
        limits = self._table("limits", Limits)
        drain = self._table("drain", Drain)
        self._check_across_entries(models, customers, services)
        if self._findings:
            raise FindingsError(self._findings)
        return Bundle(
            name,
            _sorted(models),
            _sorted(customers),
            _sorted(services),
            weights or Weights(),
            limits or Limits(),
            drain or Drain(),
        )

    def _name(self) -> str:
        name = self._document.get("name")
        if not isinstance(name, str):
            self._add_finding("name", "missing" if name is None else "must be of type str")
            return ""
        for problem in name_problems(name, "name"):
            self._add_finding(*problem)
        return name

    def _entries(self, key: str, kind: type[Any]) -> list[_IndexedEntry]:
        values = self._document.get(key, [])
        if not isinstance(values, list):
            self._add_finding(key, f"must be an array of tables: [[{key}]]")
            return []
        found = [
            _IndexedEntry(index, self._entry(value, kind, f"{key}[{index}]"))
            for index, value in enumerate(values)
        ]
        return [listed for listed in found if listed.entry is not None]

    def _table(self, key: str, kind: type[V]) -> V | None:
        return self._entry(self._document.get(key, {}), kind, key)

    def _entry(self, value: object, kind: type[V], key: str) -> V | None:
        entry, problems = check_table(value, kind)
        for inner, message in problems:
            self._add_finding(f"{key}.{inner}" if inner else key, message)
        if entry is not None:
            for problem in entry_problems(entry, key):
                self._add_finding(*problem)
        return entry

    def _check_across_entries(
        self,
        models: list[_IndexedEntry],
        customers: list[_IndexedEntry],
        services: list[_IndexedEntry],
    ) -> None:
        """Check rules across entries.

        Invalid entries are left out, so indexes are mapped back to those of the document.
        """
        lists = {"models": models, "customers": customers, "services": services}
        entries = {key: tuple(item.entry for item in items) for key, items in lists.items()}
        valid_entries = Bundle("", entries["models"], entries["customers"], entries["services"])
        for problem in bundle_problems(valid_entries):
            self._add_finding(_document_key(problem.key, lists), problem.message)

    def _add_finding(self, key: str, message: str) -> None:
        known_key = key
        while known_key and known_key not in self._lines:
            known_key = known_key.rpartition(".")[0]
        self._findings.append(
            Finding(Place(self._file, self._lines.get(known_key, 0), key), message)
        )


def _document_key(key: str, lists: Mapping[str, list[_IndexedEntry]]) -> str:
    match = re.match(r"(\w+)\[(\d+)\](.*)", key)
    if match is None:
        return key
    listed = lists[match[1]][int(match[2])]
    return f"{match[1]}[{listed.position}]{match[3]}"


def _sorted(listed: list[_IndexedEntry]) -> tuple[Any, ...]:
    return tuple(sorted((item.entry for item in listed), key=lambda entry: str(entry.name)))
