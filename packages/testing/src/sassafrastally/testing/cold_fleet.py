"""Entries' decisions before cold servers, without network or processes."""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from typing import TYPE_CHECKING

from sassafrastally.core import Address
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.model import BackendServer, Service
from sassafrastally.proxy.rate_limits import SentRequests
from sassafrastally.proxy.warm_up import ColdAnnouncements, ColdBound, WarmUpLimits, known_until_s

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

COLD_S = 3.0
COLD_PER_S = 32.0
BOUND = ColdBound(overrun=1.5, slack=5.0)
SERVICES = {"engines": Service("engines", 0, None, COLD_S, COLD_PER_S)}

MAX_TRANSIT_S = 0.1
"""Longest time from an entry's decision until its request arrives."""

STEP_S = 0.05

SLOTS = 6
RESPONSE_S = 0.15
"""Slots of an engine, and the time that a request takes one: 40 requests a second, a sixtieth of
which load A's floods send to each engine."""

SEND_INTERVAL_S = 0.25
"""Longest time between two datagrams of an entry, and that of an overloaded one."""

TRANSIT_S = 0.02
SUM_DELAY_S = 0.1
"""Time of a datagram on its way, and what a sum takes in addition until the entries of another
data centre have it."""


def allowed_per_second() -> float:
    """Return how many requests a cold server may get in any second."""
    return COLD_PER_S * BOUND.overrun + BOUND.slack


def most_in_a_second(arrived_s: Iterable[float]) -> int:
    """Return the most requests in any second."""
    times = sorted(arrived_s)
    return max(
        (place + 1 - bisect_left(times, end_s - 1.0) for place, end_s in enumerate(times)),
        default=0,
    )


def make_server(number: int, data_centre: str = "here", born_ms: int = 1) -> BackendServer:
    """Return a backend server."""
    address = Address("10.0.0.1", number + 1)
    return BackendServer(f"e{number}", "engines", address, data_centre, 6, False, born_ms)


class ColdEntry:
    """One entry: what it knows of the servers and of other entries, and what it has sent."""

    def __init__(self, host: str, now_s: float) -> None:
        self.limits = WarmUpLimits(host, BOUND)
        self.limits.servers.configure(SERVICES, now_s)
        self.limits.begin(now_s)
        self.announcements = ColdAnnouncements()
        self.sent: dict[str, SentRequests] = {}

    def wait_s(self, server: BackendServer, now_s: float) -> float:
        """Return the time until a server accepts a request of this entry."""
        self.limits.servers.take_warm(now_s)
        return self.limits.wait_s(server.incarnation_id, self.sent_to(server), now_s)

    def read_answer(self, server: BackendServer, left_s: float, now_s: float) -> None:
        """Let this entry read a cold time in a response."""
        servers = self.limits.servers
        known_s = known_until_s(servers, server.incarnation_id, now_s)
        servers.record_answer(server, left_s, now_s)
        self.announcements.record_answer(server.incarnation_id, now_s + left_s, known_s)

    def announce_to(
        self, other: ColdEntry, server: BackendServer, sent_s: float, now_s: float
    ) -> None:
        """Let another entry receive what this one sent."""
        colds = self.announcements.to_send(self.limits.servers, sent_s)
        if (left_s := colds.get(server_hash(server.incarnation_id))) is not None:
            other.limits.servers.record_peer(server, left_s, now_s)

    def sent_to(self, server: BackendServer) -> SentRequests:
        """Return the requests that it has sent to a server."""
        return self.sent.setdefault(server.incarnation_id, SentRequests())


class ColdFleet:
    """Entries that always have more requests for each cold server than they may send."""

    def __init__(self, entries: int, seed: int = 1, begin_s: float = -10.0) -> None:
        self.draw = random.Random(seed)
        self.entries: dict[str, ColdEntry] = {}
        self.arrived_s: dict[str, list[float]] = {}
        """When requests reached each server, by incarnation."""
        for number in range(entries):
            self.add_entry(f"10.{number % 3}.0.{number}", begin_s)
        self.meet(begin_s)

    def add_entry(self, host: str, now_s: float) -> ColdEntry:
        """Let an entry start; it takes its first snapshot now."""
        self.entries[host] = ColdEntry(host, now_s)
        return self.entries[host]

    def meet(self, now_s: float, hosts: Collection[str] | None = None) -> None:
        """Let entries know each other, and no one else, from now on; all of them by default."""
        known = set(self.entries if hosts is None else hosts)
        for host in known:
            self.entries[host].limits.record_entries(known - {host}, now_s)

    def register(self, server: BackendServer, now_s: float, *, is_new: bool = True) -> None:
        """Let all entries see a server's record."""
        for entry in self.entries.values():
            entry.limits.servers.record_registration(server, now_s, is_new=is_new)

    def send(self, host: str, server: BackendServer, now_s: float) -> None:
        """Let an entry send a request."""
        self.entries[host].sent_to(server).record(now_s)
        at_s = now_s + self.draw.uniform(0.0, MAX_TRANSIT_S)
        self.arrived_s.setdefault(server.incarnation_id, []).append(at_s)

    def run_greedy(self, servers: Sequence[BackendServer], begin_s: float, end_s: float) -> None:
        """Let all entries send to the servers whenever these accept a request."""
        for step in range(round((end_s - begin_s) / STEP_S)):
            now_s = begin_s + step * STEP_S
            for host, entry in self.entries.items():
                for server in servers:
                    while entry.wait_s(server, now_s) <= 0:
                        self.send(host, server, now_s)


