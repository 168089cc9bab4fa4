"""The sidecar: the only client of its backend server, enforcing request guarantees there."""

from __future__ import annotations

from sassafrastally.sidecar.assemble import build_sidecar
from sassafrastally.sidecar.service import SidecarService
from sassafrastally.sidecar.settings import PlainServiceSettings, SidecarSettings

__all__ = ["PlainServiceSettings", "SidecarService", "SidecarSettings", "build_sidecar"]
