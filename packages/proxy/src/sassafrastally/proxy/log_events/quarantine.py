"""Log events of requests that are run no more."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10037, "warning")
class RequestQuarantined(NamedTuple):
    """A request is run no more, because backend servers crashed under it."""

    fingerprint: str
    """Names the request across its caller's retries."""
    crashes: int
    """Servers that crashed while they ran it."""
    for_s: float
    source: str
    """Whether this entry has seen the last crash itself, or who told."""


@event(10038)
class QuarantineLifted(NamedTuple):
    """A request that was quarantined may run again."""

    fingerprint: str
    reason: str


@event(10039, "warning")
class QuarantineNotRecorded(NamedTuple):
    """A verdict couldn't be written to the store; entries that all start again wouldn't know it."""

    fingerprint: str
    cause: str
