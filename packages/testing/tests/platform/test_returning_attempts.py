"""Streams whose servers' runs differ, resumed at a server that had been silent for a while.

Callers close a stream after a silence of two seconds and have four seconds in all. A successor gets
a request after 1.3 s of silence.
"""

from __future__ import annotations

from functools import partial
from itertools import pairwise

import pytest
import trio

from sassafrastally.proxy.connection_pool import ConnectionPool
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.stand_ins.silence import SilencePlace

STREAM = "1000,340"
EVENT_IDS = list(range(10))
"""IDs of the events of `STREAM`."""

REQUEST_ID = "silent"


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 7


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry and three engines, each of which names itself in its events."""
    routes = [make_route("note", "streaming", "engines", gapGoalMs=250)]
    seeded_fleet.configure(make_configuration(2, routes=routes))
    for number in (1, 2, 3):
        replica = await seeded_fleet.add_replica(f"engine-{number}")
        replica._event = partial(own_event, replica.server_id)
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


def own_event(server_id, number, text):
    """Return an event of a server's own run."""
    return f"id: {number}\ndata: {server_id}\n\n".encode()


def fall_silent(replica, part, duration_s):
    """Let a server fall silent before a part of its responses."""
    replica.silence.place, replica.silence.part_number = SilencePlace.BEFORE_PART, part
    replica.silence.duration_s, replica.silence.includes_reports = duration_s, False


def arrivals(fleet):
    """Return the server and the last event id of each attempt, in order."""
    received = [
        (one.at_s, server_id, one.request.headers.get("last-event-id"))
        for server_id, replica in fleet.replicas.items()
        for one in replica.received_requests
        if one.request_id == REQUEST_ID
    ]
    return [(server_id, last_id) for _, server_id, last_id in sorted(received)]


def pieces(answer):
    """Return the id and the server of each event of a stream."""
    events = answer.body.decode().strip().split("\n\n")
    parts = [event.splitlines() for event in events]
    return [(int(lines[0][4:]), lines[1][6:]) for lines in parts]


