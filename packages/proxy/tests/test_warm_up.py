"""Cold servers: which are cold, and the bound on the requests to each over all entries."""

from __future__ import annotations

import math

import pytest

from sassafrastally.proxy.lanes import ServerView
from sassafrastally.proxy.load import Work, server_hash
from sassafrastally.proxy.plain_placement import place_plain
from sassafrastally.proxy.warm_up import MAX_COLD_S, ColdBound, ColdNotice, ColdServers
from sassafrastally.testing.cold_fleet import (
    COLD_PER_S,
    COLD_S,
    SERVICES,
    ColdFleet,
    allowed_per_second,
    make_server,
    most_in_a_second,
    play_cold_without_notice,
)

SERVER = make_server(1)
JUST_BEFORE_WARM_S = COLD_S - 0.01


def cold_servers() -> ColdServers:
    """Return the cold servers of a service with a rate for cold servers."""
    servers = ColdServers()
    servers.configure(SERVICES, 0.0)
    return servers


class TestColdServers:
    """Which servers are cold, and until when."""

    def test_incarnation_that_appears_later_is_cold(self):
        """Guards against a full load on a server that hasn't published its cold time yet."""
        servers = cold_servers()
        assert servers.record_registration(SERVER, 5.0, is_new=True) is ColdNotice.COLD
        assert servers.left_s(SERVER.incarnation_id, 5.0) == COLD_S
        assert servers.rate_per_s(SERVER.incarnation_id, 5.0 + COLD_S) is None

    def test_servers_of_the_first_snapshot_are_warm_unless_they_say_otherwise(self):
        """Guards against an entry that starts and treats the whole fleet as cold."""
        servers = cold_servers()
        servers.record_registration(SERVER, 0.0, is_new=False)
        assert not servers
        servers.record_registration(make_server(2)._replace(cold_left_s=2.0), 0.0, is_new=False)
        assert servers.left_s(make_server(2).incarnation_id, 0.0) == 2.0

    def test_restart_under_the_same_id_is_cold_whatever_its_start_time(self):
        """Guards against trusting wall clocks: the start time of the new incarnation may lie hours
        in the past or in the future."""
        servers = cold_servers()
        servers.record_registration(SERVER, 0.0, is_new=False)
        for born_ms in (2, 10**15):
            restarted = make_server(1, born_ms=born_ms)
            servers.record_registration(restarted, 9.0, is_new=True)
            assert servers.left_s(restarted.incarnation_id, 9.0) == COLD_S

    def test_repeated_record_does_not_restart_the_time(self):
        """Guards against a server that stays cold because its record is repeated unchanged."""
        servers = cold_servers()
        record = SERVER._replace(cold_left_s=2.0)
        for now_s in (0.0, 1.0, 1.9):
            servers.record_registration(record, now_s, is_new=False)
        assert servers.left_s(SERVER.incarnation_id, 2.0) == 0

    def test_older_value_does_not_shorten_a_later_one(self):
        """Guards against a delayed record that ends a cold time too early."""
        servers = cold_servers()
        servers.record_registration(SERVER._replace(cold_left_s=5.0), 0.0, is_new=False)
        servers.record_registration(SERVER._replace(cold_left_s=0.5), 1.0, is_new=False)
        assert servers.left_s(SERVER.incarnation_id, 1.0) == 4.0

    def test_server_turns_cold_again(self):
        """Guards against a server that counts as warm for good after its first warm-up."""
        servers = cold_servers()
        servers.record_registration(SERVER._replace(cold_left_s=2.0), 0.0, is_new=False)
        servers.record_registration(SERVER, 3.0, is_new=True)
        assert servers.take_warm(3.0) == [SERVER.incarnation_id]
        again = SERVER._replace(cold_left_s=2.0)
        assert servers.record_registration(again, 9.0, is_new=True) is ColdNotice.COLD
        assert servers.record_answer(SERVER, 4.0, 10.0) is ColdNotice.NOTHING
        assert servers.left_s(SERVER.incarnation_id, 10.0) == 4.0

    @pytest.mark.parametrize("left_s", [-0.001, MAX_COLD_S + 0.001, math.nan, math.inf])
    def test_implausible_time_is_rejected_once(self, left_s):
        """Guards against a faulty writer that keeps a server cold for days or fills the log."""
        servers = cold_servers()
        record = SERVER._replace(cold_left_s=left_s)
        assert servers.record_registration(record, 0.0, is_new=False) is ColdNotice.REJECTED
        assert servers.record_registration(record, 1.0, is_new=False) is ColdNotice.NOTHING
        assert not servers

    def test_service_without_a_rate_has_no_cold_servers(self):
        """Guards against any effect on deployments that don't configure cold servers."""
        servers = ColdServers()
        servers.configure({"engines": SERVICES["engines"]._replace(cold_per_s=0.0)}, 0.0)
        servers.record_registration(SERVER._replace(cold_left_s=2.0), 1.0, is_new=True)
        assert not servers

    def test_rates_of_a_later_configuration_apply_to_known_servers(self):
        """Guards against a server that counts as warm because its record came first."""
        servers = ColdServers()
        servers.record_registration(SERVER, 1.0, is_new=True)
        servers.configure(SERVICES, 2.0)
        assert servers.rate_per_s(SERVER.incarnation_id, 2.0) == COLD_PER_S
        servers.configure({}, 2.5)
        assert servers.rate_per_s(SERVER.incarnation_id, 2.5) is None

    def test_returning_record_of_the_same_incarnation_is_not_new(self):
        """Guards against treating all servers as cold after an outage of the store."""
        servers = cold_servers()
        servers.record_registration(SERVER, 0.0, is_new=False)
        servers.forget_gone([], 30.0)
        servers.record_registration(SERVER, 31.0, is_new=True)
        assert not servers
        unnamed = SERVER._replace(born_ms=None)
        servers.record_registration(unnamed, 40.0, is_new=False)
        servers.forget_gone([], 41.0)
        assert servers.record_registration(unnamed, 42.0, is_new=True) is ColdNotice.COLD


