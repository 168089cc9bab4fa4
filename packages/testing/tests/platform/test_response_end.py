"""How responses of backend servers end, and what the caller is told of it."""

from __future__ import annotations

import json
from itertools import product

import pytest
import trio

from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.documents import make_configuration, make_route

BREAKS = [ConnectionEnd.CLOSE, ConnectionEnd.RESET]
EVENTS = 10
PROMPT = f"1000,{34 * EVENTS}"


def event_ids(body: bytes) -> list[int]:
    """Return the ids of a stream's events, in order."""
    return [int(line[3:]) for line in body.decode().splitlines() if line.startswith("id:")]


async def configure(fleet, *routes) -> None:
    """Put routes in force."""
    fleet.configure(make_configuration(2, routes=routes))
    await trio.sleep(0.1)


def break_streams(fleet, framing, how, names=("engine-1", "engine-2")) -> None:
    """Let engines break off each stream inside its fifth event."""
    for name in names:
        replica = fleet.replicas[name]
        replica.framing, replica.breaks_by, replica.breaks_after_events = framing, how, 4


@pytest.mark.parametrize("framing", BodyFraming)
class TestWholeResponses:
    """Responses that aren't broken off."""

    async def test_stream_stays_whole(self, small_fleet, framing):
        for replica in small_fleet.replicas.values():
            replica.framing = framing
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert answer.is_whole
        assert event_ids(answer.body) == list(range(EVENTS))
        assert len(small_fleet.received_requests()) == 1

    async def test_plain_response_stays_whole(self, small_fleet, framing):
        for replica in small_fleet.replicas.values():
            replica.framing = framing
        answer = await small_fleet.call("/book/x")
        assert answer.is_whole
        assert json.loads(answer.body) == {"target": "/book/x", "length": 2}


@pytest.mark.parametrize(("framing", "how"), list(product(BodyFraming, BREAKS)))
class TestStreamsBrokenInsideAnEvent:
    """Streams that a backend server breaks off inside an event."""

    async def test_is_not_forwarded_as_complete(self, small_fleet, framing, how):
        """Guards against taking the end of a connection for the end of a stream's last event.

        Nothing can be resumed. The caller must see that the response is broken, and no part of the
        event that was broken off.
        """
        await configure(
            small_fleet, make_route("note", "streaming", "engines", gapGoalMs=250, resumable=False)
        )
        break_streams(small_fleet, framing, how)
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert not answer.is_whole
        assert event_ids(answer.body) == [0, 1, 2, 3]
        assert answer.body.endswith(b"\n\n")

    async def test_is_resumed_at_another_engine(self, small_fleet, framing, how):
        """Guards against ending a stream for which another engine still has the rest."""
        break_streams(small_fleet, framing, how, ["engine-1"])
        for _ in range(4):
            answer = await small_fleet.call("/note/x", prompt=PROMPT)
            assert answer.is_whole
            assert event_ids(answer.body) == list(range(EVENTS))

    async def test_is_not_complete_on_its_last_attempt(self, small_fleet, framing, how):
        """Guards against completing a response because no attempt is left."""
        break_streams(small_fleet, framing, how)
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert not answer.is_whole
        assert event_ids(answer.body) == [0, 1, 2, 3]
