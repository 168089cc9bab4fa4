"""Control plane: bundles and their distribution, membership, placement and admin queries."""

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
