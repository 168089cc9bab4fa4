"""Settings of the platform's clients."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.core.settings import section


class PurposeBudget(NamedTuple):
    """How many calls of the KV service a process may make for one purpose."""

    purpose: str
    calls_per_s: float
    burst: int
    """Calls that may be made at once after a quiet time."""


DEFAULT_BUDGETS = (
    PurposeBudget("bundle", calls_per_s=4.0, burst=40),
    PurposeBudget("claims", calls_per_s=40.0, burst=80),
    PurposeBudget("placement", calls_per_s=10.0, burst=40),
    PurposeBudget("membership", calls_per_s=2.0, burst=10),
    PurposeBudget("admin", calls_per_s=10.0, burst=60),
    PurposeBudget("limits", calls_per_s=10.0, burst=40),
)
"""Every purpose that calls may be made for, with its budget unless the settings say another."""


@section("kv")
class KvSettings(NamedTuple):
    """The client of the KV service."""

    address: Address
    """Where the service answers."""
    call_time_limit_s: float = 2.0
    """Time limit of one call, waits for re-entry after an outage included."""
    watch_renewal_s: float = 10.0
    """A watch that was silent for so long is opened anew: a half-open connection stays silent."""
    max_connections: int = 16
    """Connections to the service at most; each waiting watch holds one."""
    backoff_base_s: float = 0.1
    """Bound of the first wait after a failed call; it doubles with each failed probe."""
    backoff_cap_s: float = 5.0
    """Longest wait between probes in an outage."""
    reentry_s: float = 1.0
    """Time after an outage over which the first calls are spread."""
    budgets: tuple[PurposeBudget, ...] = ()
    """Budgets that take the place of the defaults for their purposes."""


@section("vm_list")
class VmListSettings(NamedTuple):
    """The client of the VM list."""

    address: Address
    """Where the list answers."""
    poll_interval_s: float = 2.0
    """Mean time between two polls; each is moved at random by up to a quarter."""
    call_time_limit_s: float = 2.0
    """Time limit of one poll."""


@section("weight_store")
class WeightStoreSettings(NamedTuple):
    """The client of the weight store."""

    address: Address | None = None
    """Where the store answers; without it the process loads no weights."""
    call_time_limit_s: float = 2.0
    """Time limit of one call."""
