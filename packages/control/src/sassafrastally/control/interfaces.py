"""What other packages see of bundles and membership."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from sassafrastally.control.bundle import BundleInForce
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.messages import LoadReport


class BundleSource(Protocol):
    """The service named ``bundle`` offers this."""

    @property
    def in_force(self) -> BundleInForce | None:
        """The bundle that this process acts by; ``None`` before the first one is known."""
        ...

    async def wait_for(self, generation: int) -> BundleInForce:
        """Wait until a generation at least as high is in force here."""
        ...


class PeerLoad(NamedTuple):
    """The last load report of a sidecar."""

    state: VmState
    report: LoadReport
    received_s: float
    """When it came, on this process's monotonic clock."""


class Membership(Protocol):
    """The service named ``membership`` offers this."""

    def vms(self, role: str) -> list[VmState]:
        """Return the VMs of a role that the VM list shows, leaving ones included."""
        ...

    def is_leaving(self, vm: str) -> bool:
        """Return whether the VM list, the bundle or the VM itself says that it leaves."""
        ...

    def loads(self) -> list[PeerLoad]:
        """Return the last reports of the sidecars to which a link stands."""
        ...
