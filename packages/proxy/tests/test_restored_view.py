"""The view of a store that was restored from a copy, which has older records or none."""

from __future__ import annotations

import pytest

from sassafrastally.core import Clock, Kernel, KvEntry, KvEvent
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.server_registry import LAPSE_GRACE_S
from sassafrastally.proxy.store import Snapshot, StorePosition

from .test_cluster_state import REGISTRATION_EXPIRY_S, PlainDialect, at, put


def entry(key: str, value: str, revision: int) -> KvEntry:
    """Return a record."""
    return KvEntry(key, value.encode(), revision)


SERVERS = entry("servers/a", "false", 10), entry("servers/b", "false", 9)
"""Records of the copy and of the store before the restore."""


def snapshot(epoch: int, revision: int, *entries: KvEntry) -> Snapshot:
    """Return a full snapshot."""
    return Snapshot(entries, StorePosition(epoch, revision))


def ready_servers(state: ClusterState) -> list[str]:
    """Return the ids of the servers that get requests."""
    return [server.server_id for server in state.servers.of_service("s")]


def make_state() -> ClusterState:
    """Return an empty view."""
    kernel = Kernel("vm", "dc", Clock(), seed=1)
    return kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))


@pytest.fixture
async def state(autojump_clock):
    """A view at revision 30 of the first epoch: configuration 7, two servers."""
    state = make_state()
    state.replace(snapshot(1, 30, entry("config", "7", 30), *SERVERS), "store")
    return state


def restore(state: ClusterState, revision: int, *entries: KvEntry, epoch: int = 2) -> None:
    """Restore the store and let the view learn it from the store."""
    state.servers.store_returned_s = state.kernel.clock.now_s()
    state.replace(snapshot(epoch, revision, *entries), "store")


class TestPosition:
    """Positions of different epochs."""

    async def test_snapshot_of_a_later_epoch_counts_despite_its_lower_revision(self, state):
        """Guards against ignoring the restored store, whose revision is lower."""
        restore(state, 12, entry("config", "8", 12), entry("servers/a", "true", 11))
        assert state.position == StorePosition(2, 12)
        assert state.configuration.version == 8
        assert "a" not in ready_servers(state)

    async def test_record_counts_despite_its_lower_revision(self, state):
        """Guards against keeping a record because it has a higher revision of another epoch."""
        restore(state, 40, entry("config", "8", 29), entry("servers/a", "true", 9))
        assert state.configuration.version == 8
        assert "a" not in ready_servers(state)

    async def test_change_with_a_revision_that_was_given_out_before_counts(self, state):
        """Guards against skipping a change because its revision was applied before the restore."""
        restore(state, 12, entry("config", "7", 11), entry("servers/a", "false", 10))
        state.apply([put("servers/a", "true", 13), put("config", "8", 14)], at(14, 2), "store")
        assert state.configuration.version == 8
        assert "a" not in ready_servers(state)

    async def test_changes_of_an_earlier_epoch_are_skipped(self, state):
        """Guards against applying a peer's late answer from before the restore."""
        restore(state, 12, entry("config", "7", 11), *SERVERS)
        state.servers.store_returned_s = float("-inf")
        state.apply([KvEvent("servers/a", None, 31)], at(31, 1), "peer")
        state.replace(snapshot(1, 99), "peer")
        assert ready_servers(state) == ["a", "b"]
        assert state.position == StorePosition(2, 12)

    async def test_several_restores_in_a_row(self, state):
        """Guards against comparing with the first epoch after a second restore."""
        restore(state, 20, entry("config", "8", 20), entry("servers/a", "false", 10))
        restore(state, 5, entry("config", "3", 4), epoch=5)
        state.apply([put("config", "9", 6)], at(6, 5), "store")
        assert state.position == StorePosition(5, 6)
        assert state.configuration.version == 9

    async def test_peer_of_another_epoch_gets_a_full_snapshot(self, state):
        """Guards against sending a peer only the changes after a revision of another epoch."""
        restore(state, 12, entry("config", "8", 12), entry("servers/a", "false", 10))
        state.apply([put("servers/c", "false", 13)], at(13, 2), "store")
        assert state.delta_after(at(12, 2)).entries is None
        assert {one.key for one in state.delta_after(at(12, 1)).entries} == {
            "config",
            "servers/a",
            "servers/c",
        }


