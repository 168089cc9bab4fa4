"""The users' platform in small: store, backend servers, configuration, and entries before them.

Each entry is the real program's kernel on an address of its own in the loopback range; all else is
a stand-in on real sockets.
"""

from __future__ import annotations

import json
import secrets
from collections import Counter
from contextlib import asynccontextmanager, nullcontext
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any, NamedTuple

import h11
import trio

from sassafrastally.core import Address
from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.platform.store import StoreClient
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.daemon import make_kernel
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.proxy.settings import Bounds, ProxySettings
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.testing.metadata_store import MetadataStore
from sassafrastally.testing.replica import Arrival, Replica

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractContextManager

    from sassafrastally.core import Kernel
    from sassafrastally.testing.virtual_network import VirtualNetwork

STORE_HOST = "127.20.0.1"
SERVERS_HOST = "127.20.0.2"

HOST_NAME = "front.example"
KEY = "key-of-ana"

ENGINE: dict[str, Any] = {
    "slots": 8,
    "kvCapacity": 405_000,
    "stride": 34,
    "step_ms": 1.31,
    "per_seq_ms": 0.0018,
    "context_per_k": 0.00213,
    "read_per_s": 154_000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "hopMs": 0.1,
}
"""Figures of an engine, as the configuration publishes them."""

BOUNDS = Bounds(
    stop_time_s=8.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_extra=100,
)


RESTART_S = 0.5
"""Time after which a server that has crashed is replaced."""


