"""Who tells whom what, played with the entries' own tables and datagrams, without a network."""

from __future__ import annotations

from collections import Counter

import pytest
import trio

from sassafrastally.proxy.load import Flight, Lane, Ledger, Work
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.peer_table import SUM_WAY_S, PeerTable
from sassafrastally.proxy.sharing import MOST_TOLD, RELAYS, Member, is_first, is_news_afar
from sassafrastally.proxy.watch_duty import WATCHERS, OtherEntry, has_duty

STEP_S = 0.25
"""Time between two rounds of datagrams when nothing changes."""


class Node:
    """An entry's table with what it tells of itself."""

    def __init__(self, number: int, centres: int) -> None:
        self.host = f"10.{number % centres}.0.{number}"
        self.data_centre = f"dc-{number % centres}"
        self.link_mbps = 200 if number < 2 * centres else 20
        self.table = PeerTable(Member(self.host, self.link_mbps), self.data_centre)
        self.sequence = 0
        self.loads = {number: Work(short_requests=1)}
        self.is_alive = True

    def hello(self, names: tuple[str, ...]) -> Hello:
        """Return what it tells of itself."""
        self.sequence += 1
        return Hello(
            host=self.host,
            boot_id=1,
            sequence=self.sequence,
            revision=7,
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
    """Entries that send their datagrams in rounds; what is sent between centres is counted."""

    def __init__(self, entries: int, centres: int) -> None:
        self.nodes = {node.host: node for node in (Node(n, centres) for n in range(entries))}
        self.now_s = 100.0
        self.sent: Counter[str] = Counter()
        self.far_bytes = 0
        self.cut: set[tuple[str, str]] = set()
        """Pairs of data centres that don't reach each other."""

    def introduce_all(self) -> None:
        """Let each one know the addresses of all, as those that start read them in the store."""
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.table.know(other.host, other.data_centre, self.now_s)

    def play(self, rounds: int) -> None:
        """Let all entries send that many rounds."""
        for _ in range(rounds):
            self.sent.clear()
            self.far_bytes = 0
            self.now_s += STEP_S
            for node in [node for node in self.nodes.values() if node.is_alive]:
                self._send_all(node)

    def _send_all(self, node: Node) -> None:
        receivers = node.table.receivers(self.now_s)
        names = tuple(peer.host for peer in node.table.live(self.now_s))
        own = node.hello(names)
        self._deliver(node, receivers.own, own)
        if receivers.of_sum:
            entry = OtherEntry(node.host, own.store_age_s, node.link_mbps)
            told = node.table.sum_of_centre(node.hello(()), entry, self.now_s)
            near = (peer.host for peer in node.table.near(self.now_s))
            self._deliver(node, receivers.of_sum, told._replace(peers=(node.host, *near)))

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
                self.far_bytes += len(data)
            other.table.take(decode_hello(data), self.now_s)

    def seen_by(self, node: Node) -> Work:
        """Return the sum of all work that an entry hears of."""
        loads = node.table.loads(self.now_s)
        return Work(
            short_requests=sum(w.short_requests for of_one in loads for w in of_one.values())
        )

    def alive(self) -> list[Node]:
        """Return the entries that live."""
        return [node for node in self.nodes.values() if node.is_alive]

    def all_see_all(self) -> bool:
        """Return whether each living entry counts each other one's request exactly once."""
        alive = self.alive()
        return all(self.seen_by(node).short_requests == len(alive) - 1 for node in alive)


@pytest.fixture
def large() -> Exchange:
    """Sixty-eight entries in five data centres that have heard each other for a while."""
    exchange = Exchange(68, 5)
    exchange.introduce_all()
    exchange.play(12)
    return exchange


class TestManyEntries:
    """Hundreds of machines in several data centres."""

    def test_datagrams_and_their_bytes_between_data_centres(self, large):
        """Each entry tells each other one all it knows. With 68 of them the bytes between data
        centres cost more than the machines, and a small VM decodes 268 datagrams a second."""
        assert large.all_see_all()
        largest = max(large.sent.values())
        usual = sorted(large.sent.values())[len(large.sent) // 2]
        assert usual <= 14
        assert largest <= 14 + 56
        assert large.far_bytes / STEP_S < 2_000_000

    def test_work_is_counted_once_while_the_way_of_telling_changes(self):
        """A deployment grows past the number of entries up to which each tells all. Work that came
        both with a sum and from its entry would count twice, and engines would seem full."""
        exchange = Exchange(MOST_TOLD + 6, 3)
        exchange.introduce_all()
        for _ in range(20):
            exchange.play(1)
            for node in exchange.nodes.values():
                assert exchange.seen_by(node).short_requests <= len(exchange.nodes) - 1
        assert exchange.all_see_all()

    def test_a_relay_that_dies_is_followed_by_the_next(self, large):
        """The entry that tells a data centre's sum loses power. Others must neither take the whole
        data centre for idle nor count the dead one's work for long."""
        victim = large.nodes["10.0.0.0"]
        victim.is_alive = False
        large.play(1)
        assert all(large.seen_by(node).short_requests >= 66 for node in large.alive())
        large.play(8)
        assert large.all_see_all()

    def test_both_relays_at_once(self, large):
        """Both relays of a data centre are killed together: its other entries go on, and are heard
        again once these have aged out."""
        for host in ("10.0.0.0", "10.0.0.5"):
            large.nodes[host].is_alive = False
        large.play(10)
        assert large.all_see_all()

    def test_a_newcomer_that_knows_one_address_is_heard_by_all(self, large):
        """An entry starts while the store is away and knows one entry of its data centre only."""
        newcomer = Node(68, 5)
        large.nodes[newcomer.host] = newcomer
        newcomer.table.know("10.3.0.3", newcomer.data_centre, large.now_s)
        large.play(10)
        assert large.all_see_all()

    def test_data_centres_that_are_parted_and_meet_again(self, large):
        large.cut = {("dc-0", "dc-1"), ("dc-1", "dc-0")}
        large.play(10)
        in_first = next(node for node in large.alive() if node.data_centre == "dc-0")
        in_second = sum(1 for node in large.alive() if node.data_centre == "dc-1")
        assert large.seen_by(in_first).short_requests == 67 - in_second
        assert in_first.table.entries(large.now_s) == 68 - in_second
        large.cut = set()
        large.play(8)
        assert large.all_see_all()

    def test_two_entries_watch_the_store_for_all(self, large):
        """Whoever doesn't hear of the watchers watches too, and each watch costs calls."""
        duty = [
            node.host
            for node in large.alive()
            if has_duty(
                OtherEntry(node.host, 0.2, node.link_mbps),
                node.table.others_at_the_store(large.now_s),
            )
        ]
        assert len(duty) == WATCHERS

    def test_a_watcher_far_away_counts_while_its_news_is_on_the_way(self):
        watcher = OtherEntry("10.0.0.1", 1.8, 200)
        own = OtherEntry("10.0.0.2", 0.1, 20)
        told = [watcher, watcher._replace(host="10.0.0.3")]
        assert has_duty(own, told)
        assert not has_duty(own, [entry._replace(way_s=SUM_WAY_S) for entry in told])


class TestFewEntries:
    """A deployment in which each entry tells all others itself."""

    def test_no_sums_are_told(self):
        exchange = Exchange(21, 3)
        exchange.introduce_all()
        exchange.play(8)
        assert exchange.all_see_all()
        assert set(exchange.sent.values()) == {20}


class TestUrgentNews:
    """What can't wait for the next regular datagram."""

    def test_a_long_prompt_that_begins_to_be_read(self):
        """Two entries of different data centres place a dossier within a tenth of a second. Each
        takes seventeen engines that it believes idle; on those that both took, one waits."""
        reading = {7: Work(long_requests=1, reading_requests=1, reading_ms=900.0)}
        assert is_news_afar({}, reading)
        assert not is_news_afar(reading, reading)
        assert not is_news_afar({}, {7: Work(short_requests=1, reading_ms=30.0)})

    async def test_peers_hear_of_a_long_prompt_at_once(self):
        ledger = Ledger()
        seen = ledger.urgent_count
        ledger.add(Flight("a", Lane.SHORT), 0.0)
        assert ledger.urgent_count == seen
        ledger.add(Flight("a", Lane.LONG), 0.0)
        with trio.fail_after(1.0):
            await ledger.urgent_since(seen)


class TestRelays:
    """Who tells the sum of a data centre."""

    def test_the_fastest_links_that_stay(self):
        members = [Member(f"h{n}", 200 if n < 3 else 20, n == 0) for n in range(14)]
        chosen = [
            own.host
            for own in members
            if is_first(own, [other for other in members if other is not own], RELAYS)
        ]
        assert set(chosen) - {"h0"} == {"h1", "h2"}
        assert len(set(chosen) - {"h0"}) == RELAYS
