"""Processor time of the longest steps of the event loop, at the largest input from others."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import pytest

MAX_STEP_S = 0.02
"""An entry that stands still for longer answers requests late whose limit passes meanwhile."""

sys.path.append(str(Path(__file__).parents[1] / "benchmarks"))
step_times = importlib.import_module("step_times")


class TestStepTimes:
    """Guards against an entry that stands still over the largest legal input."""

    @pytest.mark.parametrize("name", step_times.CASES)
    def test_no_step_takes_long(self, name):
        assert step_times.longest_step_s(name) < MAX_STEP_S
