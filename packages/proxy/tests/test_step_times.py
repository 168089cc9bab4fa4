"""Processor time of the longest steps of the event loop, at the largest input from others."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

import pytest

MAX_STEP_S = 0.02
"""An entry that stands still for longer answers requests late whose limit passes meanwhile."""

PATH = Path(__file__).parents[1] / "benchmarks" / "step_times.py"
_SPEC = importlib.util.spec_from_file_location("step_times", PATH)
assert _SPEC is not None and _SPEC.loader is not None
step_times = importlib.util.module_from_spec(_SPEC)
sys.modules["step_times"] = step_times
_SPEC.loader.exec_module(step_times)


class TestStepTimes:
    """Guards against an entry that stands still because somebody sends much of something."""

    @pytest.mark.parametrize("name", step_times.CASES)
    def test_no_step_takes_long(self, name):
        assert step_times.longest_step_s(name) < MAX_STEP_S
