"""Interfaces of the platform services other than the KV service: VM list and weight store.

The HTTP clients of this package implement them; tests replace them with fakes.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

# Address is needed at run time: VM list settings are validated against the types below.
from sassafrastally.core import Address, CodedError, error


@error(3006)
class PlatformUnavailable(CodedError):
    """The VM list or the weight store doesn't respond."""


class VmState(NamedTuple):
    """Entry of the VM list."""

    vm: str
    role: str
    """``entry`` or ``sidecar``."""
    data_centre: str
    region: str
    peer_address: Address
    """Address where the process accepts links."""
    leaving: bool = False


class VmList(Protocol):
    """The platform's list of VMs, which may be stale."""

    async def list_vms(self) -> list[VmState]:
        """Return the running and leaving VMs; raises `PlatformUnavailable`."""
        ...


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    async def reserve_load(self, model: str, version: str) -> float:
        """Return the delay in seconds before a load may start; raises `PlatformUnavailable`."""
        ...
