"""Builds the kernel with the services that processes of both roles have."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

# Imported for its side effect: it registers the timeline's admin method.
from sassafrastally.control import timeline  # noqa: F401
from sassafrastally.control.admin import AdminService
from sassafrastally.control.membership import MembershipService, MembershipSettings
from sassafrastally.control.signing import BundleSettings
from sassafrastally.control.spread import BundleService
from sassafrastally.core import Kernel
from sassafrastally.core.settings import ProcessSettings
from sassafrastally.stores.settings import VmListSettings
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings

if TYPE_CHECKING:
    from sassafrastally.core import Clock, Network
    from sassafrastally.core.settings import Settings
    from sassafrastally.stores.service import PlatformService


class Surroundings(NamedTuple):
    """External dependencies of a process; tests replace them with fakes."""

    platform: PlatformService
    """Clients of the platform."""
    network: Network
    """Network over which links are opened and accepted."""
    clock: Clock | None = None
    """The process's clock; ``None`` uses the system clock."""
    seed: int | None = None
    """Seed of the random number generator; ``None`` uses the system's entropy."""


def make_kernel(settings: Settings, around: Surroundings) -> Kernel:
    """Return a kernel with the services of both roles: links, membership, bundle, admin."""
    process = settings.get(ProcessSettings)
    kernel = Kernel(process.vm, process.data_centre, around.clock, around.seed)
    kernel.add(around.platform)
    kernel.add(PeerService(settings.get(PeerSettings), around.network, settings.role))
    poll_interval_s = settings.get(VmListSettings).poll_interval_s
    membership = settings.get(MembershipSettings)
    kernel.add(MembershipService(settings.role, membership, poll_interval_s))
    kernel.add(BundleService(settings.get(BundleSettings)))
    kernel.add(AdminService())
    return kernel