class TestBound:
    """Requests to a cold server in any second, over all entries."""

    @pytest.mark.parametrize("entries", [1, 2, 5, 16, 17, 25, 33, 68, 340])
    def test_greedy_entries_use_the_rate_without_exceeding_the_bound(self, entries):
        """Guards against crashing a cold server, and against hardly using it."""
        fleet = ColdFleet(entries)
        fleet.register(SERVER, 0.0)
        fleet.run_greedy([SERVER], 0.0, JUST_BEFORE_WARM_S)
        arrived_s = fleet.arrived_s[SERVER.incarnation_id]
        assert most_in_a_second(arrived_s) <= allowed_per_second()
        assert len(arrived_s) >= 0.8 * COLD_PER_S * COLD_S

    @pytest.mark.parametrize(("cold_per_s", "requests"), [(0.5, 1), (1.0, 1), (2.9, 2), (32, 32)])
    def test_whole_requests_within_the_bound_are_planned(self, cold_per_s, requests):
        assert ColdBound().requests(cold_per_s) == requests
        assert ColdBound(overrun=0.5, slack=0.0).requests(cold_per_s) <= max(1, requests)

    @pytest.mark.parametrize("group", [1, 2, 8])
    def test_bound_holds_between_entries_that_are_cut_off_for_an_hour(self, group):
        """Guards against entries that take over the quotas of those that they can't reach."""
        fleet = ColdFleet(25, begin_s=-3600.0)
        hosts = list(fleet.entries)
        for since_s in range(-3590, 0, 10):
            for first in range(0, len(hosts), group):
                fleet.meet(float(since_s), hosts[first : first + group])
        fleet.register(SERVER, 0.0)
        fleet.run_greedy([SERVER], 0.0, JUST_BEFORE_WARM_S)
        assert most_in_a_second(fleet.arrived_s[SERVER.incarnation_id]) <= allowed_per_second()

    def test_bound_holds_between_entries_that_disagree_on_their_number(self):
        """Guards against exceeding the bound while each entry misses a fifth of the others."""
        fleet = ColdFleet(0)
        hosts = [f"10.0.0.{number}" for number in range(25)]
        for host in hosts:
            others = [other for other in hosts if other != host and fleet.draw.random() < 0.8]
            fleet.add_entry(host, -10.0).limits.record_entries(others, -10.0)
        fleet.register(SERVER, 0.0)
        fleet.run_greedy([SERVER], 0.0, JUST_BEFORE_WARM_S)
        assert most_in_a_second(fleet.arrived_s[SERVER.incarnation_id]) <= allowed_per_second()

    @pytest.mark.parametrize("joining", [1, 5, 10])
    def test_bound_holds_while_entries_join_that_the_others_do_not_know(self, joining):
        """Guards against quotas that entries take before the others have heard of them."""
        fleet = ColdFleet(25)
        fleet.register(SERVER, 0.0)
        known = set(fleet.entries)
        new = [fleet.add_entry(f"10.9.0.{number}", 0.0) for number in range(joining)]
        for entry in new:
            entry.limits.servers.record_registration(SERVER, 0.0, is_new=True)
            entry.limits.record_entries(known, 0.0)
        fleet.run_greedy([SERVER], 0.0, JUST_BEFORE_WARM_S)
        assert most_in_a_second(fleet.arrived_s[SERVER.incarnation_id]) <= allowed_per_second()

    def test_entry_waits_until_it_has_heard_of_the_others(self):
        """Guards against entries that start together and each take the whole rate: after a loss of
        power, 25 entries know of no other one for some tenths of a second."""
        fleet = ColdFleet(0)
        for number in range(25):
            fleet.add_entry(f"10.0.0.{number}", 0.0)
        fleet.register(SERVER, 0.0)
        fleet.run_greedy([SERVER], 0.0, 0.5)
        assert not fleet.arrived_s
        fleet.meet(0.5)
        fleet.run_greedy([SERVER], 0.5, JUST_BEFORE_WARM_S)
        assert 32 <= most_in_a_second(fleet.arrived_s["e1@1"]) <= allowed_per_second()

    def test_bound_holds_while_entries_are_replaced(self):
        """Guards against using the quota of an entry that leaves twice within a second."""
        fleet = ColdFleet(25)
        fleet.register(SERVER._replace(cold_left_s=20.0), 0.0)
        for turn in range(20):
            fleet.run_greedy([SERVER], float(turn), turn + 1.0)
            del fleet.entries[next(iter(fleet.entries))]
            entry = fleet.add_entry(f"10.9.0.{turn}", turn + 1.0)
            record = SERVER._replace(cold_left_s=19.0 - turn)
            entry.limits.servers.record_registration(record, turn + 1.0, is_new=False)
            fleet.meet(turn + 1.0)
        assert most_in_a_second(fleet.arrived_s[SERVER.incarnation_id]) <= allowed_per_second()

    def test_requests_before_the_server_turned_cold_count(self):
        """Guards against a full quota on top of what a server has just received."""
        fleet = ColdFleet(25)
        fleet.register(SERVER, -9.0, is_new=False)
        for place, host in enumerate(fleet.entries):
            for _ in range(2):
                fleet.send(host, SERVER, -0.3 + place / 100)
        fleet.register(SERVER._replace(cold_left_s=3.0), 0.0)
        fleet.run_greedy([SERVER], 0.0, JUST_BEFORE_WARM_S)
        assert most_in_a_second(fleet.arrived_s[SERVER.incarnation_id]) <= allowed_per_second()

    def test_excess_of_a_server_that_turns_cold_without_notice_is_bounded(self):
        """Until an entry knows, a server gets what its slots and its response time allow: here 6
        slots and 150 ms, so at most 40 in a second, for up to 0.7 s. Guards against any excess
        beyond these, and against one that lasts."""
        fleet = ColdFleet(25)
        fleet.register(SERVER, -9.0, is_new=False)
        told_s = {host: fleet.draw.uniform(0.0, 0.7) for host in fleet.entries}
        unaware = list(told_s)
        slots, response_s = 6, 0.15
        for step in range(58):
            now_s = step * 0.05
            for host, entry in fleet.entries.items():
                if host in unaware and told_s[host] <= now_s:
                    unaware.remove(host)
                    record = SERVER._replace(cold_left_s=3.0)
                    entry.limits.servers.record_registration(record, now_s, is_new=True)
            for _ in range(round(slots / response_s * 0.05) if unaware else 0):
                fleet.send(fleet.draw.choice(unaware), SERVER, now_s)
            for host, entry in fleet.entries.items():
                while host not in unaware and entry.wait_s(SERVER, now_s) <= 0:
                    fleet.send(host, SERVER, now_s)
        arrived_s = fleet.arrived_s[SERVER.incarnation_id]
        assert most_in_a_second(arrived_s) <= allowed_per_second() + 0.7 * slots / response_s
        settled = [at_s for at_s in arrived_s if at_s > 1.7]
        assert most_in_a_second(settled) <= allowed_per_second()


