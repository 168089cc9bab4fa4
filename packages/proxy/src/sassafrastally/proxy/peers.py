"""Entries know each other: load by datagrams, changes by calls.

Datagrams are sent on each change and at least a few times a second. A peer that goes silent ages
out, so that the load of an entry that died doesn't hold engines busy. The store holds the
addresses of the entries; each datagram names the peers that its sender hears, so that one address
is enough to find all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Address, KvUnavailable, LeaseLost, MaybeApplied, Service
from sassafrastally.core.kv import KvConflict, KvWrite
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.catching_up import CatchingUp, Source
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import PeerHeard, PeerSilent, StoreLost
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.watch_duty import OtherEntry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.load import Ledger, Work
    from sassafrastally.proxy.settings import ProxySettings
    from sassafrastally.proxy.store import Store

MOST_SILENT_S = 0.25
"""Longest time between two datagrams."""

LEAST_GAP_S = 0.02
"""Shortest time between two datagrams: changes within it go together. An engine's pass takes about
50 ms, so what peers know is never older than half a pass."""

CLOSE_PEERS = 5
"""With more peers than this the shortest time grows in proportion, so that an entry sends no more
than some 250 datagrams a second (1 % of a small VM's core) however many entries there are. More
entries mean fewer requests at each, so that each one's news is less."""

AGED_OUT_S = 1.0
"""A peer counts as gone after four missed datagrams; one or two are lost now and then."""

FORGOTTEN_S = 60.0
"""After this a silent peer's address is no longer tried."""

DATAGRAM_BYTES = 2048

ANNOUNCED_S = 60.0
"""Lease of an entry's address in the store. It only serves those that start; liveness shows by
datagrams, so it need not be short."""


class Peer:
    """What is known of one other entry."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.calls = CallClient(Address(host, port))
        self.heard_s = float("-inf")
        self.hello: Hello | None = None


class Peers(Service):
    """Exchanges load and changes with the other entries."""

    name: ClassVar[str] = "peers"
    needs: ClassVar[tuple[str, ...]] = ("beliefs",)

    def __init__(
        self, settings: ProxySettings, dialect: Dialect, store: Store, ledger: Ledger
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._ledger = ledger
        self._peers: dict[str, Peer] = {}
        self._sequence = 0
        self._is_stopping = False
        self.own_suspects: Callable[[], dict[int, float]] = dict
        """Asked for the servers that this entry suspects: seconds left by hash of the id."""
        self.own_paces: Callable[[], dict[int, float]] = dict
        """Asked for the engines that are slow, as this entry has heard itself."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the port and begin to send."""
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        self._boot_id = self.kernel.random.getrandbits(64)
        self._nursery = nursery
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await self._socket.bind((self._settings.host, self._settings.peer_port))
        self._catching_up = CatchingUp(self.kernel, self._beliefs, self._sources)
        nursery.start_soon(self._catching_up.run)
        nursery.start_soon(self._receive)
        nursery.start_soon(self._send)
        nursery.start_soon(self._announce)

    async def stop(self) -> None:
        """Tell the peers that this entry is leaving."""
        self._is_stopping = True

    def live_count(self) -> int:
        """Return the number of peers that are heard."""
        return sum(1 for _ in self._live())

    @property
    def gap_s(self) -> float:
        """Shortest time between two datagrams."""
        return min(MOST_SILENT_S, LEAST_GAP_S * max(1.0, self.live_count() / CLOSE_PEERS))

    def live_hosts(self) -> list[str]:
        """Return the IP numbers of the peers that are heard."""
        return [peer.host for peer in self._live()]

    def others_at_the_store(self) -> list[OtherEntry]:
        """Return the live peers with the age of the store's last answer to each."""
        now_s = self.kernel.clock.now_s()
        return [
            OtherEntry(
                peer.host, peer.hello.store_age_s + now_s - peer.heard_s, peer.hello.link_mbps
            )
            for peer in self._live()
            if peer.hello and not peer.hello.is_stopping
        ]

    @property
    def own_entry(self) -> OtherEntry:
        """This entry, as it tells of itself."""
        store_age_s = self.kernel.clock.now_s() - self._beliefs.store_answered_s
        return OtherEntry(self._settings.host, store_age_s, self._settings.link_mbps)

    def loads(self) -> list[Mapping[int, Work]]:
        """Return the work of each live peer by hash of the backend server's id."""
        return [peer.hello.loads for peer in self._live() if peer.hello]

    def suspects(self) -> dict[int, float]:
        """Return what live peers suspect: seconds left by hash of the backend server's id."""
        now_s = self.kernel.clock.now_s()
        left: dict[int, float] = {}
        for peer in self._live():
            for key, for_s in (peer.hello.suspects if peer.hello else {}).items():
                left[key] = max(left.get(key, 0.0), for_s - (now_s - peer.heard_s))
        return left

    def paces(self) -> dict[int, float]:
        """Return the slow engines that live peers tell of: pace by hash of the id."""
        told: dict[int, float] = {}
        for peer in self._live():
            for key, pace in (peer.hello.paces if peer.hello else {}).items():
                told[key] = max(told.get(key, 0.0), pace)
        return told

    def hello(self) -> Hello:
        """Return what this entry tells its peers now."""
        now_s = self.kernel.clock.now_s()
        self._sequence += 1
        return Hello(
            host=self._settings.host,
            boot_id=self._boot_id,
            sequence=self._sequence,
            revision=self._beliefs.revision,
            confirmed_age_s=now_s - self._beliefs.confirmed_s,
            is_stopping=self._is_stopping,
            loads={
                server_hash(life_id): work for life_id, work in self._ledger.work(now_s).items()
            },
            peers=tuple(self.live_hosts()),
            suspects=self.own_suspects(),
            paces=self.own_paces(),
            store_age_s=now_s - self._beliefs.store_answered_s,
            returned_age_s=now_s - self._beliefs.store_returned_s,
            data_centre=self._settings.data_centre,
            link_mbps=self._settings.link_mbps,
        )

    def _sources(self) -> list[Source]:
        """Return the live peers that know a newer revision."""
        own_centre = self._settings.data_centre
        return [
            Source(peer.host, peer.hello.data_centre == own_centre, peer.hello.revision, peer.calls)
            for peer in self._live()
            if peer.hello and peer.hello.revision > self._beliefs.revision
        ]

    def _live(self) -> Iterator[Peer]:
        oldest_s = self.kernel.clock.now_s() - AGED_OUT_S
        return (peer for peer in self._peers.values() if peer.heard_s > oldest_s)

    def _know(self, host: str) -> Peer | None:
        if host == self._settings.host or not host:
            return None
        if host not in self._peers:
            self._peers[host] = Peer(host, self._settings.peer_port)
        return self._peers[host]

    async def _receive(self) -> None:
        # Closed with this task; left to the garbage collector, its port would be taken for longer.
        with self._socket:
            while True:
                try:
                    data, _ = await self._socket.recvfrom(DATAGRAM_BYTES)
                    self._take(decode_hello(data))
                except (OSError, DocumentInvalid):
                    # A port that is closed shows as an error of the next call, and bytes of others
                    # may arrive here; both say nothing about a peer, which ages out by its silence.
                    continue

    def _take(self, hello: Hello) -> None:
        peer = self._know(hello.host)
        if peer is None:
            return
        for host in hello.peers:
            self._know(host)
        known = peer.hello
        if known and known.boot_id == hello.boot_id and known.sequence >= hello.sequence:
            return  # Overtaken on the way by a later one.
        now_s = self.kernel.clock.now_s()
        silent_s = now_s - peer.heard_s
        if silent_s > AGED_OUT_S:
            self.kernel.events.emit(PeerHeard(peer.host, round(min(silent_s, 1e6), 3)))
        peer.hello = hello
        peer.heard_s = now_s
        # Known before the changes themselves: entries that lapsed with the store keep their place
        # for a moment also with those who only hear of it.
        returned_s = now_s - hello.returned_age_s
        self._beliefs.store_returned_s = max(self._beliefs.store_returned_s, returned_s)
        if hello.revision > self._beliefs.revision:
            self._catching_up.note_news()
        elif hello.revision == self._beliefs.revision:
            confirmed_s = now_s - hello.confirmed_age_s
            self._beliefs.confirmed_s = max(self._beliefs.confirmed_s, confirmed_s)

    async def _send(self) -> None:
        silent: set[str] = set()
        while True:
            seen = self._ledger.change_count
            await self._send_hello()
            self._note_silent(silent)
            gap_s = self.gap_s
            await trio.sleep(gap_s)
            with trio.move_on_after(MOST_SILENT_S - gap_s):
                await self._ledger.changed_since(seen)

    async def _send_hello(self) -> None:
        oldest_s = self.kernel.clock.now_s() - FORGOTTEN_S
        data = encode_hello(self.hello())
        for peer in list(self._peers.values()):
            if peer.hello is not None and peer.heard_s < oldest_s:
                del self._peers[peer.host]
                await peer.calls.close()
                continue
            try:
                await self._socket.sendto(data, (peer.host, self._settings.peer_port))
            except OSError:
                # Nobody listens there, or the link is full: the next datagram makes up for it,
                # and a peer that is really gone ages out.
                continue

    def _note_silent(self, silent: set[str]) -> None:
        live = set(self.live_hosts())
        for peer in self._peers.values():
            if peer.hello is None or peer.host in live or peer.host in silent:
                continue
            silent.add(peer.host)
            silent_s = self.kernel.clock.now_s() - peer.heard_s
            self.kernel.events.emit(PeerSilent(peer.host, round(silent_s, 3)))
        silent.difference_update(live)

    async def _announce(self) -> None:
        """Write this entry's address to the store and learn those of the others."""
        pause_s = 0.1
        lease_id = 0
        while True:
            try:
                if lease_id == 0:
                    # Written before the others are read: of two entries that start together, the
                    # one that writes last then finds the other.
                    lease_id = await self._write_address()
                    await self._learn()
                else:
                    await self._store.keep_lease(lease_id)
                pause_s = ANNOUNCED_S / 3
            except (LeaseLost, KvConflict):
                lease_id, pause_s = 0, 0.1
            except (KvUnavailable, MaybeApplied) as cause:
                self._note_store_lost("announce", cause)
                pause_s = min(ANNOUNCED_S / 6, 2 * pause_s)
            await trio.sleep(pause_s * self.kernel.random.uniform(0.7, 1.0))

    async def _learn(self) -> None:
        prefix = self._dialect.keys.entries_prefix
        for entry in (await self._store.read_prefix(prefix)).entries:
            self._know(entry.key.removeprefix(prefix))

    async def _write_address(self) -> int:
        key = self._dialect.keys.entries_prefix + self._settings.host
        lease_id = await self._store.grant_lease(ANNOUNCED_S)
        any_revision = -1
        await self._store.write(
            [KvWrite(key, self._settings.data_centre.encode(), any_revision, lease_id)]
        )
        return lease_id

    def _note_store_lost(self, call: str, cause: Exception) -> None:
        age_s = self.kernel.clock.now_s() - self._beliefs.confirmed_s
        self.kernel.events.emit(
            StoreLost(call, str(cause), self._beliefs.revision, round(min(age_s, 1e6), 3))
        )
