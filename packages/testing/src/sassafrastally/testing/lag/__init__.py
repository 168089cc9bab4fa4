"""Plays requests at an entry whose event loop is blocked at one step after the other."""

from __future__ import annotations

from sassafrastally.testing.lag import platform_stage, product_stage, scenes, stop_scenes
from sassafrastally.testing.lag.runner import (
    LAGS_S,
    Lag,
    LagReport,
    PromiseBroken,
    choose_lags,
    count_steps,
    play_lags,
    scene_names,
)
from sassafrastally.testing.lag.scene import SCENES

__all__ = [
    "LAGS_S",
    "SCENES",
    "Lag",
    "LagReport",
    "PromiseBroken",
    "choose_lags",
    "count_steps",
    "platform_stage",
    "play_lags",
    "product_stage",
    "scene_names",
    "scenes",
    "stop_scenes",
]
"""The modules register their stages and scenes on import."""