class TestBoundWhileNewsTravels:
    """A server that turns cold under load and says so only in its responses."""

    @pytest.mark.parametrize("lost_share", [0.0, 0.3])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_bound_holds_over_25_entries_although_datagrams_are_lost(self, lost_share, seed):
        """Guards against entries that send what a warm server takes until each has read a response
        of its own: the last of 25 does so after more than a second."""
        fleet, all_know_s = play_cold_without_notice(
            announces=True, lost_share=lost_share, seed=seed
        )
        arrived_s = fleet.arrived_s[SERVER.incarnation_id]
        assert most_in_a_second(arrived_s) <= allowed_per_second()
        assert len(arrived_s) >= 0.7 * COLD_PER_S * COLD_S
        assert all_know_s < 0.7
        assert play_cold_without_notice(announces=False, seed=seed)[1] > 1.0

    @pytest.mark.parametrize("announces", [True, False])
    def test_bound_holds_over_100_entries_only_with_announcements(self, announces):
        """Guards against exceeding the bound with more entries than requests: each that learns
        from a response of its own sends at least one. The run without announcements shows that
        the replay can exceed the bound."""
        fleet, _ = play_cold_without_notice(announces=announces, entries=100)
        most = most_in_a_second(fleet.arrived_s[SERVER.incarnation_id])
        assert (most <= allowed_per_second()) is announces


