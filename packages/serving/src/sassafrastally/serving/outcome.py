"""Outcomes of requests and states of attempts."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request, as reported to the caller."""

    COMPLETED = "completed"
    """The complete answer was delivered."""
    NOT_RUN = "not_run"
    """It is proved that no backend server started the request and that none will."""
    FAILED = "failed"
    """The request ran and gave no complete answer."""
    UNKNOWN = "unknown"
    """The request may have run; its outcome cannot be determined."""


class AttemptState(StrEnum):
    """State of an attempt at one incarnation of a sidecar."""

    ABSENT = "absent"
    """Unknown to this incarnation. A voiding query leaves a tombstone, so that a late reserve or
    commit is refused."""
    VOIDED = "voided"
    """Released, expired or voided before commit; a later commit is refused. Proof of not run."""
    RESERVED = "reserved"
    COMMITTED = "committed"
    """Committed; may be running."""
    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    """Refused before commit. Proof of not run."""
    OTHER_INCARNATION = "other_incarnation"
    """The queried incarnation is gone and the current one does not know the state."""
