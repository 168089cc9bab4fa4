"""Every scenario of the folder, each as a test of its own."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from sassafrastally.testing.scenario import parse_scenario, run_scenario

FOLDER = Path(__file__).parent / "scenarios"
FILES = sorted(FOLDER.glob("*.scenario"))

SEEDS = range(int(os.environ.get("SASSAFRASTALLY_SCENARIO_SEEDS", "1")))
"""Seeds that each scenario runs with; a longer run by hand sets more."""


class TestScenarios:
    @pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
    def test_scenario(self, file: Path) -> None:
        scenario = parse_scenario(file.read_text(), file.name)
        for seed in SEEDS:
            run_scenario(scenario, seed)
