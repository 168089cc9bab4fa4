"""Summary of the engines' load, for refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.fleet_view import FleetView
    from sassafrastally.proxy.lanes import ServerView


def load_summary(views: Sequence[ServerView], slots: int, fleet_view: FleetView) -> str:
    """Return a summary of the engines' load for the log and the caller."""
    requests = sum(view.work.requests for view in views)
    prefill_s = max((view.work.prefill_ms for view in views), default=0.0) / 1000
    return (
        f"{len(views)} engines with {slots} slots, {requests} requests, "
        f"up to {prefill_s:.1f} s of reading, "
        f"{fleet_view.entries - 1} peers heard, "
        f"servers confirmed {fleet_view.beliefs_age_s:.1f} s ago"
    )