class TestReturningDataCentre:
    """A data centre whose 20 servers all return cold under load, beside 40 warm ones."""

    PER_S = 400
    RUN_S = 0.2

    def play(self) -> tuple[ColdFleet, list[float], dict[str, list[float]]]:
        """Return the fleet, the times of requests that weren't placed, and those of all others."""
        fleet = ColdFleet(25)
        warm = [make_server(number) for number in range(40)]
        returned = [make_server(number, "there") for number in range(40, 60)]
        for server in warm:
            fleet.register(server, -9.0, is_new=False)
        for server in returned:
            fleet.register(server, 0.0)
        in_order = sorted((*warm, *returned), key=lambda one: server_hash(one.incarnation_id))
        running: list[tuple[float, str]] = []
        delayed_s: list[float] = []
        placed_s: dict[str, list[float]] = {"here": [], "there": []}
        for number in range(int(6.0 * self.PER_S)):
            now_s = number / self.PER_S
            running = [one for one in running if one[0] > now_s]
            host = fleet.draw.choice(list(fleet.entries))
            entry = fleet.entries[host]
            views = [
                ServerView(
                    server,
                    Work(plain_requests=sum(1 for one in running if one[1] == server.server_id)),
                    is_cold=entry.limits.servers.left_s(server.incarnation_id, now_s) > 0,
                )
                for server in in_order
                if entry.wait_s(server, now_s) <= 0
            ]
            chosen = place_plain(views, "")
            if chosen is None:
                delayed_s.append(now_s)
                continue
            fleet.send(host, chosen, now_s)
            placed_s[chosen.data_centre].append(now_s)
            running.append((now_s + self.RUN_S, chosen.server_id))
        return fleet, delayed_s, placed_s

    def test_bound_holds_and_load_returns_without_delaying_other_requests(self):
        """Guards against crashing the servers that return, against holding up requests that others
        could serve, and against load that stays away from servers that have warmed up."""
        fleet, delayed_s, placed_s = self.play()
        for server in range(40, 60):
            times = [at_s for at_s in fleet.arrived_s[f"e{server}@1"] if at_s < COLD_S]
            assert most_in_a_second(times) <= allowed_per_second()
        assert not delayed_s
        assert placed_s["there"]
        # Equally loaded servers are taken in an order drawn by hash, so not each gets the same.
        later = [at_s for at_s in placed_s["there"] if at_s > COLD_S + 1.0]
        assert len(later) >= 0.8 / 3 * self.PER_S * 2.0


class TestPlacement:
    """Preference of warm servers."""

    def test_warm_server_is_preferred_at_equal_load(self):
        """Guards against spending a cold server's few requests while an idle one is warm."""
        cold, warm = (ServerView(make_server(n), Work(), is_cold=n == 1) for n in (1, 2))
        assert place_plain([cold, warm], "here") == warm.server
        busy = warm._replace(work=Work(plain_requests=2))
        assert place_plain([cold, busy], "here") == cold.server
