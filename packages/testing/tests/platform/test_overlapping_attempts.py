"""A silent server and its successor, both of which have the request at once.

Callers of `note` close a stream after a silence of two seconds, so that a successor gets it after
1.3 s; one of a request to `look` gets it after 45 % of its four seconds, 1.8 s.
"""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.answer_progress import GOING_ON_S
from sassafrastally.proxy.attempt import TIMEOUT_DETAIL
from sassafrastally.proxy.attempt_records import SUPERSEDED_DETAIL
from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import attempt_failure_causes, wait_until
from sassafrastally.stand_ins.silence import SilencePlace

STREAM = "1000,340"
EVENT_IDS = list(range(10))
"""IDs of the events of `STREAM`."""

LIMIT_S = 1.3
REQUEST_ID = "silent"
ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250),
    make_route("note3", "streaming", "engines", gapGoalMs=250, maxAttempts=3),
    make_route("look", "idempotent", "desk"),
]
CLOSE_S = 0.1
"""Time by which the close of a connection has reached its server."""


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 5


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry, three engines and two plain servers."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    for number in (1, 2, 3):
        await seeded_fleet.add_replica(f"engine-{number}")
    for number in (1, 2):
        await seeded_fleet.add_replica(f"desk-{number}", "desk")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


class SilentRequest:
    """A request whose first server falls silent."""

    def __init__(self, fleet, nursery, path="/note/x", prompt=STREAM) -> None:
        self.fleet = fleet
        self.answers = []
        self.ended_s = None
        self._caller = trio.CancelScope()
        self._path, self._prompt = path, prompt
        self._nursery = nursery

    async def begin(self, place, part, silence_s):
        """Make the request; return its silent server and the others of the service."""
        for replica in self.fleet.replicas.values():
            replica.silence.place, replica.silence.part_number = place, part
            replica.silence.duration_s, replica.silence.includes_reports = silence_s, False
        self._nursery.start_soon(self._call)
        await wait_until(lambda: bool(self.servers()))
        silent = self.fleet.replicas[self.servers()[0]]
        for replica in self.fleet.replicas.values():
            if replica is not silent:
                replica.silence.place = None
        return silent, [
            replica
            for replica in self.fleet.replicas.values()
            if replica is not silent and replica.service == silent.service
        ]

    async def wait_for_answer(self):
        """Return the answer."""
        await wait_until(lambda: bool(self.answers), 5.0)
        return self.answers[0]

    def leave(self):
        """Close the caller's connection."""
        self._caller.cancel()

    def servers(self):
        """Return the servers that the request has reached, in order."""
        received = [
            (one.at_s, server_id)
            for server_id, replica in self.fleet.replicas.items()
            for one in replica.received_requests
            if one.request_id == REQUEST_ID
        ]
        return [server_id for _, server_id in sorted(received)]

    def working(self):
        """Return the engines that work on a request."""
        engines = [one for one in self.fleet.replicas.values() if one.engine is not None]
        return [one.server_id for one in engines if one.engine.running or one.engine.waiting]

    async def _call(self):
        with self._caller:
            headers = {"Deadline-Ms": "4000"}
            answer = await self.fleet.call(
                self._path, prompt=self._prompt, headers=headers, request_id=REQUEST_ID
            )
            self.answers.append(answer)
            self.ended_s = trio.current_time()


def event_ids(answer):
    """Return the ids of a stream's events, in order."""
    lines = answer.body.splitlines()
    return [int(line.partition(b":")[2]) for line in lines if line.startswith(b"id:")]


def closed_attempts(fleet):
    """Return what the log says about attempts that were closed for others."""
    records = fleet.kernels[0].events.records()
    return [record["fields"] for record in records if record["name"] == "AttemptClosed"]


def in_flight(fleet):
    """Return the number of attempts that the entry counts as in flight."""
    services = fleet.kernels[0].get("path", RequestPath).services
    return len(services.fleet_view.ledger)


