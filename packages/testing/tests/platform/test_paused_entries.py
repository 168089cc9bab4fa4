"""Entries that don't run for a while and what they then think of their peers, on the mock clock."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.listening_clock import LATE_S
from sassafrastally.proxy.load_exchange import PEER_TIMEOUT_S
from sassafrastally.proxy.peers import Peers

ENTRIES = 4
PAUSES_S = [1.0, 1.5, 4.0, 20.0]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 9


@pytest.fixture
async def peers(autojump_clock, seeded_fleet):
    """What each entry knows of the others."""
    kernels = [await seeded_fleet.add_entry(number + 1) for number in range(ENTRIES)]
    await trio.sleep(3.0)
    return [kernel.get("peers", Peers) for kernel in kernels]


def known_counts(peers) -> list[tuple[int, int]]:
    """Return the number of live peers and of members that each entry knows."""
    return [(one.live_count(), len(one.members())) for one in peers]


class TestPausedEntry:
    """An entry that runs again after a pause."""

    @pytest.mark.parametrize("paused_s", PAUSES_S)
    async def test_does_not_take_its_peers_for_dead(
        self, autojump_clock, seeded_fleet, peers, paused_s
    ):
        """Guards against requests that are placed as if no other entry sent any, and against a
        retry budget and limits of servers that each entry takes for its own."""
        all_known = (ENTRIES - 1, ENTRIES - 1)
        assert known_counts(peers) == [all_known] * ENTRIES
        autojump_clock.jump(paused_s)
        for _ in range(50):
            assert known_counts(peers) == [all_known] * ENTRIES
            await trio.sleep(0.02)
        names = {one["name"] for kernel in seeded_fleet.kernels for one in kernel.events.records()}
        assert "PeerSilent" not in names

    async def test_does_not_take_what_waited_in_its_socket_for_new(
        self, autojump_clock, seeded_fleet, peers
    ):
        """A datagram from the beginning of the pause is read after it. Guards against a view that
        counts as confirmed although changes were missed, by which a live server whose lease lapsed
        in the pause would be taken for one that left."""
        state = seeded_fleet.kernels[0].get("beliefs", ClusterState)
        hello = peers[1].hello()._replace(sequence=1_000_000, position=state.position)
        begin_s = trio.current_time()
        autojump_clock.jump(5.0)
        assert peers[0]._apply(hello)
        assert state.confirmed_s <= begin_s

    @pytest.mark.parametrize("paused_s", PAUSES_S)
    async def test_notices_that_a_peer_has_ended(
        self, autojump_clock, seeded_fleet, peers, paused_s
    ):
        """Guards against a dead entry whose load counts on for the length of a pause."""
        seeded_fleet.kill_entry(1)
        autojump_clock.jump(paused_s)
        await trio.sleep(LATE_S + PEER_TIMEOUT_S)
        assert [one.live_count() for one in peers[1:]] == [ENTRIES - 2] * (ENTRIES - 1)

    async def test_notices_it_at_the_usual_time_without_a_pause(
        self, autojump_clock, seeded_fleet, peers
    ):
        """Guards against dead entries that count longer since an entry might be paused."""
        seeded_fleet.kill_entry(1)
        await trio.sleep(PEER_TIMEOUT_S)
        assert [one.live_count() for one in peers[1:]] == [ENTRIES - 2] * (ENTRIES - 1)
