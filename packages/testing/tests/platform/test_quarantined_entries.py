"""Distribution, persistence and end of quarantine verdicts among entries."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.core import KvEvent
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.quarantine_service import QuarantineService
from sassafrastally.proxy.store import StorePosition
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.testing.harmful_fleet import HARMFUL, assert_refused, quarantine, start_fleet


def verdict_keys(fleet) -> list[str]:
    """Return the keys of the verdicts in the store."""
    keys = fleet.store.keys()
    return [key for key in keys if key.startswith("quarantine/")]


class TestEntriesThatStart:
    """Entries that start after the servers have crashed."""

    async def test_restarted_entries_read_verdicts_from_the_store(self, fleet):
        """Guards against losing verdicts when all entries are killed at once.

        The caller retries, so each such restart would crash three more servers.
        """
        await start_fleet(fleet)
        await quarantine(fleet)
        await wait_until(lambda: verdict_keys(fleet))
        for number in (1, 2, 3):
            fleet.kill_entry(number)
        await trio.sleep(0.05)
        for number in (1, 2, 3):
            await fleet.add_entry(number)
            await assert_refused(fleet, number)

    async def test_entry_without_the_store_gets_verdicts_from_its_peers(self, fleet):
        """Guards against a new entry without verdicts during a store outage.

        The outage begins before the first crash, so the store has no record and the new entry must
        get the verdict from its peers.
        """
        await start_fleet(fleet, entries=2)
        fleet.store.error_status = 503
        await quarantine(fleet)
        fleet.kill_entry(2)
        await trio.sleep(0.05)
        fleet.store.error_status = 0
        second = await fleet.add_entry(2)
        fleet.store.error_status = 503
        await wait_until(lambda: second.get("quarantine", QuarantineService).count == 1, 5.0)
        await assert_refused(fleet, 2)

    async def test_verdict_is_recorded_once_the_store_is_back(self, fleet):
        await start_fleet(fleet, entries=2)
        fleet.store.error_status = 503
        await quarantine(fleet)
        assert not verdict_keys(fleet)
        fleet.store.error_status = 0
        await wait_until(lambda: verdict_keys(fleet), 8.0)
        assert len(verdict_keys(fleet)) == 1

    async def test_verdict_survives_leases_that_expire_in_an_outage(self, fleet):
        """Guards against losing a verdict when its lease expires in a store outage.

        The verdict itself is still valid, so it must be recorded again for entries that start after
        the outage.
        """
        await start_fleet(fleet, entries=2)
        await quarantine(fleet)
        await wait_until(lambda: verdict_keys(fleet))
        fleet.store.error_status = 503
        await trio.sleep(2.5)
        fleet.store.remove(verdict_keys(fleet)[0])
        fleet.store.error_status = 0
        await wait_until(lambda: verdict_keys(fleet), 15.0)
        await assert_refused(fleet, 2)


class TestManyEntries:
    """So many entries that data centres exchange only aggregated state."""

    ENTRIES = 28

    @pytest.mark.parametrize("seed", range(2))
    async def test_other_data_centre_gets_crashes_and_verdict_by_aggregates(
        self, autojump_clock, seeded_fleet
    ):
        """Guards against counting crashes per data centre only.

        The request arrives at an entry of one data centre, then at one of the other, which gets no
        individual state of the first. Three servers crash in total.
        """
        fleet = seeded_fleet
        fleet.data_centres = ["east", "west"]
        for number in range(1, 7):
            await fleet.add_replica(f"engine-{number}")
        async with trio.open_nursery() as nursery:
            for number in range(1, self.ENTRIES + 1):
                nursery.start_soon(fleet.add_entry, number)
        peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
        await wait_until(lambda: all(p.live_count() == self.ENTRIES - 1 for p in peers), 20.0)
        await wait_until(lambda: all(p.receives_sums() for p in peers), 10.0)
        fleet.harmful_bodies.add(HARMFUL)
        await fleet.call("/note/x", entry=2, body=HARMFUL, prompt="1000,340")
        await trio.sleep(0.5)
        await fleet.call("/note/x", entry=3, body=HARMFUL, prompt="1000,340")
        await trio.sleep(0.5)
        assert len(fleet.crashed) == 3
        for entry in range(1, self.ENTRIES + 1):
            await assert_refused(fleet, entry)


class TestRestoredStore:
    """Verdicts whose records a restore of the store has lost."""

    async def test_lost_record_is_written_again(self, fleet):
        """Guards against entries that start later and let a harmful request crash servers."""
        await start_fleet(fleet, entries=2)
        copy = fleet.store.copy()
        await quarantine(fleet)
        await wait_until(lambda: verdict_keys(fleet))
        fleet.store.restore(copy)
        assert not verdict_keys(fleet)
        for entry in (1, 2):
            await assert_refused(fleet, entry)
        await wait_until(lambda: verdict_keys(fleet), 15.0)


class TestVerdictRemoval:
    """Verdicts that end before they expire."""

    async def test_operator_ends_it_by_removing_its_record(self, fleet):
        """Guards against waiting 10 minutes for a verdict to expire after its cause is fixed."""
        await start_fleet(fleet, entries=2)
        await quarantine(fleet)
        await wait_until(lambda: verdict_keys(fleet))
        fleet.harmful_bodies.clear()
        fleet.store.remove(verdict_keys(fleet)[0])
        await trio.sleep(0.3)
        for entry in (1, 2):
            answer = await fleet.call("/note/x", entry=entry, body=HARMFUL, prompt="1000,340")
            assert answer.status == 200

    async def test_record_that_a_restored_store_has_again_is_removed(self, fleet):
        """Guards against entries that start later and quarantine a request that was acquitted."""
        await start_fleet(fleet, entries=2)
        await quarantine(fleet)
        await wait_until(lambda: verdict_keys(fleet))
        copy = fleet.store.copy()
        fleet.harmful_bodies.clear()
        fleet.store.remove(verdict_keys(fleet)[0])
        await trio.sleep(0.3)
        fleet.store.restore(copy)
        assert verdict_keys(fleet)
        await wait_until(lambda: not verdict_keys(fleet), 10.0)
        for entry in (1, 2):
            answer = await fleet.call("/note/x", entry=entry, body=HARMFUL, prompt="1000,340")
            assert answer.status == 200

    async def test_record_that_is_removed_at_once_is_harmless(self, fleet):
        """Guards against a crash of the entry when a verdict and its removal arrive together.

        There is nothing left to record by the time that the entry processes the change.
        """
        await start_fleet(fleet, entries=1)
        (kernel,) = fleet.kernels
        cluster_state = kernel.get("beliefs", ClusterState)
        key, (epoch, revision) = "quarantine/0123456789abcdef", cluster_state.position
        events = [KvEvent(key, b'{"crashes": 3}', revision + 1)]
        cluster_state.apply(events, StorePosition(epoch, revision + 1), "store")
        events = [KvEvent(key, None, revision + 2)]
        cluster_state.apply(events, StorePosition(epoch, revision + 2), "store")
        await trio.sleep(0.1)
        assert (await fleet.call("/look/x")).status == 200

    async def test_invalid_record_is_ignored(self, fleet):
        await start_fleet(fleet, entries=1)
        fleet.store.put("quarantine/0123", b"{}")
        fleet.store.put("quarantine/0123456789abcdef", b'{"crashes": "many"}')
        await trio.sleep(0.2)
        (kernel,) = fleet.kernels
        assert kernel.get("quarantine", QuarantineService).count == 0
        rejected = [r for r in kernel.events.records() if r["name"] == "DocumentRejected"]
        assert len(rejected) == 2