class TestStream:
    """Streams of which two servers have the request."""

    @pytest.mark.parametrize("place", [SilencePlace.BEFORE_PART, SilencePlace.INSIDE_PART])
    @pytest.mark.parametrize("part", [0, 3])
    @pytest.mark.parametrize("after_ms", range(0, 140, 7))
    async def test_has_each_event_once_whenever_the_silence_ends(
        self, autojump_clock, fleet, nursery, place, part, after_ms
    ):
        """Guards against a piece that is missing or comes twice since both servers write at about
        the time at which the successor takes over."""
        request = SilentRequest(fleet, nursery)
        for replica in fleet.replicas.values():
            replica.sends_comments = True
        await request.begin(place, part, LIMIT_S + after_ms / 1000)
        answer = await request.wait_for_answer()
        assert (answer.status, answer.is_whole) == (200, True)
        assert event_ids(answer) == EVENT_IDS
        await trio.sleep(CLOSE_S)
        assert request.working() == []
        assert in_flight(fleet) == 0

    async def test_successor_is_closed_once_the_silent_server_goes_on(
        self, autojump_clock, fleet, nursery
    ):
        """Guards against a server that works on for nobody, and against one that is avoided or
        blamed although nothing speaks against it."""
        request = SilentRequest(fleet, nursery)
        silent, (second, _) = await request.begin(SilencePlace.BEFORE_PART, 3, 1.6)
        for replica in fleet.replicas.values():
            if replica is not silent:
                replica.is_unresponsive = True
        answer = await request.wait_for_answer()
        assert event_ids(answer) == EVENT_IDS
        assert len(request.servers()) == 2
        causes = attempt_failure_causes(fleet.kernels[0])
        assert causes == [TIMEOUT_DETAIL, SUPERSEDED_DETAIL]
        assert second.engine.running == 0

    async def test_silent_server_is_closed_once_its_successor_has_gone_on(
        self, autojump_clock, fleet, nursery
    ):
        """Guards against a dead server that keeps its slot and memory until the request ends, and
        against an attempt that is closed for a successor that may still fail."""
        request = SilentRequest(fleet, nursery, prompt="1000,1360")
        silent, _ = await request.begin(SilencePlace.BEFORE_PART, 3, 60.0)
        await wait_until(lambda: len(request.servers()) == 2)
        await trio.sleep(0.2)
        assert silent.server_id in request.working()
        await trio.sleep(GOING_ON_S)
        assert not request.answers
        assert silent.server_id not in request.working()
        assert in_flight(fleet) == 1
        answer = await request.wait_for_answer()
        assert event_ids(answer) == list(range(40))
        (closed,) = closed_attempts(fleet)
        assert (closed["attempt"], closed["events"], closed["closed_by"]) == (1, 3, 2)
        assert closed["closed_by_events"] >= 4
        assert closed["silent_s"] >= LIMIT_S + GOING_ON_S

    @pytest.mark.parametrize("part", [0, 3])
    async def test_caller_that_leaves_ends_both(self, autojump_clock, fleet, nursery, part):
        """Guards against a server that is still at work half a second after its caller left."""
        request = SilentRequest(fleet, nursery)
        _, others = await request.begin(SilencePlace.BEFORE_PART, part, 1.9)
        for replica in others:
            replica.silence.place = SilencePlace.BEFORE_PART
            replica.silence.part_number = 0
        await wait_until(lambda: len(request.servers()) == 2)
        await trio.sleep(0.02)
        assert len(request.working()) == 2
        request.leave()
        await trio.sleep(CLOSE_S)
        assert request.working() == []
        assert in_flight(fleet) == 0
        names = [record["name"] for record in fleet.kernels[0].events.records()]
        assert names.count("CallerLeft") == 1

    async def test_rejected_successor_is_followed_by_another(self, autojump_clock, fleet, nursery):
        """Guards against a request that waits for a dead server although its route allows another
        attempt after the one that was rejected."""
        request = SilentRequest(fleet, nursery, path="/note3/x")
        _, others = await request.begin(SilencePlace.BEFORE_PART, 3, 60.0)
        for replica in others:
            replica.refuses = True
        begin_s = trio.current_time()
        await wait_until(lambda: len(request.servers()) == 2)
        for replica in others:
            replica.refuses = False
        answer = await request.wait_for_answer()
        assert (answer.status, event_ids(answer)) == (200, EVENT_IDS)
        assert len(set(request.servers())) == 3
        assert request.ended_s - begin_s < LIMIT_S + 0.6

    async def test_attempts_of_the_route_arent_exceeded(self, autojump_clock, fleet, nursery):
        """Guards against more attempts than the route allows, one for each check of the silence."""
        request = SilentRequest(fleet, nursery)
        for replica in fleet.replicas.values():
            replica.is_unresponsive = True
        await request.begin(None, 0, 0.0)
        await request.wait_for_answer()
        assert len(request.servers()) == 2

    @pytest.mark.parametrize(("silence_s", "status"), [(1.6, 200), (60.0, 500)])
    async def test_failure_of_the_successor(
        self, autojump_clock, fleet, nursery, monkeypatch, silence_s, status
    ):
        """Guards against a failure that is forwarded although the silent server goes on, and
        against 504 in place of the failure if it doesn't."""
        request = SilentRequest(fleet, nursery)
        _, others = await request.begin(SilencePlace.BEFORE_HEADER, 0, silence_s)
        for replica in others:
            replica.response_status = 500
            monkeypatch.setattr(replica, "_stream", replica._plain)
        answer = await request.wait_for_answer()
        assert (answer.status, answer.is_whole) == (status, True)

    @pytest.mark.parametrize("first_ms", [1290, 1310, 1340, 1400, 1600])
    @pytest.mark.parametrize("second_ms", [30, 300, 900, 1250])
    async def test_servers_that_are_silent_in_turn(
        self, autojump_clock, fleet, nursery, first_ms, second_ms
    ):
        """Guards against a stream that is cut, or has an event twice, since the server that goes on
        after a silence isn't the one that is expected."""
        request = SilentRequest(fleet, nursery, path="/note3/x")
        _, others = await request.begin(SilencePlace.BEFORE_PART, 3, first_ms / 1000)
        for replica in others:
            replica.silence.place, replica.silence.part_number = SilencePlace.BEFORE_PART, 2
            replica.silence.duration_s = second_ms / 1000
        answer = await request.wait_for_answer()
        assert (answer.is_whole, event_ids(answer)) == (True, EVENT_IDS)
        await trio.sleep(CLOSE_S)
        assert (request.working(), in_flight(fleet)) == ([], 0)

    async def test_successor_that_breaks_off_before_an_event(
        self, autojump_clock, fleet, nursery, monkeypatch
    ):
        """Guards against a stream that is cut since its successor sends its header and breaks off,
        although the silent server goes on."""
        request = SilentRequest(fleet, nursery)
        _, others = await request.begin(SilencePlace.BEFORE_PART, 3, 1.6)
        for replica in others:
            replica.sends_comments, replica.breaks_after_events = True, 3
        answer = await request.wait_for_answer()
        assert (answer.is_whole, event_ids(answer)) == (True, EVENT_IDS)


