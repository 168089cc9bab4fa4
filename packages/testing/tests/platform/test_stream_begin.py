"""Streams whose engine sends the header of its response long before the first event."""

from __future__ import annotations

import json

import h11
import pytest
import trio

from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.stand_ins.caller_requests import request_fields, send_request
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.silence import SilencePlace

LIMIT_S = 2.0
"""Time that callers wait."""

COMMENT_S = 0.1
"""Time in which a comment of an idle engine has reached its caller."""

ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=1000, maxAttempts=1),
    make_route("once", "streaming", "engines", gapGoalMs=1000, resumable=False),
]


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


async def call(fleet, path="/note/x"):
    """Make a request with a limit of two seconds."""
    headers = {"Deadline-Ms": str(int(LIMIT_S * 1000))}
    return await fleet.call(path, prompt="1000,340", headers=headers)


class TestHeader:
    """When a caller gets the header of a stream."""

    @pytest.mark.parametrize("path", ["/note/x", "/once/x"])
    async def test_waits_for_the_first_event(self, autojump_clock, fleet, path):
        """Guards against a success that is cut before anything came, in place of 504 and its
        reason: the limit passes between an engine's header and its first event."""
        silence = fleet.replicas["engine-1"].silence
        silence.place, silence.duration_s = SilencePlace.BEFORE_PART, 60.0
        silence.includes_reports = False
        answer = await call(fleet, path)
        assert (answer.status, answer.is_whole) == (504, True)
        assert "time limit" in json.loads(answer.body)["detail"]

    async def test_is_none_of_an_engine_that_breaks_off_at_once(self, autojump_clock, fleet):
        """Guards against a success that is cut, in place of 502 and its reason: the engine breaks
        off after its header."""
        fleet.replicas["engine-1"].breaks_after_events = 0
        answer = await call(fleet)
        assert (answer.status, answer.is_whole) == (502, True)

    async def test_comes_with_the_first_comment(self, autojump_clock, fleet):
        """Guards against a caller that hears nothing of an engine which keeps it waiting with a
        comment."""
        engine = fleet.replicas["engine-1"]
        engine.sends_comments = True
        engine.silence.place, engine.silence.part_number = SilencePlace.BEFORE_PART, 1
        engine.silence.duration_s, engine.silence.includes_reports = 1.0, False
        caller = await fleet.connect()
        fields = request_fields(prompt="1000,340", time_left_s=LIMIT_S)
        with trio.fail_after(COMMENT_S):
            await send_request(caller, "POST", "/note/x", fields, b"{}")
            response = await caller.receive()
            comment = await caller.receive()
        assert (response.status_code, bytes(comment.data)) == (200, b": accepted\n\n")
        await caller.close()

    async def test_is_written_together_with_the_first_event(
        self, autojump_clock, fleet, monkeypatch
    ):
        """Guards against a limit that passes between two writes, so that the caller gets a header
        and nothing else."""
        writes = []
        send_some = HttpStream.send_some

        async def record_write(connection, data):
            if connection.http.our_role is h11.SERVER:
                writes.append(data)
            return await send_some(connection, data)

        monkeypatch.setattr(HttpStream, "send_some", record_write)
        answer = await call(fleet)
        assert answer.is_whole
        first = next(data for data in writes if b"200" in data[:20])
        assert b"id: 0" in first
