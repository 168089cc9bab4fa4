"""Admission, scheduling and routing decisions shared by entries and sidecars."""

from __future__ import annotations

from sassafrastally.serving.outcome import (
    AttemptState,
    Outcome,
)
from sassafrastally.serving.refusals import (
    REFUSALS,
    Figures,
    Refusal,
    RefusalKind,
)

__all__ = [
    "REFUSALS",
    "AttemptState",
    "Figures",
    "Outcome",
    "Refusal",
    "RefusalKind",
]
