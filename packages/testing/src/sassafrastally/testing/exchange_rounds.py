"""Load exchange between entries in rounds, with real tables and datagrams but no network."""

from __future__ import annotations

from collections import Counter

from sassafrastally.proxy.contention import NO_CONTENTION_NEWS
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.load_exchange import Member
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_forwarded, encode_hello
from sassafrastally.proxy.peer_table import PeerTable
from sassafrastally.proxy.store import StorePosition
from sassafrastally.proxy.store_watchers import WatchCandidate

STEP_S = 0.25
"""Interval between two rounds of datagrams when nothing changes."""


class Node:
    """An entry's peer table and the load that it reports."""

    def __init__(self, number: int, centres: int, slow_link_mbps: int = 20) -> None:
        self.host = f"10.{number % centres}.0.{number}"
        self.data_centre = f"dc-{number % centres}"
        self.link_mbps = 200 if number < 2 * centres else slow_link_mbps
        self.table = PeerTable(Member(self.host, self.link_mbps), self.data_centre)
        self.sequence = 0
        self.loads = {number: Work(short_requests=1)}
        self.contention = NO_CONTENTION_NEWS
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
            is_overloaded=self.table.is_overloaded,
            contention=self.contention,
        )


class Exchange:
    """Entries that send datagrams in rounds; bytes between data centres are counted."""

    def __init__(self, entries: int, centres: int, slow_link_mbps: int = 20) -> None:
        nodes = (Node(n, centres, slow_link_mbps) for n in range(entries))
        self.nodes = {node.host: node for node in nodes}
        self.now_s = 100.0
        self.sent: Counter[str] = Counter()
        self.remote_bytes = 0
        """Bytes between data centres in the last round."""
        self.remote_datagrams = 0
        """Datagrams between data centres in the last round."""
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
            self.remote_bytes = self.remote_datagrams = 0
            self.now_s += STEP_S
            for node in [node for node in self.nodes.values() if node.is_alive]:
                self._send_all(node)

    def _send_all(self, node: Node) -> None:
        receivers = node.table.receivers(self.now_s)
        names = tuple(peer.host for peer in node.table.live(self.now_s))
        own = node.hello(names)
        self._deliver(node, receivers.own_state_receivers, own)
        route = receivers.sums
        if route.direct or route.forwarding:
            entry = WatchCandidate(node.host, own.store_age_s, node.link_mbps)
            report = node.table.data_centre_sum(node.hello(()), entry, self.now_s)
            near = (peer.host for peer in node.table.local_peers(self.now_s))
            report = report._replace(peers=(node.host, *near))
            self._deliver(node, route.direct, report)
            self._deliver(node, route.forwarding, report._replace(is_to_forward=True))

    def _deliver(self, sender: Node, hosts: tuple[str, ...], hello: Hello) -> None:
        data = encode_hello(hello)
        for host in hosts:
            self._deliver_data(sender, host, data)

    def _deliver_data(self, sender: Node, host: str, data: bytes) -> None:
        other = self.nodes.get(host)
        self.sent[sender.host] += 1
        if other is None or not other.is_alive:
            return
        if (sender.data_centre, other.data_centre) in self.cut:
            return
        if other.data_centre != sender.data_centre:
            self.remote_bytes += len(data)
            self.remote_datagrams += 1
        hello = decode_hello(data)
        if other.table.apply(hello, self.now_s) and hello.is_to_forward:
            forwarded = encode_forwarded(data)
            assert decode_hello(forwarded) == hello._replace(is_to_forward=False)
            for receiver in other.table.forwarding_receivers():
                self._deliver_data(other, receiver, forwarded)

    def seen_by(self, node: Node) -> Work:
        """Return the sum of all work that is reported to an entry."""
        loads = node.table.loads(self.now_s)
        return Work(
            short_requests=sum(w.short_requests for of_one in loads for w in of_one.values())
        )

    def centres(self) -> set[str]:
        """Return the names of the data centres."""
        return {node.data_centre for node in self.nodes.values()}

    def alive(self) -> list[Node]:
        """Return the live entries."""
        return [node for node in self.nodes.values() if node.is_alive]

    def all_see_all(self) -> bool:
        """Return whether each live entry counts the request of each other one exactly once."""
        alive = self.alive()
        return all(self.seen_by(node).short_requests == len(alive) - 1 for node in alive)
