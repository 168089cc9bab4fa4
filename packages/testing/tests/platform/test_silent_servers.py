"""Servers that fall silent for a while and go on: their answers reach the callers.

Callers of `note` close a stream after a silence of two seconds. An attempt may be given up after
65 % of that, 1.3 s, and one of a request to `look` after 45 % of its four seconds, 1.8 s.
"""

from __future__ import annotations

from functools import partial

import pytest
import trio

from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.caller_requests import ReceivedResponse
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import (
    PlatformFleet,
    attempt_failure_causes,
    wait_until,
)
from sassafrastally.stand_ins.silence import SilencePlace

STREAM = "1000,340"
"""A stream of ten events, after a prompt that takes few milliseconds."""

STREAM_SILENCE_S = 1.6
PLAIN_SILENCE_S = 2.4
"""Longer than an attempt is given, and shorter than the caller waits."""

DEAD_S = 60.0

LINK_S = 0.02
"""Most that requests need to the server at which they arrive."""

LAST_EVENT_S = 0.25
"""Time by which the last event before the silence has come."""

STREAM_PLACES = [
    (SilencePlace.BEFORE_HEADER, 0),
    (SilencePlace.BEFORE_PART, 0),
    (SilencePlace.BEFORE_PART, 3),
    (SilencePlace.INSIDE_PART, 3),
]
PLAIN_PLACES = [*STREAM_PLACES[:2], (SilencePlace.INSIDE_PART, 0)]

ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250),
    make_route("look", "idempotent", "desk"),
    make_route("book", "non_idempotent", "desk", maxAttempts=2),
]

CASES = [
    *(("/note/x", STREAM, *place) for place in STREAM_PLACES),
    *(("/look/x", None, *place) for place in PLAIN_PLACES),
]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 3


@pytest.fixture
async def fleet_of_two(autojump_clock, seeded_fleet):
    """One entry, two engines and two plain servers."""
    fleet = seeded_fleet
    fleet.configure(make_configuration(2, routes=ROUTES))
    for number in (1, 2):
        await fleet.add_replica(f"engine-{number}")
        await fleet.add_replica(f"desk-{number}", "desk")
    await fleet.add_entry()
    await trio.sleep(1.5)
    return fleet


class Silences:
    """Lets servers of a fleet fall silent during one request."""

    REQUEST_ID = "silent"

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet

    def begin(self, place: SilencePlace, part: int, duration_s: float, *, servers: int = 1) -> None:
        """Let the servers of each service that get the request first stop once."""
        for replica in self._fleet.replicas.values():
            replica.silence.place, replica.silence.part_number = place, part
            replica.silence.duration_s = duration_s
            replica.silence.includes_reports = False
        self._fleet_servers = servers

    async def call(self, path: str, prompt: str | None) -> ReceivedResponse:
        """Make the request; only the first servers that get it are silent."""
        answers: list[ReceivedResponse] = []

        async def call() -> None:
            headers = {"Deadline-Ms": "4000"}
            request = partial(self._fleet.call, headers=headers, request_id=self.REQUEST_ID)
            answers.append(await request(path, prompt=prompt))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: len(self.servers()) == self._fleet_servers, 3.0)
            for server_id, replica in self._fleet.replicas.items():
                if server_id not in self.servers():
                    replica.silence.place = None
        return answers[0]

    def servers(self) -> list[str]:
        """Return the servers that the request has reached."""
        return [
            server_id
            for server_id, replica in self._fleet.replicas.items()
            for received in replica.received_requests
            if received.request_id == self.REQUEST_ID
        ]


def silence_of(path: str) -> float:
    """Return a silence after which an attempt may have been given up."""
    return STREAM_SILENCE_S if path.startswith("/note") else PLAIN_SILENCE_S


async def spend_budget(fleet: PlatformFleet) -> None:
    """Use up the retry budget of the entry."""
    kernel = fleet.kernels[0]
    budget = kernel.get("path", RequestPath).services.budget
    for service in ("engines", "desk"):
        while budget.try_spend(service, 1, kernel.clock.now_s()):
            pass


async def remove_second_servers(fleet: PlatformFleet) -> None:
    """Remove all servers of each service but one."""
    for server_id in ("engine-2", "desk-2"):
        fleet.store.remove(f"servers/{server_id}")
    await trio.sleep(0.5)


