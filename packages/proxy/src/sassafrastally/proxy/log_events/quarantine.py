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


@event(10077, "warning")
class PromptPartQuarantined(NamedTuple):
    """Requests with a part in their prompts are no longer run: servers crashed with it."""

    part: str
    """Key of the part; `ServerCrashed` names the ids of the parts."""
    companions: tuple[str, ...]
    """Keys of parts that a request must have, too: they came with it in each crash."""
    crashes: int
    """Number of servers that crashed while running requests with it."""
    for_s: float
    source: str
    """Source of the last crash report: this entry or another one."""
    beside: tuple[str, ...]
    """Keys of other parts, without a verdict, with which at least two of these servers crashed."""
    latest_record_age_s: float
    """Time since this entry learned of the last of these crashes. Within some 20 ms other entries
    may not have told all about it."""


@event(10078)
class PromptPartTried(NamedTuple):
    """One request with a quarantined part is run, to end the quarantine if the part is sound."""

    part: str
    """Key of the part."""


@event(10038)
class QuarantineLifted(NamedTuple):
    """A quarantined request, or requests with a quarantined part, may run again."""

    fingerprint: str
    """Fingerprint of the request, or key of the part."""
    reason: str


@event(10039, "warning")
class QuarantineNotRecorded(NamedTuple):
    """A quarantine couldn't be stored; it would be lost if all entries restarted."""

    fingerprint: str
    """Fingerprint of the request, or key of the part."""
    cause: str
