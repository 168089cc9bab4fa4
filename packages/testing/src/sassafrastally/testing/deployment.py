"""A whole deployment in one process: real entries and sidecars on stand-ins of all else.

On trio's mock clock it runs over a `MemoryNetwork`; over `TcpNetwork` it is the demo. Its nodes are
killed, stopped, restarted and cut as a test or scenario says.
"""

from __future__ import annotations

import hashlib
from contextlib import asynccontextmanager, contextmanager
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.control.assemble import Surroundings
from sassafrastally.control.publish import publish_bundle, sign_bundle
from sassafrastally.control.rolling import RollOrder, read_head, roll_bundle
from sassafrastally.control.signing import BundleSettings, SigningKey
from sassafrastally.core import Address, Clock
from sassafrastally.core.secret import Secret
from sassafrastally.core.settings import load_settings
from sassafrastally.entry import build_entry
from sassafrastally.entry.assemble import build_path
from sassafrastally.sidecar import build_sidecar
from sassafrastally.stores import PlatformService, VmState
from sassafrastally.testing.engine_fake import FakeEngine
from sassafrastally.testing.engine_model import EngineModel, EngineShape
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvModel
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.testing.plain_fake import FakePlainClient
from sassafrastally.testing.plain_service import PlainService, serve_plain
from sassafrastally.testing.vm_list import FakeVmList, VmListModel
from sassafrastally.testing.weight_store import FakeWeightStore, WeightStoreModel
from sassafrastally.wire.peers import PeerService

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from sassafrastally.control.bundle import Bundle
    from sassafrastally.core import Kernel, Network
    from sassafrastally.core.settings import Settings

EPOCH_S = 1_800_000_000.0
LOADS_PER_S = 2.0
CALL_CHECK_S = 0.0001
SIGNER = SigningKey("operator", Secret("11" * 32))
RECEIPT_KEY = "22" * 32
LINK_SECRET = "33" * 32
ADMIN_TOKEN = "operator-token"
SEED_BYTES = 4
KV_SEED = 7
ANY_PORT = Address("127.0.0.1", 0)
ENGINE_HOST = "10.9.0.1"
FIRST_ENGINE_PORT = 9_000

SETTINGS = """
role = "{role}"
[process]
vm = "{vm}"
data_centre = "{data_centre}"
region = "{region}"
[peer]
listen_address = "{listen}"
link_secret = "{link_secret}"
[kv]
address = "127.0.0.1:1"
[vm_list]
address = "127.0.0.1:1"
poll_interval_s = 1.0
[[bundle.trusted_signers]]
name = "{signer}"
public_key = "{public_key}"
"""

ENTRY_SETTINGS = """
[http]
listen_address = "127.0.0.1:0"
[admin]
token_digests = ["{token_digest}"]
[[receipts.keys]]
key_id = "k1"
secret = "{receipt_key}"
"""

SIDECAR_SETTINGS = """
[sidecar]
scheduler = "{scheduler}"
"""

ENGINE_SETTINGS = """
engine_address = "{address}"
"""

SERVICE_SETTINGS = """
[[sidecar.services]]
name = "{name}"
address = "{address}"
"""


class VmSpec(NamedTuple):
    """One VM of the deployment."""

    vm: str
    role: str
    data_centre: str = "dc-1"
    service: str = ""
    """Plain service beside a sidecar; empty for a model engine."""


class DeploymentShape(NamedTuple):
    """What a deployment consists of."""

    vms: tuple[VmSpec, ...]
    bundle: Bundle
    engine: EngineShape = EngineShape()
    region: str = "region-1"
    scheduler: str = "lanes"
    extra_settings: str = ""
    """TOML added to every process's settings."""
    seed: int = 0
    """Seed of all processes and engines."""


