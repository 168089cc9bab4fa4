"""Gossip between entries: load by UDP datagrams, changes by calls.

An entry is one proxy process; its peers are the other entries. Datagrams are sent on each change
and at least a few times a second. A peer that sends none for a while times out, so that the load of
a dead entry doesn't keep engines marked as busy. The store holds the entries' addresses, and
datagrams list the peers from which the sender receives, so that one address is enough to discover
all. The module `load_exchange` determines which entries send to which.
"""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.address_registration import AddressRegistration
from sassafrastally.proxy.change_fetcher import ChangeFetcher, Source, has_news
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.contention import ContentionExchange, NullContentionExchange
from sassafrastally.proxy.datagram_port import DatagramPort
from sassafrastally.proxy.datagram_reader import DatagramReader
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.load_exchange import (
    FULL_DATAGRAM_INTERVAL_S,
    MAX_SEND_INTERVAL_S,
    MIN_SEND_INTERVAL_S,
    PEER_TIMEOUT_S,
    Member,
    is_urgent_for_sums,
)
from sassafrastally.proxy.log_events import PeerHeard, PeerSilent
from sassafrastally.proxy.peer_calls import PeerCalls
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.peer_table import PeerTable
from sassafrastally.proxy.port_takeover import open_when_free
from sassafrastally.proxy.quarantine_exchange import (
    EMPTY_REPORT,
    NullQuarantineExchange,
    QuarantineExchange,
)
from sassafrastally.proxy.rate_limits import LimitExchange, NullLimitExchange
from sassafrastally.proxy.store_watchers import WatchCandidate
from sassafrastally.proxy.sum_exchange import SumExchange
from sassafrastally.proxy.warm_up import ColdExchange, NullColdExchange

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from sassafrastally.core import KvEvent
    from sassafrastally.proxy.contention import ContentionNews
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.failure_rates import FailureCounts, SenderCounts
    from sassafrastally.proxy.input_limits import InputBudget
    from sassafrastally.proxy.load import Ledger, Work
    from sassafrastally.proxy.settings import ProxySettings
    from sassafrastally.proxy.store import Snapshot, Store

PEERS_AT_MIN_INTERVAL = 5
"""Number of peers up to which `MIN_SEND_INTERVAL_S` applies. With more, the minimum interval grows
in proportion, so that the number of datagrams per second stays bounded. More entries mean fewer
requests and thus fewer changes at each."""

DATAGRAM_LATENCY_S = 0.02
"""Latency until peers have the datagram of a routing decision, in addition to the send interval."""


