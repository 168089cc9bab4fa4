"""Engines whose responses to calls don't end."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio

from sassafrastally.core import Clock, Kernel
from sassafrastally.proxy.attempt import AttemptNotRun
from sassafrastally.proxy.calls import CallClient, ResponseTooLarge
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.plan import Holding
from sassafrastally.proxy.reservations import RESPONSE_BOUNDS, Reservations
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.testing.outside_values import DIALECT
from sassafrastally.testing.placement_cases import server


class TestReports:
    """An engine whose report is over the bound."""

    async def test_too_large_report_counts_as_a_failed_one(self, small_fleet, monkeypatch):
        """Guards against an engine that grows each entry by its reports and still gets requests.

        The report itself is valid: only its size tells that the engine is in trouble.
        """
        kernel, engine = small_fleet.kernels[0], small_fleet.replicas["engine-1"]
        report = engine._report
        monkeypatch.setattr(engine, "_report", lambda: report() + b" " * 200_000)

        def failed() -> list[str]:
            return [
                record["fields"]["server_id"]
                for record in kernel.events.records()
                if record["name"] == "ReportFailed"
            ]

        ejection = kernel.get("sight", FleetView).outlier_ejection
        await wait_until(lambda: "engine-1" in ejection.suspects(kernel.clock.now_s()), 5.0)
        await trio.sleep(1.5)
        assert failed() == ["engine-1"]
        await small_fleet.call("/note/x", prompt="1000,34")
        assert not engine.seen


class TestOrders:
    """An engine whose response to a reservation is over the bound."""

    async def test_reservation_is_unknown_and_the_attempt_not_run(self, monkeypatch):
        """Guards against a request that waits for, or trusts, a response without an end."""
        given = []

        async def exchange(self, method, target, headers, body, time_limit_s, bounds):
            given.append(bounds)
            raise ResponseTooLarge("over the bound")

        monkeypatch.setattr(CallClient, "exchange", exchange)
        backpressure = SimpleNamespace(
            is_cold=lambda _: False, is_open=lambda _: True, count_request=lambda *_: None
        )
        kernel = Kernel("vm", "here", Clock(), seed=1)
        async with trio.open_nursery() as nursery:
            reservations = Reservations(DIALECT, kernel, None, backpressure, nursery)
            with pytest.raises(AttemptNotRun):
                async with reservations.hold([Holding(server(1), 1000)]):
                    raise AssertionError("reserved")
        assert set(given) == {RESPONSE_BOUNDS}
