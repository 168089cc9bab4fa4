"""Steps of the time of day while an entry serves."""

from __future__ import annotations

import itertools
import time

import pytest

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until

STEP_S = 3600.0


@pytest.fixture
def stepping_clock(monkeypatch):
    """A time of day that jumps back and forth with each look at it; yields the looks."""
    looks = itertools.count()
    true_time, true_time_ns = time.time, time.time_ns
    step_s = STEP_S

    def offset_s() -> float:
        return step_s * (-1) ** next(looks)

    monkeypatch.setattr(time, "time", lambda: true_time() + offset_s())
    monkeypatch.setattr(time, "time_ns", lambda: true_time_ns() + int(offset_s() * 1e9))
    yield looks
    # Modules that were imported meanwhile may keep the functions.
    step_s = 0.0


class TestSteps:
    """A time of day that nobody may rely on."""

    async def test_change_no_decision(self, stepping_clock, small_fleet):
        """Guards against limits, retry delays or bounds by the time of day, which jumps."""
        assert (await small_fleet.call("/look/x")).status == 200
        assert (await small_fleet.call("/book/x")).status == 200
        assert (await small_fleet.call("/note/x", prompt="1000,340")).is_whole
        for number in (1, 2):
            small_fleet.replicas[f"desk-{number}"].refuses = True
        refused = await small_fleet.call("/book/x")
        assert refused.status == 503
        assert 0.0 < float(refused.headers["retry-after"]) < 4.0
        for number in (1, 2):
            small_fleet.replicas[f"desk-{number}"].refuses = False
            small_fleet.replicas[f"desk-{number}"].is_unresponsive = True
        assert (await small_fleet.call("/book/x", headers={"Deadline-Ms": "300"})).status == 504
        small_fleet.configure(
            make_configuration(2, routes=[make_route("new", "streaming", "engines")])
        )
        state = small_fleet.kernels[0].get("beliefs", ClusterState)
        await wait_until(lambda: state.configuration_version == 2)
        assert (await small_fleet.call("/new/x", prompt="1000,340")).is_whole
        small_fleet.kernels[0].request_stop()
        assert (await small_fleet.call("/new/x", prompt="1000,340")).is_whole
        assert next(stepping_clock), "the entry's start looks at it"
