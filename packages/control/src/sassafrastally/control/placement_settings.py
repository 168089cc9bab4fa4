"""Settings of placement."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core.settings import section


@section("placement", "entry")
class PlacementSettings(NamedTuple):
    """Placement of models on engines."""

    lease_s: float = 12.0
    """Time to live of the holder's lease; also the takeover delay after the holder dies."""
    attempt_s: float = 6.0
    """Mean time between two attempts of a candidate to acquire the lease."""
    candidates: int = 3
    """Number of entries that compete for the lease; the others make no calls for placement."""
    round_s: float = 2.0
    """Time between two rounds of the holder."""
    questions_per_round: int = 8
    """Number of responsive sidecars polled in turn in each round for the state of their engines."""
    question_time_limit_s: float = 2.0
    """Time limit for the reply to such a poll."""
    order_time_limit_s: float = 300.0
    """Time limit for an order; longer than the slowest load."""
    retry_s: float = 10.0
    """Delay before an engine gets orders again after a failed one; doubles with each failure."""
    retry_cap_s: float = 300.0
    """Maximum of this delay."""
    absent_s: float = 30.0
    """Time without a reply after which a sidecar counts as gone and its models are reassigned."""
    wave_share: float = 0.25
    """Share of the ready engines that may be changing at once; at least one may."""