class _ColdWithoutNotice:
    """State of a replay in which a server turns cold and says so only in its responses."""

    def __init__(self, fleet: ColdFleet, server: BackendServer, lost_share: float) -> None:
        self._fleet = fleet
        self._server = server
        self._lost_share = lost_share
        self._responses: list[tuple[float, str]] = []
        """Time of arrival, and the entry."""
        self._datagrams: list[tuple[float, float, str, str]] = []
        """Times of arrival and of sending, sender and receiver."""
        self._next_send_s = {
            host: fleet.draw.uniform(0.0, SEND_INTERVAL_S) for host in fleet.entries
        }
        self._due = 0.0

    def deliver(self, now_s: float) -> None:
        """Let entries read the responses and datagrams that have arrived."""
        entries = self._fleet.entries
        for response in [one for one in self._responses if one[0] <= now_s]:
            self._responses.remove(response)
            entries[response[1]].read_answer(self._server, COLD_S - now_s, now_s)
        for datagram in [one for one in self._datagrams if one[0] <= now_s]:
            self._datagrams.remove(datagram)
            _, sent_s, sender, receiver = datagram
            entries[sender].announce_to(entries[receiver], self._server, sent_s, now_s)

    def send_datagrams(self, now_s: float) -> None:
        """Send the datagrams of the entries whose interval is over."""
        for host in [one for one in self._fleet.entries if self._next_send_s[one] <= now_s]:
            self._next_send_s[host] = now_s + SEND_INTERVAL_S
            for other in [one for one in self._fleet.entries if one != host]:
                is_remote = other.split(".")[1] != host.split(".")[1]
                at_s = now_s + TRANSIT_S + (SUM_DELAY_S if is_remote else 0.0)
                if self._fleet.draw.random() >= self._lost_share:
                    self._datagrams.append((at_s, now_s, host, other))

    def send_requests(self, unaware: Sequence[str], now_s: float, step_s: float) -> None:
        """Let unaware entries keep all slots busy, and the others use their quota."""
        self._due += SLOTS / RESPONSE_S * step_s
        while self._due >= 1.0 and unaware:
            self._due -= 1.0
            host = self._fleet.draw.choice(unaware)
            self._fleet.send(host, self._server, now_s)
            self._responses.append((now_s + RESPONSE_S, host))
        for host, entry in self._fleet.entries.items():
            while entry.limits.servers and entry.wait_s(self._server, now_s) <= 0:
                self._fleet.send(host, self._server, now_s)


def play_cold_without_notice(
    *, announces: bool, lost_share: float = 0.0, seed: int = 1, entries: int = 25
) -> tuple[ColdFleet, float]:
    """Replay a server that turns cold under load and says so only in its responses.

    An entry that knows uses its whole quota. Those that don't keep all slots busy together.

    Parameters
    ----------
    announces
        Whether entries announce to each other what they read in responses.
    lost_share
        Share of the datagrams that are lost.
    seed
        Decides which entries send, and what is lost.
    entries
        Number of entries, in three data centres.

    Returns
    -------
    tuple[ColdFleet, float]
        The fleet, and when the last of its entries has known of the server.
    """
    server, fleet, all_know_s = make_server(1), ColdFleet(entries, seed), math.inf
    fleet.register(server, -9.0, is_new=False)
    replay = _ColdWithoutNotice(fleet, server, lost_share)
    step_s = 0.01
    for step in range(round(2.9 / step_s)):
        now_s = step * step_s
        replay.deliver(now_s)
        if announces:
            replay.send_datagrams(now_s)
        unaware = [host for host, one in fleet.entries.items() if not one.limits.servers]
        if not unaware:
            all_know_s = min(all_know_s, now_s)
        replay.send_requests(unaware, now_s, step_s)
    return fleet, all_know_s
