"""Settings of the sidecar."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.core.settings import section


class PlainServiceSettings(NamedTuple):
    """A plain service beside this sidecar."""

    name: str
    """Name of the service in the bundle."""
    address: Address
    max_concurrent: int = 8
    """Most calls at a time; the bundle may set a lower bound."""


@section("sidecar", "sidecar")
class SidecarSettings(NamedTuple):
    """The backend server beside the sidecar and the bounds that the sidecar keeps."""

    engine_address: Address | None = None
    """Where the model engine listens; none when only plain services stand here."""
    dialect: str = "openai"
    """Engine dialect, by its registered name."""
    scheduler: str = "lanes"
    """Scheduler of the engine's work, by its registered name."""
    models: tuple[str, ...] = ()
    """Models that may be served here; none listed means all that the engine holds."""
    services: tuple[PlainServiceSettings, ...] = ()
    """Plain services beside this sidecar."""
    reservation_lapse_s: float = 3.0
    """A reservation not committed after this long lapses."""
    reattach_grace_s: float = 2.0
    """An idempotent run that nobody reads any more is cancelled after this long."""
    cancel_limit_s: float = 5.0
    """Longest wait for the engine to confirm a cancellation; the sweep tries again later."""
    max_attempts: int = 512
    """Most attempts that are reserved, waiting or running; at the bound: refused as overloaded."""
    max_body_bytes: int = 32_000_000
    """Most bytes of request bodies held or promised; at the bound: refused as overloaded."""
    max_marks: int = 20_000
    """Most marks of settled attempts that must not run again; at the bound: refused as
    overloaded."""
    mark_age_s: float = 1_200.0
    """How long a mark is kept; longer than the longest time limit and the death of a link."""
    max_ran_marks: int = 2_000
    """Most marks of idempotent attempts that ran; at the bound the oldest leaves."""
    max_answer_bytes: int = 24_000_000
    """Most bytes of answers held; at the bound the oldest finished one leaves first."""
    answer_age_s: float = 600.0
    """How long a finished answer is kept."""
    max_unsent_bytes: int = 1_000_000
    """Most bytes of one answer that its reader has not taken; at the bound the run waits."""
    dispatch_interval_s: float = 0.05
    """How often waiting work is looked at when nothing else happens."""
    describe_interval_s: float = 1.0
    """How often the engine is asked what it is and holds."""
    sweep_interval_s: float = 5.0
    """How often the ledger is compared with the engine's own list."""
    report_interval_s: float = 2.0
    """How often the load is reported to linked entries."""
    report_gap_s: float = 0.25
    """Least time between two reports."""
    stop_limit_s: float = 960.0
    """Longest wait for running work after the first request to stop; no shorter than the longest
    time limit of a request, so that none is cut off."""
    hurried_stop_limit_s: float = 10.0
    """Longest wait for running work after the second request to stop."""
