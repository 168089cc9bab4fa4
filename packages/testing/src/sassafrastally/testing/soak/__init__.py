"""A randomized soak: the real programs as processes, harmed from outside, judged from outside."""

from __future__ import annotations

from sassafrastally.testing.soak import breaking, faltering, stalling, succeeding
from sassafrastally.testing.soak.runner import SoakReport, SoakSize, run_soak

__all__ = ["SoakReport", "SoakSize", "breaking", "faltering", "run_soak", "stalling", "succeeding"]
"""`breaking`, `faltering`, `stalling` and `succeeding` register their troubles on import."""
