"""Log lines about requests that a draining entry accepted and cut."""

from __future__ import annotations

import trio

from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.stand_ins.documents import make_configuration, make_route

GOAL_S = 0.2
DRAIN_S = 0.8


class TestEstimates:
    """Requests that arrive during a drain."""

    async def _call(self, fleet, work_s: float) -> list[dict]:
        routes = [make_route("look", "idempotent", "desk", goalMs=int(1000 * GOAL_S))]
        fleet.configure(make_configuration(2, routes=routes))
        await trio.sleep(0.2)
        for name in ("desk-1", "desk-2"):
            fleet.replicas[name].work_s = work_s
        path = fleet.kernels[0].get("path", RequestPath)
        path.services.drain.begin(trio.current_time() + DRAIN_S)
        address = fleet.entry_settings(1).callers_address
        await fleet.call_at(address, "/look/x", request_fields(request_id="late"))
        records = fleet.kernels[0].events.records()
        return [one["fields"] for one in records if one["name"] == "AcceptedRequestCut"]

    async def test_cut_response_is_logged_with_its_estimate(self, small_fleet):
        """Guards against a request that is lost in a drain without telling whether the entry had
        promised too much or hadn't run."""
        (line,) = await self._call(small_fleet, 2.0)
        assert line["request_id"] == "late"
        assert GOAL_S < line["needed_s"] < line["left_s"] <= DRAIN_S
        assert line["needed_s"] < line["took_s"] < DRAIN_S + 0.5

    async def test_whole_response_isnt_logged(self, small_fleet):
        """Guards against a line for each request of a drain."""
        assert await self._call(small_fleet, 0.1) == []
