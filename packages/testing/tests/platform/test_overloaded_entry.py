"""An entry whose tasks run late because its process lacks CPU time."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.load import InFlightAttempt, Lane
from sassafrastally.proxy.overload_monitor import OverloadMonitor
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.platform_fleet import wait_until

BUSY_S = 0.2


@pytest.fixture
def seed():
    """Seed of the network and of the order of tasks."""
    return 1


async def use_up_cpu(clock: trio.testing.MockClock) -> None:
    """Let all tasks run only every 0.2 s, as in a process with more streams than it can pass on."""
    while True:
        clock.jump(BUSY_S)
        await trio.testing.wait_all_tasks_blocked()


async def start_fleet(fleet, links_mbps: list[int]) -> None:
    """Start an engine and two entries with the given links."""
    fleet.links_mbps = links_mbps
    await fleet.add_replica("engine-1")
    for number in (1, 2):
        await fleet.add_entry(number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await wait_until(lambda: all(one.live_count() == 1 for one in peers))


def monitors(fleet) -> list[OverloadMonitor]:
    """Return the entries' monitors."""
    return [kernel.get("overload", OverloadMonitor) for kernel in fleet.kernels]


class TestOverload:
    """Two entries in one process that is short of CPU time."""

    async def test_new_stream_is_refused_with_a_short_delay(self, autojump_clock, seeded_fleet):
        """Guards against late streams where another entry would serve the retry in time."""
        fleet = seeded_fleet
        await start_fleet(fleet, [100, 7])
        kernel = fleet.kernels[0]
        await trio.sleep(1.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.hold_stream, fleet)
            await wait_until(lambda: len(kernel.get("sight", FleetView).ledger) == 1)
            nursery.start_soon(use_up_cpu, autojump_clock)
            await wait_until(lambda: all(one.is_overloaded for one in monitors(fleet)), 8.0)
            # Longer than silence between entries is taken for the end of one.
            await trio.sleep(1.5)
            answer = await fleet.call("/note/x", prompt="1000,340")
            nursery.cancel_scope.cancel()
        assert answer.status == 503
        assert b"entry-busy" in answer.body
        assert 0.05 <= float(answer.headers["retry-after"]) <= 0.2
        await wait_until(lambda: not any(one.is_overloaded for one in monitors(fleet)), 6.0)
        assert (await fleet.call("/note/x", prompt="1000,340")).status == 200
        names = [record["name"] for record in kernel.events.records()]
        assert "EntryOverloaded" in names
        assert "EntryRecovered" in names

    @pytest.mark.parametrize("pause_s", [1.5, 3.5])
    async def test_pause_does_not_end_the_overload(self, autojump_clock, seeded_fleet, pause_s):
        """Guards against an entry that takes all streams since it was paused for longer than other
        entries may be silent, and hasn't read yet what they sent."""
        fleet = seeded_fleet
        await start_fleet(fleet, [100, 7])
        await trio.sleep(1.1)
        ledger = fleet.kernels[0].get("sight", FleetView).ledger
        ledger.add(InFlightAttempt("engine-1", Lane.SHORT), trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(use_up_cpu, autojump_clock)
            await wait_until(lambda: all(one.is_overloaded for one in monitors(fleet)), 8.0)
            for _ in range(5):
                autojump_clock.jump(pause_s)
                assert monitors(fleet)[0].shed_reply() is not None
                await trio.sleep(BUSY_S)
                assert all(one.is_overloaded for one in monitors(fleet))
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    async def hold_stream(self, fleet) -> None:
        await fleet.call("/note/x", prompt="1000,34000")

    @pytest.mark.parametrize("links_mbps", [[100, 100], [100, 50]])
    async def test_entries_with_even_links_shed_nothing(
        self, autojump_clock, seeded_fleet, links_mbps
    ):
        """Guards against refusals where the other entries are as loaded."""
        fleet = seeded_fleet
        await start_fleet(fleet, links_mbps)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(use_up_cpu, autojump_clock)
            await trio.sleep(3.0)
            assert not any(one.is_overloaded for one in monitors(fleet))
            nursery.cancel_scope.cancel()
        assert all(one.lag_s == 0.0 for one in monitors(fleet))
