"""Settings of the platform clients."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.core.settings import section


class PurposeBudget(NamedTuple):
    """Limit on the KV calls of a process for one purpose."""

    purpose: str
    calls_per_s: float
    burst: int
    """Calls that may be made at once after an idle period."""


DEFAULT_BUDGETS = (
    PurposeBudget("bundle", calls_per_s=4.0, burst=40),
    PurposeBudget("claims", calls_per_s=40.0, burst=80),
    PurposeBudget("placement", calls_per_s=10.0, burst=40),
    PurposeBudget("membership", calls_per_s=2.0, burst=10),
    PurposeBudget("admin", calls_per_s=10.0, burst=60),
    PurposeBudget("limits", calls_per_s=10.0, burst=40),
)
"""All valid call purposes with their default budgets, which the settings can override."""


@section("kv")
class KvSettings(NamedTuple):
    """Settings of the KV service client."""

    address: Address
    """Address of the service."""
    call_time_limit_s: float = 2.0
    """Time limit of one call, including the recovery delay after an outage."""
    watch_renewal_s: float = 10.0
    """Idle time after which a watch is reopened, because a half-open connection gets no events."""
    max_connections: int = 16
    """Maximum number of connections to the service; each watch uses one."""
    backoff_base_s: float = 0.1
    """Upper bound of the first backoff delay in an outage; it doubles with each failed probe."""
    backoff_cap_s: float = 5.0
    """Maximum delay between probes in an outage."""
    reentry_s: float = 1.0
    """Recovery period after an outage over which the first calls are spread."""
    budgets: tuple[PurposeBudget, ...] = ()
    """Budgets that override the defaults for their purposes."""


@section("vm_list")
class VmListSettings(NamedTuple):
    """Settings of the VM list client."""

    address: Address
    """Address of the VM list."""
    poll_interval_s: float = 2.0
    """Mean poll interval; each interval is randomized by up to a quarter."""
    call_time_limit_s: float = 2.0
    """Time limit of one poll."""


@section("weight_store")
class WeightStoreSettings(NamedTuple):
    """Settings of the weight store client."""

    address: Address | None = None
    """Address of the weight store; without it the process loads no weights."""
    call_time_limit_s: float = 2.0
    """Time limit of one call."""
