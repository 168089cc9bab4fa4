"""Log events of the process itself."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10019)
class ProcessDraining(NamedTuple):
    """The process was asked to stop: it isn't ready any more and finishes what runs."""

    requests: int
    stop_time_s: float


@event(10023)
class ReadinessChanged(NamedTuple):
    """The process reports itself ready, or no longer ready."""

    is_ready: bool
    reason: str


@event(10020)
class SettingsReloaded(NamedTuple):
    """The settings file was read again."""

    has_changed: bool


@event(10021, "error")
class SettingsRejected(NamedTuple):
    """The settings file has findings; the settings read before stay in force."""

    findings: str
