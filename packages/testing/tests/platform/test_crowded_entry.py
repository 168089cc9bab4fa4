"""An entry that gets most of the new connections while the others have CPU time left."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.load import InFlightAttempt, Lane
from sassafrastally.proxy.overload_monitor import OverloadMonitor
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.testing.crowd_replay import CrowdLoad, CrowdReplay, Shedding

BUSY_S = 0.2

MIN_SERVED_SHARE = 0.75
"""Operators' limit on the share of requests that are served at the first attempt that is read,
relative to the time before the crowd."""

LOADS = [
    CrowdLoad(9, 45.0, 0.387, 10.0, 24.0, 0.85, 40.0),
    CrowdLoad(21, 75.0, 0.387, 10.0, 24.0, 0.85, 40.0),
]


@pytest.fixture
def seed():
    """Seed of the network and of the order of tasks."""
    return 1


class TestReplay:
    """Callers of 9 and 21 entries, most of whom reach the same one for 14 seconds."""

    @pytest.mark.parametrize("replay_seed", range(3))
    @pytest.mark.parametrize("load", LOADS, ids=["9", "21"])
    def test_closing_unread_serves_callers_elsewhere(self, load, replay_seed):
        """Guards against refusing what was read or has waited, which costs callers an attempt, and
        against taking everything, which is late."""
        outcomes = {one: CrowdReplay(load, one, replay_seed).run() for one in Shedding}
        closing = outcomes[Shedding.CLOSE]
        assert closing.meanwhile >= MIN_SERVED_SHARE * closing.before
        assert closing.lost == 0.0
        assert closing.late < 0.6 * outcomes[Shedding.NONE].late
        refusing = outcomes[Shedding.REFUSAL]
        assert refusing.meanwhile < MIN_SERVED_SHARE * refusing.before
        between_steps = outcomes[Shedding.STEPS]
        assert between_steps.meanwhile >= MIN_SERVED_SHARE * between_steps.before
        assert between_steps.lost == 0.0
        assert between_steps.late < 0.6 * outcomes[Shedding.NONE].late


class TestCrowdedEntry:
    """Two entries with even links, one of which has most of the requests."""

    async def test_connections_are_closed_unread_until_it_has_time(
        self, autojump_clock, seeded_fleet
    ):
        """Guards against late responses of a crowded entry while its neighbour is idle."""
        fleet = seeded_fleet
        fleet.links_mbps = [100, 100]
        await fleet.add_replica("engine-1")
        for number in (1, 2):
            await fleet.add_entry(number)
        peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
        await wait_until(lambda: all(one.live_count() == 1 for one in peers))
        monitors = [kernel.get("overload", OverloadMonitor) for kernel in fleet.kernels]
        ledger = fleet.kernels[0].get("sight", FleetView).ledger
        crowd = [InFlightAttempt("engine-9", Lane.SHORT) for _ in range(12)]
        for one in crowd:
            ledger.add(one, trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.use_up_cpu, autojump_clock)
            await wait_until(lambda: monitors[0].is_overloaded, 8.0)
            assert not monitors[1].is_overloaded
            with pytest.raises(ConnectionLost):
                await fleet.call("/note/x", prompt="1000,340")
            assert monitors[0].shed_reply() is None
            nursery.cancel_scope.cancel()
        assert not fleet.received_requests()
        for one in crowd:
            ledger.remove(one, trio.current_time())
        await wait_until(lambda: not monitors[0].is_overloaded, 6.0)
        assert (await fleet.call("/note/x", prompt="1000,340")).status == 200

    async def use_up_cpu(self, clock: trio.testing.MockClock) -> None:
        """Let all tasks run only every 0.2 s."""
        while True:
            clock.jump(BUSY_S)
            await trio.testing.wait_all_tasks_blocked()
