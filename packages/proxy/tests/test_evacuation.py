"""Decisions on evacuated data centres and home regions, and the records that they follow."""

from __future__ import annotations

import pytest

from sassafrastally.core import Clock, Kernel, KvEntry, KvEvent
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.evacuation import (
    KEPT_S,
    DataCentres,
    Unavailability,
    find_unavailability,
    home_data_centres,
)
from sassafrastally.proxy.evacuation.registry import ANNOUNCED_S
from sassafrastally.proxy.store import Snapshot, StorePosition

from .test_cluster_state import REGISTRATION_EXPIRY_S, PlainDialect, at, put

SERVERS = (
    KvEntry("servers/a", b'[false, 1, "north"]', 1),
    KvEntry("servers/b", b'[false, 1, "south"]', 2),
)
NORTH = KvEntry("evacuate/north", b"{}", 3)


def make_state(data_centres: DataCentres | None = None) -> ClusterState:
    """Return an empty view."""
    kernel = Kernel("vm", "north", Clock(), seed=1)
    return kernel.add(
        ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S, data_centres or DataCentres())
    )


def snapshot(epoch: int, revision: int, *entries: KvEntry) -> Snapshot:
    """Return a full snapshot that holds the servers."""
    return Snapshot((*SERVERS, *entries), StorePosition(epoch, revision))


def used(state: ClusterState) -> list[str]:
    """Return the ids of the servers that get requests."""
    return sorted(server.server_id for server in state.servers.of_service("s"))


def logged(state: ClusterState, name: str) -> list[dict]:
    """Return the fields of the log events of a name."""
    return [r["fields"] for r in state.kernel.events.records() if r["name"] == name]


@pytest.fixture
async def state(autojump_clock):
    """A view with one server in each of two data centres."""
    state = make_state()
    state.replace(snapshot(1, 10), "store")
    return state


class TestRecords:
    """Evacuations follow the store's records."""

    async def test_evacuation_and_withdrawal(self, state):
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        assert used(state) == ["b"]
        assert state.servers.get("a") is not None
        (event,) = logged(state, "DataCentreEvacuated")
        assert (event["data_centre"], event["servers"]) == ("north", 1)
        state.apply([KvEvent("evacuate/north", None, 12)], at(12), "store")
        assert used(state) == ["a", "b"]

    async def test_overlapping_evacuations_are_independent(self, state):
        """Guards against ending all evacuations when one of them is withdrawn."""
        changes = [put("evacuate/north", "{}", 11), put("evacuate/south", "{}", 12)]
        state.apply(changes, at(12), "store")
        assert used(state) == []
        state.apply([KvEvent("evacuate/north", None, 13)], at(13), "store")
        assert used(state) == ["a"]

    async def test_full_read_ends_the_evacuations_that_it_lacks(self, state):
        """Guards against an evacuation whose removal is lost with the store's history."""
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        state.replace(snapshot(1, 20, KvEntry("evacuate/south", b"{}", 15)), "store")
        assert used(state) == ["a"]

    async def test_value_is_ignored(self, state):
        state.apply([KvEvent("evacuate/north", b"\xff not JSON", 11)], at(11), "store")
        assert used(state) == ["b"]

    async def test_peer_that_starts_gets_the_record(self, state):
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        other = make_state()
        delta = state.delta_after(StorePosition(0, 0))
        other.replace(Snapshot(delta.entries, delta.position), "peer")
        assert used(other) == ["b"]


class TestUnknownDataCentre:
    """Evacuations of data centres that nobody knows."""

    async def test_gives_one_warning_until_servers_appear(self, state):
        """Guards against a warning for each change, and against ignoring servers that appear."""
        for revision in (11, 12, 13):
            state.apply([put("evacuate/west", "{}", revision)], at(revision), "store")
        assert len(logged(state, "EvacuationUnknown")) == 1
        assert used(state) == ["a", "b"]
        state.apply([put("servers/c", '[false, 1, "west"]', 14)], at(14), "store")
        assert used(state) == ["a", "b"]
        assert len(logged(state, "DataCentreEvacuated")) == 1

    async def test_data_centre_of_the_settings_is_known_without_servers(self, autojump_clock):
        state = make_state(DataCentres({"west": None}))
        state.replace(snapshot(1, 10, KvEntry("evacuate/west", b"{}", 9)), "store")
        assert not logged(state, "EvacuationUnknown")


