"""Puts a sidecar process together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.control.assemble import Surroundings, make_kernel
from sassafrastally.sidecar import dialects
from sassafrastally.sidecar.engine import ENGINE_DIALECTS
from sassafrastally.sidecar.placement_agent import PlacementAgent, PlacementAgentSettings
from sassafrastally.sidecar.plain_client import PlainClient
from sassafrastally.sidecar.service import SidecarService
from sassafrastally.sidecar.settings import SidecarSettings

if TYPE_CHECKING:
    from sassafrastally.core import Clock, Kernel, Network
    from sassafrastally.core.settings import Settings
    from sassafrastally.platform.service import PlatformService
    from sassafrastally.sidecar.engine import Engine

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
    own = settings.get(SidecarSettings)
    kernel = make_kernel(settings, Surroundings(platform, network, clock, seed))
    if engine is None and own.engine_address is not None:
        engine = ENGINE_DIALECTS.get(own.dialect)(own.engine_address)
    services = {service.name: PlainClient(service.address) for service in own.services}
    kernel.add(SidecarService(own, engine, services))
    kernel.add(PlacementAgent(settings.get(PlacementAgentSettings), engine, own.models))
    return kernel
