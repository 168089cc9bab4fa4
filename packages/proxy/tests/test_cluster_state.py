"""Local view of configuration and servers: updates from the store and peers, store outages."""

from __future__ import annotations

import json

import pytest

from sassafrastally.core import Clock, Kernel, KvEntry, KvEvent
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.dialect import DocumentInvalid, StoreKeys
from sassafrastally.proxy.model import BackendServer, Configuration, RequestLimits
from sassafrastally.proxy.server_registry import LAPSE_GRACE_S
from sassafrastally.proxy.store import Snapshot, StorePosition

REGISTRATION_EXPIRY_S = 3.0

LIMITS = RequestLimits(1000, 1000, 1.0, 1.0)


class PlainDialect:
    """Decodes store values from JSON."""

    keys = StoreKeys("config", "servers/", "entries/", "quarantine/", "evacuate/")

    def decode_configuration(self, value: bytes) -> Configuration:
        try:
            return Configuration(int(value), (), {}, LIMITS, None)
        except ValueError as cause:
            raise DocumentInvalid(str(cause)) from cause

    def decode_server(self, key: str, value: bytes) -> BackendServer:
        """Return a server of ``[is_draining, born_ms, data_centre]`` or of its beginning."""
        try:
            body = json.loads(value)
        except ValueError as cause:
            raise DocumentInvalid(str(cause)) from cause
        fields = body if isinstance(body, list) else [body]
        is_draining, born_ms, data_centre = [*fields, *(None, "dc")[len(fields) - 1 :]]
        server_id = key.removeprefix("servers/")
        return BackendServer(server_id, "s", None, data_centre, 1, is_draining, born_ms)


@pytest.fixture
async def cluster_state(autojump_clock):
    kernel = Kernel("vm", "dc", Clock(), seed=1)
    cluster_state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
    cluster_state.replace(Snapshot((), at(0)), "store")
    return cluster_state


def at(revision: int, epoch: int = 1) -> StorePosition:
    """Return a position of the store."""
    return StorePosition(epoch, revision)


def put(key: str, value: str, revision: int) -> KvEvent:
    """Return a change."""
    return KvEvent(key, value.encode(), revision)


class TestConfiguration:
    """Configuration versions only increase."""

    async def test_older_version_from_a_delayed_read_is_ignored(self, cluster_state):
        """A delayed store read delivers an older version after a watch has delivered a newer one.
        Guards against restoring routes and keys that operators have removed."""
        cluster_state.apply([put("config", "7", 10)], at(10), "store")
        cluster_state.replace(Snapshot((KvEntry("config", b"5", 11),), at(11)), "store")
        assert cluster_state.configuration.version == 7

    async def test_only_the_last_of_many_versions_is_kept_for_peers(self, cluster_state):
        """Operators publish two hundred versions of half a megabyte within a minute. Guards against
        keeping them all for peers that are behind: a hundred megabytes of memory, fetched by each
        such peer."""
        for revision in range(1, 201):
            cluster_state.apply([put("config", str(revision), revision)], at(revision), "store")
        cluster_state.apply([put("servers/a", "false", 201)], at(201), "store")
        delta = cluster_state.delta_after(at(1))
        assert [event.key for event in delta.events] == ["config", "servers/a"]
        assert delta.events[0].value == b"200"

    async def test_last_change_of_a_key_is_kept_when_older_ones_are_dropped(self, cluster_state):
        """A batch changes the configuration, six hundred servers, and the configuration again.
        Guards against dropping the last version as the oldest change, so that a peer that misses
        only some of the servers' changes never receives it."""
        servers = [put(f"servers/{n}", "false", n) for n in range(2, 602)]
        changes = [put("config", "1", 1), *servers, put("config", "2", 602)]
        cluster_state.apply(changes, at(602), "store")
        assert "config" in {event.key for event in cluster_state.delta_after(at(300)).events}

    async def test_invalid_configuration_leaves_the_last_one_in_force(self, cluster_state):
        cluster_state.apply([put("config", "7", 10)], at(10), "store")
        cluster_state.apply([put("config", "broken", 11)], at(11), "store")
        assert cluster_state.configuration.version == 7


