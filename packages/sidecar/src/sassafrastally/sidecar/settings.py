"""Settings of the sidecar."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.core.settings import section


class PlainServiceSettings(NamedTuple):
    """A plain service that this sidecar serves."""

    name: str
    """Name of the service in the bundle."""
    address: Address
    max_concurrent: int = 8
    """Maximum number of concurrent calls; the bundle may set a lower limit."""


@section("sidecar", "sidecar")
class SidecarSettings(NamedTuple):
    """The sidecar's backend server and the limits that the sidecar enforces."""

    engine_address: Address | None = None
    """Address of the model engine; none when this sidecar has only plain services."""
    dialect: str = "openai"
    """Engine dialect, by its registered name."""
    scheduler: str = "lanes"
    """Scheduler for the engine's work, by its registered name."""
    models: tuple[str, ...] = ()
    """Models that may be served here; an empty list allows all models of the engine."""
    services: tuple[PlainServiceSettings, ...] = ()
    """Plain services that this sidecar serves."""
    reservation_lapse_s: float = 3.0
    """Time after which an uncommitted reservation lapses."""
    reattach_grace_s: float = 2.0
    """Time after which an idempotent run without readers is cancelled."""
    cancel_limit_s: float = 5.0
    """Timeout for the engine to confirm a cancellation; the sweep retries later."""
    max_attempts: int = 512
    """Maximum number of reserved, waiting and running attempts; more are refused as overloaded."""
    max_body_bytes: int = 32_000_000
    """Maximum bytes of request bodies held or reserved; more are refused as overloaded."""
    max_marks: int = 20_000
    """Maximum number of marks of settled attempts that must not run again; when it is reached, new
    attempts are refused as overloaded."""
    mark_age_s: float = 1_200.0
    """How long a mark is kept; longer than any time limit and than detecting a dead link takes."""
    max_ran_marks: int = 2_000
    """Maximum number of marks of idempotent attempts that ran; beyond it, the oldest is evicted."""
    max_answer_bytes: int = 24_000_000
    """Maximum bytes of answers held; beyond it, the oldest finished answer is evicted first."""
    max_answer_chunks: int = 120_000
    """Maximum number of chunks of answers held, which take about 160 bytes each besides their data;
    beyond it, the oldest finished answer is evicted first."""
    answer_age_s: float = 600.0
    """How long a finished answer is kept."""
    max_unsent_bytes: int = 1_000_000
    """Maximum unsent bytes of one answer; beyond it, the run waits for its reader."""
    dispatch_interval_s: float = 0.05
    """Interval at which waiting work is reconsidered when nothing changes."""
    describe_interval_s: float = 1.0
    """Interval at which the engine's description is polled."""
    sweep_interval_s: float = 5.0
    """Interval at which the ledger is compared with the engine's own list."""
    report_interval_s: float = 2.0
    """Interval at which the load is reported to linked entries."""
    report_gap_s: float = 0.25
    """Minimum time between two reports."""
    stop_limit_s: float = 960.0
    """Maximum wait for running work after the first stop signal; at least the maximum time limit of
    a request, so that no request is cut off."""
    hurried_stop_limit_s: float = 10.0
    """Maximum wait for running work after the second stop signal."""
