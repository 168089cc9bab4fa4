"""Findings: problems that a check reports about its input, collected and raised together."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core.errors import CodedError, error

if TYPE_CHECKING:
    from collections.abc import Iterable


class Place(NamedTuple):
    """Location of a finding."""

    file: str
    """Name of the file or document."""
    line: int
    """Line number starting at 1; 0 if unknown."""
    key: str
    """Dotted key, such as ``peer.listen_address``."""

    def __str__(self) -> str:
        line = f":{self.line}" if self.line else ""
        return f"{self.file}{line}: {self.key}" if self.key else f"{self.file}{line}"


class Finding(NamedTuple):
    """One problem at one location."""

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


@error(1001)
class FindingsError(CodedError):
    """A document has findings; the message lists all of them."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(sorted(findings))
        super().__init__("\n".join(str(finding) for finding in self.findings))
