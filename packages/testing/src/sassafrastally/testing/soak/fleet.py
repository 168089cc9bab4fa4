"""The soak's fleet: entries as processes, stand-ins before and behind them, proxies between."""

from __future__ import annotations

import json
import signal
import socket
from typing import TYPE_CHECKING, Any

import trio

from sassafrastally.core import Address
from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.platform.discovery import KEYS
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.stand_ins.documents import (
    CUSTOMER,
    add_customer,
    make_configuration,
    make_customer,
    make_customers,
    make_route,
    set_cold_servers,
)
from sassafrastally.stand_ins.metadata_store import MetadataStore
from sassafrastally.stand_ins.replica import Replica
from sassafrastally.testing.soak.entry_process import STOP_TIME_S, EntryProcess
from sassafrastally.testing.soak.proxying import LoopbackProxy
from sassafrastally.testing.soak.record import KIND_WEIGHTS, TIME_LEFT_S, Record
from sassafrastally.testing.soak.scheduling import Scheduling

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping
    from pathlib import Path

    from sassafrastally.testing.soak.record import FirstStop, HarmedSpan, Kind, LimitedSpan
    from sassafrastally.testing.soak.uploading import SentUpload

RESTART_S = 0.3
"""Time between the end of a process and the start of the next one."""

LOOK_S = 0.05
"""How often ended processes are looked for."""

BALANCER_S = 1.0
"""How often the balancer asks whether an entry is ready."""

MISSES = 2
"""Answers without a 200 in a row after which an entry gets no new connections."""

MUTE_LIMIT_S = 1.0
"""Time for the answer to a question whether an entry is ready."""


PRIORITIES = {"note": 0, "dossier": 2, "look": 2}
"""Priorities of routes that differ from 1, 0 being the highest."""

NEIGHBOURS = ("cleo", "dan", "eva")
"""Customers beside the usual one."""

MAX_BODY_BYTES = 4_000_000
MAX_HEADER_BYTES = 16_384
"""Limits of requests; the header is the operators' usual one."""

GUARD_PORT = 9_999
"""Port that a soak holds as long as it uses its addresses."""

CRASH_DELAY_S = 0.05
"""Time from the begin of an answer to the crash if a part of the prompt is harmful."""


class Server:
    """A backend server with the proxy before it; its life may change, its address stays."""

    def __init__(self, replica: Replica, proxy: LoopbackProxy, address: Address) -> None:
        self.replica = replica
        self.proxy = proxy
        self.address = address
        self.is_claimed = False
        """Whether a trouble is replacing it."""
        self.is_breaking_off = False
        """Whether a trouble decides where and how its responses end."""


