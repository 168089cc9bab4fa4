"""Puts a sidecar process together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.control import timeline  # noqa: F401 - fills the registry of admin methods
from sassafrastally.control.admin import AdminService
from sassafrastally.control.membership import MembershipService, MembershipSettings
from sassafrastally.control.signing import BundleSettings
from sassafrastally.control.spread import BundleService
from sassafrastally.core import Kernel
from sassafrastally.core.settings import ProcessSettings
from sassafrastally.platform.settings import VmListSettings
from sassafrastally.sidecar import dialects
from sassafrastally.sidecar.engine import ENGINE_DIALECTS
from sassafrastally.sidecar.plain_client import PlainClient
from sassafrastally.sidecar.service import SidecarService
from sassafrastally.sidecar.settings import SidecarSettings
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings

if TYPE_CHECKING:
    from sassafrastally.core import Clock, Network
    from sassafrastally.core.settings import Settings
    from sassafrastally.platform.service import PlatformService
from sassafrastally.sidecar.engine import Engine

ROLE = "sidecar"

_DIALECT_MODULES = (dialects,)
"""Imported so that their dialects are registered."""


def build_sidecar(
    settings: Settings,
    platform: PlatformService,
    network: Network,
    engine: Engine | None = None,
    clock: Clock | None = None,
    seed: int | None = None,
) -> Kernel:
    """Return the kernel of a sidecar, ready to run.

    Parameters
    ----------
    settings
        Checked settings of the role ``sidecar``.
    platform
        Clients of the platform.
    network
        Where links come from.
    engine
        Client of the engine; made from the settings when it is ``None``.
    clock
        The process's clock.
    seed
        Seed of the random source; the system's when it is ``None``.
    """
    process = settings.get(ProcessSettings)
    own = settings.get(SidecarSettings)
    kernel = Kernel(process.vm, process.data_centre, clock, seed)
    kernel.add(platform)
    kernel.add(PeerService(settings.get(PeerSettings), network, ROLE))
    poll_interval_s = settings.get(VmListSettings).poll_interval_s
    kernel.add(MembershipService(ROLE, settings.get(MembershipSettings), poll_interval_s))
    kernel.add(BundleService(settings.get(BundleSettings)))
    kernel.add(AdminService())
    if engine is None and own.engine_address is not None:
        engine = ENGINE_DIALECTS.get(own.dialect)(own.engine_address)
    services = {service.name: PlainClient(service.address) for service in own.services}
    kernel.add(SidecarService(own, engine, services))
    return kernel
