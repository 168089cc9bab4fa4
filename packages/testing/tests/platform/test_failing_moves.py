"""Prompts that are moved from a slow engine to others that fail.

A prompt of 182,000 tokens is prefilled by eight engines, one of which becomes slow.
"""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import attempt_failure_causes, wait_until

PROMPT = "182000,340"
EVENT_IDS = list(range(10))
"""IDs of the events of the response."""

PACE = 12.0
CLOSE_S = 0.1
"""Time by which the close of a connection has reached its server."""

ROUTE = make_route("dossier", "streaming", "engines", gapGoalMs=1000, goalMs=1500, timeoutMs=15_000)


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 4


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry and eight engines."""
    seeded_fleet.configure(make_configuration(2, routes=[ROUTE]))
    for number in range(1, 9):
        await seeded_fleet.add_replica(f"engine-{number}")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


def first_receiver(fleet):
    """Return the engine that got the request first."""
    return next((one for one in fleet.replicas.values() if one.received_requests), None)


async def call_at_slow_helper(fleet, spoil):
    """Make a request of which a helper becomes slow; `spoil` changes the engine that gets it next.

    Returns the answer and the engines that the request has reached.
    """
    answers = []

    async def call():
        answers.append(
            await fleet.call("/dossier/x", prompt=PROMPT, headers={"Deadline-Ms": "12000"})
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await wait_until(lambda: first_receiver(fleet) is not None)
        first = first_receiver(fleet)
        helpers = first.received_requests[0].request.headers["helpers"]
        helper = next(one for one in fleet.replicas.values() if str(one.address) in helpers)
        helper.engine.pace = PACE
        for replica in fleet.replicas.values():
            if replica not in (first, helper):
                spoil(replica)
    reached = [one for one in fleet.replicas.values() if one.received_requests]
    return answers[0], first, reached


def event_ids(answer):
    """Return the ids of a stream's events, in order."""
    lines = answer.body.splitlines()
    return [int(line.partition(b":")[2]) for line in lines if line.startswith(b"id:")]


def break_off(replica, event):
    """Let a server break off its responses at an event."""
    replica.breaks_after_events = event


def refuse(replica):
    """Let a server reject requests without running them."""
    replica.refuses = True


def hang(replica):
    """Let a server answer nothing."""
    replica.is_unresponsive = True


class TestFailingMove:
    """Prompts that are moved from a slow engine."""

    @pytest.mark.parametrize(
        "spoil",
        [
            refuse,
            hang,
            lambda replica: break_off(replica, 0),
            lambda replica: break_off(replica, 3),
        ],
        ids=["refuses", "hangs", "breaks off at once", "breaks off after three events"],
    )
    async def test_costs_no_caller_its_answer(self, autojump_clock, fleet, spoil):
        """Guards against a prompt whose attempt at a slow engine is closed for another one that
        rejects it, answers nothing or breaks off, although the slow engine answers in time."""
        answer, _, reached = await call_at_slow_helper(fleet, spoil)
        assert len(reached) == 2
        assert (answer.status, answer.is_whole, event_ids(answer)) == (200, True, EVENT_IDS)

    async def test_slow_engine_is_closed_once_the_other_has_answered(self, autojump_clock, fleet):
        """Guards against a slow engine that works on for nobody, and against two log lines of one
        move."""
        answer, first, reached = await call_at_slow_helper(fleet, lambda _: None)
        assert (answer.status, answer.is_whole, event_ids(answer)) == (200, True, EVENT_IDS)
        assert len(reached) == 2
        (cause,) = attempt_failure_causes(fleet.kernels[0])
        assert "12.0 times slower" in cause
        await trio.sleep(CLOSE_S)
        assert first.engine.running == 0
        services = fleet.kernels[0].get("path", RequestPath).services
        assert len(services.fleet_view.ledger) == 0
