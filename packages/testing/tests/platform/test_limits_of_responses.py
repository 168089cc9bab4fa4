"""Responses around the time limit of their request, beyond those in `test_time_limits`."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.connection_pool import ConnectionPool
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.model import BackendServer
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.documents import make_configuration, make_route

LIMIT_S = 2.0
"""Time that callers wait."""

ROUTES = [
    make_route("look", "idempotent", "desk", timeoutMs=15_000),
    make_route("book", "non_idempotent", "desk", maxAttempts=1, timeoutMs=15_000),
    make_route("note", "streaming", "engines", gapGoalMs=5000, goalMs=8000, timeoutMs=15_000),
]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 11


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry, an engine and a plain server."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    await seeded_fleet.add_replica("engine-1")
    await seeded_fleet.add_replica("desk-1", "desk")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


class TestSending:
    """What is sent to servers around the limit."""

    @pytest.mark.parametrize(("path", "prompt"), [("/book/x", None), ("/note/x", "1000,34")])
    async def test_ends_with_the_limit(self, autojump_clock, fleet, monkeypatch, path, prompt):
        """Guards against a request that is sent to a server after its limit: the entry doesn't run
        while the connection is opened, and sends in the time in which ready answers are read."""
        open_connection = ConnectionPool.open

        async def open_late(pool: ConnectionPool, server: BackendServer) -> HttpStream:
            connection = await open_connection(pool, server)
            autojump_clock.jump(LIMIT_S + 0.1)
            await trio.lowlevel.checkpoint()
            return connection

        caller = await fleet.connect()
        monkeypatch.setattr(ConnectionPool, "open", open_late)
        fields = request_fields(prompt=prompt, time_left_s=LIMIT_S)
        answer = await exchange_on(caller, "POST", path, fields, b"{}")
        await caller.close()
        await trio.sleep(0.1)
        assert not fleet.received_requests()
        assert answer.status == 503
        assert b"not-sent-in-time" in answer.body