async def call(fleet, part, silence_s, events):
    """Make a request whose first server is silent for a while, and the others some events in."""
    answers = []
    for replica in fleet.replicas.values():
        fall_silent(replica, part, silence_s)

    async def request():
        headers = {"Deadline-Ms": "4000"}
        answers.append(
            await fleet.call("/note/x", prompt=STREAM, headers=headers, request_id=REQUEST_ID)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(request)
        await wait_until(lambda: bool(arrivals(fleet)))
        first = arrivals(fleet)[0][0]
        for server_id, replica in fleet.replicas.items():
            if server_id != first:
                fall_silent(replica, events, 60.0)
        await wait_until(lambda: len(arrivals(fleet)) > 1)
        fleet.replicas[first].silence.place = None
    return answers[0]


@pytest.mark.parametrize("silence_s", [1.5, 1.8])
@pytest.mark.parametrize("part", [0, 3])
@pytest.mark.parametrize("events", [1, 2, 4])
class TestReturn:
    """The successor falls silent for good after its first events; the first server has gone on."""

    async def test_resumes_the_stream(self, autojump_clock, fleet, silence_s, part, events):
        """Guards against a stream that is cut since all servers of its route have got it, although
        the first one answers again, with a run that doesn't continue what the caller has."""
        answer = await call(fleet, part, silence_s, events)
        assert (answer.status, answer.is_whole) == (200, True)
        assert [number for number, _ in pieces(answer)] == EVENT_IDS
        assert len({server_id for server_id, _ in arrivals(fleet)}) == 2

    async def test_joins_no_pieces_of_two_runs(
        self, autojump_clock, fleet, silence_s, part, events
    ):
        """Guards against events of a run that wasn't asked to go on where the other one ended."""
        answer = await call(fleet, part, silence_s, events)
        got = pieces(answer)
        for (number, before), (_, after) in pairwise(got):
            if before != after:
                assert (after, str(number)) in arrivals(fleet)


class TestFailedLeader:
    """The successor breaks off after some events, while the first server is still silent; that one
    goes on with a run that doesn't continue what the caller has."""

    @pytest.mark.parametrize("silence_s", [1.5, 1.8, 2.4])
    @pytest.mark.parametrize("part", [0, 3])
    @pytest.mark.parametrize("events", [1, 2, 4])
    async def test_is_resumed(self, autojump_clock, fleet, silence_s, part, events):
        """Guards against a stream that is cut since the only open attempt is closed, as its events
        differ from those that the caller has got: its server must get the request again."""
        answers = []
        for replica in fleet.replicas.values():
            fall_silent(replica, part, silence_s)

        async def request():
            headers = {"Deadline-Ms": "4000"}
            answers.append(
                await fleet.call("/note/x", prompt=STREAM, headers=headers, request_id=REQUEST_ID)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request)
            await wait_until(lambda: bool(arrivals(fleet)))
            first = arrivals(fleet)[0][0]
            for server_id, replica in fleet.replicas.items():
                if server_id != first:
                    replica.silence.place = None
                    replica.breaks_after_events = part + events
            await wait_until(lambda: len(arrivals(fleet)) > 1)
            fleet.replicas[first].silence.place = None
        assert (answers[0].status, answers[0].is_whole) == (200, True)
        got = pieces(answers[0])
        assert [number for number, _ in got] == EVENT_IDS
        for (number, before), (_, after) in pairwise(got):
            if before != after:
                assert (after, str(number)) in arrivals(fleet)


class TestUnsentReturn:
    """A server that may resume the stream gets nothing at first, as the other one goes on."""

    @pytest.mark.parametrize("connect_s", [0.0, 0.2])
    async def test_leaves_the_server_for_later(self, autojump_clock, fleet, monkeypatch, connect_s):
        """Guards against a stream that is cut when its server breaks off, since the only server
        that may resume it was struck off for an attempt that was closed before it was sent."""
        answers = []
        for replica in fleet.replicas.values():
            fall_silent(replica, 0, 1.5)
        connect = ConnectionPool.open

        async def connect_late(pool, server):
            if len(arrivals(fleet)) == 2:
                await trio.sleep(connect_s)
            return await connect(pool, server)

        monkeypatch.setattr(ConnectionPool, "open", connect_late)
        monkeypatch.setattr("sassafrastally.proxy.connection_pool.IDLE_TIME_S", 0.0)

        async def request():
            headers = {"Deadline-Ms": "8000"}
            answers.append(
                await fleet.call("/note/x", prompt=STREAM, headers=headers, request_id=REQUEST_ID)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request)
            await wait_until(lambda: bool(arrivals(fleet)))
            first = arrivals(fleet)[0][0]
            for server_id, replica in fleet.replicas.items():
                if server_id != first:
                    fall_silent(replica, 2, 1.4)
                    replica.breaks_after_events = 5
            await wait_until(lambda: len(arrivals(fleet)) > 1)
            fleet.replicas[first].silence.place = None
        (answer,) = answers
        assert [server_id for server_id, _ in arrivals(fleet)][::2] == [first, first]
        assert (answer.status, answer.is_whole) == (200, True)
        assert [number for number, _ in pieces(answer)] == EVENT_IDS


class TestServersLeft:
    """A server that resumes the stream breaks off, and the route allows one more server."""

    @pytest.mark.parametrize("resumes", [False, True])
    async def test_returns_dont_count_as_servers(self, autojump_clock, fleet, resumes):
        """Guards against a stream that is cut although its route allows a third server, since the
        first one, which resumed it, was counted twice."""
        routes = [make_route("note3", "streaming", "engines", gapGoalMs=250, maxAttempts=3)]
        fleet.configure(make_configuration(3, routes=routes))
        third = fleet.replicas["engine-3"]
        if resumes:
            fleet.store.remove("servers/engine-3")
        await trio.sleep(1.5)
        for replica in fleet.replicas.values():
            fall_silent(replica, 0, 1.5)
        answers = []

        async def request():
            headers = {"Deadline-Ms": "8000"}
            answers.append(
                await fleet.call("/note3/x", prompt=STREAM, headers=headers, request_id=REQUEST_ID)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request)
            await wait_until(lambda: bool(arrivals(fleet)))
            first = arrivals(fleet)[0][0]
            for server_id, replica in fleet.replicas.items():
                replica.breaks_after_events = 8
                if server_id != first:
                    fall_silent(replica, 4, 0.4)
                    replica.breaks_after_events = 6
            third.silence.place, third.breaks_after_events = None, -1
            await wait_until(lambda: len(arrivals(fleet)) > 1)
            fleet.replicas[first].silence.place = None
            if resumes:
                await wait_until(lambda: len(arrivals(fleet)) > 2)
                fleet.store.put("servers/engine-3", third.entry())
        (answer,) = answers
        assert (answer.status, answer.is_whole) == (200, True)
        assert [number for number, _ in pieces(answer)] == EVENT_IDS
