"""Entries that exchange shares of servers' limits, without network or processes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.rate_limits import OwnShares, ServerLimits
from sassafrastally.proxy.warm_up import WarmUpLimits
from sassafrastally.testing.cold_fleet import BOUND, SERVICES

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.rate_limits import ShareNews

SERVICE = "engines"
STEP_S = 0.05
DATAGRAM_STEPS = 5
"""Steps between two datagrams of an entry."""


class Network(NamedTuple):
    """What happens to datagrams."""

    loss: float = 0.0
    duplication: float = 0.0
    max_delay_s: float = 0.05
    groups: int = 1
    """Number of groups of entries; datagrams don't pass between them."""


class _Datagram(NamedTuple):
    arrives_s: float
    sender: str
    receiver: str
    news: ShareNews


class ShareEntry:
    """An entry with its shares of all servers' limits."""

    def __init__(self, host: str, others: Collection[str]) -> None:
        self.host = host
        self.warm_up = WarmUpLimits(host, BOUND)
        self.warm_up.servers.configure(SERVICES, -10.0)
        self.warm_up.begin(-10.0)
        self.warm_up.record_entries(others, -10.0)
        self.limits = ServerLimits()
        self.shares = OwnShares(host, self.limits, self.warm_up)
        self.shares.set_entries(others)


class ShareFleet:
    """Entries before limited or cold servers.

    Parameters
    ----------
    hosts
        The entries.
    servers
        Ids of the servers' incarnations.
    most_per_s
        Limit of each server; ``None`` without one.
    network
        What happens to datagrams.
    seed
        Seed of arrivals, decisions and the network.
    """

    def __init__(
        self,
        hosts: Sequence[str],
        servers: Sequence[str],
        most_per_s: float | None,
        network: Network = Network(),  # noqa: B008 (immutable)
        seed: int = 1,
    ) -> None:
        self.sent_s: dict[str, list[float]] = {server: [] for server in servers}
        self.entries = [ShareEntry(host, set(hosts) - {host}) for host in hosts]
        self.draw = random.Random(seed)
        self._network = network
        self._in_transit: list[_Datagram] = []
        self._step = 0
        for entry in self.entries if most_per_s is not None else ():
            for server in servers:
                entry.limits.record_answer_limit(server_hash(server), most_per_s, 0.0)

    def register_cold(self, server: BackendServer, now_s: float) -> None:
        """Let all entries see a new, cold server."""
        for entry in self.entries:
            entry.warm_up.servers.record_registration(server, now_s, is_new=True)

    def request(self, entry: ShareEntry, now_s: float) -> bool:
        """Let an entry send a request to a random server; return whether one accepts it."""
        for server in self.draw.sample(list(self.sent_s), len(self.sent_s)):
            if entry.shares.wait_s(server, now_s) <= 0:
                entry.shares.record_sent(server, now_s)
                self.sent_s[server].append(now_s)
                return True
        entry.shares.grants.record_unmet(SERVICE, now_s)
        return False

    def exchange(self, now_s: float) -> None:
        """Send and deliver the datagrams of one step."""
        self._step += 1
        for number, sender in enumerate(self.entries):
            if (self._step + number) % DATAGRAM_STEPS == 0:
                self._send(number, sender, now_s)
        arrived = [one for one in self._in_transit if one.arrives_s <= now_s]
        self._in_transit = [one for one in self._in_transit if one.arrives_s > now_s]
        by_host = {entry.host: entry for entry in self.entries}
        for datagram in arrived:
            self._receive(by_host[datagram.receiver], datagram, now_s)

    def _send(self, number: int, sender: ShareEntry, now_s: float) -> None:
        news = sender.shares.grants.to_send(now_s)
        if not any(news):
            return
        for receiver in self.entries[number % self._network.groups :: self._network.groups]:
            copies = 1 + (self.draw.random() < self._network.duplication)
            for _ in range(copies):
                if receiver is not sender and self.draw.random() >= self._network.loss:
                    arrives_s = now_s + self.draw.uniform(0.0, self._network.max_delay_s)
                    self._in_transit.append(_Datagram(arrives_s, sender.host, receiver.host, news))

    def _receive(self, entry: ShareEntry, datagram: _Datagram, now_s: float) -> None:
        grants = entry.shares.grants
        grants.receive(datagram.news.grants, datagram.sender, now_s)
        new = grants.new_demands(datagram.news.demands, datagram.sender, now_s)
        if not new or grants.is_short(SERVICE, now_s):
            return
        granters = len(self.entries) // self._network.groups - 1
        entry.shares.grant(
            self.sent_s, datagram.sender, sum(new.values()), granters, now_s, self.draw.random
        )
