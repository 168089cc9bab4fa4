"""Entries after the store was restored from a copy that misses its latest changes."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.peers import Peers
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
    for number in (1, 2):
        await fleet.add_replica(f"desk-{number}", "desk")
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
            assert [server.server_id for server in state.servers_of("desk")] == ["desk-2"]

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
        assert [server.server_id for server in state.servers_of("desk")] == ["desk-2"]


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