class SoakFleet:
    """All of it; started and ended by one nursery.

    Parameters
    ----------
    random_source
        Of this soak alone.
    folder
        Where settings and logs of the entries go.
    nursery
        Where everything runs.
    """

    def __init__(self, random_source: random.Random, folder: Path, nursery: trio.Nursery) -> None:
        self.random = random_source
        self.record = Record()
        self.store = MetadataStore()
        self.entries: dict[int, EntryProcess] = {}
        self.callers_proxies: dict[int, LoopbackProxy] = {}
        self.store_proxies: dict[int, LoopbackProxy] = {}
        self.servers: list[Server] = []
        self.all_replicas: list[Replica] = []
        """Every life of every backend server."""
        self.drained: dict[str, float] = {}
        """When the store had accepted that a server is draining, by the life's id."""
        self.version = 1
        self.configured_s: dict[int, float] = {}
        """When the store had accepted a version."""
        self.harmful_bodies: set[bytes] = set()
        """Bodies of requests that crash each server that runs them."""
        self.harmful_parts: set[str] = set()
        """IDs of prompt parts that crash each server that begins to answer them."""
        self.limited: list[LimitedSpan] = []
        """When servers have named limits."""
        self.rate = 1.0
        """How many times the usual load callers press with."""
        self.weights: Mapping[Kind, int] = KIND_WEIGHTS
        """How often callers send each kind."""
        self.time_left_s = TIME_LEFT_S
        """How long callers wait."""
        self.early_share = 0.0
        """Share of the refused callers that retry at once, whatever Retry-After says."""
        self.customers: Mapping[str, int] = {CUSTOMER: 1}
        """How often requests carry each customer's key, relative to each other."""
        self.has_priorities = False
        """Whether routes to a service differ in priority, so that requests may wait."""
        self.data_centres = ("here", "there")
        """Data centres of the servers, in turn; all entries are in the first."""
        self.evacuating = False
        """Whether a data centre is evacuated now."""
        self.evacuations: list[HarmedSpan] = []
        self.cold_s = 3.0
        self.cold_per_s = 8.0
        """How long an engine that has started is cold, and the requests that it then accepts."""
        self.cold: list[HarmedSpan] = []
        """When servers were cold again."""
        self.stalls: list[HarmedSpan] = []
        """When entries stood still, by their numbers."""
        self.stalled_entries: set[int] = set()
        """Entries of a trouble that lets them stand still; a second one would do so for longer."""
        self.dark_entries: set[int] = set()
        """Entries without power, which aren't started again meanwhile."""
        self.scheduling = Scheduling()
        """What the operating system says of the entries' CPU time."""
        self.uploads: list[SentUpload] = []
        """Long requests of callers that are processes of their own."""
        self.first_stops: dict[str, FirstStop] = {}
        """Silences of the first servers of streams whose next servers fail, by request."""
        self.repeated: set[str] = set()
        """Streams that fail if they are repeated."""
        self.nursery = nursery
        self._folder = folder
        self._in_rotation: dict[int, bool] = {}
        self._base_port = 10_000 + self.random.randrange(15_000)
        self._hosts, self._guard = _own_addresses(self.random)
        self._by_address: dict[Address, Replica] = {}
        self._lives = 0
        self._written: dict[str, bytes] = {}
        """What the operator and the servers have last written to the store, by key."""

    async def start(self, entries: int, engines: int, plain: int) -> None:
        """Start everything and wait until all entries are ready."""
        self._store_address = Address(
            self._hosts + "1", await self.store.start(self._hosts + "1", self.nursery)
        )
        self.configure()
        for _ in range(engines):
            await self._add_server("engines")
        for _ in range(plain):
            await self._add_server("desk")
        for number in range(1, entries + 1):
            await self._add_entry(number)
        self.nursery.start_soon(self._restart_ended)
        self.nursery.start_soon(self._balance)
        with trio.fail_after(30.0):
            while not all(self._in_rotation.values()):
                await trio.sleep(LOOK_S)

    def end(self) -> None:
        """End the processes that this soak has started."""
        for entry in self.entries.values():
            entry.kill()
        self._guard.close()

    def ready_entries(self) -> list[int]:
        """Return the entries that new connections go to."""
        rotated = [number for number, is_in in self._in_rotation.items() if is_in]
        return rotated if 2 * len(rotated) >= len(self.entries) else list(self.entries)

    def configure(self) -> None:
        """Put the configuration of the present version into the store.

        Each version has a route of its own and drops that of the version before, so that what is in
        force shows from outside.
        """
        document = make_configuration(self.version)
        document["limits"] |= {"maxBodyBytes": MAX_BODY_BYTES, "maxHeaderBytes": MAX_HEADER_BYTES}
        own = make_route(self.route_of(self.version), "idempotent", "desk", public=True)
        document["routes"].append(own)
        add_customer(document, make_customer("ben", self.key_of(self.version)))
        set_cold_servers(document["services"][0], self.cold_s, self.cold_per_s)
        if self.has_priorities:
            _set_priorities(document)
        self.write(KEYS.configuration, json.dumps(document).encode())
        self.configured_s[self.version] = trio.current_time()

    @staticmethod
    def route_of(version: int) -> str:
        """Return the name of the route that only one version has."""
        return f"only-{version}"

    @staticmethod
    def key_of(version: int) -> str:
        """Return the key that only one version has."""
        return f"key-of-ben-{version}"

    def register(self, server: Server, *, is_draining: bool = False) -> None:
        """Write a server's entry to the store."""
        server.replica.address = server.address
        value = server.replica.entry(is_draining=is_draining)
        self.write(KEYS.servers_prefix + server.replica.server_id, value)

    def unregister(self, server: Server) -> None:
        """Remove a server's entry."""
        self.remove(KEYS.servers_prefix + server.replica.server_id)

    def remove(self, key: str) -> None:
        """Remove what the operator or a server has written."""
        self._written.pop(key, None)
        self.store.remove(key)

    def write(self, key: str, value: bytes) -> None:
        """Write as the operator or a server."""
        self._written[key] = value
        self.store.put(key, value)

    def write_again(self) -> None:
        """Write what a restore of the store has lost, as the operator and the servers do."""
        prefixes = ("op/", "servers/")
        stored = self.store.keys()
        for key in stored:
            if key.startswith(prefixes) and key not in self._written:
                self.store.remove(key)
        for key, value in self._written.items():
            if self.store.value(key) != value:
                self.store.put(key, value)

    async def begin_life(
        self, server: Server, *, born_ms: int | None = None, keeps_id: bool = False
    ) -> None:
        """Start a new life of a server at its address.

        Parameters
        ----------
        server
            The server.
        born_ms
            When it says that this life has begun; by default, it doesn't say.
        keeps_id
            Whether it goes on under its ID.
        """
        former = server.replica
        server.replica = self._make_replica(former.service, former.data_centre)
        server.replica.born_ms = born_ms
        if keeps_id:
            server.replica.server_id = former.server_id
        await self._run_replica(server)
        await server.proxy.start(server.address.host, server.address.port, self.nursery)

    def end_life(self, server: Server) -> None:
        """Let a server die: its connections break and its host refuses new ones."""
        server.proxy.target = None
        server.proxy.refuse()
        server.replica.crash()

    async def _replace_crashed(self, server: Server, replica: Replica) -> None:
        """Begin a new life of a server that has crashed under a request."""
        await replica.has_crashed.wait()
        if server.is_claimed:
            return  # The trouble that ended it, or is about to, begins the next life.
        server.is_claimed = True
        self.end_life(server)
        await trio.sleep(self.random.uniform(0.3, 1.5))
        self.unregister(server)
        await self.begin_life(server)
        self.register(server)
        server.is_claimed = False

    async def _add_server(self, service: str) -> None:
        proxy = LoopbackProxy(None)
        host = self._hosts + "2"
        address = Address(host, await proxy.start(host, 0, self.nursery))
        data_centre = self.data_centres[len(self.servers) % len(self.data_centres)]
        server = Server(self._make_replica(service, data_centre), proxy, address)
        await self._run_replica(server)
        self.servers.append(server)
        self.register(server)

    def _make_replica(self, service: str, data_centre: str) -> Replica:
        self._lives += 1
        profile = None
        if service == "engines":
            document = json.dumps(make_configuration(1)).encode()
            profile = PlatformDialect().decode_configuration(document).services[service].engine
        replica = Replica(f"{service}-{self._lives}", service, self._by_address, profile, 0.03)
        replica.data_centre = data_centre
        self.all_replicas.append(replica)
        return replica

    async def _run_replica(self, server: Server) -> None:
        replica = server.replica
        replica.crashing_bodies = self.harmful_bodies
        replica.crashing_parts = self.harmful_parts
        replica.crash_delay_s = CRASH_DELAY_S
        await replica.start(self._hosts + "2", self.nursery)
        self.nursery.start_soon(self._replace_crashed, server, replica)
        server.proxy.target = replica.address
        self._by_address[server.address] = replica

    async def _add_entry(self, number: int) -> None:
        host = self._hosts + str(100 + number)
        store_proxy = LoopbackProxy(self._store_address)
        store = Address(
            self._hosts + "3", await store_proxy.start(self._hosts + "3", 0, self.nursery)
        )
        entry = EntryProcess(number, host, self._folder, self._base_port, store)
        proxy = LoopbackProxy(entry.callers_address)
        await proxy.start(self._hosts + "4", self._base_port + number, self.nursery)
        self.entries[number] = entry
        self.store_proxies[number] = store_proxy
        self.callers_proxies[number] = proxy
        self._in_rotation[number] = False
        entry.start()

    def callers_address(self, number: int) -> Address:
        """Return where callers reach an entry."""
        return Address(self._hosts + "4", self._base_port + number)

    async def _restart_ended(self) -> None:
        while True:
            await trio.sleep(LOOK_S)
            for entry in self.entries.values():
                if entry.note_end():
                    self.nursery.start_soon(self._restart, entry)

    async def _restart(self, entry: EntryProcess) -> None:
        await trio.sleep(RESTART_S)
        while entry.number in self.dark_entries:
            await trio.sleep(LOOK_S)
        entry.start()

    async def _balance(self) -> None:
        async with trio.open_nursery() as nursery:
            for number, entry in self.entries.items():
                nursery.start_soon(self._watch_ready, number, entry)

    async def _watch_ready(self, number: int, entry: EntryProcess) -> None:
        calls = CallClient(entry.readiness_address)
        misses = 0
        while True:
            try:
                status = (await calls.exchange("GET", "/readyz", [], b"", MUTE_LIMIT_S)).status
            except AnswerLost:
                status = 0
            misses = 0 if status == 200 else misses + 1
            self._in_rotation[number] = misses < MISSES and (
                status == 200 or self._in_rotation[number]
            )
            await trio.sleep(BALANCER_S if status == 200 else BALANCER_S / 2)

    async def stop_entry(self, number: int) -> None:
        """Ask an entry to stop and wait until it has ended, by force in the end.

        With its port open, connections may wait for it: the signal may not end it at once.
        """
        entry = self.entries[number]
        ends, has_port = entry.ends, entry.accepts_callers()
        entry.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIME_S + 1.0):
            while entry.ends == ends:
                await trio.sleep(LOOK_S)
            if has_port and entry.exit_codes[ends] == -signal.SIGTERM:
                self.record.note_broken("a stop is graceful", f"entry {number}, its port open")
            return
        entry.signal(signal.SIGKILL)


def _set_priorities(document: dict[str, Any]) -> None:
    """Let routes to a service differ in priority, and add customers beside the usual one."""
    for route in document["routes"]:
        route["priority"] = PRIORITIES.get(route["name"], 1)
    for customer in make_customers(NEIGHBOURS):
        add_customer(document, customer)
    for customer in document["tenants"]:
        del customer["priority"]  # The route's applies.


def _own_addresses(random_source: random.Random) -> tuple[str, socket.socket]:
    """Return the first three parts of addresses that no other soak uses, and what guards them.

    Entries have one port in common, for their metrics, so that two soaks on the same addresses
    would keep each other's entries from starting.
    """
    while True:
        hosts = f"127.21.{2 + random_source.randrange(250)}."
        guard = socket.socket()
        try:
            guard.bind((hosts + "99", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return hosts, guard
