"""Sums by relays, on real tables and datagrams in rounds of 0.25 s."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.relays import are_links_uneven, route_sum
from sassafrastally.testing.exchange_rounds import STEP_S, Exchange, Node

ENTRIES, CENTRES = 38, 3
HOSTS = {"dc-1": ("a", "b", "c"), "dc-2": ("d", "e")}
RELAYS_OF_FIRST = ("10.0.0.0", "10.0.0.3")


def started(slow_link_mbps: int = 7) -> Exchange:
    """Return 38 entries in three data centres after several rounds."""
    exchange = Exchange(ENTRIES, CENTRES, slow_link_mbps)
    exchange.introduce_all()
    exchange.run_rounds(12)
    return exchange


def outage_rounds(exchange: Exchange, observers: list[Node], data_centre: str, rounds: int) -> int:
    """Return the most consecutive rounds in which an observer had no state of a data centre."""
    missing = dict.fromkeys((node.host for node in observers), 0)
    longest = 0
    for _ in range(rounds):
        exchange.run_rounds(1)
        for node in observers:
            messages = node.table.effective_messages(exchange.now_s)
            is_known = any(hello.data_centre == data_centre for hello, _ in messages)
            missing[node.host] = 0 if is_known else missing[node.host] + 1
        longest = max(longest, *missing.values())
    return longest


class TestTraffic:
    """Datagrams between data centres."""

    def test_sums_cross_between_data_centres_once_for_each_relay(self):
        """Guards against the price of traffic between data centres: with direct sending each
        update of 38 entries took 152 datagrams, 50 or 52 of each data centre."""
        even, uneven = started(slow_link_mbps=100), started()
        assert even.remote_datagrams == 152
        assert uneven.remote_datagrams == 12
        assert uneven.remote_bytes < even.remote_bytes / 10
        assert even.all_see_all()
        assert uneven.all_see_all()

    def test_each_entry_gets_each_sum_once(self):
        """Guards against sums that circulate or that are forwarded by several entries."""
        exchange = started()
        local = {
            name: sum(n.data_centre == name for n in exchange.alive())
            for name in exchange.centres()
        }
        from_relays = 2 * (CENTRES - 1) * sum(size - 1 for size in local.values())
        own_states = sum(size * (size - 1) for size in local.values())
        assert sum(exchange.sent.values()) == own_states + 12 + from_relays

    def test_even_links_keep_direct_sums(self):
        """Guards against a second hop where all links can take part alike."""
        assert started(slow_link_mbps=26).remote_datagrams == 152


class TestFailures:
    """Crashed relays, partitions and a common start."""

    def test_crash_of_a_relay_interrupts_nothing(self):
        exchange = started()
        exchange.nodes[RELAYS_OF_FIRST[0]].is_alive = False
        observers = exchange.alive()
        for data_centre in sorted(exchange.centres()):
            others = [node for node in observers if node.data_centre != data_centre]
            assert outage_rounds(exchange, others, data_centre, 12) == 0
        assert exchange.all_see_all()
        assert exchange.remote_datagrams == 12

    def test_crash_of_both_relays_leaves_its_data_centre_informed(self):
        """Guards against entries that are cut off by their relays' crash: until the next entries
        take over, the other data centres' sums arrive directly."""
        exchange = started()
        for host in RELAYS_OF_FIRST:
            exchange.nodes[host].is_alive = False
        local = [node for node in exchange.alive() if node.data_centre == "dc-0"]
        for _ in range(12):
            exchange.run_rounds(1)
            assert all("dc-1" in node.table.sums(exchange.now_s) for node in local)
        assert exchange.all_see_all()
        assert exchange.remote_datagrams == 12

    def test_crash_of_both_relays_hides_its_work_for_less_than_a_second(self):
        exchange = started()
        for host in RELAYS_OF_FIRST:
            exchange.nodes[host].is_alive = False
        others = [node for node in exchange.alive() if node.data_centre != "dc-0"]
        assert outage_rounds(exchange, others, "dc-0", 16) * STEP_S < 1.0

    def test_crash_of_opposite_relays_interrupts_neither_direction_for_a_second(self):
        """The first relay of one data centre and the second of another one crash together, so that
        both chains between them are broken."""
        exchange = started()
        for host in (RELAYS_OF_FIRST[0], "10.1.0.4"):
            exchange.nodes[host].is_alive = False
        observers = [node for node in exchange.alive() if node.data_centre == "dc-1"]
        assert outage_rounds(exchange, observers, "dc-0", 16) * STEP_S < 1.0
        assert exchange.all_see_all()

    def test_partition_between_two_data_centres_heals(self):
        exchange = started()
        exchange.cut = {("dc-0", "dc-1"), ("dc-1", "dc-0")}
        exchange.run_rounds(10)
        third = [node for node in exchange.alive() if node.data_centre == "dc-2"]
        assert all(exchange.seen_by(node).short_requests == ENTRIES - 1 for node in third)
        exchange.cut = set()
        exchange.run_rounds(4)
        assert exchange.all_see_all()
        assert exchange.remote_datagrams == 12

    def test_entries_that_start_together_see_each_other_within_a_second(self):
        exchange = Exchange(ENTRIES, CENTRES, 7)
        exchange.introduce_all()
        exchange.run_rounds(4)
        assert exchange.all_see_all()
        exchange.run_rounds(4)
        assert exchange.remote_datagrams == 12

    def test_replaced_relay_still_forwards_what_is_sent_to_it(self):
        """Entries disagree on the relays while a faster one starts: a sum that still reaches the
        previous relay must not be lost."""
        exchange = started()
        faster = Node(ENTRIES + 1, CENTRES, slow_link_mbps=1000)
        exchange.nodes[faster.host] = faster
        faster.table.add_address("10.0.0.6", "dc-0", exchange.now_s)
        observers = [node for node in exchange.alive() if node is not faster]
        remote = [node for node in observers if node.data_centre != "dc-0"]
        assert outage_rounds(exchange, remote, "dc-0", 12) == 0
        assert exchange.all_see_all()


class TestRoute:
    """Destinations of a sum."""

    def test_each_relay_sends_to_the_relay_of_its_position(self):
        relays = {"dc-1": ("a", "b"), "dc-2": ("d",)}
        assert route_sum(0, HOSTS, relays) == ((), ("a", "d"))
        assert route_sum(1, HOSTS, relays) == ((), ("b", "d"))

    def test_data_centre_without_a_known_relay_gets_the_sum_directly(self):
        assert route_sum(0, HOSTS, {"dc-2": ("d",)}) == (("a", "b", "c"), ("d",))

    @pytest.mark.parametrize(
        ("links_mbps", "is_uneven"),
        [((7, 100), True), ((9, 100), True), ((10, 100), False), ((0, 100), False), ((), False)],
    )
    def test_links_are_uneven_beyond_ten_times_the_slowest(self, links_mbps, is_uneven):
        """Links of unknown speed don't count."""
        assert are_links_uneven(links_mbps) is is_uneven
