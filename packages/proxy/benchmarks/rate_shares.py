"""Ways to share out what servers take from all entries together, and what the one in use costs.

Run: ``python packages/proxy/benchmarks/rate_shares.py``
"""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING

from sassafrastally.proxy.limit_news import LimitNews
from sassafrastally.proxy.peer_messages import MOST_LIMITS, Hello, encode_hello
from sassafrastally.proxy.rate_shares import SentRequests, own_share_per_s
from sassafrastally.testing.backpressure_fleet import allowed, most_in_window
from sassafrastally.testing.timing import median_us

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    Way = Callable[[str, float, str, Collection[str]], float]

MOST_PER_S = 1.0
SERVERS = 20
LOAD = 0.7
"""Requests offered, of what all servers take."""

LENGTH_S = 60.0
STEP_S = 0.05


def by_itself(life_id: str, most_per_s: float, own_host: str, others: Collection[str]) -> float:
    """Return the whole limit: each entry keeps it for itself."""
    return most_per_s


def all_alike(life_id: str, most_per_s: float, own_host: str, others: Collection[str]) -> float:
    """Return an equal part for each entry."""
    return most_per_s / (1 + len(others))


WAYS: dict[str, Way] = {
    "each by itself": by_itself,
    "all alike": all_alike,
    "few senders": own_share_per_s,
}


def hosts_of(count: int) -> list[str]:
    """Return the entries of a deployment."""
    return [f"10.{number % 3}.0.{number}" for number in range(count)]


def most_of_greedy(way: Way, hosts: list[str]) -> int:
    """Return the most requests that a server gets in a window when all entries want to send."""
    sent = {host: SentRequests() for host in hosts}
    shares = {host: way("e", MOST_PER_S, host, set(hosts) - {host}) for host in hosts}
    sent_s: list[float] = []
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = step * STEP_S
        for host in hosts:
            while sent[host].room_in_s(shares[host], now_s) <= 0:
                sent[host].note(now_s)
                sent_s.append(now_s)
    return most_in_window(sent_s, 0.0)


def served_share(way: Way, hosts: list[str], seed: int) -> float:
    """Return the share of drawn requests that the entry they reach may send on at once."""
    draw = random.Random(seed)
    others = {host: set(hosts) - {host} for host in hosts}
    shares = {
        (host, server): way(f"e{server}", MOST_PER_S, host, others[host])
        for host in hosts
        for server in range(SERVERS)
    }
    sent = {key: SentRequests() for key in shares}
    now_s, served, offered = 0.0, 0, 0
    while (now_s := now_s + draw.expovariate(LOAD * MOST_PER_S * SERVERS)) < LENGTH_S:
        host = draw.choice(hosts)
        offered += 1
        for server in draw.sample(range(SERVERS), SERVERS):
            if sent[host, server].room_in_s(shares[host, server], now_s) <= 0:
                sent[host, server].note(now_s)
                served += 1
                break
    return served / offered


def main() -> None:
    """Measure and print."""
    print(f"limit {MOST_PER_S:g}/s, {allowed(MOST_PER_S):g} allowed in 4 s; {SERVERS} servers")
    for entries in (1, 5, 27, 68, 340):
        hosts = hosts_of(entries)
        for name, way in WAYS.items():
            served = statistics.mean(served_share(way, hosts, seed) for seed in range(3))
            most = most_of_greedy(way, hosts)
            print(f"{entries:4} entries, {name:15} at most {most:4}, served {served:.2f}")
    hosts = set(hosts_of(340))
    share_us = median_us(lambda: own_share_per_s("e", MOST_PER_S, "10.9.9.9", hosts), 200)
    sent = SentRequests()
    sent.note(0.0)
    room_us = median_us(lambda: sent.room_in_s(0.25, 1.0), 20_000)
    print(f"share among 340 entries {share_us:.0f} us once, room of a server {room_us:.2f} us")
    limits = {n << 40: LimitNews(1.5, 0.25) for n in range(MOST_LIMITS)}
    hello = Hello("10.0.0.1", 7, 3, 12, 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10)
    sizes = [len(encode_hello(one)) for one in (hello, hello._replace(limits=limits))]
    print(f"datagram: {sizes[0]} bytes without, {sizes[1]} with {MOST_LIMITS} limits")


if __name__ == "__main__":
    main()