class TestSharedAddresses:
    """Two registered servers name the same address."""

    async def test_crashed_server_is_not_used_once_another_has_started_at_its_address(
        self, cluster_state
    ):
        """A server crashes and another one starts at its address before the first record expires.
        Guards against requests for the crashed server, which the other one rejects."""
        first, second = put("servers/a", "[false, 100]", 1), put("servers/b", "[false, 200]", 2)
        cluster_state.apply([first, second], at(2), "store")
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["b"]
        cluster_state.apply([KvEvent("servers/b", None, 3)], at(3), "store")
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["a"]

    async def test_late_record_of_the_crashed_server_does_not_replace_its_successor(
        self, cluster_state
    ):
        """The crashed server's last write arrives after its successor's. Guards against using the
        record that was written last."""
        first, second = put("servers/a", "[false, 100]", 2), put("servers/b", "[false, 200]", 1)
        cluster_state.apply([second], at(1), "store")
        cluster_state.apply([first], at(2), "store")
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["b"]


class TestServers:
    """Backend servers join, drain and leave."""

    async def test_draining_server_is_known_but_not_used(self, cluster_state):
        cluster_state.apply(
            [put("servers/a", "false", 1), put("servers/b", "true", 2)], at(2), "store"
        )
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["a"]
        assert cluster_state.servers.get("b") is not None

    async def test_old_change_from_a_peer_does_not_restore_a_removed_server(self, cluster_state):
        """A server has left, and a peer that is behind sends the last change of its record with the
        old revision. Guards against requests to a server that is gone."""
        cluster_state.apply([put("servers/a", "false", 1)], at(1), "store")
        cluster_state.apply([KvEvent("servers/a", None, 5)], at(5), "store")
        cluster_state.apply([put("servers/a", "false", 3)], at(3), "peer")
        assert cluster_state.servers.get("a") is None

    async def test_older_snapshot_is_ignored(self, cluster_state):
        cluster_state.apply([put("servers/a", "false", 9)], at(9), "store")
        cluster_state.replace(Snapshot((), at(4)), "peer")
        assert cluster_state.servers.get("a") is not None

    async def test_server_whose_lease_expired_in_an_outage_is_kept_for_a_grace_period(
        self, cluster_state, autojump_clock
    ):
        """Leases expired during a store outage, so the first changes after it remove live servers,
        which register again within two seconds. Guards against refusing all requests meanwhile."""
        cluster_state.apply(
            [put("servers/a", "false", 1), put("servers/b", "false", 2)], at(2), "store"
        )
        autojump_clock.jump(REGISTRATION_EXPIRY_S)
        cluster_state.servers.store_returned_s = cluster_state.kernel.clock.now_s()
        gone = [KvEvent("servers/a", None, 3), KvEvent("servers/b", None, 4)]
        cluster_state.apply(gone, at(4), "store")
        assert len(cluster_state.servers.of_service("s")) == 2
        cluster_state.apply([put("servers/a", "false", 5)], at(5), "store")
        autojump_clock.jump(LAPSE_GRACE_S + 0.1)
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["a"]

    async def test_lapsed_server_that_is_removed_again_is_dropped_once(
        self, cluster_state, autojump_clock
    ):
        """A server's lease expires in an outage, and it registers again and leaves between two
        reads of this process. Guards against a request that fails while the server is looked up."""
        cluster_state.apply([put("servers/a", "false", 1)], at(1), "store")
        autojump_clock.jump(REGISTRATION_EXPIRY_S)
        cluster_state.servers.store_returned_s = cluster_state.kernel.clock.now_s()
        cluster_state.apply([KvEvent("servers/a", None, 2)], at(2), "store")
        autojump_clock.jump(LAPSE_GRACE_S + 0.1)
        cluster_state.apply([KvEvent("servers/a", None, 4)], at(4), "store")
        assert cluster_state.servers.of_service("s") == []

    async def test_server_removed_without_an_outage_is_dropped_at_once(self, cluster_state):
        cluster_state.apply([put("servers/a", "false", 1)], at(1), "store")
        cluster_state.apply([KvEvent("servers/a", None, 2)], at(2), "store")
        assert cluster_state.servers.of_service("s") == []


