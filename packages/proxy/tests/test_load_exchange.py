"""Load exchange between entries, simulated with real tables and datagrams but no network."""

from __future__ import annotations

from collections import Counter

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
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.peer_table import RELAY_DELAY_S, PeerTable
from sassafrastally.proxy.store import StorePosition
from sassafrastally.proxy.store_watchers import WATCHERS, WatchCandidate, must_watch_store

STEP_S = 0.25
"""Interval between two rounds of datagrams when nothing changes."""


class Node:
    """An entry's peer table and the load that it reports."""

    def __init__(self, number: int, centres: int) -> None:
        self.host = f"10.{number % centres}.0.{number}"
        self.data_centre = f"dc-{number % centres}"
        self.link_mbps = 200 if number < 2 * centres else 20
        self.table = PeerTable(Member(self.host, self.link_mbps), self.data_centre)
        self.sequence = 0
        self.loads = {number: Work(short_requests=1)}
        self.is_alive = True

    def hello(self, names: tuple[str, ...]) -> Hello:
        """Return the entry's next report about itself."""
        self.sequence += 1
        return Hello(
            host=self.host,
            boot_id=1,
            sequence=self.sequence,
            position=StorePosition(1, 7),
            confirmed_age_s=0.1,
            is_stopping=False,
            loads=self.loads,
            peers=names,
            suspects={},
            paces={},
            store_age_s=0.2,
            returned_age_s=60.0,
            data_centre=self.data_centre,
            link_mbps=self.link_mbps,
        )


class Exchange:
    """Entries that send datagrams in rounds; bytes between data centres are counted."""

    def __init__(self, entries: int, centres: int) -> None:
        self.nodes = {node.host: node for node in (Node(n, centres) for n in range(entries))}
        self.now_s = 100.0
        self.sent: Counter[str] = Counter()
        self.remote_bytes = 0
        self.cut: set[tuple[str, str]] = set()
        """Pairs of data centres without connectivity."""

    def introduce_all(self) -> None:
        """Give all entries all addresses, as a starting entry reads them from the store."""
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.table.add_address(other.host, other.data_centre, self.now_s)

    def run_rounds(self, rounds: int) -> None:
        """Let all entries send that many rounds of datagrams."""
        for _ in range(rounds):
            self.sent.clear()
            self.remote_bytes = 0
            self.now_s += STEP_S
            for node in [node for node in self.nodes.values() if node.is_alive]:
                self._send_all(node)

    def _send_all(self, node: Node) -> None:
        receivers = node.table.receivers(self.now_s)
        names = tuple(peer.host for peer in node.table.live(self.now_s))
        own = node.hello(names)
        self._deliver(node, receivers.own_state_receivers, own)
        if receivers.sum_receivers:
            entry = WatchCandidate(node.host, own.store_age_s, node.link_mbps)
            report = node.table.data_centre_sum(node.hello(()), entry, self.now_s)
            near = (peer.host for peer in node.table.local_peers(self.now_s))
            self._deliver(node, receivers.sum_receivers, report._replace(peers=(node.host, *near)))

    def _deliver(self, sender: Node, hosts: tuple[str, ...], hello: Hello) -> None:
        data = encode_hello(hello)
        for host in hosts:
            other = self.nodes.get(host)
            self.sent[sender.host] += 1
            if other is None or not other.is_alive:
                continue
            if (sender.data_centre, other.data_centre) in self.cut:
                continue
            if other.data_centre != sender.data_centre:
                self.remote_bytes += len(data)
            other.table.apply(decode_hello(data), self.now_s)

    def seen_by(self, node: Node) -> Work:
        """Return the sum of all work that is reported to an entry."""
        loads = node.table.loads(self.now_s)
        return Work(
            short_requests=sum(w.short_requests for of_one in loads for w in of_one.values())
        )

    def alive(self) -> list[Node]:
        """Return the live entries."""
        return [node for node in self.nodes.values() if node.is_alive]

    def all_see_all(self) -> bool:
        """Return whether each live entry counts the request of each other one exactly once."""
        alive = self.alive()
        return all(self.seen_by(node).short_requests == len(alive) - 1 for node in alive)


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
