"""Settings of a process of the pass-through path."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address


class Bounds(NamedTuple):
    """Times and ratios that the deployment asks for."""

    stop_time_s: float
    """From the signal to stop until the process is killed."""
    retry_ratio: float
    """Repeats that all entries together may send, as a share of requests."""
    retry_window_s: float
    """Window over which repeats are counted."""
    retry_extra: int
    """Repeats in a window beside the share."""


class ProxySettings(NamedTuple):
    """What one process needs to know at its start."""

    vm: str
    host: str
    """IP number on which the process listens and is known to its peers."""
    data_centre: str
    callers_address: Address
    readiness_address: Address
    peer_port: int
    """Port for datagrams and calls between entries; the same on all VMs."""
    metrics_port: int
    store_address: Address
    link_mbps: int
    """Speed of the VM's link, megabits a second."""
    bounds: Bounds