async def pause_second_servers(fleet: PlatformFleet) -> None:
    """Let all servers of each service but one ask for a pause."""
    for replica in fleet.replicas.values():
        replica.refuses = True
    for server_id in ("engine-2", "desk-2"):
        fleet.replicas[server_id].cool_down_s = 30.0
    await fleet.call("/note/x", prompt=STREAM)
    await fleet.call("/look/x")
    for replica in fleet.replicas.values():
        replica.refuses = False


async def allow_one_attempt(fleet: PlatformFleet) -> None:
    """Let the routes allow no second attempt."""
    routes = [route | {"maxAttempts": 1} for route in ROUTES]
    fleet.configure(make_configuration(3, routes=routes))
    await trio.sleep(0.5)


class TestWithoutSuccessor:
    """Requests that no other server can take over."""

    @pytest.mark.parametrize(("path", "prompt", "place", "part"), CASES)
    @pytest.mark.parametrize(
        "prevent",
        [spend_budget, remove_second_servers, pause_second_servers, allow_one_attempt],
    )
    async def test_answer_of_a_server_that_goes_on_reaches_the_caller(
        self, autojump_clock, fleet_of_two, prevent, path, prompt, place, part
    ):
        """Guards against an attempt that is given up although no other one can follow, so that the
        caller's stream is cut or its request fails, while the server goes on a moment later."""
        silences = Silences(fleet_of_two)
        await prevent(fleet_of_two)
        silences.begin(place, part, silence_of(path))
        answer = await silences.call(path, prompt)
        assert (answer.status, answer.is_whole) == (200, True)
        assert len(silences.servers()) == 1

    @pytest.mark.parametrize(("path", "prompt", "place", "part"), CASES)
    async def test_configuration_that_removes_its_service_doesnt_end_a_request(
        self, autojump_clock, fleet_of_two, path, prompt, place, part
    ):
        """Guards against a request that is cut since a newer configuration has neither its route
        nor its service nor its customer, and its servers are gone from the store."""
        silences = Silences(fleet_of_two)
        silences.begin(place, part, silence_of(path))

        async def change() -> None:
            await wait_until(lambda: bool(silences.servers()))
            await trio.sleep(0.3)
            routes = [make_route("other", "idempotent", "other")]
            services = [{"name": "other", "maxConns": 100}]
            fleet_of_two.configure(
                make_configuration(3, routes=routes, services=services, tenants=[])
            )
            for server_id in fleet_of_two.replicas:
                fleet_of_two.store.remove(f"servers/{server_id}")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            answer = await silences.call(path, prompt)
        assert (answer.status, answer.is_whole) == (200, True)


class TestSuccessor:
    """Requests that another server can take over."""

    @pytest.mark.parametrize(("path", "prompt", "place", "part"), CASES)
    async def test_gets_the_request_at_the_usual_time(
        self, autojump_clock, fleet_of_two, path, prompt, place, part
    ):
        """Guards against requests to dead servers that fail over late, or never."""
        silences = Silences(fleet_of_two)
        silences.begin(place, part, DEAD_S)
        answer = await silences.call(path, prompt)
        assert (answer.status, answer.is_whole) == (200, True)
        first, second = sorted(
            received.at_s
            for received in fleet_of_two.received_requests()
            if received.request_id == Silences.REQUEST_ID
        )
        limit_s = 1.3 if prompt else 1.8
        assert limit_s - LINK_S < second - first < limit_s + LAST_EVENT_S

    @pytest.mark.parametrize(("path", "prompt", "place", "part"), CASES)
    async def test_that_is_silent_too_is_waited_for(
        self, autojump_clock, fleet_of_two, path, prompt, place, part
    ):
        """Guards against a request that is cut at the second silence in a row."""
        silences = Silences(fleet_of_two)
        silences.begin(place, part, 1.9, servers=2)
        answer = await silences.call(path, prompt)
        assert (answer.status, answer.is_whole) == (200, True)
        assert len(silences.servers()) == 2

    async def test_becomes_available_during_the_silence(self, autojump_clock, fleet_of_two):
        """Guards against a request that stays at a dead server although another server has become
        available."""
        await remove_second_servers(fleet_of_two)
        silences = Silences(fleet_of_two)
        silences.begin(SilencePlace.BEFORE_PART, 3, DEAD_S)

        async def add() -> None:
            await wait_until(lambda: bool(silences.servers()))
            await trio.sleep(1.6)
            await fleet_of_two.add_replica("engine-3")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(add)
            answer = await silences.call("/note/x", STREAM)
        assert (answer.status, answer.is_whole) == (200, True)
        assert sorted(silences.servers()) == ["engine-1", "engine-3"]

    @pytest.mark.parametrize("dossier_priority", [1, 2])
    async def test_has_room_after_a_while(self, autojump_clock, fleet_of_two, dossier_priority):
        """Guards against a request of a dead engine that is cut while the other one is full, and
        against one that doesn't get there once it has room, whether or not requests may wait."""
        routes = [
            make_route("note", "streaming", "engines", gapGoalMs=250, timeoutMs=15_000),
            make_route("dossier", "streaming", "engines", priority=dossier_priority),
        ]
        fleet_of_two.configure(make_configuration(3, routes=routes))
        await trio.sleep(0.5)

        async def fill() -> None:
            headers = {"Deadline-Ms": "14000"}
            prompt = "1000,1400"
            await fleet_of_two.call("/note/x", prompt=prompt, headers=headers)

        silences = Silences(fleet_of_two)
        async with trio.open_nursery() as nursery:
            silences.begin(SilencePlace.BEFORE_PART, 3, DEAD_S)

            async def crowd() -> None:
                await wait_until(lambda: bool(silences.servers()))
                await trio.sleep(0.3)
                for _ in range(20):
                    nursery.start_soon(fill)
                    await trio.sleep(0.03)

            nursery.start_soon(crowd)
            answer = await silences.call("/note/x", STREAM)
        reasons = [
            record["fields"]["reason"]
            for record in fleet_of_two.kernels[0].events.records()
            if record["name"] == "SilenceTolerated"
        ]
        assert (answer.status, answer.is_whole) == (200, True)
        assert len(silences.servers()) == 2
        assert reasons