class TestIncarnations:
    """Servers that restart under the same id."""

    async def test_next_incarnation_is_another_server(self, cluster_state):
        cluster_state.apply([put("servers/a", "[false, 1000]", 1)], at(1), "store")
        (first,) = cluster_state.servers.of_service("s")
        cluster_state.apply([put("servers/a", "[false, 2000]", 2)], at(2), "store")
        (second,) = cluster_state.servers.of_service("s")
        assert first.server_id == second.server_id
        assert first.incarnation_id != second.incarnation_id
        assert not cluster_state.servers.is_current(first)
        assert cluster_state.servers.is_current(second)

    @pytest.mark.parametrize("late", ["[true, 1000]", "false"])
    async def test_late_record_of_an_earlier_incarnation_is_ignored(self, cluster_state, late):
        """A server crashes while its last write, which marks it as draining, is in flight, and
        restarts under the same id. Guards against applying the late write to the new incarnation,
        which would get no requests until its next own write."""
        cluster_state.apply([put("servers/a", "[false, 1000]", 1)], at(1), "store")
        cluster_state.apply([put("servers/a", "[false, 2000]", 2)], at(2), "store")
        cluster_state.apply([put("servers/a", late, 3)], at(3), "store")
        assert [server.born_ms for server in cluster_state.servers.of_service("s")] == [2000]

    async def test_late_record_is_ignored_after_the_server_has_left(self, cluster_state):
        cluster_state.apply([put("servers/a", "[false, 2000]", 2)], at(2), "store")
        cluster_state.apply([KvEvent("servers/a", None, 3)], at(3), "store")
        cluster_state.apply([put("servers/a", "[false, 1000]", 4)], at(4), "peer")
        assert cluster_state.servers.of_service("s") == []

    async def test_number_of_remembered_incarnations_is_bounded(self, cluster_state, monkeypatch):
        monkeypatch.setattr("sassafrastally.proxy.incarnation_order.MAX_KEPT_INCARNATIONS", 3)
        for number in range(6):
            cluster_state.apply(
                [put(f"servers/{number}", "[false, 5]", number + 1)], at(number + 1), "store"
            )
        cluster_state.apply(
            [put("servers/0", "[true, 4]", 9), put("servers/5", "[true, 4]", 10)], at(10), "s"
        )
        assert cluster_state.servers.get("0").is_draining
        assert not cluster_state.servers.get("5").is_draining


class TestInvalidRecords:
    """Invalid records under the servers' prefix, written by another process."""

    async def test_overwritten_server_gets_no_request_until_it_writes_again(self, cluster_state):
        """Another process overwrites a server's record, so that its drain state can't be read.
        Guards against requests to the server after it has left."""
        cluster_state.apply(
            [put("servers/a", "false", 1), put("servers/b", "false", 2)], at(2), "store"
        )
        cluster_state.apply([put("servers/a", "{not JSON", 3)], at(3), "store")
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["b"]
        cluster_state.apply([put("servers/a", "false", 4)], at(4), "store")
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["a", "b"]

    async def test_invalid_record_does_not_block_other_changes(self, cluster_state):
        events = [put("servers/a", "{", 1), put("servers/b", "false", 2), put("config", "1", 3)]
        cluster_state.apply(events, at(3), "store")
        assert [server.server_id for server in cluster_state.servers.of_service("s")] == ["b"]
        assert cluster_state.configuration is not None


class TestDelta:
    """Changes sent to a peer that is behind."""

    async def test_changes_if_they_are_kept_and_full_snapshot_otherwise(self, cluster_state):
        cluster_state.replace(Snapshot((KvEntry("config", b"1", 4),), at(4)), "store")
        cluster_state.apply([put("servers/a", "false", 6)], at(6), "store")
        assert [event.key for event in cluster_state.delta_after(at(4)).events] == ["servers/a"]
        assert cluster_state.delta_after(at(4)).entries is None
        assert len(cluster_state.delta_after(at(2)).entries) == 2
