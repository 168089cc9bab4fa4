"""Callers that close their sending side, or the whole connection, after a request."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.stand_ins.caller_requests import request_fields, send_request

CANCELLED_S = 0.5
"""Time within which the requests of callers who have left must be cancelled."""

WORK_S = 2.0


class TestHalfClosedCallers:
    """Both ways of closing look alike at the entry, see docs/design/caller-connections.md."""

    async def _begin(self, fleet, http_version: str):
        for name in ("desk-1", "desk-2"):
            fleet.replicas[name].work_s = WORK_S
        connection = await fleet.connect()
        fields = request_fields()
        await send_request(connection, "POST", "/look/x", fields, b"{}", http_version)
        return connection

    @pytest.mark.parametrize("http_version", ["1.0", "1.1"])
    @pytest.mark.parametrize("is_half", [True, False], ids=["half", "whole"])
    @pytest.mark.parametrize("after_s", [0.0, 0.2])
    async def test_request_is_cancelled(self, small_fleet, http_version, is_half, after_s):
        """Guards against servers that go on working for callers who have left."""
        connection = await self._begin(small_fleet, http_version)
        await trio.sleep(after_s)
        if is_half:
            await connection.stream.send_eof()
        else:
            await connection.close()
        kernel = small_fleet.kernels[0]
        with trio.fail_after(CANCELLED_S):
            while not [one for one in kernel.events.records() if one["name"] == "CallerLeft"]:
                await trio.sleep(0.01)
        assert not kernel.get("callers", CallerListener).open_requests
        assert not len(kernel.get("sight", FleetView).ledger)
        assert len(small_fleet.received_requests()) <= 1
        await connection.close()

    async def test_caller_gets_an_end_without_an_answer(self, small_fleet):
        """Pins that nothing that looks like an answer is sent to a caller that may have left."""
        connection = await self._begin(small_fleet, "1.1")
        await trio.sleep(0.2)
        await connection.stream.send_eof()
        with trio.fail_after(CANCELLED_S):
            assert await connection.stream.receive_some() == b""
        await connection.close()