class TestNonIdempotentRequests:
    """Requests that must run at most once."""

    @pytest.mark.parametrize(("place", "part"), PLAIN_PLACES)
    async def test_is_waited_for_and_not_repeated(self, autojump_clock, fleet_of_two, place, part):
        """Guards against a request that runs twice since its first server was silent."""
        silences = Silences(fleet_of_two)
        silences.begin(place, part, PLAIN_SILENCE_S)
        answer = await silences.call("/book/x", None)
        assert (answer.status, answer.is_whole) == (200, True)
        assert len(silences.servers()) == 1


class TestOtherReasonsToMove:
    """Attempts that are given up for other reasons than silence, with the retry budget spent."""

    async def test_prompt_stays_at_a_slow_engine(self, autojump_clock, seeded_fleet):
        """Guards against a long prompt that is taken from a slow engine, which would have answered
        it, and isn't sent to others since the retry budget is exhausted."""
        fleet = seeded_fleet
        routes = [
            make_route(
                "dossier", "streaming", "engines", gapGoalMs=1000, goalMs=1500, timeoutMs=15_000
            )
        ]
        fleet.configure(make_configuration(2, routes=routes))
        for number in range(1, 9):
            await fleet.add_replica(f"engine-{number}")
        kernel = await fleet.add_entry()
        await trio.sleep(1.5)
        answers: list[ReceivedResponse] = []

        async def call() -> None:
            headers = {"Deadline-Ms": "14000"}
            prompt = "182000,340"
            answers.append(await fleet.call("/dossier/x", prompt=prompt, headers=headers))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: bool(fleet.received_requests()))
            await spend_budget(fleet)
            (first,) = fleet.received_requests()
            helper = next(
                replica
                for replica in fleet.replicas.values()
                if str(replica.address) in first.request.headers["helpers"]
            )
            helper.engine.pace = 8.0
        assert (answers[0].status, answers[0].is_whole) == (200, True)
        assert attempt_failure_causes(kernel) == []

    async def test_failure_of_an_engine_is_forwarded(
        self, autojump_clock, fleet_of_two, monkeypatch
    ):
        """Guards against 502 in place of an engine's own answer, which is given up for an attempt
        that the retry budget doesn't allow."""
        await spend_budget(fleet_of_two)
        for number in (1, 2):
            replica = fleet_of_two.replicas[f"engine-{number}"]
            replica.response_status = 500
            monkeypatch.setattr(replica, "_stream", replica._plain)
        answer = await fleet_of_two.call("/note/x", prompt=STREAM)
        assert (answer.status, answer.is_whole) == (500, True)
        assert answer.headers["replica-seal"]
