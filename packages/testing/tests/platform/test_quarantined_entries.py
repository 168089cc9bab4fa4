"""What entries know of harmful requests: those that start, many of them, and how it ends."""

from __future__ import annotations

import trio

from sassafrastally.core import KvEvent
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.quarantining import Quarantining
from sassafrastally.stand_ins.platform_fleet import until
from sassafrastally.testing.harmful_fleet import HARMFUL, assert_refused, quarantine, start_fleet


def records(fleet) -> list[str]:
    """Return the keys of the verdicts in the store."""
    keys = fleet.store.keys()
    return [key for key in keys if key.startswith("quarantine/")]


class TestEntriesThatStart:
    """Entries that weren't there when servers crashed."""

    async def test_all_that_start_again_know_it_from_the_store(self, fleet):
        """All entries are killed at one moment, and with them all that they have seen. The caller
        comes back; each restart would cost three more servers."""
        await start_fleet(fleet)
        await quarantine(fleet)
        await until(lambda: records(fleet))
        for number in (1, 2, 3):
            fleet.kill_entry(number)
        await trio.sleep(0.05)
        for number in (1, 2, 3):
            await fleet.add_entry(number)
            await assert_refused(fleet, number)

    async def test_one_that_starts_without_the_store_hears_it_from_its_peers(self, fleet):
        """The store is away from before the first crash, so that nothing stands there; a new entry
        learns all from the others."""
        await start_fleet(fleet, entries=2)
        fleet.store.refuses_with = 503
        await quarantine(fleet)
        fleet.kill_entry(2)
        await trio.sleep(0.05)
        fleet.store.refuses_with = 0
        second = await fleet.add_entry(2)
        fleet.store.refuses_with = 503
        await until(lambda: second.get("quarantine", Quarantining).count == 1, 5.0)
        await assert_refused(fleet, 2)

    async def test_verdict_is_recorded_once_the_store_is_back(self, fleet):
        await start_fleet(fleet, entries=2)
        fleet.store.refuses_with = 503
        await quarantine(fleet)
        assert not records(fleet)
        fleet.store.refuses_with = 0
        await until(lambda: records(fleet), 8.0)
        assert len(records(fleet)) == 1

    async def test_verdict_survives_leases_that_an_outage_ended(self, fleet):
        """The store is away, and all leases run out with it. The verdict's time isn't over, and
        entries that start after the outage must find it again."""
        await start_fleet(fleet, entries=2)
        await quarantine(fleet)
        await until(lambda: records(fleet))
        fleet.store.refuses_with = 503
        await trio.sleep(2.5)
        fleet.store.remove(records(fleet)[0])
        fleet.store.refuses_with = 0
        await until(lambda: records(fleet), 15.0)
        await assert_refused(fleet, 2)


class TestManyEntries:
    """So many entries that data centres hear only sums of each other."""

    ENTRIES = 28

    async def test_other_data_centre_hears_of_crashes_and_verdict_by_the_sum(self, fleet):
        """The caller comes to one data centre's entries, then to the other one's, whose entries
        hear none of the first ones themselves. Three servers have crashed in all."""
        fleet.data_centres = ["east", "west"]
        for number in range(1, 7):
            await fleet.add_replica(f"engine-{number}")
        async with trio.open_nursery() as nursery:
            for number in range(1, self.ENTRIES + 1):
                nursery.start_soon(fleet.add_entry, number)
        peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
        await until(lambda: all(p.live_count() == self.ENTRIES - 1 for p in peers), 20.0)
        await until(lambda: all(p.hears_sums() for p in peers), 10.0)
        fleet.harmful_bodies.add(HARMFUL)
        await fleet.call("/note/x", entry=2, body=HARMFUL, prompt="1000,340")
        await trio.sleep(0.5)
        await fleet.call("/note/x", entry=3, body=HARMFUL, prompt="1000,340")
        await trio.sleep(0.5)
        assert len(fleet.crashed) == 3
        for entry in range(1, self.ENTRIES + 1):
            await assert_refused(fleet, entry)


class TestEndOfAVerdict:
    """How it ends before its time."""

    async def test_operator_ends_it_by_removing_its_record(self, fleet):
        """The cause is mended, and nobody wants to wait for ten minutes."""
        await start_fleet(fleet, entries=2)
        await quarantine(fleet)
        await until(lambda: records(fleet))
        fleet.harmful_bodies.clear()
        fleet.store.remove(records(fleet)[0])
        await trio.sleep(0.3)
        for entry in (1, 2):
            answer = await fleet.call("/note/x", entry=entry, body=HARMFUL, prompt="1000,340")
            assert answer.status == 200

    async def test_record_that_goes_as_soon_as_it_came_harms_nobody(self, fleet):
        """A verdict and its end arrive together, so that nothing is left to record when the entry
        turns to it. The entry must go on serving."""
        await start_fleet(fleet, entries=1)
        (kernel,) = fleet.kernels
        beliefs = kernel.get("beliefs", Beliefs)
        key, revision = "quarantine/0123456789abcdef", beliefs.revision
        beliefs.apply([KvEvent(key, b'{"crashes": 3}', revision + 1)], revision + 1, "store")
        beliefs.apply([KvEvent(key, None, revision + 2)], revision + 2, "store")
        await trio.sleep(0.1)
        assert (await fleet.call("/look/x")).status == 200

    async def test_record_of_another_writer_is_passed_over(self, fleet):
        await start_fleet(fleet, entries=1)
        fleet.store.put("quarantine/0123", b"{}")
        fleet.store.put("quarantine/0123456789abcdef", b'{"crashes": "many"}')
        await trio.sleep(0.2)
        (kernel,) = fleet.kernels
        assert kernel.get("quarantine", Quarantining).count == 0
        rejected = [r for r in kernel.events.records() if r["name"] == "DocumentRejected"]
        assert len(rejected) == 2
