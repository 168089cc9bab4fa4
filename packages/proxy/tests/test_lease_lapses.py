"""Removed records: departures, and leases that lapsed in an outage of the store."""

from __future__ import annotations

import pytest

from sassafrastally.core import Clock, Kernel, KvEntry, KvEvent
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.server_registry import LAPSE_GRACE_S
from sassafrastally.proxy.store import Snapshot

from .test_cluster_state import REGISTRATION_EXPIRY_S, PlainDialect, at, put

HEARTBEAT_S = REGISTRATION_EXPIRY_S / 3
IDS = ("a", "b", "c")

GAP_S = 1.1
"""Time until another entry takes over the watch of two that have lost power."""


class Follower:
    """A view that follows the heartbeats of three servers."""

    def __init__(self, clock) -> None:
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        self.state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
        self.clock = clock
        self.revision = 0
        self.state.replace(Snapshot((), at(0)), "store")

    def beat(self, *server_ids: str) -> None:
        """Let servers write their records, each read at once."""
        for server_id in server_ids:
            self.revision += 1
            events = [put(f"servers/{server_id}", "false", self.revision)]
            self.state.apply(events, at(self.revision), "store")

    def follow(self, duration_s: float) -> None:
        """Let all servers send heartbeats for a while, one after another."""
        for _ in range(round(duration_s / HEARTBEAT_S)):
            for server_id in IDS:
                self.beat(server_id)
                self.clock.jump(HEARTBEAT_S / len(IDS))

    def read_removal(self, *server_ids: str) -> None:
        """Read that records are gone."""
        events = []
        for server_id in server_ids:
            self.revision += 1
            events.append(KvEvent(f"servers/{server_id}", None, self.revision))
        self.state.apply(events, at(self.revision), "store")

    def note_return(self) -> None:
        """Learn that the store is back after an outage."""
        self.state.servers.store_returned_s = self.state.kernel.clock.now_s()

    def usable(self) -> list[str]:
        """Return the servers that get requests."""
        return sorted(server.server_id for server in self.state.servers.of_service("s"))


@pytest.fixture
async def follower(autojump_clock):
    found = Follower(autojump_clock)
    found.follow(5.0)
    return found


class TestDepartures:
    """Servers that leave without reporting it, in the grace period after an outage."""

    async def test_server_that_has_just_sent_a_heartbeat_has_left(self, follower, autojump_clock):
        """Another entry couldn't reach the store, and its return started a grace period for all.
        Guards against requests to a server that left, until the period is over."""
        follower.note_return()
        follower.read_removal("a")
        assert follower.usable() == ["b", "c"]

    async def test_server_that_left_in_a_short_gap_of_the_watchers_is_dropped(
        self, follower, autojump_clock
    ):
        """Both watchers lose power right after a heartbeat, and the store's return is noted at the
        takeover. Guards against taking a departure in the gap for a lapse."""
        follower.clock.jump(GAP_S)
        follower.note_return()
        follower.read_removal("a")
        assert follower.usable() == ["b", "c"]

    async def test_server_that_is_missing_in_a_snapshot_is_dropped(self, follower, autojump_clock):
        """After the gap the store has no history any more. Guards against a check that only counts
        for removals among the changes."""
        follower.clock.jump(GAP_S)
        follower.note_return()
        entries = tuple(KvEntry(f"servers/{one}", b"false", follower.revision) for one in "bc")
        follower.state.replace(Snapshot(entries, at(follower.revision + 1)), "store")
        assert follower.usable() == ["b", "c"]

    async def test_heartbeat_within_the_gap_counts_from_its_beginning(
        self, follower, autojump_clock
    ):
        """A heartbeat and, long after, the removal are read together after a gap. Guards against
        counting the heartbeat from when it was read: its lease may have lapsed meanwhile."""
        follower.clock.jump(REGISTRATION_EXPIRY_S + 1.0)
        follower.note_return()
        follower.beat("a")
        follower.read_removal("a")
        assert follower.usable() == ["a", "b", "c"]


class TestLapses:
    """Servers whose leases lapsed in an outage."""

    async def test_all_are_kept_until_they_register_again(self, follower, autojump_clock):
        """Guards against refusing all requests for two seconds after an outage."""
        follower.clock.jump(REGISTRATION_EXPIRY_S + 1.0)
        follower.note_return()
        follower.read_removal(*IDS)
        assert follower.usable() == ["a", "b", "c"]
        follower.beat("a", "b")
        follower.clock.jump(LAPSE_GRACE_S + 0.1)
        assert follower.usable() == ["a", "b"]

    async def test_lapse_with_the_last_heartbeat_just_before_the_outage_is_one(
        self, follower, autojump_clock
    ):
        """Guards against a bound so tight that the transit of changes makes a lapse a departure."""
        follower.beat("a")
        follower.clock.jump(REGISTRATION_EXPIRY_S - 0.3)
        follower.note_return()
        follower.read_removal("a")
        assert "a" in follower.usable()

    async def test_server_of_the_first_snapshot_may_have_lapsed(self, autojump_clock):
        """An entry starts during an outage's end: how old the records are isn't known. Guards
        against dropping servers whose leases lapse right after the snapshot was read."""
        state = Kernel("vm", "dc", Clock(), seed=1).add(
            ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S)
        )
        state.replace(Snapshot((KvEntry("servers/a", b"false", 3),), at(3)), "store")
        state.servers.store_returned_s = state.kernel.clock.now_s()
        state.apply([KvEvent("servers/a", None, 4)], at(4), "store")
        assert [server.server_id for server in state.servers.of_service("s")] == ["a"]

    async def test_restored_store_may_lack_any_server(self, follower, autojump_clock):
        """Guards against dropping a live server, which the copy lacks, for its recent heartbeat."""
        follower.beat("a")
        follower.note_return()
        follower.state.replace(Snapshot((), at(1, epoch=2)), "store")
        assert follower.usable() == ["a", "b", "c"]

    async def test_server_that_reported_draining_is_never_kept(self, follower, autojump_clock):
        """Guards against requests to a server that has said that it leaves."""
        follower.revision += 1
        follower.state.apply(
            [put("servers/a", "true", follower.revision)], at(follower.revision), "store"
        )
        follower.clock.jump(REGISTRATION_EXPIRY_S + 1.0)
        follower.note_return()
        follower.read_removal("a")
        assert "a" not in follower.usable()
