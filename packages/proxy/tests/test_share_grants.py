"""Grants of unused shares of servers' limits to entries with more work."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.rate_limits import NO_SHARE_NEWS, Grant, ShareGrants, decide_grants
from sassafrastally.testing.backpressure_fleet import allowed, most_in_window
from sassafrastally.testing.cold_fleet import (
    COLD_S,
    allowed_per_second,
    make_server,
    most_in_a_second,
)
from sassafrastally.testing.share_fleet import STEP_S, Network, ShareFleet

NETWORKS = [
    Network(),
    Network(loss=0.3, duplication=0.5, max_delay_s=0.25),
    Network(groups=3),
]
OWN_KEY = server_hash("own")


def always_down() -> float:
    """Return a draw that rounds down."""
    return 0.0


def hosts_of(count: int) -> list[str]:
    """Return the entries of a deployment."""
    return [f"10.{number % 3}.0.{number}" for number in range(count)]


class TestDecision:
    """What an entry grants."""

    def test_only_what_it_does_not_need_is_granted(self):
        """Guards against an entry that refuses its own callers for those of another."""
        granted = decide_grants({1: 2, 2: 1}, 2, {7: 5}, 1, 0, always_down)
        assert granted == [(1, 7)]
        assert decide_grants({1: 2}, 2, {7: 5}, 1, 0, always_down) == []
        assert decide_grants({1: 2}, 0, {}, 1, 0, always_down) == []

    def test_equal_demands_are_served_in_turn(self):
        """Guards against one entry that always gets what several need."""
        demands = {7: 5, 8: 5, 9: 5}
        served = [decide_grants({1: 1}, 0, demands, 1, turn, always_down)[0][1] for turn in (0, 1)]
        assert served == [7, 8]
        granted = decide_grants({1: 3, 2: 3}, 0, demands, 1, 0, always_down)
        assert [grantee for _, grantee in granted] == [7, 8, 9, 7, 8, 9]

    def test_many_granters_grant_little_each(self):
        """Guards against 26 entries that all answer the same demand in full."""
        draws = [number / 26 for number in range(26)]
        granted = [decide_grants({1: 9}, 0, {7: 3}, 26, 0, lambda at=at: at) for at in draws]
        assert 3 <= sum(map(len, granted)) <= 7


class TestGrants:
    """Validity of grants."""

    def test_grant_is_used_once_and_while_valid(self):
        """Guards against using a grant twice, because its datagram is repeated, or too late."""
        grants = ShareGrants("own")
        for _ in range(3):
            grants.receive([Grant(1, OWN_KEY, 1, 2.0, 5)], "peer", 0.0)
        assert grants.use(1, 0.1)
        grants.receive([Grant(1, OWN_KEY, 1, 1.9, 5)], "peer", 0.1)
        assert not grants.use(1, 0.1)
        grants.receive([Grant(1, OWN_KEY, 1, 2.0, 6)], "peer", 1.0)
        assert grants.has_grant(1, 2.7)
        assert not grants.has_grant(1, 2.8)

    def test_grant_to_another_entry_is_ignored(self):
        grants = ShareGrants("own")
        grants.receive([Grant(1, OWN_KEY + 1, 1, 2.0, 5)], "peer", 0.0)
        assert not grants

    def test_nothing_is_sent_without_demand_and_grants(self):
        """Guards against any cost on days without limited servers."""
        grants = ShareGrants("own")
        assert grants.to_send(0.0) is NO_SHARE_NEWS
        grants.record_unmet("engines", 0.0)
        assert grants.to_send(0.1).demands
        assert not any(grants.to_send(9.0))

    def test_demand_is_counted_once_and_after_a_restart_of_its_sender(self):
        """Guards against grants for demand that was answered before."""
        grants = ShareGrants("own")
        assert grants.new_demands({3: 4}, "peer", 0.0) == {3: 4}
        assert grants.new_demands({3: 4}, "peer", 0.2) == {}
        assert grants.new_demands({3: 6}, "peer", 0.4) == {3: 2}
        assert grants.new_demands({3: 3}, "peer", 0.6) == {3: 3}


class TestBound:
    """The sum over all entries, with grants, on bad networks."""

    @pytest.mark.parametrize("network", NETWORKS)
    @pytest.mark.parametrize("entries", [5, 27])
    def test_limit_holds_and_uneven_demand_is_served(self, entries, network):
        """Guards against exceeding a server's limit by grants that are delayed or repeated, and
        against callers refused at busy entries while the others don't use their shares."""
        servers = [f"e{number}" for number in range(20)]
        fleet = ShareFleet(hosts_of(entries), servers, 1.0, network)
        busy = fleet.entries[: entries // 5]
        served = offered = 0
        for step in range(600):
            now_s = step * STEP_S
            for _ in range(2):
                offered += 1
                served += fleet.request(fleet.draw.choice(busy), now_s)
            fleet.exchange(now_s)
        assert max(most_in_window(times, 0.0) for times in fleet.sent_s.values()) <= allowed(1.0)
        without_grants = 0.2 * len(servers) / 40
        assert served / offered > 1.5 * without_grants

    @pytest.mark.parametrize("network", NETWORKS)
    def test_bound_of_cold_servers_holds(self, network):
        """Guards against crashing a cold server by grants that are delayed or repeated."""
        server = make_server(1)
        fleet = ShareFleet(hosts_of(25), [server.incarnation_id], None, network)
        fleet.register_cold(server, 0.0)
        for step in range(int(COLD_S / STEP_S)):
            for _ in range(4):
                fleet.request(fleet.draw.choice(fleet.entries[:5]), step * STEP_S)
            fleet.exchange(step * STEP_S)
        times = fleet.sent_s[server.incarnation_id]
        assert most_in_a_second(times) <= allowed_per_second()
        assert len(times) > 5 * 2 * COLD_S / 1.1
