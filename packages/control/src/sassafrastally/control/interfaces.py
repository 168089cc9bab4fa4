"""Interfaces of bundles and membership for other packages."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from sassafrastally.control.bundle import BundleInForce
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.messages import LoadReport


class BundleSource(Protocol):
    """Interface of the service named ``bundle``."""

    @property
    def in_force(self) -> BundleInForce | None:
        """The active bundle of this process; ``None`` before the first one is active."""
        ...

    async def wait_for(self, generation: int) -> BundleInForce:
        """Wait until this generation or a higher one is active in this process."""
        ...


class PeerLoad(NamedTuple):
    """The latest load report of a sidecar."""

    state: VmState
    report: LoadReport
    received_s: float
    """Time of receipt on this process's monotonic clock."""


class Membership(Protocol):
    """Interface of the service named ``membership``."""

    def vms(self, role: str) -> list[VmState]:
        """Return the VMs of a role in the VM list, including leaving ones."""
        ...

    def is_leaving(self, vm: str) -> bool:
        """Return whether the VM list, the bundle or the VM itself reports it as leaving."""
        ...

    def loads(self) -> list[PeerLoad]:
        """Return the latest reports of the sidecars with an established link."""
        ...
