"""Successors of silent engines that reject the request with a status below 500.

Callers close a stream after a silence of two seconds and have four seconds in all. A successor gets
a request after 1.3 s of silence.
"""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.crash_detector import CrashDetector
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.stand_ins.silence import SilencePlace

STREAM = "1000,340"
EVENT_IDS = list(range(10))
"""IDs of the events of `STREAM`."""

LEAVES_S = 2.0
"""When a caller leaves that gets nothing."""


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 7


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry and two engines."""
    routes = [make_route("note", "streaming", "engines", gapGoalMs=250)]
    seeded_fleet.configure(make_configuration(2, routes=routes))
    for number in (1, 2):
        await seeded_fleet.add_replica(f"engine-{number}")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


async def call(fleet, monkeypatch, part, silence_s, status):
    """Make a request whose first server is silent before a part, and whose second one rejects it.

    Returns the answer and the time that it took.
    """
    answers = []
    for replica in fleet.replicas.values():
        replica.silence.place = SilencePlace.BEFORE_PART if part else SilencePlace.BEFORE_HEADER
        replica.silence.part_number = part
        replica.silence.duration_s, replica.silence.includes_reports = silence_s, False

    async def request():
        answers.append(await fleet.call("/note/x", prompt=STREAM, headers={"Deadline-Ms": "4000"}))

    begin_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(request)
        await wait_until(lambda: bool(fleet.received_requests()))
        for replica in fleet.replicas.values():
            if not replica.received_requests:
                replica.silence.place, replica.response_status = None, status
                monkeypatch.setattr(replica, "_stream", replica._plain)
    return answers[0], trio.current_time() - begin_s


def event_ids(answer):
    """Return the ids of a stream's events, in order."""
    lines = answer.body.splitlines()
    return [int(line.partition(b":")[2]) for line in lines if line.startswith(b"id:")]


class TestRejectingSuccessor:
    """A successor that answers with a failure of its own."""

    @pytest.mark.parametrize("status", [301, 404, 409, 500])
    @pytest.mark.parametrize("part", [0, 3])
    @pytest.mark.parametrize("silence_s", [1.5, 1.7])
    async def test_costs_no_caller_its_answer(
        self, autojump_clock, fleet, monkeypatch, part, silence_s, status
    ):
        """Guards against a failure in place of the stream of a server that was silent for a while:
        the rejection of its successor closed its attempt."""
        answer, _ = await call(fleet, monkeypatch, part, silence_s, status)
        assert (answer.status, answer.is_whole, event_ids(answer)) == (200, True, EVENT_IDS)

    @pytest.mark.parametrize("status", [404, 500])
    async def test_reaches_the_caller_before_it_leaves(
        self, autojump_clock, fleet, monkeypatch, status
    ):
        """Guards against a caller that leaves without the reason, which the only server that
        answered has given, since a dead one is still waited for."""
        answer, took_s = await call(fleet, monkeypatch, 0, 60.0, status)
        assert (answer.status, answer.is_whole) == (status, True)
        assert took_s < LEAVES_S

    async def test_has_not_crashed(self, autojump_clock, fleet, monkeypatch):
        """Guards against a sound server that is suspected of a crash, since it has rejected the
        rest of a stream that had begun elsewhere."""
        suspects = []
        monkeypatch.setattr(
            CrashDetector,
            "record_broken_answer",
            lambda _, server, *rest: suspects.append(server.server_id) or trio.sleep(0),
        )
        await call(fleet, monkeypatch, 3, 1.7, 404)
        assert suspects == []
