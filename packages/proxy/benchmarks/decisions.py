"""Benchmark of the CPU time of decisions and datagrams for a given deployment size.

    python packages/proxy/benchmarks/decisions.py --entries 68 --engines 195 --centres 5

prints the median time of a decision in milliseconds, by kind, and the size and the encoding and
decoding times of one datagram.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core import Address
from sassafrastally.proxy.data_centre_pools import divide_by_data_centre
from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView
from sassafrastally.proxy.load import Lane, Work, merge_work, server_hash
from sassafrastally.proxy.model import (
    BackendServer,
    EngineProfile,
    PromptSize,
    Route,
    RouteKind,
    ServiceShare,
)
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.placement import place_request
from sassafrastally.proxy.prefill_limits import prefill_limits_for
from sassafrastally.proxy.store import StorePosition

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

ROUNDS = 60

PROFILE = EngineProfile(
    slots=5,
    memory_tokens=405_000,
    step_ms=1.31,
    per_request_ms=0.0009,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_million_pairs=0.162,
    chunk_tokens=2048,
    steps_per_pass=53,
    distributed_step_overhead_ms=0.1,
)

PAUSES_S = (0.3, 0.8, 1.2)

PROMPTS = {
    "5,000 tokens": (Lane.SHORT, PromptSize(5000, 1300)),
    "45,000 tokens": (Lane.LONG, PromptSize(45_000, 800)),
    "260,000 tokens": (Lane.LONG, PromptSize(260_000, 800)),
    "900,000 tokens": (Lane.LONG, PromptSize(900_000, 800)),
}


class Fleet(NamedTuple):
    """Engines, and the load reports that an entry has of them."""

    servers: Sequence[BackendServer]
    loads: Sequence[Mapping[int, Work]]
    near: Sequence[BackendServer]
    """Engines that are tried first for a short prompt."""


def make_fleet(entries: int, engines: int, centres: int, draw: random.Random) -> Fleet:
    """Return a fleet in which each entry uses five engines; every sixth entry has a long prompt."""
    servers = [
        BackendServer(f"i-{n:08x}", "m", Address("10.0.0.1", n + 1), f"dc-{n % centres}", 5, False)
        for n in range(engines)
    ]
    loads = []
    for entry in range(entries - 1):
        used = draw.sample(servers, 5)
        works = {server_hash(server.incarnation_id): Work(1, 0, 0, 0, 6000) for server in used}
        if entry % 6 == 0:
            works[server_hash(used[0].incarnation_id)] = Work(0, 1, 1, 0, 260_000, 400.0)
        loads.append(works)
    pools = divide_by_data_centre(servers)
    return Fleet(servers, loads, pools.get("dc-0", servers))


def views(
    servers: Sequence[BackendServer], loads: Sequence[Mapping[int, Work]]
) -> list[ServerView]:
    """Return the known state of the engines for a decision."""
    work = merge_work({}, loads)
    return [ServerView(server, work.at(server.incarnation_id)) for server in servers]


def median_ms(call: Callable[[], object]) -> float:
    """Return the median CPU time of a call."""
    call()
    times = []
    for _ in range(ROUNDS):
        begin_s = time.process_time()
        call()
        times.append(1000 * (time.process_time() - begin_s))
    return statistics.median(times)


def main() -> None:
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=68)
    parser.add_argument("--engines", type=int, default=195)
    parser.add_argument("--centres", type=int, default=5)
    options = parser.parse_args()
    draw = random.Random(1)
    fleet = make_fleet(options.entries, options.engines, options.centres, draw)
    shares = (ServiceShare("m", 1.0),)
    routes = [
        Route("r", "h", "/", RouteKind.STREAM, shares, 10.0, 3.0, pause_s, 1, 2, False, True)
        for pause_s in PAUSES_S
    ]
    limits = prefill_limits_for(routes, PROFILE)
    randomizer = PlacementRandomizer(draw, 0.07)
    is_divided = fleet.near is not fleet.servers
    for name, (lane, prompt) in PROMPTS.items():
        servers = fleet.near if lane is Lane.SHORT else fleet.servers
        goal_s = 0.4 if lane is Lane.SHORT else 4.0

        def decide(
            servers: Sequence[BackendServer] = servers,
            lane: Lane = lane,
            prompt: PromptSize = prompt,
            goal_s: float = goal_s,
        ) -> object:
            seen = views(servers, fleet.loads)
            return place_request(
                seen, lane, prompt, goal_s, PROFILE, limits, randomizer, by_centre=is_divided
            )

        print(f"{name:16} {median_ms(decide):7.3f} ms")
    hello = Hello(
        "10.0.0.1",
        1 << 60,
        7,
        StorePosition(1, 44),
        0.1,
        False,
        dict(fleet.loads[0]),
        (),
        {},
        {},
        1.0,
        60.0,
        "dc-0",
        20,
    )
    data = encode_hello(hello)
    print(
        f"datagram of {len(data)} bytes: coded {median_ms(lambda: encode_hello(hello)):.3f} ms, ",
        end="",
    )
    print(f"decoded {median_ms(lambda: decode_hello(data)):.3f} ms")


if __name__ == "__main__":
    main()