class Received(NamedTuple):
    """An answer as a caller gets it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def until(condition: Callable[[], bool], time_limit_s: float = 3.0) -> None:
    """Wait until a condition holds."""
    with trio.fail_after(time_limit_s):
        while not condition():
            await trio.sleep(0.01)


def failure_causes(kernel: Kernel) -> list[str]:
    """Return why attempts of an entry failed, in their order."""
    return [
        record["fields"]["cause"]
        for record in kernel.events.records()
        if record["name"] == "AttemptFailed"
    ]


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration's document."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 5000,
        "goalMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": kind == "streaming",
        **fields,
    }


def make_configuration(version: int, **fields: Any) -> dict[str, Any]:
    """Return the configuration's document, with some fields replaced."""
    return {
        "version": version,
        "routes": [
            make_route("note", "streaming", "engines", gapGoalMs=250),
            make_route("dossier", "streaming", "engines", gapGoalMs=1000, goalMs=3000),
            make_route("look", "idempotent", "desk"),
            make_route("book", "non_idempotent", "desk", maxAttempts=1),
        ],
        "services": [
            {"name": "engines", "maxConns": 264, "engine": ENGINE},
            {"name": "desk", "maxConns": 100},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 500,
            "idleTimeoutMs": 5000,
        },
        "tenants": [{"name": "ana", "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


class PlatformFleet:
    """All of it, in one nursery.

    Parameters
    ----------
    nursery
        Where everything runs.
    random
        Decides all that is drawn; the system does if it isn't given.
    network
        The network in memory whose sockets trio opens, if it does.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        random: Random | None = None,
        network: VirtualNetwork | None = None,
    ) -> None:
        self._random = random or SystemRandom()
        self._network = network
        self.store = MetadataStore()
        self.replicas: dict[str, Replica] = {}
        self.kernels: list[Kernel] = []
        self.cut_from_store: set[int] = set()
        """Numbers of the entries whose calls don't reach the store."""
        self.store_calls: Counter[tuple[int, str]] = Counter()
        """Calls of the store by number of the entry and path."""
        self.data_centres = ["here"]
        """Where entries run, in turn."""
        self.harmful_bodies: set[bytes] = set()
        """Bodies of requests that crash each backend server that runs them."""
        self.crashed: list[str] = []
        """Ids of the backend servers that have crashed, in their order."""
        self.drops_after_crash_s = 0.0
        """Time in which the addresses of crashed servers reset connections; then each begins a new
        life under its id."""
        self._former: list[Replica] = []
        self._lives: dict[int, trio.CancelScope] = {}
        self._nursery = nursery
        self._by_address: dict[Address, Replica] = {}
        self._ports = 20_000 + self._random.randrange(12_000)

    async def start_store(self) -> None:
        """Start the store with the first configuration."""
        with self._at_host(STORE_HOST):
            port = await self.store.start(STORE_HOST, self._nursery)
        self.store_address = Address(STORE_HOST, port)
        self.configure(make_configuration(1))

    def configure(self, document: dict[str, Any]) -> None:
        """Put a configuration into the store."""
        self.store.put("op/config", json.dumps(document).encode())

    async def add_replica(
        self,
        server_id: str,
        service: str = "engines",
        *,
        former: Replica | None = None,
        engine: dict[str, Any] = ENGINE,
        **fields: Any,
    ) -> Replica:
        """Start a backend server and register it; `former` is its earlier life, if it had one."""
        figures = None
        if service == "engines":
            services = [{"name": "engines", "maxConns": 264, "engine": engine}]
            document = json.dumps(make_configuration(1, services=services)).encode()
            decoded = PlatformDialect().decode_configuration(document).services["engines"].engine
            assert decoded is not None
            figures = decoded._replace(**fields)
        replica = Replica(server_id, service, self._by_address, figures)
        replica.crashes_under = self.harmful_bodies
        replica.drops_after_crash_s = self.drops_after_crash_s
        if former is not None:
            replica.born_ms = (former.born_ms or 0) + 1
            self._former.append(former)
        with self._at_host(SERVERS_HOST):
            await replica.start(SERVERS_HOST, self._nursery)
        self.replicas[server_id] = replica
        self.store.put(f"servers/{server_id}", replica.entry())
        self._nursery.start_soon(self._replace_crashed, replica, {"engine": engine, **fields})
        return replica

    def arrivals(self) -> list[Arrival]:
        """Return all requests that reached a backend server, in their order."""
        replicas = [*self._former, *self.replicas.values()]
        found = [arrival for replica in replicas for arrival in replica.arrivals]
        return sorted(found, key=lambda arrival: arrival.at_s)

    async def _replace_crashed(self, replica: Replica, fields: dict[str, Any]) -> None:
        """Let another server take the place of one that crashes, as a supervisor does."""
        await replica.has_crashed.wait()
        self.crashed.append(replica.server_id)
        if replica.drops_after_crash_s:
            await trio.sleep(replica.drops_after_crash_s)
            await self.add_replica(replica.server_id, replica.service, former=replica, **fields)
            return
        await trio.sleep(RESTART_S)
        self.store.remove(f"servers/{replica.server_id}")
        await self.add_replica(f"{replica.server_id}-again", replica.service, **fields)

    async def add_entry(self, number: int = 1) -> Kernel:
        """Start an entry and wait until it knows the configuration and a peer, if there is one."""
        settings = self.entry_settings(number)
        kernel = make_kernel(settings, PlatformDialect(), self.store_client(number))
        kernel.random = Random(self._random.getrandbits(64))
        with self._at_host(settings.host):
            await self._nursery.start(self._live, number, kernel)
        self.kernels.append(kernel)
        return kernel

    async def _live(self, number: int, kernel: Kernel, task_status: trio.TaskStatus[None]) -> None:
        with trio.CancelScope() as self._lives[number]:
            await kernel.run(task_status=task_status)

    def _at_host(self, host: str) -> AbstractContextManager[None]:
        return self._network.at_host(host) if self._network else nullcontext()

    def kill_entry(self, number: int) -> None:
        """End an entry as a kill does; another one may be started in its place."""
        self._lives.pop(number).cancel()
        self.kernels = [one for one in self.kernels if one.vm != self.entry_settings(number).vm]

    def entry_settings(self, number: int) -> ProxySettings:
        """Return the settings of an entry; each has an address of its own."""
        host = f"127.20.1.{number}"
        return ProxySettings(
            vm=f"entry-{number}",
            host=host,
            data_centre=self.data_centres[number % len(self.data_centres)],
            callers_address=Address(host, self._ports),
            readiness_address=Address(host, self._ports + 1),
            peer_port=self._ports + 2,
            metrics_port=self._ports + 3,
            store_address=self.store_address,
            link_mbps=1000,
            bounds=BOUNDS,
        )

    def store_client(self, number: int) -> StoreClient:
        """Return what an entry calls the store by."""
        calls = CallClient(self.store_address)

        async def exchange(
            method: str, target: str, body: bytes, time_limit_s: float
        ) -> tuple[int, bytes]:
            self.store_calls[number, "/" + target.split("?")[0].split("/")[1]] += 1
            if number in self.cut_from_store:
                raise AnswerLost("cut off")
            return await calls.exchange(method, target, [], body, time_limit_s)

        return StoreClient(exchange, 0.3)

    async def connect(self, number: int = 1) -> HttpStream:
        """Open a caller's connection to an entry."""
        address = self.entry_settings(number).callers_address
        return HttpStream(await connect(address, 1.0), h11.CLIENT)

    async def call(
        self,
        path: str,
        *,
        entry: int = 1,
        method: str = "POST",
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
        prompt: str | None = None,
        request_id: str | None = None,
    ) -> Received:
        """Send one request on a new connection and return its answer."""
        address = self.entry_settings(entry).callers_address
        request_headers = request_fields(headers, prompt, request_id)
        return await self.call_at(address, path, request_headers, method, body)

    async def call_at(
        self,
        address: Address,
        path: str,
        headers: dict[str, str],
        method: str = "POST",
        body: bytes = b"{}",
    ) -> Received:
        """Send one request to an address on a new connection and return its answer."""
        connection = HttpStream(await connect(address, 1.0), h11.CLIENT)
        try:
            return await exchange_on(connection, method, path, headers, body)
        finally:
            await connection.close()


def request_fields(
    headers: dict[str, str] | None = None,
    prompt: str | None = None,
    request_id: str | None = None,
) -> dict[str, str]:
    """Return the header of a caller's request."""
    fields = {
        "Host": HOST_NAME,
        "Attempt-Id": request_id or secrets.token_hex(8),
        "Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
    }
    if prompt is not None:
        fields["Token-Counts"] = prompt
    return {**fields, **(headers or {})}


async def exchange_on(
    connection: HttpStream, method: str, path: str, headers: dict[str, str], body: bytes
) -> Received:
    """Send a request on an open connection and read its answer."""
    length = {"Content-Length": str(len(body))}
    await connection.send(
        h11.Request(method=method, target=path, headers=[*headers.items(), *length.items()]),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    return await read_answer(connection)


async def read_answer(connection: HttpStream) -> Received:
    """Read the answer to a request that was sent."""
    status = 0
    fields: dict[str, str] = {}
    received = b""
    try:
        while True:
            event = await connection.receive()
            if isinstance(event, h11.Response):
                status = event.status_code
                fields = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                received += event.data
            elif isinstance(event, h11.EndOfMessage):
                return Received(status, fields, received, True)
            elif isinstance(event, h11.ConnectionClosed):
                return Received(status, fields, received, False)
    except (h11.RemoteProtocolError, ConnectionLost):
        return Received(status, fields, received, False)


@asynccontextmanager
async def platform_fleet() -> AsyncIterator[PlatformFleet]:
    """Run a fleet with its store; replicas and entries are added by the test."""
    async with trio.open_nursery() as nursery:
        fleet = PlatformFleet(nursery)
        await fleet.start_store()
        yield fleet
        nursery.cancel_scope.cancel()
