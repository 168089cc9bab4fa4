"""Entries of the platform's services that are ignored because they can't be decoded."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core import event

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REPORTED = 256
"""Maximum number of ignored entries that a process reports. Entries that change, or return again
and again, don't fill the log."""

MAX_TEXT_CHARACTERS = 200
"""Maximum length of the name of an entry and of a reason in a report."""


@event(3011, "warning")
class EntryIgnored(NamedTuple):
    """An entry can't be decoded and is ignored; it is reported once."""

    source: str
    """``vm list`` or ``kv``."""
    entry: str
    """Name of the entry, as far as it is known."""
    reason: str


class IgnoredEntries:
    """Reports each ignored entry once."""

    def __init__(self) -> None:
        self.report: Callable[[EntryIgnored], object] = lambda _: None
        """Receives each report."""
        self._reported: set[tuple[str, str]] = set()

    def add(self, source: str, entry: object, reason: Exception) -> None:
        """Report an entry, unless it was reported or too many others were."""
        name = _printable(entry if isinstance(entry, str) else "")
        if (source, name) in self._reported or len(self._reported) == MAX_REPORTED:
            return
        self._reported.add((source, name))
        self.report(EntryIgnored(source, name, _printable(f"{type(reason).__name__}: {reason}")))


def _printable(text: str) -> str:
    shown = text[:MAX_TEXT_CHARACTERS]
    return shown.encode(errors="backslashreplace").decode()
