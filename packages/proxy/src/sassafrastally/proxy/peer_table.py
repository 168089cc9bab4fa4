"""Table of the other entries and data centres, built from their datagrams.

Entries of the own data centre send their own state. For another data centre, the sum from its relay
is used if one arrives, and its entries' own datagrams otherwise; never both, since their work would
count twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.failure_rates import SenderCounts
from sassafrastally.proxy.listening_clock import ListeningClock
from sassafrastally.proxy.load_exchange import (
    PEER_TIMEOUT_S,
    RELAYS,
    STORE_PROBERS,
    Member,
    is_ranked_first,
    position_among,
    reports_directly,
    without_overloaded,
)
from sassafrastally.proxy.relays import (
    ReceivedSums,
    SumRoute,
    are_links_uneven,
    is_stale,
    max_by_key,
    route_sum,
    sum_hellos,
)
from sassafrastally.proxy.store_watchers import WatchCandidate

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from sassafrastally.proxy.contention import ContentionNews
    from sassafrastally.proxy.load import Work
    from sassafrastally.proxy.peer_messages import Hello
    from sassafrastally.proxy.relays import DataCentreSum

FORGOTTEN_S = 60.0
"""Time after which a silent peer is removed and no longer sent datagrams."""

MEMBER_TIMEOUT_S = 5.0
"""An entry counts as a member until no entry has received from it or listed it for this long.
Longer than its state takes to time out: others must not take over its share of the request rate
while it may still send."""

RELAY_DELAY_S = 0.5
"""Additional delay of an entry's state that arrives with the sum of its data centre: two of its
datagrams and one sum may be in transit."""


class Peer:
    """State of one other entry."""

    def __init__(self, host: str, data_centre: str, address_seen_s: float) -> None:
        self.host = host
        self.data_centre = data_centre
        """Empty until known."""
        self.address_seen_s = address_seen_s
        """When its address last appeared in a datagram or in the store."""
        self.received_s = float("-inf")
        """When its last datagram arrived."""
        self.hello: Hello | None = None


class Receivers(NamedTuple):
    """Destinations of datagrams."""

    own_state_receivers: tuple[str, ...]
    """Hosts that get this entry's own state."""
    sums: SumRoute
    """Hosts that get the sum of its data centre; empty unless this entry is a relay."""


