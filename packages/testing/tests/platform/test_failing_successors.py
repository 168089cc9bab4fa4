"""Successors of silent servers that begin to answer and then fail.

Callers close a stream after a silence of two seconds and have four seconds in all. A successor gets
a request after 1.3 s of silence and sends its first event some milliseconds later.
"""

from __future__ import annotations

from contextlib import aclosing
from functools import partial

import pytest
import trio

from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import attempt_failure_causes, wait_until
from sassafrastally.stand_ins.silence import SilencePlace

STREAM = "1000,340"
EVENT_IDS = list(range(10))
"""IDs of the events of `STREAM`."""

REQUEST_ID = "silent"
ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250),
    make_route("note3", "streaming", "engines", gapGoalMs=250, maxAttempts=3),
]
CLOSE_S = 0.1
"""Time by which the close of a connection has reached its server."""


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 7


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry and three engines."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    for number in (1, 2, 3):
        await seeded_fleet.add_replica(f"engine-{number}")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


def fall_silent(replica, part, duration_s):
    """Let a server fall silent before a part of its responses."""
    replica.silence.place, replica.silence.part_number = SilencePlace.BEFORE_PART, part
    replica.silence.duration_s, replica.silence.includes_reports = duration_s, False


def crash(replica, part):
    """Let a server crash before a part of its next response."""
    run = replica.engine.run

    async def run_until_crash(*arguments):
        sent = 0
        async with aclosing(run(*arguments)) as numbers:
            async for number in numbers:
                if sent == part:
                    replica.crash()
                    await trio.sleep_forever()
                sent += 1
                yield number

    replica.engine.run = run_until_crash


def stay_sound(replica, part):
    """Let a server go on."""


FAULTS = {
    "silent": partial(fall_silent, duration_s=60.0),
    "crash": crash,
    "pause": partial(fall_silent, duration_s=1.6),
}


def reached(fleet):
    """Return the servers that the request has reached, in order."""
    received = [
        (one.at_s, server_id)
        for server_id, replica in fleet.replicas.items()
        for one in replica.received_requests
        if one.request_id == REQUEST_ID
    ]
    return [server_id for _, server_id in sorted(received)]


async def call_silent(fleet, path, part, silence_s, spoil, spoils_all=True):
    """Make a request whose first server falls silent before a part of its response and then goes
    on; `spoil` changes the others then, or only the one that gets it next."""
    answers = []
    for replica in fleet.replicas.values():
        fall_silent(replica, part, silence_s)

    async def call():
        headers = {"Deadline-Ms": "4000"}
        answers.append(
            await fleet.call(path, prompt=STREAM, headers=headers, request_id=REQUEST_ID)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await wait_until(lambda: bool(reached(fleet)))
        first = reached(fleet)[0]
        others = [one for one in fleet.replicas.values() if one.server_id != first]
        for replica in others:
            replica.silence.place = None
        if spoils_all:
            for replica in others:
                spoil(replica)
        else:
            spoil_next(others, spoil)
    return answers[0]


def spoil_next(replicas, spoil):
    """Spoil only the server that runs a request first."""
    handlers = {replica: replica._stream for replica in replicas}

    async def spoil_and_run(replica, *arguments):
        for one in replicas:
            one._stream = handlers[one]
        spoil(replica)
        await handlers[replica](*arguments)

    for replica in replicas:
        replica._stream = partial(spoil_and_run, replica)


def event_ids(answer):
    """Return the ids of a stream's events, in order."""
    lines = answer.body.splitlines()
    return [int(line.partition(b":")[2]) for line in lines if line.startswith(b"id:")]


def in_flight(fleet):
    """Return the number of attempts that the entry counts as in flight."""
    services = fleet.kernels[0].get("path", RequestPath).services
    return len(services.fleet_view.ledger)


def working(fleet):
    """Return the engines that work on a request."""
    engines = [one for one in fleet.replicas.values() if not one.has_crashed.is_set()]
    return [one.server_id for one in engines if one.engine.running or one.engine.waiting]


class TestFailingSuccessor:
    """The silent server goes on, and its successor fails after its first events."""

    @pytest.mark.parametrize("path", ["/note/x", "/note3/x"])
    @pytest.mark.parametrize("silence_s", [1.5, 1.8])
    @pytest.mark.parametrize("part", [0, 3])
    @pytest.mark.parametrize("events", [1, 2, 4])
    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("spoils_all", [False, True], ids=["successor", "all"])
    async def test_costs_no_caller_its_answer(
        self, autojump_clock, fleet, path, silence_s, part, events, fault, spoils_all
    ):
        """Guards against a stream that is cut since its silent server was given up for a successor
        that had begun, but didn't end well."""
        spoil = partial(FAULTS[fault], part=events)
        answer = await call_silent(fleet, path, part, silence_s, spoil, spoils_all)
        assert (answer.status, answer.is_whole, event_ids(answer)) == (200, True, EVENT_IDS)
        await trio.sleep(CLOSE_S)
        assert (working(fleet), in_flight(fleet)) == ([], 0)

    @pytest.mark.parametrize("path", ["/note/x", "/note3/x"])
    @pytest.mark.parametrize("silence_s", [1.32, 1.4, 1.5, 1.8, 60.0])
    @pytest.mark.parametrize("part", [0, 3])
    async def test_sound_successor_answers(self, autojump_clock, fleet, path, silence_s, part):
        """Guards against a stream with events of two servers twice or out of order."""
        answer = await call_silent(fleet, path, part, silence_s, partial(stay_sound, part=0))
        assert (answer.status, answer.is_whole, event_ids(answer)) == (200, True, EVENT_IDS)
        await trio.sleep(CLOSE_S)
        assert (working(fleet), in_flight(fleet)) == ([], 0)

    @pytest.mark.parametrize("after_ms", range(0, 140, 7))
    async def test_whole_response_wins(self, autojump_clock, fleet, after_ms):
        """Guards against a stream that is cut although all of it has arrived from the server that
        was silent: its successor's next event came at about the same time, and no other one."""
        spoil = partial(fall_silent, part=1, duration_s=60.0)
        answer = await call_silent(fleet, "/note/x", 3, 1.3 + after_ms / 1000, spoil)
        assert (answer.status, answer.is_whole, event_ids(answer)) == (200, True, EVENT_IDS)


class TestLog:
    """What the log tells about a server that was silent."""

    async def test_names_the_end_of_an_attempt_that_was_silent(self, autojump_clock, fleet):
        """Guards against a server whose crash can't be seen in the log, as its silence was logged
        before: the successor answers, and the first server crashes meanwhile."""
        for replica in fleet.replicas.values():
            fall_silent(replica, 3, 60.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(fleet.call, "/note/x", prompt="1000,1360", request_id=REQUEST_ID)
            )
            await wait_until(lambda: bool(reached(fleet)))
            first = fleet.replicas[reached(fleet)[0]]
            for replica in fleet.replicas.values():
                if replica is not first:
                    replica.silence.place = None
            await wait_until(lambda: len(reached(fleet)) == 2)
            await trio.sleep(0.1)
            first.crash()
        records = fleet.kernels[0].events.records()
        (broken,) = [one["fields"] for one in records if one["name"] == "AttemptBroken"]
        assert (broken["server_id"], broken["attempt"], broken["events"]) == (first.server_id, 1, 3)
        assert "interrupted" in broken["cause"] or "closed" in broken["cause"]
        assert len(attempt_failure_causes(fleet.kernels[0])) == 1