class Node:
    """One VM and what runs on it; the engine or plain service outlives its sidecar."""

    def __init__(self, spec: VmSpec, kernel: Kernel) -> None:
        self.spec = spec
        self.kernel = kernel
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self._calls: set[trio.CancelScope] = set()
        self._is_ending = False

    @contextmanager
    def call(self) -> Iterator[trio.CancelScope]:
        """Let a caller's task end with the process while the context lasts.

        The scope is cancelled from the begin if the process has been ended: a caller's task may be
        on its way to a process that is killed before the task runs.
        """
        with trio.CancelScope() as scope:
            if self._is_ending:
                scope.cancel()
            self._calls.add(scope)
            try:
                yield scope
            finally:
                self._calls.discard(scope)

    async def end(self) -> None:
        """End the process's tasks and those of its callers.

        The callers go first: their requests run outside of the kernel, and would go on for a
        moment in a process that is no more.
        """
        self._is_ending = True
        for scope in self._calls:
            scope.cancel()
        while self._calls:
            await trio.sleep(CALL_CHECK_S)
        self.scope.cancel()
        await self.ended.wait()


class Deployment:
    """The running deployment; made by `open_deployment`."""

    def __init__(
        self, shape: DeploymentShape, nursery: trio.Nursery, network: Network | MemoryNetwork
    ) -> None:
        self.shape = shape
        self.network = network
        self.kv = KvModel(Random(KV_SEED))
        self.vm_list = VmListModel()
        self.weight_store = WeightStoreModel(LOADS_PER_S)
        self.engines: dict[str, EngineModel] = {}
        self.engine_clients: dict[str, FakeEngine] = {}
        self.services: dict[str, PlainService] = {}
        self.nodes: dict[str, Node] = {}
        self.engines_by_address: dict[Address, EngineModel] = {}
        """From where engines fetch KV exports of each other; nothing listens there."""
        self._engine_addresses: dict[str, Address] = {}
        self._service_addresses: dict[str, Address] = {}
        self._peer_addresses: dict[str, Address] = {}
        self._nursery = nursery
        self._starts = 0

    @property
    def memory_network(self) -> MemoryNetwork:
        """The network when it is one in memory, for its faults."""
        assert isinstance(self.network, MemoryNetwork)
        return self.network

    def node(self, vm: str) -> Node:
        """Return a running node."""
        return self.nodes[vm]

    def peer_address(self, vm: str) -> Address:
        """Return where a VM takes links."""
        return self._peer_addresses[vm]

    async def start(self, vm: str) -> Node:
        """Start a VM's process, with a new life, and list it."""
        spec = next(spec for spec in self.shape.vms if spec.vm == vm)
        await self._start_backend(spec)
        kernel = await self._build(spec)
        node = Node(spec, kernel)
        self.nodes[vm] = node
        await self._nursery.start(self._run_node, node)
        self._peer_addresses[vm] = kernel.get("peers", PeerService).bound_address
        self.vm_list.put(
            VmState(vm, spec.role, spec.data_centre, self.shape.region, self._peer_addresses[vm])
        )
        return node

    async def kill(self, vm: str) -> None:
        """End a process at once, as if its VM had lost power; its engine lives on."""
        node = self.nodes.pop(vm)
        if isinstance(self.network, MemoryNetwork):
            self.network.kill(vm)
        await node.end()

    async def stop(self, vm: str) -> None:
        """Ask a process to stop and wait until it has."""
        node = self.nodes.pop(vm)
        node.kernel.request_stop()
        await node.ended.wait()
        if isinstance(self.network, MemoryNetwork):
            self.network.kill(vm)

    async def roll(self, bundle: Bundle, from_generation: int | None = None) -> int:
        """Publish, sign and roll a bundle; return its generation.

        Parameters
        ----------
        bundle
            The bundle.
        from_generation
            Generation that the operator saw in force; read just before the roll by default.
        """
        kv = FakeKv(self.kv)
        settings = self.bundle_settings
        published = await publish_bundle(kv, bundle)
        await sign_bundle(kv, published.digest, SIGNER, settings)
        if from_generation is None:
            head = await read_head(kv)
            from_generation = head.generation if head else 0
        order = RollOrder(published.digest, from_generation)
        return (await roll_bundle(kv, order, SIGNER, settings)).head.generation

    @property
    def bundle_settings(self) -> BundleSettings:
        """Settings of the bundle service, the same on all nodes."""
        return self._settings(self.shape.vms[0], "").get(BundleSettings)

    def make_engine_client(self, model: EngineModel) -> FakeEngine:
        """Return the client of an engine; a test may count or spoil its calls."""
        return FakeEngine(model, self.engines_by_address)

    async def _start_backend(self, spec: VmSpec) -> None:
        if spec.role != "sidecar" or spec.vm in self.engines or spec.vm in self.services:
            return
        if spec.service:
            service = self.services[spec.vm] = PlainService()
            # Real sockets don't go with the mock clock, which jumps while the kernel is at work.
            bound = ANY_PORT
            if not isinstance(self.network, MemoryNetwork):
                bound = await self._nursery.start(serve_plain, service, ANY_PORT)
            self._service_addresses[spec.vm] = bound
            return
        model = EngineModel(self.shape.engine, seed=self._seed(spec.vm, 0))
        address = Address(ENGINE_HOST, FIRST_ENGINE_PORT + len(self.engines))
        self.engines[spec.vm] = model
        self.engines_by_address[address] = model
        self._engine_addresses[spec.vm] = address
        self.engine_clients[spec.vm] = self.make_engine_client(model)
        self._nursery.start_soon(model.run)

    async def _build(self, spec: VmSpec) -> Kernel:
        self._starts += 1
        seed = self._seed(spec.vm, self._starts)
        clock = Clock(0.0, EPOCH_S) if isinstance(self.network, MemoryNetwork) else Clock()
        platform = PlatformService(
            FakeKv(self.kv), FakeVmList(self.vm_list), FakeWeightStore(self.weight_store)
        )
        if isinstance(self.network, MemoryNetwork):
            known = self._peer_addresses.get(spec.vm)
            settings = self._settings(spec, str(known) if known else "127.0.0.1:0")
            network: Network = self.network.host(spec.vm)
            build: Callable[..., Kernel] = build_path
            services = self._in_process(spec)
        else:
            settings = self._settings(spec, "127.0.0.1:0")
            network, build, services = self.network, build_entry, None
        around = Surroundings(platform, network, clock, seed)
        if spec.role == "entry":
            return build(settings, around)
        return build_sidecar(settings, around, self.engine_clients.get(spec.vm), services)

    def _in_process(self, spec: VmSpec) -> dict[str, FakePlainClient]:
        if not spec.service:
            return {}
        return {spec.service: FakePlainClient(self.services[spec.vm])}

    def _settings(self, spec: VmSpec, listen: str) -> Settings:
        text = SETTINGS.format(
            role=spec.role,
            vm=spec.vm,
            data_centre=spec.data_centre,
            region=self.shape.region,
            listen=listen or "127.0.0.1:0",
            link_secret=LINK_SECRET,
            signer=SIGNER.signer,
            public_key=SIGNER.public_key,
        )
        if spec.role == "entry":
            text += ENTRY_SETTINGS.format(
                receipt_key=RECEIPT_KEY, token_digest=key_digest(ADMIN_TOKEN)
            )
        else:
            text += SIDECAR_SETTINGS.format(scheduler=self.shape.scheduler)
            if spec.vm in self._engine_addresses:
                text += ENGINE_SETTINGS.format(address=self._engine_addresses[spec.vm])
            if spec.service:
                address = self._service_addresses[spec.vm]
                text += SERVICE_SETTINGS.format(name=spec.service, address=address)
        return load_settings(text + self.shape.extra_settings, f"{spec.vm}.toml")

    def _seed(self, vm: str, start: int) -> int:
        digest = hashlib.sha256(f"{self.shape.seed}/{vm}/{start}".encode()).digest()
        return int.from_bytes(digest[:SEED_BYTES], "big")

    async def _run_node(self, node: Node, *, task_status: trio.TaskStatus[None]) -> None:
        with node.scope:
            await node.kernel.run(task_status=task_status)
        node.ended.set()


@asynccontextmanager
async def open_deployment(
    shape: DeploymentShape, network: Network | MemoryNetwork
) -> AsyncIterator[Deployment]:
    """Run a deployment while the context lasts: all VMs started and the bundle in force."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment(shape, nursery, network)
        await deployment.roll(shape.bundle)
        for spec in shape.vms:
            await deployment.start(spec.vm)
        yield deployment
        nursery.cancel_scope.cancel()


def key_digest(key: str) -> str:
    """Return the digest under which a bundle lists a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()
