"""Differences between two bundles."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from sassafrastally.control.bundle import Bundle


class Change(NamedTuple):
    """A field or entry that differs."""

    key: str
    """Such as ``customers.yeso.share``."""
    before: Any
    """``None`` if the entry was added."""
    after: Any
    """``None`` if the entry was removed."""


def diff_bundles(before: Bundle, after: Bundle) -> list[Change]:
    """Return the changes in the order of the bundle's fields, entries sorted by name."""
    changes: list[Change] = []
    if before.name != after.name:
        changes.append(Change("name", before.name, after.name))
    for key in ("models", "customers", "services"):
        changes += _entry_changes(key, getattr(before, key), getattr(after, key))
    for key in ("weights", "limits", "drain"):
        changes += _field_changes(key, getattr(before, key), getattr(after, key))
    return changes


def _entry_changes(key: str, before: Sequence[Any], after: Sequence[Any]) -> Iterator[Change]:
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield Change(f"{key}.{name}", None, new[name]._asdict())
        elif name not in new:
            yield Change(f"{key}.{name}", old[name]._asdict(), None)
        else:
            yield from _field_changes(f"{key}.{name}", old[name], new[name])


def _field_changes(key: str, before: Any, after: Any) -> Iterator[Change]:
    if before == after:
        return
    for field, old, new in zip(before._fields, before, after, strict=True):
        if old != new:
            yield Change(f"{key}.{field}", old, new)