class TestConfiguration:
    """The configuration after a restore."""

    async def test_older_configuration_of_the_copy_does_not_come_into_force(self, state):
        restore(state, 12, entry("config", "6", 5))
        assert state.configuration.version == 7

    async def test_newer_one_is_passed_on_to_entries_that_read_the_copy(self, state):
        """Guards against an entry that starts after the restore and serves the copy's routes."""
        copied = entry("config", "6", 5)
        restore(state, 12, copied)
        started = make_state()
        started.replace(snapshot(2, 12, copied), "store")
        assert state.configuration_version > started.configuration_version
        delta = state.delta_after(started.position)
        started.apply(delta.events, delta.position, "peer")
        assert started.configuration.version == 7

    async def test_newer_one_is_taken_from_a_peer_of_an_earlier_epoch(self, state):
        """Guards against an entry that refuses a route which a peer without the store serves."""
        started = make_state()
        started.replace(snapshot(2, 12, entry("config", "6", 5)), "store")
        delta = state.delta_after(started.position)
        started.replace(Snapshot(delta.entries, delta.position), "peer")
        assert started.configuration.version == 7
        assert started.position == StorePosition(2, 12)

    async def test_configuration_stays_in_force_without_its_record(self, state):
        restore(state, 2)
        assert state.configuration.version == 7
        assert [one.value for one in state.delta_after(at(0, 0)).entries] == [b"7"]

    async def test_configuration_that_is_written_again_replaces_the_kept_one(self, state):
        """Guards against passing on a kept configuration when the store has a newer one."""
        restore(state, 12, entry("config", "6", 5))
        state.apply([put("config", "8", 13)], at(13, 2), "store")
        delta = state.delta_after(at(13, 2))
        assert state.configuration.version == 8
        assert delta.events == ()


class TestDrainingServers:
    """Servers that were draining before the restore."""

    async def test_server_that_the_copy_names_as_ready_stays_draining(self, state):
        """Guards against requests to a server that has said that it leaves."""
        state.apply([put("servers/a", "true", 31)], at(31), "store")
        restore(state, 12, *SERVERS)
        assert ready_servers(state) == ["b"]
        assert state.servers.draining_to_announce() == (server_hash("a"),)

    async def test_removed_draining_server_stays_out_of_use(self, state):
        """Guards against using a server that is gone, since the copy has its record again."""
        state.apply([put("servers/a", "true", 31)], at(31), "store")
        state.apply([KvEvent("servers/a", None, 32)], at(32), "store")
        restore(state, 12, *SERVERS)
        assert ready_servers(state) == ["b"]

    async def test_peers_that_started_later_learn_of_it(self, state):
        """Guards against requests to a leaving server from an entry that knows only the copy."""
        state.apply([put("servers/a", "true", 31)], at(31), "store")
        copied = entry("servers/a", "false", 10)
        restore(state, 12, copied)
        told_after, told_before = make_state(), make_state()
        told_after.replace(snapshot(2, 12, copied), "store")
        told_after.servers.record_announced_draining(state.servers.draining_to_announce(), "peer")
        told_before.servers.record_announced_draining(state.servers.draining_to_announce(), "peer")
        told_before.replace(snapshot(2, 12, copied), "store")
        assert ready_servers(told_after) == ready_servers(told_before) == []
        assert told_after.servers.draining_to_announce() == (server_hash("a"),)

    async def test_announcement_ends_when_the_store_has_caught_up(self, state):
        state.apply([put("servers/a", "true", 31)], at(31), "store")
        restore(state, 12, *SERVERS)
        state.apply([put("servers/a", "true", 13)], at(13, 2), "store")
        assert state.servers.draining_to_announce() == ()
        assert ready_servers(state) == ["b"]

    async def test_next_incarnation_is_used(self, state):
        """Guards against treating a restarted server as the draining one before it."""
        state.apply([put("servers/c", "[true, 1000]", 31)], at(31), "store")
        restore(state, 12, entry("servers/c", "[false, 1000]", 10))
        assert "c" not in ready_servers(state)
        assert len(state.servers.draining_to_announce()) == 1
        state.apply([put("servers/c", "[false, 2000]", 13)], at(13, 2), "store")
        assert "c" in ready_servers(state)
        assert state.servers.draining_to_announce() == ()


