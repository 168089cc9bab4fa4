"""Cases of `step_times`: what the store, peers and callers' headers bring."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from step_cases import case
from step_cases_quarantine import MAX_PARTS

from sassafrastally.core import Clock, Kernel, KvEntry
from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.load_exchange import Member
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.peer_table import PeerTable
from sassafrastally.proxy.store import Snapshot, StorePosition
from sassafrastally.proxy.store_watchers import WatchCandidate
from sassafrastally.proxy.verdicts import MAX_VERDICTS
from sassafrastally.stand_ins.documents import make_configuration, make_route, make_server_record

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_ITEMS = 64 * 500
"""Items of the store's largest range that is read: 64 pages of 500."""

ENTRIES = 340
SERVERS = 1500
CUSTOMERS = 5000
ROUTES = 400


class _FixedClock(Clock):
    """A clock that stands, outside of any event loop."""

    def __init__(self) -> None:
        pass

    def now_s(self) -> float:
        return 100.0

    def wall_s(self) -> float:
        return 100.0


def _cluster_state() -> ClusterState:
    kernel = Kernel("vm", "dc", _FixedClock(), seed=1)
    return kernel.add(ClusterState(PlatformDialect(), 3.0))


def _snapshot(first: int, *prefixes: str) -> Snapshot:
    entries = tuple(
        KvEntry(
            f"{prefixes[number % len(prefixes)]}{number:016x}", b'{"crashes": 3}', first + number
        )
        for number in range(MAX_ITEMS)
    )
    return Snapshot(entries, StorePosition(1, first + MAX_ITEMS))


@case("snapshot of others' keys", f"{MAX_ITEMS} items, 64 pages of the store")
def snapshot_of_others() -> Iterator[Callable[[], object]]:
    """A read of the store in which other writers have most keys."""
    state = _cluster_state()
    for first in (1, 100_000):
        snapshot = _snapshot(first, "other/", "more/")
        yield lambda snapshot=snapshot: state.replace(snapshot, "store")  # type: ignore[misc]


def _servers(first: int) -> list[KvEntry]:
    record = make_server_record("desk", first)
    return [KvEntry(f"servers/s-{number}", record, first + number) for number in range(SERVERS)]


@case("snapshot of all servers", f"{SERVERS} records of servers, {MAX_VERDICTS} of verdicts")
def snapshot_of_servers() -> Iterator[Callable[[], object]]:
    """A read of the store in which each record is a new one. At the first, an entry isn't ready."""
    state = _cluster_state()
    state.replace(Snapshot(tuple(_servers(1)), StorePosition(1, 10_000)), "store")
    for first in (20_000, 40_000):
        verdicts = [
            KvEntry(f"quarantine/{number:016x}", b'{"crashes": 3}', first + SERVERS + number)
            for number in range(MAX_VERDICTS)
        ]
        entries = (*_servers(first), *verdicts)
        snapshot = Snapshot(entries, StorePosition(1, first + 10_000))

        async def replace(snapshot: Snapshot = snapshot) -> None:
            await state.decode_ahead(snapshot.entries)
            state.replace(snapshot, "store")

        yield replace


@case("configuration", f"{CUSTOMERS} tenants, {ROUTES} routes")
def configuration() -> Iterator[Callable[[], object]]:
    """The largest configuration, decoded in steps."""
    tenants = [
        {"name": f"tenant-{number}", "apiKeys": [f"key-{number}-{key}" for key in range(3)]}
        for number in range(CUSTOMERS)
    ]
    routes = [make_route(f"r{number}", "idempotent", "desk") for number in range(ROUTES)]
    document = json.dumps(make_configuration(3, tenants=tenants, routes=routes)).encode()
    steps = PlatformDialect().configuration_steps(document)
    ended: list[bool] = []

    def step() -> None:
        try:
            next(steps)
        except StopIteration:
            ended.append(True)

    while not ended:
        yield step


@case("request headers", "a header of 16,384 bytes")
def request_headers() -> Iterator[Callable[[], object]]:
    """A long prompt, and many small fields."""
    dialect = PlatformDialect()
    parts = ",".join(f"{number:x}:1" for number in range(MAX_PARTS)).encode()
    long_prompt = [(b"host", b"h"), (b"prompt-prefix", parts)]
    small = [(b"%x" % number, b"1") for number in range(3000)]
    yield lambda: dialect.decode_request(long_prompt)
    yield lambda: dialect.decode_request(small)
    yield lambda: dialect.response_headers(small)


def _hello(number: int, loads: dict[int, Work]) -> Hello:
    host = f"10.0.{number // 250}.{number % 250}"
    return Hello(
        host, 7, 3, StorePosition(1, 12), 0.5, False, loads, (), {}, {}, 0.0, 0.0, "here", 10
    )


@case("peers", f"{ENTRIES} entries that send the loads of 150 of {SERVERS} servers each")
def peers() -> Iterator[Callable[[], object]]:
    """Datagrams of all entries of a data centre, and the lookups in their table."""
    table = PeerTable(Member("10.0.9.9", 100), "here")
    for number in range(ENTRIES):
        loads = {
            (number * 4 + server) % SERVERS << 40: Work(1, 2, 3, 4, 5000, 60.0)
            for server in range(150)
        }
        data = encode_hello(_hello(number, loads))
        yield lambda data=data: table.apply(decode_hello(data), 1.0)  # type: ignore[misc]
    own, candidate = _hello(ENTRIES, {}), WatchCandidate("10.0.9.9", 0.0, 100)
    yield lambda: table.members(1.1)
    yield lambda: table.loads(1.1)
    yield lambda: table.suspects(1.1)
    yield lambda: table.watch_candidates(1.1)
    yield lambda: table.receivers(1.1)
    yield lambda: table.data_centre_sum(own, candidate, 1.1)
    total = table.data_centre_sum(own, candidate, 1.1)
    yield lambda: encode_hello(total)
    yield lambda: table.forget_old(1.1)
