"""An engine's failure that its caller still reads when the time limit of its request passes."""

from __future__ import annotations

import h11
import pytest
import trio

from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.silence import SilencePlace

LIMIT_S = 2.0
READY_S = LIMIT_S - 0.1

PIECE_BYTES = 16
PIECE_S = 0.2
"""A caller that reads slowly takes so many bytes in this time."""

ROUTES = [make_route("note", "streaming", "engines", gapGoalMs=1000, maxAttempts=1)]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 11


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry with one engine."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    await seeded_fleet.add_replica("engine-1")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


@pytest.mark.parametrize("status", [404, 500])
async def test_is_sent_as_a_whole(autojump_clock, fleet, monkeypatch, status):
    """Guards against a complete response that breaks off 0.15 s after the limit, although its
    caller is still reading it."""
    engine = fleet.replicas["engine-1"]
    engine.response_status = status
    monkeypatch.setattr(engine, "_stream", engine._plain)
    engine.silence.place, engine.silence.duration_s = SilencePlace.BEFORE_HEADER, READY_S
    engine.silence.includes_reports = False
    send_some = HttpStream.send_some

    async def send_slowly(connection, data):
        if connection.http.our_role is h11.CLIENT:
            return await send_some(connection, data)
        await trio.sleep(PIECE_S)
        with trio.CancelScope(shield=True):
            return await send_some(connection, data[:PIECE_BYTES])

    monkeypatch.setattr(HttpStream, "send_some", send_slowly)
    answer = await fleet.call(
        "/note/x", prompt="1000,340", headers={"Deadline-Ms": str(int(LIMIT_S * 1000))}
    )
    assert (answer.status, answer.is_whole) == (status, True)


@pytest.mark.parametrize("write_s", [0.0, 0.04])
async def test_whole_stream_is_ended(autojump_clock, fleet, monkeypatch, write_s):
    """Guards against a stream without its end although it had arrived as a whole before the limit
    and its caller took the last event, whose write had begun before it, 0.04 s after it."""
    engine = fleet.replicas["engine-1"]
    engine.silence.place, engine.silence.part_number = SilencePlace.BEFORE_PART, 9
    engine.silence.before_limit_s, engine.silence.includes_reports = 0.03, False
    send_some = HttpStream.send_some

    async def send_last_late(connection, data):
        if connection.http.our_role is h11.SERVER and b"id: 9\n" in data:
            await trio.sleep(write_s)
        return await send_some(connection, data)

    monkeypatch.setattr(HttpStream, "send_some", send_last_late)
    answer = await fleet.call(
        "/note/x", prompt="1000,340", headers={"Deadline-Ms": str(int(LIMIT_S * 1000))}
    )
    assert b"id: 9\n" in answer.body
    assert answer.is_whole
