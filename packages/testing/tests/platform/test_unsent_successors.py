"""Successors closed before they are sent, and failures whose successors don't succeed."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from sassafrastally.proxy.attempt import AttemptSender
from sassafrastally.proxy.connection_pool import ConnectionPool
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.stand_ins.silence import SilencePlace

STREAM = "1000,340"
EVENT_IDS = list(range(10))
"""IDs of the events of `STREAM`."""

LIMIT_S = 1.3
"""Silence after which a successor begins."""

ROUTES = [make_route("note", "streaming", "engines", gapGoalMs=250)]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 5


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry and three engines."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    for number in (1, 2, 3):
        await seeded_fleet.add_replica(f"engine-{number}")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


def receivers(fleet):
    """Return the engines that got the request, in order."""
    received = [
        (one.at_s, server_id)
        for server_id, replica in fleet.replicas.items()
        for one in replica.received_requests
    ]
    return [fleet.replicas[server_id] for _, server_id in sorted(received)]


async def call(fleet, spoil):
    """Make a request; `spoil` changes the engine that got it first and the others."""
    answers = []

    async def send():
        answers.append(await fleet.call("/note/x", prompt=STREAM, headers={"Deadline-Ms": "6000"}))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await wait_until(lambda: bool(receivers(fleet)))
        first = receivers(fleet)[0]
        spoil(first, [one for one in fleet.replicas.values() if one is not first])
    return answers[0]


def event_ids(answer):
    """Return the ids of a stream's events, in order."""
    lines = answer.body.splitlines()
    return [int(line.partition(b":")[2]) for line in lines if line.startswith(b"id:")]


class TestUnsentSuccessor:
    """A successor that is closed while its connection is being opened."""

    @pytest.mark.parametrize("connect_s", [0.0, 0.2])
    async def test_uses_up_no_attempt(self, autojump_clock, fleet, monkeypatch, connect_s):
        """Guards against a stream that is cut when its server breaks off, although the only other
        attempt was closed before anything was sent."""
        for replica in fleet.replicas.values():
            replica.silence.place, replica.silence.part_number = SilencePlace.BEFORE_PART, 3
            replica.silence.duration_s = LIMIT_S + 0.05
            replica.silence.includes_reports = False
        connect = ConnectionPool.open

        async def connect_late(pool, server):
            if receivers(fleet) and server.server_id != receivers(fleet)[0].server_id:
                await trio.sleep(connect_s)
            return await connect(pool, server)

        monkeypatch.setattr(ConnectionPool, "open", connect_late)

        def spoil(first, others):
            first.breaks_after_events = 5
            for one in others:
                one.silence.place = None

        answer = await call(fleet, spoil)
        assert (answer.is_whole, event_ids(answer)) == (True, EVENT_IDS)
        assert len(receivers(fleet)) == 2


def refuse(replica):
    """Let an engine reject requests without running them."""
    replica.refuses = True


def hang(replica):
    """Let an engine answer nothing."""
    replica.is_unresponsive = True


def lose(replica):
    """Let an engine close connections in place of responses."""
    replica.loses_responses = True


class TestFailureWithoutOthers:
    """An engine's failure whose successor doesn't succeed."""

    @pytest.mark.parametrize("spoil_other", [refuse, hang, lose])
    async def test_is_forwarded(self, autojump_clock, fleet, monkeypatch, spoil_other):
        """Guards against a failure of this entry in place of the one that an engine has
        answered."""
        failed = []
        for replica in fleet.replicas.values():
            replica.response_status = 500
            monkeypatch.setattr(replica, "_stream", replica._plain)
            replica.silence.place = SilencePlace.BEFORE_HEADER
            replica.silence.duration_s = 0.1
            replica.silence.includes_reports = False

        def spoil(first, others):
            failed.append(first)
            for one in others:
                spoil_other(one)

        answer = await call(fleet, spoil)
        assert receivers(fleet)[0] is failed[0]
        assert answer.status == 500


class TestFailureBesideHeader:
    """An engine's failure whose successor sends a header and no event."""

    @pytest.mark.parametrize("events", [0, 10])
    async def test_is_forwarded_unless_an_event_comes(
        self, autojump_clock, fleet, monkeypatch, events
    ):
        """Guards against a connection that is closed after a header, although an engine's complete
        failure was kept for the case that no other attempt does better."""

        def spoil(first, others):
            first.response_status = 500
            monkeypatch.setattr(first, "_stream", first._plain)
            for one in others:
                one.breaks_after_events = events

        send_attempt = AttemptSender.send

        @asynccontextmanager
        async def send(sender, request, terms, **options):
            if not sent:
                sent.append(terms.server.server_id)
                first = fleet.replicas[terms.server.server_id]
                spoil(first, [one for one in fleet.replicas.values() if one is not first])
            async with send_attempt(sender, request, terms, **options) as answer:
                yield answer

        sent = []
        monkeypatch.setattr(AttemptSender, "send", send)
        answer = await fleet.call("/note/x", prompt=STREAM, headers={"Deadline-Ms": "6000"})
        assert len(receivers(fleet)) == 2
        assert (answer.status, answer.is_whole) == (200 if events else 500, True)
