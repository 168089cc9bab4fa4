"""Load exchange between entries, simulated with real tables and datagrams but no network."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.load import InFlightAttempt, Lane, Ledger, Work
from sassafrastally.proxy.load_exchange import (
    MAX_DIRECT_PEERS,
    RELAYS,
    Member,
    is_ranked_first,
    is_urgent_for_sums,
)
from sassafrastally.proxy.peer_table import RELAY_DELAY_S
from sassafrastally.proxy.store_watchers import WATCHERS, WatchCandidate, must_watch_store
from sassafrastally.testing.exchange_rounds import STEP_S, Exchange, Node


@pytest.fixture
def large() -> Exchange:
    """68 entries in five data centres after several rounds of reports."""
    exchange = Exchange(68, 5)
    exchange.introduce_all()
    exchange.run_rounds(12)
    return exchange


class TestManyEntries:
    """Hundreds of machines in several data centres."""

    def test_datagrams_and_bytes_between_data_centres_are_bounded(self, large):
        """Guards against a full mesh of reports. With 68 entries, the traffic between data centres
        would cost more than the VMs, and a small VM would decode 268 datagrams per second."""
        assert large.all_see_all()
        largest = max(large.sent.values())
        usual = sorted(large.sent.values())[len(large.sent) // 2]
        assert usual <= 14
        assert largest <= 14 + 56
        assert large.remote_bytes / STEP_S < 2_000_000

    def test_work_is_counted_once_while_the_topology_changes(self):
        """A deployment grows past the number of entries that all report to each other directly.
        Work that arrives both in a sum and from its entry would count twice, and engines would
        seem full."""
        exchange = Exchange(MAX_DIRECT_PEERS + 6, 3)
        exchange.introduce_all()
        for _ in range(20):
            exchange.run_rounds(1)
            for node in exchange.nodes.values():
                assert exchange.seen_by(node).short_requests <= len(exchange.nodes) - 1
        assert exchange.all_see_all()

    def test_next_entry_replaces_a_crashed_relay(self, large):
        """The entry that sends a data centre's sum loses power. Other entries must neither treat
        the whole data centre as idle nor count the work of the crashed entry for long."""
        crashed_node = large.nodes["10.0.0.0"]
        crashed_node.is_alive = False
        large.run_rounds(1)
        assert all(large.seen_by(node).short_requests >= 66 for node in large.alive())
        large.run_rounds(8)
        assert large.all_see_all()

    def test_data_centre_is_reported_again_after_both_relays_crash(self, large):
        """Both relays of a data centre are killed together. Its other entries continue, and their
        work is reported again once the relays have expired."""
        for host in ("10.0.0.0", "10.0.0.5"):
            large.nodes[host].is_alive = False
        large.run_rounds(10)
        assert large.all_see_all()

    def test_new_entry_that_knows_one_address_becomes_known_to_all(self, large):
        """An entry starts while the store is unavailable and knows only one entry of its centre."""
        new_node = Node(68, 5)
        large.nodes[new_node.host] = new_node
        new_node.table.add_address("10.3.0.3", new_node.data_centre, large.now_s)
        large.run_rounds(10)
        assert large.all_see_all()

    def test_partition_between_data_centres_heals(self, large):
        large.cut = {("dc-0", "dc-1"), ("dc-1", "dc-0")}
        large.run_rounds(10)
        first_centre_node = next(node for node in large.alive() if node.data_centre == "dc-0")
        second_centre_size = sum(1 for node in large.alive() if node.data_centre == "dc-1")
        assert large.seen_by(first_centre_node).short_requests == 67 - second_centre_size
        assert first_centre_node.table.entries(large.now_s) == 68 - second_centre_size
        large.cut = set()
        large.run_rounds(8)
        assert large.all_see_all()

    def test_two_entries_watch_the_store_for_all(self, large):
        """Entries that don't know of the watchers watch too, and each watch costs store calls."""
        watching = [
            node.host
            for node in large.alive()
            if must_watch_store(
                WatchCandidate(node.host, 0.2, node.link_mbps),
                node.table.watch_candidates(large.now_s),
            )
        ]
        assert len(watching) == WATCHERS

    def test_watcher_in_another_data_centre_counts_while_its_report_is_in_flight(self):
        watcher = WatchCandidate("10.0.0.1", 1.8, 200)
        own = WatchCandidate("10.0.0.2", 0.1, 20)
        watchers = [watcher, watcher._replace(host="10.0.0.3")]
        assert must_watch_store(own, watchers)
        assert not must_watch_store(
            own, [entry._replace(relay_delay_s=RELAY_DELAY_S) for entry in watchers]
        )


class TestFewEntries:
    """A deployment in which each entry reports to all others directly."""

    def test_no_sums_are_sent(self):
        exchange = Exchange(21, 3)
        exchange.introduce_all()
        exchange.run_rounds(8)
        assert exchange.all_see_all()
        assert set(exchange.sent.values()) == {20}


class TestUrgentReports:
    """Changes that are reported before the next regular datagram."""

    def test_start_of_a_long_prefill_is_urgent(self):
        """Two entries of different data centres place a long prompt within 0.1 s of each other.
        Each uses 17 engines that it considers idle; on engines used by both, one prompt waits."""
        prefill = {7: Work(long_requests=1, prefill_requests=1, prefill_ms=900.0)}
        assert is_urgent_for_sums({}, prefill)
        assert not is_urgent_for_sums(prefill, prefill)
        assert not is_urgent_for_sums({}, {7: Work(short_requests=1, prefill_ms=30.0)})

    async def test_peers_are_notified_of_a_long_prompt_at_once(self):
        ledger = Ledger()
        seen = ledger.urgent_count
        ledger.add(InFlightAttempt("a", Lane.SHORT), 0.0)
        assert ledger.urgent_count == seen
        ledger.add(InFlightAttempt("a", Lane.LONG), 0.0)
        with trio.fail_after(1.0):
            await ledger.urgent_since(seen)


class TestRelays:
    """Which entries send the sum of a data centre."""

    def test_fastest_links_of_entries_that_are_not_stopping_are_chosen(self):
        members = [Member(f"h{n}", 200 if n < 3 else 20, n == 0) for n in range(14)]
        chosen = [
            own.host
            for own in members
            if is_ranked_first(own, [other for other in members if other is not own], RELAYS)
        ]
        assert set(chosen) - {"h0"} == {"h1", "h2"}
        assert len(set(chosen) - {"h0"}) == RELAYS
