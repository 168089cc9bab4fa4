"""Log events about quarantined requests."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10037, "warning")
class RequestQuarantined(NamedTuple):
    """A request is no longer run because backend servers crashed while running it."""

    fingerprint: str
    """Identifies the request across the caller's retries."""
    crashes: int
    """Number of servers that crashed while running it."""
    for_s: float
    source: str
    """Source of the last crash report: this entry or another one."""


@event(10038)
class QuarantineLifted(NamedTuple):
    """A quarantined request may run again."""

    fingerprint: str
    reason: str


@event(10039, "warning")
class QuarantineNotRecorded(NamedTuple):
    """A quarantine couldn't be stored; it would be lost if all entries restarted."""

    fingerprint: str
    cause: str