class TestPlainRequest:
    """Requests with one response of which two servers have the request."""

    @pytest.mark.parametrize("after_ms", range(0, 40, 4))
    async def test_has_one_response_whenever_the_silence_ends(
        self, autojump_clock, fleet, nursery, after_ms
    ):
        """Guards against two responses, or none, if both servers answer at the same time."""
        request = SilentRequest(fleet, nursery, "/look/x", None)
        await request.begin(SilencePlace.BEFORE_HEADER, 0, 1.8 + after_ms / 1000)
        answer = await request.wait_for_answer()
        assert (answer.status, answer.is_whole) == (200, True)
        assert in_flight(fleet) == 0

    @pytest.mark.parametrize(
        "fault",
        [
            {"response_status": 500},
            {"loses_responses": True},
            {"breaks_after_bytes": 5},
        ],
    )
    async def test_successor_without_a_whole_response(self, autojump_clock, fleet, nursery, fault):
        """Guards against a request that fails with its successor, within the header or the body of
        its response, although the silent server answers a moment later."""
        request = SilentRequest(fleet, nursery, "/look/x", None)
        _, (second,) = await request.begin(SilencePlace.BEFORE_HEADER, 0, 2.4)
        for name, value in fault.items():
            setattr(second, name, value)
        answer = await request.wait_for_answer()
        assert (answer.status, answer.is_whole) == (200, True)
        assert len(request.servers()) == 2

    async def test_failure_of_the_successor_of_a_dead_server(self, autojump_clock, fleet, nursery):
        """Guards against 504 in place of the failure that the only other server has answered."""
        request = SilentRequest(fleet, nursery, "/look/x", None)
        _, (second,) = await request.begin(SilencePlace.BEFORE_HEADER, 0, 60.0)
        second.response_status = 500
        answer = await request.wait_for_answer()
        assert (answer.status, answer.is_whole) == (500, True)