class Peers(Service):
    """Exchanges load and changes with the other entries."""

    name: ClassVar[str] = "peers"
    needs: ClassVar[tuple[str, ...]] = ("beliefs",)

    def __init__(
        self,
        settings: ProxySettings,
        dialect: Dialect,
        store: Store,
        ledger: Ledger,
        input_budget: InputBudget | None = None,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._ledger = ledger
        self._table = PeerTable(Member(settings.host, settings.link_mbps), settings.data_centre)
        self.listening = self._table.listening
        """When this entry was paused."""
        self._calls = PeerCalls(settings.peer_port, input_budget)
        self._sequence = 0
        self._is_stopping = False
        self._peers_listed_s = float("-inf")
        self._listed_peers: set[str] = set()
        self._reports_repeated_s = float("-inf")
        self.own_suspects: Callable[[], dict[int, float]] = dict
        """Returns the servers that this entry suspects: remaining seconds by hash of the id."""
        self.own_paces: Callable[[], dict[int, float]] = dict
        """Returns the slow engines according to reports to this entry: pace by hash of the id."""
        self.own_failures: Callable[[], dict[int, FailureCounts]] = dict
        """Returns this entry's counts of failing servers, by hash of the id."""
        self.quarantine: QuarantineExchange = NullQuarantineExchange()
        """Source and receiver of news about requests during which servers crash."""
        self.limits: LimitExchange = NullLimitExchange()
        """Source and receiver of servers' request rate limits."""
        self.contention: ContentionExchange = NullContentionExchange()
        """Source and receiver of customers' work and refused requests."""
        self.colds: ColdExchange = NullColdExchange()
        """Source and receiver of servers' cold times."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the UDP port and start the exchange."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._cluster_state.on_newer_position = self._ledger.note_change
        self._cluster_state.servers.on_announcement = self._ledger.note_change
        self._boot_id = self.kernel.random.getrandbits(64)
        self._port = DatagramPort()
        open_port = partial(self._port.open, self._settings.host, self._settings.peer_port)
        await open_when_free(open_port, self.kernel, nursery, self._settings.bounds.stop_time_s)
        self._change_fetcher = ChangeFetcher(
            self.kernel, self._cluster_state, self._sources, self._defers_to_relays
        )
        self._address_registration = AddressRegistration(
            self.kernel,
            self._settings,
            self._store,
            self._dialect.keys.entries_prefix,
            self._cluster_state,
            self._table,
        )
        self._sums = SumExchange(self.kernel, self._table, self._sum, self._port.send)
        reader = DatagramReader(self.kernel, self._port, self._apply_datagram, self.live_count)
        tasks = {
            "changes of peers": self._change_fetcher.run,
            "own state for peers": self._send,
            "sum for other data centres": self._sums.run,
            "registration of the own address": self._address_registration.run,
        }
        for work, task in tasks.items():
            nursery.start_soon(Containment(self.kernel, work).restart, task)
        nursery.start_soon(reader.run)

    async def stop(self) -> None:
        """Announce to the peers that this entry is stopping."""
        self._is_stopping = True

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Read the entries' addresses from a snapshot of the store."""
        self._address_registration.record_snapshot(snapshot.entries, snapshot.position.epoch)

    def note_changes(self, events: Sequence[KvEvent]) -> None:
        """Read the entries' addresses from changes of the store."""
        self._address_registration.record_entries(events)

    def has_known_peers(self) -> bool:
        """Return whether the address of another entry is known."""
        return self._table.has_known_peers()

    def is_prober(self) -> bool:
        """Return whether this entry retries an unavailable store more often than others."""
        return self._table.is_prober(self._now_s)

    def receives_sums(self) -> bool:
        """Return whether data centres exchange sums instead of each entry's work."""
        return self._table.has_relay(self._now_s)

    def has_uneven_links(self) -> bool:
        """Return whether the links of the entries heard are uneven."""
        return self._table.has_uneven_links(self._now_s)

    def is_relay(self) -> bool:
        """Return whether this entry sends the sum of its data centre."""
        return self._table.is_relay(self._now_s)

    def centres_heard(self) -> set[str]:
        """Return the other data centres whose sum arrives."""
        return set(self._table.sums(self._now_s))

    def live_count(self) -> int:
        """Return the number of live peers."""
        return self._table.entries(self._now_s) - 1

    def known_count(self) -> int:
        """Return the number of entries as `PeerTable.known_entries`."""
        return self._table.known_entries(self._now_s)

    @property
    def min_send_interval_s(self) -> float:
        """Minimum time between two datagrams."""
        return min(
            MAX_SEND_INTERVAL_S,
            MIN_SEND_INTERVAL_S * max(1.0, self._receiver_count() / PEERS_AT_MIN_INTERVAL),
        )

    def live_hosts_in(self, data_centre: str) -> list[str] | None:
        """Return the live entries of a data centre; ``None`` if only its sum is received."""
        return self._table.live_hosts_in(data_centre, self._now_s)

    def live_hosts(self) -> list[str]:
        """Return the IP addresses of the live peers that send datagrams of their own."""
        return [peer.host for peer in self._table.live(self._now_s)]

    def members(self) -> set[str]:
        """Return the IP addresses of all other entries that may send requests to servers."""
        return self._table.members(self._now_s)

    def watch_candidates(self) -> list[WatchCandidate]:
        """Return the live peers with the age of the store's last answer to each."""
        return self._table.watch_candidates(self._now_s)

    @property
    def own_entry(self) -> WatchCandidate:
        """This entry's state as a candidate for watching the store."""
        store_age_s = self._now_s - self._cluster_state.store_answered_s
        return WatchCandidate(
            self._settings.host,
            store_age_s,
            self._settings.link_mbps,
            is_overloaded=self._table.is_overloaded,
        )

    def set_overloaded(self, *, is_overloaded: bool) -> None:
        """Leave duties to other entries, or take them again, and tell the peers."""
        self._table.set_overloaded(is_overloaded=is_overloaded)
        self._ledger.note_change(is_urgent=True)

    @property
    def is_overloaded(self) -> bool:
        """Whether this entry leaves duties to others that can take them."""
        return self._table.is_overloaded

    def has_local_peer_with_time(self) -> bool:
        """Return whether an entry of this data centre is live and not overloaded."""
        return self._table.has_local_peer_with_time(self._now_s)

    def requests_in_progress(self) -> int:
        """Return the number of requests in progress at the other entries."""
        return sum(work.requests for loads in self.loads() for work in loads.values())

    def loads(self) -> list[Mapping[int, Work]]:
        """Return the work of the other entries by hash of the backend server's id."""
        return self._table.loads(self._now_s)

    def suspects(self) -> dict[int, float]:
        """Return the peers' suspects: remaining seconds by hash of the backend server's id."""
        return self._table.suspects(self._now_s)

    def paces(self) -> dict[int, float]:
        """Return the slow engines reported by peers: pace by hash of the id."""
        return self._table.paces(self._now_s)

    def contention_news(self) -> list[ContentionNews]:
        """Return the contention state of the other entries and data centres."""
        return self._table.contention_news(self._now_s)

    def failure_counts(self) -> list[SenderCounts]:
        """Return the latest counts of failing servers of each live peer or data centre."""
        return self._table.failure_counts(self._now_s)

    def send_now(self) -> None:
        """Send updates to peers and other data centres without waiting for the next interval."""
        self._ledger.note_change(is_urgent=True)
        self._sums.send_now()

    def hello(self) -> Hello:
        """Return the current state to send to the peers."""
        now_s = self._now_s
        self._sequence += 1
        return Hello(
            host=self._settings.host,
            boot_id=self._boot_id,
            sequence=self._sequence,
            position=self._cluster_state.position,
            confirmed_age_s=now_s - self._cluster_state.confirmed_s,
            is_stopping=self._is_stopping,
            loads={
                server_hash(incarnation_id): work
                for incarnation_id, work in self._ledger.work(now_s).items()
            },
            peers=(),
            suspects=self.own_suspects(),
            paces=self.own_paces(),
            store_age_s=now_s - self._cluster_state.store_answered_s,
            returned_age_s=now_s - self._cluster_state.servers.store_returned_s,
            data_centre=self._settings.data_centre,
            link_mbps=self._settings.link_mbps,
            limits=self.limits.limits_to_send(),
            shares=self.limits.shares_to_send(),
            configuration_version=self._cluster_state.configuration_version,
            draining=self._cluster_state.servers.draining_to_announce(),
            is_overloaded=self._table.is_overloaded,
            contention=self.contention.news_to_send(now_s),
            colds=self.colds.colds_to_send(),
            failures=self.own_failures(),
        )

    @property
    def _now_s(self) -> float:
        return self.kernel.clock.now_s()

    @property
    def update_age_s(self) -> float:
        """Maximum age of updates from nearby entries; 0 without live peers."""
        return self.min_send_interval_s + DATAGRAM_LATENCY_S if self.live_count() else 0.0

    def _receiver_count(self) -> int:
        """Return the number of live peers to which this entry sends its own state."""
        live = set(self.live_hosts())
        return sum(
            1 for host in self._table.receivers(self._now_s).own_state_receivers if host in live
        )

    def _sources(self) -> list[Source]:
        """Return the live peers that know a later position or a newer configuration."""
        own_centre = self._settings.data_centre
        newer = [
            (hello, self._now_s - age_s - hello.confirmed_age_s)
            for hello, age_s in self._table.effective_messages(self._now_s)
            if self._has_news(hello)
        ]
        return [
            Source(
                host=hello.host,
                is_local=hello.data_centre == own_centre,
                position=hello.position,
                configuration_version=hello.configuration_version,
                calls=self._calls.client(hello.host),
                confirmed_s=confirmed_s,
            )
            for hello, confirmed_s in newer
        ]

    def _has_news(self, hello: Hello) -> bool:
        return has_news(hello.position, hello.configuration_version, self._cluster_state)

    def _defers_to_relays(self) -> bool:
        return self._table.has_relay(self._now_s) and not self._table.is_relay(self._now_s)

    async def _apply_datagram(self, data: bytes) -> None:
        # Unrelated datagrams may arrive; they don't give the state of a peer.
        with suppress(DocumentInvalid):
            hello = decode_hello(data)
            if self._apply(hello) and hello.is_to_forward:
                await self._sums.forward(data)

    def _apply(self, hello: Hello) -> bool:
        """Apply a datagram; return whether it is newer than what is known."""
        now_s = self._now_s
        silent_s = self._table.silent_s(hello.host, now_s)
        known_loads = self._table.loads_of(hello.host)
        if not self._table.apply(hello, now_s):
            return False
        if hello.data_centre == self._settings.data_centre:
            self._wake_sums_for_prefill(known_loads, hello.loads)
        self.limits.apply(hello.limits, hello.host)
        self.limits.apply_shares(hello.shares, hello.host)
        self.contention.apply(hello.contention, now_s)
        if hello.colds and self.colds.apply_colds(hello.colds, hello.host) and not hello.entries:
            self._sums.send_now()
        if hello.quarantine != EMPTY_REPORT and self.quarantine.apply(hello.quarantine):
            self._sums.send_now()
        if not hello.entries and silent_s > PEER_TIMEOUT_S:
            self.kernel.events.emit(PeerHeard(hello.host, round(min(silent_s, 1e6), 3)))
        # Set before the changes are fetched, so that entries that only learn of the outage from
        # peers also keep servers with expired leases during the grace period.
        servers = self._cluster_state.servers
        servers.store_returned_s = max(servers.store_returned_s, now_s - hello.returned_age_s)
        servers.record_announced_draining(hello.draining, f"peer {hello.host}")
        if self._has_news(hello):
            self._change_fetcher.note_news()
        if hello.position == self._cluster_state.position:
            # After a pause, a datagram may have waited in the socket since its beginning.
            confirmed_s = self.listening.listened_s(now_s) - hello.confirmed_age_s
            self._cluster_state.confirmed_s = max(self._cluster_state.confirmed_s, confirmed_s)
        return True

    async def _send(self) -> None:
        silent: set[str] = set()
        sent_loads: Mapping[int, Work] = {}
        while True:
            self._table.note_running(self._now_s)
            seen, urgent_seen = self._ledger.change_count, self._ledger.urgent_count
            report = self.quarantine.own_report(is_full=self._start_repeat_if_due())
            own = self.hello()._replace(peers=self._peers_to_list(), quarantine=report)
            if receivers := self._table.receivers(self._now_s).own_state_receivers:
                await self._port.send(receivers, encode_hello(own))
            self._wake_sums_for_prefill(sent_loads, own.loads)
            sent_loads = own.loads
            self._record_silent(silent)
            await self._forget_old()
            if self._table.is_overloaded:
                await trio.sleep(MAX_SEND_INTERVAL_S)
                continue
            gap_s = self.min_send_interval_s
            with trio.move_on_after(gap_s) as gap:
                await self._ledger.urgent_since(urgent_seen)
            if gap.cancelled_caught:
                with trio.move_on_after(MAX_SEND_INTERVAL_S - gap_s):
                    await self._ledger.changed_since(seen)

    def _sum(self, *, is_full: bool) -> Hello:
        """Return the sum of the data centre, with its entries' addresses if it is full."""
        now_s = self._now_s
        message = self._table.data_centre_sum(self.hello(), self.own_entry, now_s)
        if is_full:
            local = (peer.host for peer in self._table.local_peers(now_s))
            message = message._replace(peers=(self._settings.host, *local))
        return message._replace(quarantine=self.quarantine.combined_report(is_full=is_full))

    def _wake_sums_for_prefill(
        self, known_loads: Mapping[int, Work], new_loads: Mapping[int, Work]
    ) -> None:
        """Send the sum at once if long prompts have begun their prefill in this data centre."""
        if is_urgent_for_sums(known_loads, new_loads):
            self._sums.send_now()

    def _peers_to_list(self) -> tuple[str, ...]:
        """Return the peers to list in the next datagram; empty if all were listed lately."""
        live = set(self.live_hosts())
        if (
            live <= self._listed_peers
            and self._now_s - self._peers_listed_s < FULL_DATAGRAM_INTERVAL_S
        ):
            return ()
        self._listed_peers, self._peers_listed_s = live, self._now_s
        return tuple(live)

    def _start_repeat_if_due(self) -> bool:
        """Return whether the next datagram repeats older news; if so, restart the interval."""
        is_due = self._now_s - self._reports_repeated_s >= FULL_DATAGRAM_INTERVAL_S
        if is_due:
            self._reports_repeated_s = self._now_s
        return is_due

    async def _forget_old(self) -> None:
        for host in self._table.forget_old(self._now_s):
            await self._calls.forget(host)

    def _record_silent(self, silent: set[str]) -> None:
        for host, silent_s in self._table.newly_silent(silent, self._now_s):
            self.kernel.events.emit(PeerSilent(host, round(silent_s, 3)))
