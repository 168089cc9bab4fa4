"""Settings of placement."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core.settings import section


@section("placement", "entry")
class PlacementSettings(NamedTuple):
    """Placement of models on engines."""

    lease_s: float = 12.0
    """Time to live of the holder's lease; after its death the next one begins so much later."""
    attempt_s: float = 6.0
    """Mean time between two looks of a candidate at whether there is a holder."""
    candidates: int = 3
    """Entries that would hold placement; the others make no calls for it."""
    round_s: float = 2.0
    """Time between two looks of the holder at what is to be done."""
    questions_per_round: int = 8
    """Sidecars that are asked in turn in each round what their engines serve."""
    question_time_limit_s: float = 2.0
    """Longest wait for an answer to such a question."""
    order_time_limit_s: float = 300.0
    """Longest wait for an order; longer than the slowest load."""
    retry_s: float = 10.0
    """After a failed order its engine is left alone for so long; doubles with each failure."""
    retry_cap_s: float = 300.0
    """Longest such time."""
    absent_s: float = 30.0
    """A sidecar that gave no answer for so long counts as gone, and its place is filled."""
    wave_share: float = 0.25
    """Share of the ready engines that may be under change at once; at least one may."""
