"""Entries know each other: load by datagrams, changes by calls.

Datagrams are sent on each change and at least a few times a second. A peer that goes silent ages
out, so that the load of an entry that died doesn't hold engines busy. The store holds the
addresses of the entries, and datagrams name the peers that their sender hears, so that one address
is enough to find all. Who tells whom follows from `sharing`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Address, Service
from sassafrastally.proxy.announcing import Announcing
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.catching_up import CatchingUp, Source
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.limit_news import LimitExchange, NothingLimited
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import CentreHeard, CentreSilent, PeerHeard, PeerSilent
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.peer_table import AGED_OUT_S, PeerTable
from sassafrastally.proxy.quarantine_news import NO_NEWS, NothingQuarantined, QuarantineExchange
from sassafrastally.proxy.sharing import Member, is_news_afar
from sassafrastally.proxy.watch_duty import OtherEntry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from sassafrastally.core import KvEntry, KvEvent
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.load import Ledger, Work
    from sassafrastally.proxy.settings import ProxySettings
    from sassafrastally.proxy.store import Store

MOST_SILENT_S = 0.25
"""Longest time between two datagrams, and the time between two sums of a data centre."""

LEAST_GAP_S = 0.02
"""Shortest time between two datagrams: changes within it go together. Shorter than an engine's
pass, so that peers know what began in the last one."""

CLOSE_PEERS = 5
"""With more peers than this the shortest time grows in proportion, so that an entry sends no more
datagrams a second however many entries there are. More entries mean fewer requests at each, so that
each one's news is less."""

NEWS_WAY_S = 0.02
"""Time from a choice until others have its datagram, beside the time between two datagrams: the way
and both processes' turn."""

NAMED_S = 2.0
"""Time between two datagrams that name the peers. Names make up most of a datagram's bytes and
rarely change; while they do, each datagram has them."""

