"""Benchmark of policies that share a server's rate limit, and the cost of the one in use.

Run: ``python packages/proxy/benchmarks/rate_shares.py``
"""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING

from sassafrastally.proxy.peer_messages import MAX_LIMITS_SENT, Hello, encode_hello
from sassafrastally.proxy.rate_limits import (
    LimitReport,
    SentRequests,
    own_share_per_s,
)
from sassafrastally.proxy.store import StorePosition
from sassafrastally.testing.backpressure_fleet import allowed, most_in_window
from sassafrastally.testing.share_fleet import Network, ShareFleet
from sassafrastally.testing.timing import median_us

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    Policy = Callable[[str, float, str, Collection[str]], float]

MOST_PER_S = 1.0
SERVERS = 20
LOAD = 0.7
"""Offered requests as a share of the limits of all servers."""

LENGTH_S = 60.0
STEP_S = 0.05
SEEDS = 2


def whole_limit(
    incarnation_id: str, most_per_s: float, own_host: str, others: Collection[str]
) -> float:
    """Return the whole limit: each entry applies it separately."""
    return most_per_s


def equal_share(
    incarnation_id: str, most_per_s: float, own_host: str, others: Collection[str]
) -> float:
    """Return an equal share for each entry."""
    return most_per_s / (1 + len(others))


POLICIES: dict[str, Policy] = {
    "whole limit": whole_limit,
    "equal share": equal_share,
    "few senders": own_share_per_s,
}


def hosts_of(count: int) -> list[str]:
    """Return the entries of a deployment."""
    return [f"10.{number % 3}.0.{number}" for number in range(count)]


def max_greedy_requests(policy: Policy, hosts: list[str]) -> int:
    """Return the most requests that a server gets in a window if all entries always send."""
    sent = {host: SentRequests() for host in hosts}
    shares = {host: policy("e", MOST_PER_S, host, set(hosts) - {host}) for host in hosts}
    sent_s: list[float] = []
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = step * STEP_S
        for host in hosts:
            while sent[host].wait_s(shares[host], now_s) <= 0:
                sent[host].record(now_s)
                sent_s.append(now_s)
    return most_in_window(sent_s, 0.0)


def served_share(
    policy: Policy, hosts: list[str], seed: int, servers: int = SERVERS, load: float = LOAD
) -> float:
    """Return the share of random requests that their entry can send at once."""
    draw = random.Random(seed)
    others = {host: set(hosts) - {host} for host in hosts}
    shares = {
        (host, server): policy(f"e{server}", MOST_PER_S, host, others[host])
        for host in hosts
        for server in range(servers)
    }
    sent = {key: SentRequests() for key in shares}
    now_s, served, offered = 0.0, 0, 0
    while (now_s := now_s + draw.expovariate(load * MOST_PER_S * servers)) < LENGTH_S:
        host = draw.choice(hosts)
        offered += 1
        for server in draw.sample(range(servers), servers):
            if sent[host, server].wait_s(shares[host, server], now_s) <= 0:
                sent[host, server].record(now_s)
                served += 1
                break
    return served / offered


def play_grants(
    hosts: list[str],
    servers: int,
    load: float,
    seed: int,
    centres: int = 1,
    busy: int = 0,
    *,
    has_grants: bool = True,
) -> tuple[float, int]:
    """Return the share of random requests that are sent at once, and the most for a server.

    Parameters
    ----------
    hosts
        The entries.
    servers
        Number of servers with the limit.
    load
        Offered requests as a share of all limits.
    seed
        Seed of arrivals and decisions.
    centres
        Number of data centres; datagrams with demand and grants stay within each.
    busy
        Number of entries that get all requests; 0 for all.
    has_grants
        Whether the entries exchange demand and grants.
    """
    names = [f"e{server}" for server in range(servers)]
    fleet = ShareFleet(hosts, names, MOST_PER_S, Network(groups=centres), seed)
    busy_entries = fleet.entries[:busy] if busy else fleet.entries
    served = offered = 0
    next_s = fleet.draw.expovariate(load * MOST_PER_S * servers)
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = step * STEP_S
        while next_s < now_s + STEP_S:
            offered += 1
            served += fleet.request(fleet.draw.choice(busy_entries), next_s)
            next_s += fleet.draw.expovariate(load * MOST_PER_S * servers)
        if has_grants:
            fleet.exchange(now_s + STEP_S)
    return served / offered, max(most_in_window(times, 0.0) for times in fleet.sent_s.values())


def compare_grants() -> None:
    """Print what is served with and without grants, in the rows of the design page."""
    rows = [(5, 14, 0.7), (5, 14, 1.0), (15, 3, 0.7), (15, 3, 1.0)]
    rows += [(27, 60, 0.7), (27, 60, 1.0), (68, 195, 0.7), (68, 195, 1.0)]
    for entries, servers, load in rows:
        hosts = hosts_of(entries)
        before = [
            served_share(own_share_per_s, hosts, seed, servers, load) for seed in range(SEEDS)
        ]
        for centres in (1, 3) if entries > 25 else (1,):
            played = [play_grants(hosts, servers, load, seed, centres) for seed in range(SEEDS)]
            print(
                f"{entries:3} entries, {servers:3} servers, load {load}, {centres} data centres: "
                f"few senders {statistics.mean(before):.2f}, "
                f"with grants {statistics.mean(share for share, _ in played):.2f}, "
                f"at most {max(most for _, most in played)}"
            )
        busy = max(1, entries // 5)
        for has_grants in (False, True):
            share, most = play_grants(hosts, servers, load, 1, busy=busy, has_grants=has_grants)
            print(f"    all at {busy} entries, grants {has_grants}: {share:.2f}, at most {most}")


def main() -> None:
    """Run the benchmark and print the results."""
    print(f"limit {MOST_PER_S:g}/s, {allowed(MOST_PER_S):g} allowed in 4 s; {SERVERS} servers")
    for entries in (1, 5, 27, 68, 340):
        hosts = hosts_of(entries)
        for name, policy in POLICIES.items():
            served = statistics.mean(served_share(policy, hosts, seed) for seed in range(3))
            most = max_greedy_requests(policy, hosts)
            print(f"{entries:4} entries, {name:15} at most {most:4}, served {served:.2f}")
    hosts = set(hosts_of(340))
    share_us = median_us(lambda: own_share_per_s("e", MOST_PER_S, "10.9.9.9", hosts), 200)
    sent = SentRequests()
    sent.record(0.0)
    room_us = median_us(lambda: sent.wait_s(0.25, 1.0), 20_000)
    print(f"share among 340 entries {share_us:.0f} us once, room of a server {room_us:.2f} us")
    limits = {n << 40: LimitReport(1.5, 0.25) for n in range(MAX_LIMITS_SENT)}
    hello = Hello(
        "10.0.0.1", 7, 3, StorePosition(1, 12), 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10
    )
    sizes = [len(encode_hello(one)) for one in (hello, hello._replace(limits=limits))]
    compare_grants()
    print(f"datagram: {sizes[0]} bytes without, {sizes[1]} with {MAX_LIMITS_SENT} limits")


if __name__ == "__main__":
    main()
