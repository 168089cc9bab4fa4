"""Bundles, their spread, membership, placement and operators' questions to processes."""

from __future__ import annotations

from sassafrastally.control.bundle import (
    Bundle,
    BundleInForce,
    Customer,
    Drain,
    Limits,
    Model,
    PlainService,
    Weights,
)
from sassafrastally.control.interfaces import (
    BundleSource,
    Membership,
    PeerLoad,
)

__all__ = [
    "Bundle",
    "BundleInForce",
    "BundleSource",
    "Customer",
    "Drain",
    "Limits",
    "Membership",
    "Model",
    "PeerLoad",
    "PlainService",
    "Weights",
]
