"""Settings of a process of the pass-through path."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.proxy.evacuation import DataCentres


class ProcessLimits(NamedTuple):
    """Time limits and ratios set by the deployment."""

    stop_time_s: float
    """Time from the stop signal until the process is killed."""
    retry_ratio: float
    """Maximum number of retries that all entries together may send, as a share of requests."""
    retry_window_s: float
    """Window over which retries are counted."""
    retry_burst: int
    """Number of retries per window that are allowed in addition to the share."""
    cold_overrun: float = 1.0
    """Factor on a cold server's rate that bounds the requests to it in any second."""
    cold_slack: float = 0.0
    """Requests in any second that are allowed in addition."""
    crossing_s: float = 0.2
    """Time after its last byte within which a request may be cut by the close of its connection."""


class ProxySettings(NamedTuple):
    """Settings that one process needs at startup."""

    vm: str
    host: str
    """IP address on which the process listens and under which its peers reach it."""
    data_centre: str
    callers_address: Address
    readiness_address: Address
    peer_port: int
    """Port for datagrams and calls between entries; the same on all VMs."""
    metrics_port: int
    store_address: Address
    registration_expiry_s: float
    """Time without a heartbeat after which the platform removes a backend server's record."""
    link_mbps: int
    """Network bandwidth of the VM, in megabits per second."""
    bounds: ProcessLimits
    data_centres: DataCentres = DataCentres()
    """All data centres, with their regions."""
    memory_mb: int = 0
    """Memory limit of the process in megabytes; 0 if the settings name none."""
    max_descriptors: int = 0
    """Limit of the process's file descriptors; 0 if the settings name none."""
