"""Entries after the store was restored from a copy that misses its latest changes."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy import address_registration
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.server_registry import LAPSE_GRACE_S
from sassafrastally.stand_ins.documents import make_configuration
from sassafrastally.stand_ins.platform_fleet import wait_until

LOST_CHANGES = 6
"""Changes between the copy and the restore."""

IN_FORCE_S = 2.0
"""Time within which operators expect a change to be in force."""

MAX_CALLS_PER_S = 5
"""Calls of one entry per second; a watch that waits takes one."""


def cluster_states(fleet) -> list[ClusterState]:
    """Return each entry's view of the store."""
    return [kernel.get("beliefs", ClusterState) for kernel in fleet.kernels]


def ready_desks(state: ClusterState) -> list[str]:
    """Return the ids of the plain servers that get requests, sorted."""
    return sorted(server.server_id for server in state.servers.of_service("desk"))


def entry_keys(fleet) -> list[str]:
    """Return the keys of the entries' addresses in the store."""
    keys = fleet.store.keys()
    return [key for key in keys if key.startswith("entries/")]


async def start_desks(fleet) -> None:
    """Start two plain servers."""
    for number in (1, 2):
        await fleet.add_replica(f"desk-{number}", "desk")


async def start_entries(fleet, count: int) -> None:
    """Start entries that know each other, of which some don't watch the store."""
    for number in range(1, count + 1):
        await fleet.add_entry(number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await wait_until(lambda: all(peer.live_count() == count - 1 for peer in peers))


async def all_at_revision(fleet, revision: int) -> None:
    """Wait until all entries have applied a revision."""
    states = cluster_states(fleet)
    await wait_until(lambda: all(state.position.revision == revision for state in states))


async def change_and_restore(fleet) -> None:
    """Let the store acknowledge changes of a server, which all entries learn, and lose them."""
    copy = fleet.store.copy()
    entry = fleet.replicas["desk-2"].entry()
    for _ in range(LOST_CHANGES):
        fleet.store.put("servers/desk-2", entry)
    await wait_until(
        lambda: all(
            state.position.revision == fleet.store.revision for state in cluster_states(fleet)
        )
    )
    fleet.store.restore(copy)


@pytest.fixture
async def restored_fleet(fleet):
    """Four entries whose store has lost its latest changes."""
    await start_desks(fleet)
    await start_entries(fleet, 4)
    await change_and_restore(fleet)
    return fleet


class TestChangesAfterRestore:
    """Changes whose revisions were given out before the restore."""

    async def test_draining_server_is_not_used(self, restored_fleet):
        """Guards against missing that a server drains, since its change has a known revision."""
        fleet = restored_fleet
        fleet.store.put("servers/desk-1", fleet.replicas["desk-1"].entry(is_draining=True))
        await trio.sleep(IN_FORCE_S)
        for state in cluster_states(fleet):
            assert ready_desks(state) == ["desk-2"]

    async def test_configuration_comes_into_force(self, restored_fleet):
        """Guards against missing a configuration, since its change has a known revision."""
        restored_fleet.configure(make_configuration(7))
        await trio.sleep(IN_FORCE_S)
        versions = [state.configuration.version for state in cluster_states(restored_fleet)]
        assert versions == [7, 7, 7, 7]

    async def test_entry_without_the_store_learns_them_from_its_peers(self, restored_fleet):
        """Guards against missing changes at an entry that only its peers tell of the restore."""
        fleet = restored_fleet
        fleet.entries_without_store.add(4)
        fleet.configure(make_configuration(7))
        fleet.store.put("servers/desk-1", fleet.replicas["desk-1"].entry(is_draining=True))
        await trio.sleep(IN_FORCE_S)
        state = cluster_states(fleet)[-1]
        assert state.configuration.version == 7
        assert ready_desks(state) == ["desk-2"]


class TestKnowledgeFromBeforeRestore:
    """What entries know and the restored store has lost."""

    async def test_nothing_older_comes_back(self, fleet):
        """Guards against using the copy's routes and a server that it names as ready."""
        await self._lose_a_drain_and_a_version(fleet)
        await trio.sleep(IN_FORCE_S)
        for state in cluster_states(fleet):
            assert state.configuration.version == 5
            assert ready_desks(state) == ["desk-2"]

    async def test_entry_that_starts_later_learns_it_from_its_peers(self, fleet):
        """Guards against a new entry that serves what the copy names."""
        await self._lose_a_drain_and_a_version(fleet)
        fleet.kill_entry(2)
        await fleet.add_entry(2)
        state = cluster_states(fleet)[-1]
        await wait_until(lambda: state.configuration_version == 5)
        await wait_until(lambda: ready_desks(state) == ["desk-2"])

    async def test_entry_that_starts_later_learns_it_from_one_that_is_cut_off(self, fleet):
        """Guards against losing a version that only an entry without the store still knows."""
        await start_desks(fleet)
        await start_entries(fleet, 2)
        copy = fleet.store.copy()
        fleet.configure(make_configuration(5))
        await wait_until(lambda: all(s.configuration_version == 5 for s in cluster_states(fleet)))
        fleet.entries_without_store.add(1)
        fleet.kill_entry(2)
        fleet.store.restore(copy)
        await fleet.add_entry(2)
        state = cluster_states(fleet)[-1]
        await wait_until(lambda: state.configuration_version == 5)

    async def test_several_restores_in_a_row(self, fleet):
        """Guards against missing changes after a second restore that follows at once."""
        await start_desks(fleet)
        await start_entries(fleet, 4)
        copy = fleet.store.copy()
        for version in (3, 5, 7):
            fleet.configure(make_configuration(version))
            await trio.sleep(0.1)
            fleet.store.restore(copy)
            await trio.sleep(0.1)
        fleet.configure(make_configuration(9))
        fleet.store.put("servers/desk-1", fleet.replicas["desk-1"].entry(is_draining=True))
        await trio.sleep(IN_FORCE_S)
        for state in cluster_states(fleet):
            assert state.configuration_version == 9
            assert ready_desks(state) == ["desk-2"]

    async def test_restore_while_the_store_is_away(self, fleet):
        """Guards against dropping live servers that the copy misses, at the end of an outage."""
        await start_desks(fleet)
        await start_entries(fleet, 3)
        copy = fleet.store.copy()
        replica = await fleet.add_replica("desk-3", "desk")
        await all_at_revision(fleet, fleet.store.revision)
        fleet.store.error_status = 503
        await trio.sleep(1.5)
        fleet.store.restore(copy)
        fleet.store.error_status = 0
        await wait_until(lambda: all(state.position.epoch == 2 for state in cluster_states(fleet)))
        assert all("desk-3" in ready_desks(state) for state in cluster_states(fleet))
        fleet.store.put("servers/desk-3", replica.entry())
        await trio.sleep(LAPSE_GRACE_S + 0.3)
        assert all("desk-3" in ready_desks(state) for state in cluster_states(fleet))

    async def _lose_a_drain_and_a_version(self, fleet) -> None:
        await start_desks(fleet)
        await start_entries(fleet, 3)
        copy = fleet.store.copy()
        fleet.configure(make_configuration(5))
        fleet.store.put("servers/desk-1", fleet.replicas["desk-1"].entry(is_draining=True))
        await all_at_revision(fleet, fleet.store.revision)
        fleet.store.restore(copy)
        await wait_until(lambda: all(state.position.epoch == 2 for state in cluster_states(fleet)))


class TestAddressAfterRestore:
    """Registration of an entry's own address."""

    async def test_lost_address_is_written_again(self, fleet, monkeypatch):
        """Guards against an entry that renews a lease which was given out again to another."""
        monkeypatch.setattr(address_registration, "ADDRESS_LEASE_S", 1.0)
        copy = fleet.store.copy()
        await start_entries(fleet, 2)
        await wait_until(lambda: len(entry_keys(fleet)) == 2)
        fleet.store.restore(copy)
        assert entry_keys(fleet) == []
        await wait_until(lambda: len(entry_keys(fleet)) == 2)


class TestCallsAfterRestore:
    """Calls to a store that was restored."""

    async def test_entries_do_not_reread_the_store_in_a_loop(self, restored_fleet):
        """Guards against reading the full state again and again after each refused watch."""
        await trio.sleep(1.0)
        restored_fleet.store_calls.clear()
        await trio.sleep(2.0)
        calls = [
            sum(n for (number, _), n in restored_fleet.store_calls.items() if number == entry)
            for entry in (1, 2, 3, 4)
        ]
        assert max(calls) <= 2 * MAX_CALLS_PER_S