class TestRemovedServers:
    """Servers whose records were removed before the restore, without a word."""

    async def test_server_that_the_copy_brings_back_is_not_used_at_once(
        self, state, autojump_clock
    ):
        """Guards against requests to a server that is gone, until the platform removes it."""
        state.apply([KvEvent("servers/a", None, 31)], at(31), "store")
        restore(state, 12, *SERVERS)
        assert ready_servers(state) == ["b"]
        assert list(state.servers.held()) == ["a"]
        autojump_clock.jump(REGISTRATION_EXPIRY_S)
        state.apply([KvEvent("servers/a", None, 13)], at(13, 2), "store")
        autojump_clock.jump(LAPSE_GRACE_S)
        assert ready_servers(state) == ["b"]
        assert state.servers.held() == {}

    async def test_server_that_writes_again_is_used_at_once(self, state):
        state.apply([KvEvent("servers/a", None, 31)], at(31), "store")
        restore(state, 12, *SERVERS)
        state.apply([put("servers/a", "false", 13)], at(13, 2), "store")
        assert ready_servers(state) == ["a", "b"]

    async def test_server_that_stays_registered_is_used_again(self, state, autojump_clock):
        """Guards against losing a live server for good because its record had expired once."""
        state.apply([KvEvent("servers/a", None, 31)], at(31), "store")
        restore(state, 12, *SERVERS)
        autojump_clock.jump(REGISTRATION_EXPIRY_S + LAPSE_GRACE_S + 0.1)
        assert ready_servers(state) == ["a", "b"]

    async def test_live_server_that_the_copy_misses_is_kept_until_it_writes_again(
        self, state, autojump_clock
    ):
        """Guards against refusing requests of servers that registered after the copy."""
        state.apply([put("servers/c", "false", 31)], at(31), "store")
        restore(state, 12, *SERVERS)
        assert "c" in ready_servers(state)
        state.apply([put("servers/c", "false", 13)], at(13, 2), "store")
        autojump_clock.jump(LAPSE_GRACE_S + 0.1)
        assert "c" in ready_servers(state)


class TestQuarantineRecords:
    """Records of quarantined requests, which the entries write themselves."""

    async def test_lost_record_does_not_lift_the_quarantine(self, state, autojump_clock):
        """Guards against letting a harmful request through because its record was lost."""
        state.apply([put("quarantine/x", "{}", 31)], at(31), "store")
        notified = []
        state.on_quarantine_record = notified.append
        autojump_clock.jump(LAPSE_GRACE_S + 1.0)
        state.replace(snapshot(2, 12), "peer")
        assert notified == []
        assert not state.has_key("quarantine/x")

    async def test_lifted_verdict_stays_lifted(self, state):
        """Guards against quarantining a request again because the copy has its old record."""
        state.apply([put("quarantine/x", "{}", 31)], at(31), "store")
        state.apply([KvEvent("quarantine/x", None, 32)], at(32), "store")
        notified = []
        state.on_quarantine_record = notified.append
        restore(state, 31, entry("quarantine/x", "{}", 31))
        assert [record.value for record in notified] == [None]
        state.apply([put("quarantine/x", "{}", 32)], at(32, 2), "store")
        assert [record.value for record in notified] == [None, b"{}"]
