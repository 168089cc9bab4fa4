"""What entries and sidecars decide by: costs, lanes, routing, limits, claims, refusals."""

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