class PeerTable:
    """The other entries and data centres.

    Parameters
    ----------
    own
        This entry.
    data_centre
        This entry's data centre.
    """

    def __init__(self, own: Member, data_centre: str) -> None:
        self._own = own
        self._data_centre = data_centre
        self._peers: dict[str, Peer] = {}
        self._sums = ReceivedSums(data_centre)
        self.listening = ListeningClock()
        """When this entry was paused."""

    def note_running(self, now_s: float) -> None:
        """Record that this entry runs; peers don't time out while it doesn't."""
        self.listening.note_running(now_s)

    def set_overloaded(self, *, is_overloaded: bool) -> None:
        """Record whether this entry leaves duties to others that can take them."""
        self._own = self._own._replace(is_overloaded=is_overloaded)

    @property
    def is_overloaded(self) -> bool:
        """Whether this entry leaves duties to others that can take them."""
        return self._own.is_overloaded

    def add_address(self, host: str, data_centre: str, now_s: float) -> Peer | None:
        """Add or refresh an entry's address; return its state, ``None`` for this entry itself."""
        if host == self._own.host or not host:
            return None
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = Peer(host, data_centre, now_s)
        peer.data_centre = data_centre or peer.data_centre
        peer.address_seen_s = now_s
        return peer

    def apply(self, hello: Hello, now_s: float) -> bool:
        """Apply a datagram; return whether it is newer than what is known."""
        peer = self.add_address(hello.host, hello.data_centre, now_s)
        if peer is None:
            return False
        if not hello.entries:
            for host in hello.peers:
                self.add_address(host, "", now_s)
            if is_stale(peer.hello, hello):
                return False
            peer.hello = hello
            peer.received_s = now_s
            return True
        for host in hello.peers:
            self.add_address(host, hello.data_centre, now_s)
        return self._sums.apply(hello, now_s)

    def loads_of(self, host: str) -> Mapping[int, Work]:
        """Return the work that an entry last sent."""
        peer = self._peers.get(host)
        return peer.hello.loads if peer and peer.hello else {}

    def silent_s(self, host: str, now_s: float) -> float:
        """Return the time since an entry's last datagram."""
        peer = self._peers.get(host)
        return self._age_s(peer.received_s, now_s) if peer else float("inf")

    def live(self, now_s: float) -> list[Peer]:
        """Return the entries whose own datagrams arrive."""
        oldest_s = self.listening.listened_s(now_s) - PEER_TIMEOUT_S
        return [peer for peer in self._peers.values() if peer.received_s > oldest_s]

    def members(self, now_s: float) -> set[str]:
        """Return the other entries of all data centres that may send requests to servers."""
        oldest_s = self.listening.listened_s(now_s) - MEMBER_TIMEOUT_S
        return {
            peer.host
            for peer in self._peers.values()
            if max(peer.received_s, peer.address_seen_s) > oldest_s
            and not (peer.hello and peer.hello.is_stopping)
        }

    def newly_silent(self, noted: set[str], now_s: float) -> list[tuple[str, float]]:
        """Return entries that have become silent, with the time since their last datagram.

        Parameters
        ----------
        noted
            Silent entries that were returned before. Updated: new ones are added, and those that
            send again are removed.
        """
        live = {peer.host for peer in self.live(now_s)}
        noted.difference_update(live)
        new = [
            (peer.host, self._age_s(peer.received_s, now_s))
            for peer in self._peers.values()
            if peer.hello and peer.host not in live and peer.host not in noted
        ]
        noted.update(host for host, _ in new)
        return new

    def local_peers(self, now_s: float) -> list[Peer]:
        """Return the live entries of the own data centre."""
        return [peer for peer in self.live(now_s) if peer.data_centre == self._data_centre]

    def has_local_peer_with_time(self, now_s: float) -> bool:
        """Return whether another entry of the data centre is live and not overloaded."""
        return any(
            not member.is_stopping and not member.is_overloaded
            for member in map(_member, self.local_peers(now_s))
        )

    def sums(self, now_s: float) -> dict[str, DataCentreSum]:
        """Return each other data centre's sum; with several, the one over the most entries."""
        return self._sums.best(self.listening.listened_s(now_s))

    def entries(self, now_s: float) -> int:
        """Return the number of live entries, this one included."""
        in_sums = sum(received.hello.entries for received in self.sums(now_s).values())
        return 1 + sum(1 for _ in self._individual_peers(now_s)) + in_sums

    def known_entries(self, now_s: float) -> int:
        """Return the number of entries, this one included, also of those not heard from yet.

        The store names them to an entry that has just started. All of a fleet may have, and each
        must not take itself for the only one.
        """
        return max(self.entries(now_s), 1 + len(self.members(now_s)))

    def effective_messages(self, now_s: float) -> list[tuple[Hello, float]]:
        """Return the messages that count, with their ages: sums and individual entries' own."""
        single = [
            (peer.hello, self._age_s(peer.received_s, now_s))
            for peer in self._individual_peers(now_s)
            if peer.hello
        ]
        return single + [
            (received.hello, self._age_s(received.received_s, now_s))
            for received in self.sums(now_s).values()
        ]

    def loads(self, now_s: float) -> list[Mapping[int, Work]]:
        """Return the work of other entries, by hash of the backend server's id."""
        return [hello.loads for hello, _ in self.effective_messages(now_s)]

    def suspects(self, now_s: float) -> dict[int, float]:
        """Return the peers' suspects: remaining seconds by hash of the backend server's id."""
        left: dict[int, float] = {}
        for hello, age_s in self.effective_messages(now_s):
            for key, for_s in hello.suspects.items():
                left[key] = max(left.get(key, 0.0), for_s - age_s)
        return left

    def paces(self, now_s: float) -> dict[int, float]:
        """Return the slow engines reported by peers: pace by hash of the id."""
        return max_by_key(hello.paces for hello, _ in self.effective_messages(now_s))

    def contention_news(self, now_s: float) -> list[ContentionNews]:
        """Return the contention state of the other entries and data centres."""
        return [hello.contention for hello, _ in self.effective_messages(now_s)]

    def failure_counts(self, now_s: float) -> list[SenderCounts]:
        """Return the counts of failing servers of each live peer or data centre."""
        return [
            SenderCounts(hello.failures, is_sum=bool(hello.entries))
            for hello, _ in self.effective_messages(now_s)
            if hello.failures
        ]

    def watch_candidates(self, now_s: float) -> list[WatchCandidate]:
        """Return the other entries that may watch the store."""
        found: list[WatchCandidate] = []
        for hello, age_s in self.effective_messages(now_s):
            if hello.entries:
                found += [
                    watcher._replace(
                        store_age_s=watcher.store_age_s + age_s, relay_delay_s=RELAY_DELAY_S
                    )
                    for watcher in hello.watchers
                ]
            elif not hello.is_stopping:
                found.append(
                    WatchCandidate(
                        hello.host,
                        hello.store_age_s + age_s,
                        hello.link_mbps,
                        is_overloaded=hello.is_overloaded,
                    )
                )
        return found

    def live_hosts_in(self, data_centre: str, now_s: float) -> list[str] | None:
        """Return the live entries of a data centre.

        ``None`` if it sends its sum, since its entries aren't known individually then.
        """
        if data_centre in self.sums(now_s):
            return None
        return [
            member.host
            for member in without_overloaded(
                _member(peer)
                for peer in self._individual_peers(now_s)
                if peer.data_centre == data_centre
            )
        ]

    def is_relay(self, now_s: float) -> bool:
        """Return whether this entry sends the sum of its data centre."""
        local = map(_member, self.local_peers(now_s))
        return self.has_relay(now_s) and is_ranked_first(self._own, local, RELAYS)

    def has_known_peers(self) -> bool:
        """Return whether the address of another entry is known."""
        return bool(self._peers)

    def is_prober(self, now_s: float) -> bool:
        """Return whether this entry is one of the few that retry an unavailable store often."""
        if self.has_relay(now_s):
            return self.is_relay(now_s)
        return is_ranked_first(self._own, map(_member, self.live(now_s)), STORE_PROBERS)

    def has_relay(self, now_s: float) -> bool:
        """Return whether some entry sends the sum of this data centre."""
        return not reports_directly(self.entries(now_s) - 1)

    def receivers(self, now_s: float) -> Receivers:
        """Return the destinations of datagrams.

        Entries of a data centre that sends no sum get this entry's own state. Either all entries
        send to all, or nothing arrives from there; in that case, this data centre's sum may not
        arrive there either.
        """
        to_all = not self.has_relay(now_s)
        sums = self.sums(now_s)
        own: list[str] = []
        remote: dict[str, list[str]] = {}
        for peer in self._peers.values():
            is_remote = peer.data_centre not in ("", self._data_centre)
            if to_all or not is_remote or peer.data_centre not in sums:
                own.append(peer.host)
            if is_remote:
                remote.setdefault(peer.data_centre, []).append(peer.host)
        return Receivers(tuple(own), self._sum_route(remote, now_s))

    def _sum_route(self, remote: Mapping[str, list[str]], now_s: float) -> SumRoute:
        """Return the destinations of this data centre's sum; none unless this entry is a relay."""
        if not self.is_relay(now_s):
            return SumRoute()
        relays = (
            self._sums.relays(self.listening.listened_s(now_s))
            if self.has_uneven_links(now_s)
            else {}
        )
        position = position_among(self._own, map(_member, self.local_peers(now_s)))
        return route_sum(position, remote, relays)

    def has_uneven_links(self, now_s: float) -> bool:
        """Return whether the links of the entries heard differ so much that relays forward sums."""
        heard = [hello.link_mbps for hello, _ in self.effective_messages(now_s)]
        return are_links_uneven([self._own.link_mbps, *heard])

    def forwarding_receivers(self) -> tuple[str, ...]:
        """Return the entries to which this one forwards the sums of other data centres."""
        return tuple(
            peer.host for peer in self._peers.values() if peer.data_centre == self._data_centre
        )

    def data_centre_sum(self, own: Hello, own_entry: WatchCandidate, now_s: float) -> Hello:
        """Return the sum of this entry's data centre.

        Parameters
        ----------
        own
            This entry's own state.
        own_entry
            This entry as a candidate for watching the store.
        now_s
            Present time.
        """
        hellos = [
            (peer.hello, self._age_s(peer.received_s, now_s))
            for peer in self.local_peers(now_s)
            if peer.hello
        ]
        return sum_hellos(own, own_entry, hellos)

    def forget_old(self, now_s: float) -> list[str]:
        """Remove entries that neither send nor are listed any more; return them."""
        oldest_s = now_s - FORGOTTEN_S
        old = [
            p.host for p in self._peers.values() if max(p.received_s, p.address_seen_s) < oldest_s
        ]
        for host in old:
            del self._peers[host]
        self._sums.forget_old(self.listening.listened_s(now_s))
        return old

    def _age_s(self, received_s: float, now_s: float) -> float:
        """Return the age of a datagram, without the time in which this entry didn't run."""
        return max(0.0, self.listening.listened_s(now_s) - received_s)

    def _individual_peers(self, now_s: float) -> Iterator[Peer]:
        """Return the live entries that aren't covered by a sum."""
        sums = self.sums(now_s)
        return (peer for peer in self.live(now_s) if peer.data_centre not in sums)


def _member(peer: Peer) -> Member:
    if peer.hello is None:
        return Member(peer.host, 0, True)
    hello = peer.hello
    return Member(peer.host, hello.link_mbps, hello.is_stopping, hello.is_overloaded)
