"""The sidecar: the only one that talks to its backend server, and keeps the promises there."""

from __future__ import annotations

from sassafrastally.sidecar.assemble import build_sidecar
from sassafrastally.sidecar.service import SidecarService
from sassafrastally.sidecar.settings import PlainServiceSettings, SidecarSettings

__all__ = ["PlainServiceSettings", "SidecarService", "SidecarSettings", "build_sidecar"]
