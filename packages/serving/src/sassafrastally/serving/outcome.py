"""Outcomes of a request and states of an attempt."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """What became of a request, as the caller is told."""

    COMPLETED = "completed"
    """The whole answer was given."""
    NOT_RUN = "not_run"
    """Proved: no backend server began it and none will."""
    FAILED = "failed"
    """It ran and gave no whole answer."""
    UNKNOWN = "unknown"
    """It may have run; nobody can tell."""


class AttemptState(StrEnum):
    """What an incarnation of a sidecar knows of an attempt."""

    ABSENT = "absent"
    """Never heard of here in this incarnation; a query that voids leaves a mark, so that a late
    reserve or commit of it is refused."""
    VOIDED = "voided"
    """Released, lapsed or voided before commit; a later commit is refused. Proof of not run."""
    RESERVED = "reserved"
    COMMITTED = "committed"
    """Committed; may be running."""
    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    """Refused before commit. Proof of not run."""
    OTHER_INCARNATION = "other_incarnation"
    """The incarnation asked about is gone; this one can't tell."""