class TestRestoredStore:
    """A store that is restored from a copy with older records."""

    async def test_evacuation_that_the_copy_lacks_stays_for_a_while(self, state, autojump_clock):
        """Guards against new requests to a data centre because the store has lost its record."""
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        state.replace(snapshot(2, 10), "store")
        autojump_clock.jump(KEPT_S - 1)
        state.replace(snapshot(2, 12), "store")
        assert used(state) == ["b"]
        autojump_clock.jump(1.1)
        assert used(state) == ["a", "b"]

    async def test_removal_in_the_new_epoch_ends_it(self, state):
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        state.replace(snapshot(2, 10), "store")
        state.apply([KvEvent("evacuate/north", None, 12)], at(12, 2), "store")
        assert used(state) == ["a", "b"]

    async def test_record_in_the_new_epoch_lasts(self, state, autojump_clock):
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        state.replace(snapshot(2, 10), "store")
        state.apply([put("evacuate/north", "{}", 11)], at(11, 2), "store")
        autojump_clock.jump(2 * KEPT_S)
        assert used(state) == ["b"]

    async def test_lifted_evacuation_stays_lifted_until_it_is_written(self, state):
        """Guards against evacuating a data centre because the copy has an old record of it."""
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        state.apply([KvEvent("evacuate/north", None, 12)], at(12), "store")
        copied = KvEntry("evacuate/north", b"{}", 11)
        state.replace(snapshot(2, 11, copied), "store")
        assert used(state) == ["a", "b"]
        state.apply([put("evacuate/north", "{}", 12)], at(12, 2), "store")
        assert used(state) == ["b"]

    async def test_record_of_the_new_epoch_in_a_full_read_is_in_force(self, state):
        """Guards against taking an evacuation that a late full read delivers for a copied one."""
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        state.apply([KvEvent("evacuate/north", None, 12)], at(12), "store")
        state.replace(snapshot(2, 15, KvEntry("evacuate/north", b"{}", 14)), "store")
        assert used(state) == ["b"]

    async def test_peers_that_know_only_the_copy_hear_of_it(self, state, autojump_clock):
        """Guards against an entry that starts after the restore and uses the data centre."""
        state.apply([put("evacuate/north", "{}", 11)], at(11), "store")
        state.replace(snapshot(2, 10), "store")
        started = make_state()
        started.replace(snapshot(2, 10), "store")
        keys = state.servers.draining_to_announce()
        started.servers.record_announced_draining(keys, "peer")
        assert used(started) == ["b"]
        assert started.servers.draining_to_announce() == ()
        autojump_clock.jump(ANNOUNCED_S + 0.1)
        assert used(started) == ["a", "b"]


class TestUnavailability:
    """The reason for which no server may get a request."""

    @pytest.mark.parametrize(
        ("live", "homes", "expected"),
        [
            ([], None, Unavailability.NONE),
            (["north", "south"], None, Unavailability.NONE),
            (["north"], None, Unavailability.EVACUATED),
            (["north", "south"], frozenset({"north"}), Unavailability.EVACUATED),
            (["north", "south"], frozenset({"west"}), Unavailability.NO_HOME),
            (["south"], frozenset(), Unavailability.NO_HOME),
        ],
    )
    def test_reason(self, live, homes, expected):
        assert find_unavailability(live, lambda name: name == "north", homes) is expected


class TestSettings:
    """Data centres in the settings."""

    async def test_invalid_part_is_logged(self, autojump_clock):
        state = make_state(DataCentres({}, ("zones: neither a list nor an object: 5",)))
        await state.start(None)
        (event,) = logged(state, "DataCentresIgnored")
        assert "zones" in event["problem"]


class TestHomeRegions:
    """Data centres in which a request may run."""

    CENTRES = DataCentres({"north": "r1", "south": "r2", "west": None})

    @pytest.mark.parametrize(
        ("route", "customer", "expected"),
        [
            (None, None, None),
            ({"r1"}, None, {"north"}),
            (None, {"r2", "r3"}, {"south"}),
            ({"r1", "r2"}, {"r2"}, {"south"}),
            ({"r1"}, {"r2"}, set()),
        ],
    )
    def test_both_restrictions_apply(self, route, customer, expected):
        sets = [None if one is None else frozenset(one) for one in (route, customer)]
        assert home_data_centres(*sets, self.CENTRES) == expected

    def test_is_not_enforced_if_no_region_is_known(self):
        """Guards against refusing all requests of deployments whose settings name no region."""
        assert home_data_centres(frozenset({"r1"}), None, DataCentres({"north": None})) is None
