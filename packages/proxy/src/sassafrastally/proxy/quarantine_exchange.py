"""Exchange between entries of requests and prompt parts with which backend servers crash."""

from __future__ import annotations

from typing import NamedTuple, Protocol

# Runtime import: TrialState is a field type of a named tuple.
from sassafrastally.proxy.part_trials import UNTRIED, TrialState


class CrashReport(NamedTuple):
    """A server crashed while it ran a request, or requests with a part."""

    subject: int
    """Fingerprint of the request, or key of the part."""
    server: int
    """Hash of the server's incarnation."""
    age_s: float
    is_presumed: bool = False
    """Whether it isn't certain yet that the server has crashed."""


class VerdictReport(NamedTuple):
    """A request is quarantined, or requests with a part."""

    subject: int
    left_s: float
    crashes: int
    """Servers that crashed while running it."""
    companions: tuple[int, ...] = ()
    """Keys of further parts that a request must have."""
    trials: TrialState = UNTRIED


class AnswerReport(NamedTuple):
    """A subject with which servers crashed has been answered."""

    subject: int
    age_s: float


class QuarantineReport(NamedTuple):
    """Records about harmful requests sent to peers."""

    crashes: tuple[CrashReport, ...] = ()
    verdicts: tuple[VerdictReport, ...] = ()
    answers: tuple[AnswerReport, ...] = ()


EMPTY_REPORT = QuarantineReport()


class QuarantineExchange(Protocol):
    """Source and receiver of quarantine records for the datagram exchange."""

    def own_report(self, *, is_full: bool) -> QuarantineReport:
        """Return the records that this entry has made itself; if `is_full`, older ones too."""
        ...

    def combined_report(self, *, is_full: bool) -> QuarantineReport:
        """Return all records, those of peers included, on behalf of a data centre."""
        ...

    def apply(self, report: QuarantineReport) -> bool:
        """Apply a peer's records; return whether to forward them to other data centres at once."""
        ...


class NullQuarantineExchange:
    """Placeholder until the quarantine has started; sends and records nothing."""

    def own_report(self, *, is_full: bool) -> QuarantineReport:
        """Return an empty report."""
        return EMPTY_REPORT

    def combined_report(self, *, is_full: bool) -> QuarantineReport:
        """Return an empty report."""
        return EMPTY_REPORT

    def apply(self, report: QuarantineReport) -> bool:
        """Ignore the records; the peers repeat them."""
        return False
