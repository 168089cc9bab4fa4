"""Limits of requests that change while callers' connections are open."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.stand_ins.caller_requests import (
    encode_request,
    exchange_on,
    read_response,
    request_fields,
)
from sassafrastally.stand_ins.documents import make_configuration
from sassafrastally.stand_ins.platform_fleet import wait_until

PIECE_BYTES = 1000


class TestHeaderBound:
    """The bound of headers, on a connection that was opened under another one."""

    FIELD_BYTES = 9000

    async def use_after_change(self, fleet, before_bytes: int, after_bytes: int):
        """Return the response to a long header in pieces, on a connection opened before."""
        document = make_configuration(2)
        document["limits"]["maxHeaderBytes"] = before_bytes
        await self.configure(fleet, document)
        connection = await fleet.connect()
        await exchange_on(connection, "POST", "/look/x", request_fields(), b"{}")
        connection.http.start_next_cycle()
        document = make_configuration(3)
        document["limits"]["maxHeaderBytes"] = after_bytes
        await self.configure(fleet, document)
        fields = request_fields({"X-Long": "x" * self.FIELD_BYTES})
        data = encode_request(connection, "POST", "/look/x", fields, b"{}")
        for begin in range(0, len(data), PIECE_BYTES):
            await connection.send_bytes(data[begin : begin + PIECE_BYTES])
            await trio.sleep(0.001)
        response = await read_response(connection)
        await connection.close()
        return response

    async def configure(self, fleet, document) -> None:
        """Write a configuration and wait until it is in force."""
        state = fleet.kernels[0].get("beliefs", ClusterState)
        fleet.configure(document)
        await wait_until(lambda: state.configuration_version == document["version"])

    @pytest.mark.parametrize(("before_bytes", "after_bytes"), [(1000, 16_384), (16_384, 1000)])
    async def test_is_that_in_force(self, small_fleet, before_bytes, after_bytes):
        """Guards against 431 by the bound of an older configuration for a header in pieces, and
        against headers that it alone allows."""
        response = await self.use_after_change(small_fleet, before_bytes, after_bytes)
        assert response.status == (200 if after_bytes > self.FIELD_BYTES else 431)
