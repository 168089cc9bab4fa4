"""Log events about evacuated data centres and the settings' data centres."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10050, "warning")
class DataCentreEvacuated(NamedTuple):
    """A data centre is evacuated: its backend servers get nothing new."""

    data_centre: str
    servers: int
    """Number of its known backend servers."""
    source: str


@event(10051)
class EvacuationEnded(NamedTuple):
    """A data centre is no longer evacuated: its backend servers get requests again."""

    data_centre: str
    reason: str


@event(10052, "warning")
class EvacuationUnknown(NamedTuple):
    """An evacuation names an unknown data centre; it has no effect unless servers appear there."""

    data_centre: str
    known: str
    """Data centres of the settings and of the known servers."""
    source: str


@event(10053, "warning")
class EvacuationKept(NamedTuple):
    """A restored store differs from what was known of an evacuation, which stays as it was."""

    data_centre: str
    is_evacuated: bool
    """Whether the data centre stays evacuated although the record is missing; otherwise it isn't
    evacuated although a record is back that had been removed."""
    for_s: float
    """How long it stays evacuated without a record."""
    source: str


@event(10054, "warning")
class DataCentresIgnored(NamedTuple):
    """A part of the settings' data centres is invalid, or home regions can't be compared."""

    problem: str
