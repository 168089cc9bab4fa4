"""Interfaces of the platform beside its KV service: VM list and weight store.

The HTTP clients of this package implement them; tests put fakes in their place.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

# Address at run time too: settings of a VM list are checked against the types below.
from sassafrastally.core import Address, CodedError, error


@error(3006)
class PlatformUnavailable(CodedError):
    """The VM list or the weight store doesn't answer."""


class VmState(NamedTuple):
    """One line of the VM list."""

    vm: str
    role: str
    """``entry`` or ``sidecar``."""
    data_centre: str
    region: str
    peer_address: Address
    """Where the process takes links."""
    leaving: bool = False


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    async def list_vms(self) -> list[VmState]:
        """Return the live and leaving VMs; raises `PlatformUnavailable`."""
        ...


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    async def reserve_load(self, model: str, version: str) -> float:
        """Return after how many seconds a load may begin; raises `PlatformUnavailable`."""
        ...