DATAGRAM_BYTES = 2048


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
        self._table = PeerTable(Member(settings.host, settings.link_mbps), settings.data_centre)
        self._calls: dict[str, CallClient] = {}
        self._sequence = 0
        self._is_stopping = False
        self._named_s = float("-inf")
        self._named: set[str] = set()
        self._told_again_s = float("-inf")
        self._sum_news = trio.Event()
        self.own_suspects: Callable[[], dict[int, float]] = dict
        """Asked for the servers that this entry suspects: seconds left by hash of the id."""
        self.own_paces: Callable[[], dict[int, float]] = dict
        """Asked for the engines that are slow, as this entry has heard itself."""
        self.quarantine: QuarantineExchange = NothingQuarantined()
        """What is told and heard of requests under which servers crash."""
        self.limits: LimitExchange = NothingLimited()
        """What is told and heard of the requests that servers take."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the port and begin to send."""
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        self._beliefs.on_news = self._ledger.note_change
        self._boot_id = self.kernel.random.getrandbits(64)
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await self._socket.bind((self._settings.host, self._settings.peer_port))
        self._catching_up = CatchingUp(
            self.kernel, self._beliefs, self._sources, self._waits_for_near
        )
        self._announcing = Announcing(
            self.kernel,
            self._settings,
            self._store,
            self._dialect.keys.entries_prefix,
            self._beliefs,
            self._table,
        )
        nursery.start_soon(self._catching_up.run)
        nursery.start_soon(self._receive)
        nursery.start_soon(self._send)
        nursery.start_soon(self._send_sums)
        nursery.start_soon(self._announcing.run)

    async def stop(self) -> None:
        """Tell the peers that this entry is leaving."""
        self._is_stopping = True

    def note_snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Take the entries' addresses from all that stands in the store."""
        self._announcing.note_snapshot(entries)

    def note_changes(self, events: Sequence[KvEvent]) -> None:
        """Take the entries' addresses from changes of the store."""
        self._announcing.note_entries(events)

    def knows_others(self) -> bool:
        """Return whether the address of another entry is known."""
        return self._table.knows_others()

    def is_prober(self) -> bool:
        """Return whether this entry tries a store that answers nobody more often than others."""
        return self._table.is_prober(self._now_s)

    def hears_sums(self) -> bool:
        """Return whether data centres tell each other sums in place of single entries' work."""
        return self._table.has_relay(self._now_s)

    def live_count(self) -> int:
        """Return the number of other live entries."""
        return self._table.entries(self._now_s) - 1

    @property
    def gap_s(self) -> float:
        """Shortest time between two datagrams."""
        return min(MOST_SILENT_S, LEAST_GAP_S * max(1.0, self._told_count() / CLOSE_PEERS))

    def hosts_near(self, data_centre: str) -> list[str] | None:
        """Return the live entries of a data centre; ``None`` when only its sum is heard."""
        return self._table.hosts_near(data_centre, self._now_s)

    def live_hosts(self) -> list[str]:
        """Return the IP numbers of the peers that tell of themselves."""
        return [peer.host for peer in self._table.live(self._now_s)]

    def members(self) -> set[str]:
        """Return the IP numbers of all other entries that may send requests."""
        return self._table.members(self._now_s)

    def others_at_the_store(self) -> list[OtherEntry]:
        """Return the live peers with the age of the store's last answer to each."""
        return self._table.others_at_the_store(self._now_s)

    @property
    def own_entry(self) -> OtherEntry:
        """This entry, as it tells of itself."""
        store_age_s = self._now_s - self._beliefs.store_answered_s
        return OtherEntry(self._settings.host, store_age_s, self._settings.link_mbps)

    def loads(self) -> list[Mapping[int, Work]]:
        """Return the work of the other entries by hash of the backend server's id."""
        return self._table.loads(self._now_s)

    def suspects(self) -> dict[int, float]:
        """Return what others suspect: seconds left by hash of the backend server's id."""
        return self._table.suspects(self._now_s)

    def paces(self) -> dict[int, float]:
        """Return the slow engines that others tell of: pace by hash of the id."""
        return self._table.paces(self._now_s)

    def tell_at_once(self) -> None:
        """Tell peers and other data centres without waiting for the next datagram's turn."""
        self._ledger.note_change(is_urgent=True)
        self._sum_news.set()

    def hello(self) -> Hello:
        """Return what this entry tells its peers now."""
        now_s = self._now_s
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
            peers=(),
            suspects=self.own_suspects(),
            paces=self.own_paces(),
            store_age_s=now_s - self._beliefs.store_answered_s,
            returned_age_s=now_s - self._beliefs.store_returned_s,
            data_centre=self._settings.data_centre,
            link_mbps=self._settings.link_mbps,
            limits=self.limits.news(),
        )

    @property
    def _now_s(self) -> float:
        return self.kernel.clock.now_s()

    @property
    def news_age_s(self) -> float:
        """How old the latest news of entries nearby is; 0 without any."""
        return self.gap_s + NEWS_WAY_S if self.live_count() else 0.0

    def _told_count(self) -> int:
        """Return how many live peers this entry tells of itself."""
        live = set(self.live_hosts())
        return sum(1 for host in self._table.receivers(self._now_s).own if host in live)

    def _sources(self) -> list[Source]:
        """Return those that know a newer revision."""
        own_centre = self._settings.data_centre
        newer = [
            hello
            for hello, _ in self._table.told(self._now_s)
            if hello.revision > self._beliefs.revision
        ]
        return [
            Source(
                host=hello.host,
                is_near=hello.data_centre == own_centre,
                revision=hello.revision,
                calls=self._client(hello.host),
            )
            for hello in newer
        ]

    def _waits_for_near(self) -> bool:
        return self._table.has_relay(self._now_s) and not self._table.is_relay(self._now_s)

    def _client(self, host: str) -> CallClient:
        if host not in self._calls:
            self._calls[host] = CallClient(Address(host, self._settings.peer_port))
        return self._calls[host]

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
        now_s = self._now_s
        silent_s = self._table.silent_s(hello.host, now_s)
        known_loads = self._table.loads_of(hello.host)
        if not self._table.take(hello, now_s):
            return
        if hello.data_centre == self._settings.data_centre:
            self._note_reading(known_loads, hello.loads)
        self.limits.take(hello.limits, hello.host)
        if hello.quarantine != NO_NEWS and self.quarantine.take(hello.quarantine):
            self._sum_news.set()
        if not hello.entries and silent_s > AGED_OUT_S:
            self.kernel.events.emit(PeerHeard(hello.host, round(min(silent_s, 1e6), 3)))
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
        told_loads: Mapping[int, Work] = {}
        while True:
            seen, urgent_seen = self._ledger.change_count, self._ledger.urgent_count
            news = self.quarantine.own_news(is_full=self._tells_again())
            own = self.hello()._replace(peers=self._names(), quarantine=news)
            await self._send_to(self._table.receivers(self._now_s).own, own)
            self._note_reading(told_loads, own.loads)
            told_loads = own.loads
            self._note_silent(silent)
            await self._forget_old()
            gap_s = self.gap_s
            with trio.move_on_after(gap_s) as gap:
                await self._ledger.urgent_since(urgent_seen)
            if gap.cancelled_caught:
                with trio.move_on_after(MOST_SILENT_S - gap_s):
                    await self._ledger.changed_since(seen)

    async def _send_sums(self) -> None:
        """Tell other data centres what this one does, while this entry is its relay."""
        named_s = float("-inf")
        heard: set[str] = set()
        while True:
            now_s = self._now_s
            hosts = self._table.receivers(now_s).of_sum
            if hosts:
                told = self._table.sum_of_centre(self.hello(), self.own_entry, now_s)
                is_full = now_s - named_s >= NAMED_S
                if is_full:
                    named_s = now_s
                    near = (peer.host for peer in self._table.near(now_s))
                    told = told._replace(peers=(self._settings.host, *near))
                told = told._replace(quarantine=self.quarantine.all_news(is_full=is_full))
                await self._send_to(hosts, told)
            heard = self._note_centres(heard)
            await trio.sleep(LEAST_GAP_S)
            with trio.move_on_after(MOST_SILENT_S - LEAST_GAP_S):
                await self._sum_news.wait()
            self._sum_news = trio.Event()

    def _note_reading(self, known: Mapping[int, Work], told: Mapping[int, Work]) -> None:
        """Tell other data centres at once of long prompts that begin to be read in this one."""
        if is_news_afar(known, told):
            self._sum_news.set()

    async def _send_to(self, hosts: Iterable[str], hello: Hello) -> None:
        data = encode_hello(hello)
        for host in hosts:
            try:
                await self._socket.sendto(data, (host, self._settings.peer_port))
            except OSError:
                # Nobody listens there, or the link is full: the next datagram makes up for it,
                # and a peer that is really gone ages out.
                continue

    def _names(self) -> tuple[str, ...]:
        """Return the peers that the next datagram names; none if it was done lately."""
        live = set(self.live_hosts())
        if live <= self._named and self._now_s - self._named_s < NAMED_S:
            return ()
        self._named, self._named_s = live, self._now_s
        return tuple(live)

    def _tells_again(self) -> bool:
        """Return whether the next datagram tells older news again."""
        is_due = self._now_s - self._told_again_s >= NAMED_S
        if is_due:
            self._told_again_s = self._now_s
        return is_due

    async def _forget_old(self) -> None:
        for host in self._table.forget_old(self._now_s):
            if host in self._calls:
                await self._calls.pop(host).close()

    def _note_silent(self, silent: set[str]) -> None:
        for host, silent_s in self._table.newly_silent(silent, self._now_s):
            self.kernel.events.emit(PeerSilent(host, round(silent_s, 3)))

    def _note_centres(self, known: set[str]) -> set[str]:
        """Log which data centres' sums are heard from now on, or no longer; return those heard."""
        sums = self._table.sums(self._now_s)
        for data_centre in sorted(sums.keys() - known):
            told = sums[data_centre].hello
            self.kernel.events.emit(CentreHeard(data_centre, told.host, told.entries))
        for data_centre in sorted(known - sums.keys()):
            self.kernel.events.emit(CentreSilent(data_centre))
        return set(sums)
