"""Connections of an entry that can't accept more for lack of descriptors."""

from __future__ import annotations

import trio

from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields

SENT_AFTER_S = 0.1


class TestShortage:
    """Each connection takes a descriptor for which others wait."""

    async def test_ends_kept_connections_but_not_new_ones(self, small_fleet, monkeypatch):
        """Guards against a new connection that is closed while its first request is on its way, and
        against kept ones that keep out others for as long as they may be idle."""
        monkeypatch.setattr(CallerListener, "_lacks_descriptors", True)
        connection = await small_fleet.connect()
        await trio.sleep(SENT_AFTER_S)
        answer = await exchange_on(connection, "GET", "/look/x", request_fields(), b"")
        assert answer.status == 200
        with trio.fail_after(1.0):
            assert await connection.stream.receive_some() == b""
        await connection.close()
