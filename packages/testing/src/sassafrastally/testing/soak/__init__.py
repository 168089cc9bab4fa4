"""A randomized soak: the real programs as processes, harmed from outside, judged from outside."""

from __future__ import annotations

from sassafrastally.testing.soak import (
    breaking,
    faltering,
    foreign,
    leaving,
    long_uploads,
    many_parts,
    reconnecting,
    restarting,
    stalling,
    starving,
    succeeding,
)
from sassafrastally.testing.soak.runner import SoakReport, SoakSize, run_soak

__all__ = [
    "SoakReport",
    "SoakSize",
    "breaking",
    "faltering",
    "foreign",
    "leaving",
    "long_uploads",
    "many_parts",
    "reconnecting",
    "restarting",
    "run_soak",
    "stalling",
    "starving",
    "succeeding",
]
"""The modules register their troubles on import."""
