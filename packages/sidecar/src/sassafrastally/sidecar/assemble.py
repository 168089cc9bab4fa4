"""Assembles a sidecar process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.control.assemble import make_kernel
from sassafrastally.sidecar import dialects
from sassafrastally.sidecar.engine import ENGINE_DIALECTS
from sassafrastally.sidecar.placement_agent import PlacementAgent, PlacementAgentSettings
from sassafrastally.sidecar.plain_client import PlainClient
from sassafrastally.sidecar.service import SidecarService
from sassafrastally.sidecar.settings import SidecarSettings

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.control.assemble import Surroundings
    from sassafrastally.core import Kernel
    from sassafrastally.core.settings import Settings
    from sassafrastally.sidecar.engine import Engine
    from sassafrastally.sidecar.plain import Caller

_DIALECT_MODULES = (dialects,)
"""Imported for the side effect of registering their dialects."""


def build_sidecar(
    settings: Settings,
    around: Surroundings,
    engine: Engine | None = None,
    services: Mapping[str, Caller] | None = None,
) -> Kernel:
    """Return the kernel of a sidecar, ready to run.

    Parameters
    ----------
    settings
        Validated settings of the role ``sidecar``.
    around
        Platform services, network and clock of the process.
    engine
        Client of the engine; created from the settings when ``None``.
    services
        Clients of the plain services, by name; created from the settings when ``None``.
    """
    own = settings.get(SidecarSettings)
    kernel = make_kernel(settings, around)
    if engine is None and own.engine_address is not None:
        engine = ENGINE_DIALECTS.get(own.dialect)(own.engine_address)
    if services is None:
        services = {service.name: PlainClient(service.address) for service in own.services}
    kernel.add(SidecarService(own, engine, services))
    kernel.add(PlacementAgent(settings.get(PlacementAgentSettings), engine, own.models))
    return kernel
