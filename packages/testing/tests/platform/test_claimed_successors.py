"""Successors that leave between the time at which they are chosen and their attempt."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.crash_detector import CrashDetector
from sassafrastally.stand_ins.documents import make_configuration, make_route


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 5


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry and two engines that fail."""
    routes = [make_route("note", "streaming", "engines", gapGoalMs=250)]
    seeded_fleet.configure(make_configuration(2, routes=routes))
    for number in (1, 2):
        replica = await seeded_fleet.add_replica(f"engine-{number}")
        replica.response_status = 500
        replica._stream = replica._plain
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


class TestLeavingSuccessor:
    """A successor chosen for an engine's failure, which leaves while that failure is examined."""

    async def test_gets_no_request(self, autojump_clock, fleet, monkeypatch):
        """Guards against a request that is sent to a server which is known to have left."""
        left = []

        async def leave(detector, server, *args):
            if not left:
                other = next(one for one in fleet.replicas if one != server.server_id)
                left.append(other)
                fleet.store.remove(f"servers/{other}")
                await trio.sleep(0.4)

        monkeypatch.setattr(CrashDetector, "record_broken_answer", leave)
        answer = await fleet.call("/note/x", prompt="1000,340", headers={"Deadline-Ms": "6000"})
        assert answer.status == 500
        assert not fleet.replicas[left[0]].received_requests
