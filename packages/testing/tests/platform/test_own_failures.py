"""Failures of the entry itself that look like failures of servers."""

from __future__ import annotations

import errno

import pytest
import trio

from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 3


async def test_entry_without_file_descriptors_suspects_no_server(
    autojump_clock, seeded_fleet, monkeypatch
):
    """Guards against servers that are taken for dead, so that requests are refused, since the entry
    had no file descriptors left for a moment."""
    fleet = seeded_fleet
    for number in (1, 2):
        await fleet.add_replica(f"desk-{number}", "desk")
    kernel = await fleet.add_entry()
    await trio.sleep(1.5)
    connections = [await fleet.connect() for _ in range(4)]

    def refuse(*_args, **_kwargs):
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr("trio.socket.socket", refuse)
        statuses = [
            (await exchange_on(one, "POST", "/look/x", request_fields(), b"{}")).status
            for one in connections
        ]
    events = [
        record["name"] for record in kernel.events.records() if record["name"] == "ServerSuspected"
    ]
    after = (await fleet.call("/look/x")).status
    assert (events, after) == ([], 200), statuses
