"""Experiments on the real request path: fleets in memory, emulated engines, the mock clock."""

from __future__ import annotations

from sassafrastally.testing.experiment.compare import compare, table
from sassafrastally.testing.experiment.loading import load_plan
from sassafrastally.testing.experiment.matrix import Matrix, play_matrix
from sassafrastally.testing.experiment.plan import ExperimentPlan
from sassafrastally.testing.experiment.play import play

__all__ = ["ExperimentPlan", "Matrix", "compare", "load_plan", "play", "play_matrix", "table"]
