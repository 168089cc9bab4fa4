"""Attempts at silent servers whose successor turns out not to answer in time."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.stand_ins.silence import SilencePlace

STREAM = "1000,340"
REQUEST_ID = "silent"
ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250),
    make_route("slow", "streaming", "engines", gapGoalMs=250, goalMs=500, timeoutMs=15_000),
    make_route("look", "idempotent", "desk"),
    make_route("look3", "idempotent", "desk", maxAttempts=3),
]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 3


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry, two engines and two plain servers."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    for number in (1, 2):
        await seeded_fleet.add_replica(f"engine-{number}")
        await seeded_fleet.add_replica(f"desk-{number}", "desk")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


def reached(fleet):
    """Return the servers that the request has reached."""
    return [
        server_id
        for server_id, replica in fleet.replicas.items()
        for received in replica.received_requests
        if received.request_id == REQUEST_ID
    ]


async def call_silent(fleet, path, prompt, place, part, duration_s, spoil, deadline_ms=4000):
    """Make a request whose first server falls silent; `spoil` changes the other servers then."""
    for replica in fleet.replicas.values():
        replica.silence.place, replica.silence.part_number = place, part
        replica.silence.duration_s = duration_s
        replica.silence.includes_reports = False
    answers = []

    async def call():
        headers = {"Deadline-Ms": str(deadline_ms)}
        answers.append(
            await fleet.call(path, prompt=prompt, headers=headers, request_id=REQUEST_ID)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await wait_until(lambda: bool(reached(fleet)))
        for server_id, replica in list(fleet.replicas.items()):
            if server_id not in reached(fleet):
                replica.silence.place = None
                nursery.start_soon(spoil, replica)
    return answers[0]


async def refuse(replica):
    """Let a server reject all requests without running them."""
    replica.refuses = True


async def crash_late(replica):
    """Let a server end just before the silent one is given up."""
    await trio.sleep(1.15)
    replica.crash()


class TestSuccessorThatDoesntAnswer:
    """Successors that were certain when the attempt at the silent server was given up."""

    @pytest.mark.parametrize(
        ("path", "prompt", "place", "part", "silence_s"),
        [
            ("/note/x", STREAM, SilencePlace.BEFORE_PART, 3, 1.6),
            ("/note/x", STREAM, SilencePlace.BEFORE_HEADER, 0, 1.6),
            ("/look/x", None, SilencePlace.BEFORE_HEADER, 0, 2.4),
        ],
    )
    async def test_rejects_the_request(
        self, autojump_clock, fleet, path, prompt, place, part, silence_s
    ):
        """Guards against a request that is cut or fails since its successor rejects it unrun,
        although its silent server goes on."""
        answer = await call_silent(fleet, path, prompt, place, part, silence_s, refuse)
        assert (answer.status, answer.is_whole) == (200, True)

    async def test_is_unreachable(self, autojump_clock, fleet):
        """Guards against a stream that is cut since its successor has just ended, although its
        silent server goes on."""
        answer = await call_silent(
            fleet, "/note/x", STREAM, SilencePlace.BEFORE_PART, 3, 1.6, crash_late
        )
        assert (answer.status, answer.is_whole) == (200, True)

    async def test_begins_after_the_callers_timeout(self, autojump_clock, fleet):
        """Guards against a stream that moves to a server whose next event comes only after the
        caller's timeout, although its silent server goes on before."""

        async def leave(replica):
            await trio.sleep(0)

        answer = await call_silent(
            fleet, "/slow/x", "90000,340", SilencePlace.BEFORE_PART, 3, 1.6, leave, 10_000
        )
        records = fleet.kernels[0].events.records()
        answered = [r for r in records if r["name"] == "RequestAnswered"]
        assert (answer.status, answer.is_whole) == (200, True)
        assert answered[-1]["fields"]["longest_pause_s"] < 2.0


class TestKeptFailure:
    """A failure that a server answered, kept while another attempt is made."""

    @pytest.mark.parametrize("path", ["/look/x", "/look3/x"])
    async def test_is_forwarded_if_the_other_server_is_silent(self, autojump_clock, fleet, path):
        """Guards against 504 in place of a server's whole answer, which is dropped at the deadline
        of an attempt that no other one can follow."""
        for server_id in ("desk-1", "desk-2"):
            fleet.replicas[server_id].response_status = 500
        await_first = []

        async def call():
            await_first.append(
                await fleet.call(path, headers={"Deadline-Ms": "2000"}, request_id=REQUEST_ID)
            )

        desks = [fleet.replicas[server_id] for server_id in ("desk-1", "desk-2")]
        for desk in desks:
            desk.work_s = 0.1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: bool(reached(fleet)))
            for server_id in ("desk-1", "desk-2"):
                if server_id not in reached(fleet):
                    fleet.replicas[server_id].is_unresponsive = True
        assert await_first[0].status == 500


class TestToleratedSilence:
    """Servers whose silence is tolerated since no successor is possible."""

    async def test_counts_as_a_failure_of_the_server(self, autojump_clock, fleet):
        """Guards against further requests to a server that answers nothing, whose silence isn't
        recorded as long as the retry budget is exhausted."""
        kernel = fleet.kernels[0]
        budget = kernel.get("path", RequestPath).services.budget
        while budget.try_spend("desk", 1, kernel.clock.now_s()):
            pass
        fleet.replicas["desk-1"].is_unresponsive = True
        statuses = []
        async with trio.open_nursery() as nursery:

            async def call():
                answer = await fleet.call("/look/x", headers={"Deadline-Ms": "1500"})
                statuses.append(answer.status)

            for _ in range(60):
                nursery.start_soon(call)
                await trio.sleep(0.1)
        assert statuses.count(200) > 48


class TestChargedAttempts:
    """What is charged to the retry budget is sent."""

    def charges(self, fleet, service: str) -> int:
        """Return the number of retries that the entry has counted."""
        budget = fleet.kernels[0].get("path", RequestPath).services.budget
        return budget.retry_count(service, trio.current_time())

    @pytest.mark.parametrize("path", ["/look/x", "/look3/x"])
    async def test_that_reach_no_server_are_not_counted(self, autojump_clock, fleet, path):
        """Guards against a retry budget that is used up by servers that can't be reached."""
        desks = [fleet.replicas["desk-1"], fleet.replicas["desk-2"]]
        for desk in desks:
            desk.response_status = 500
        answers = []

        async def call():
            answers.append(await fleet.call(path))

        async with trio.open_nursery() as nursery:
            for desk in desks:
                desk.work_s = 0.5
            nursery.start_soon(call)
            await wait_until(lambda: any(desk.received_requests for desk in desks))
            (other,) = (desk for desk in desks if not desk.received_requests)
            other.crash()
        assert answers[0].status == 500
        assert self.charges(fleet, "desk") == 0
