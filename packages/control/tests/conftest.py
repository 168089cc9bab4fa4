"""A small fleet of bundle services over in-memory links and a fake KV service."""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.control.bundle import Bundle, Customer, Model
from sassafrastally.control.publish import publish_bundle, sign_bundle
from sassafrastally.control.rolling import RollOrder, read_head, roll_bundle
from sassafrastally.control.signing import (
    BundleSettings,
    SigningKey,
    TrustedSigner,
    make_key,
)
from sassafrastally.control.spread import BundleService
from sassafrastally.core import Address, Clock, Kernel
from sassafrastally.core.secret import Secret
from sassafrastally.stores import KvUnavailable, PlatformService
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvModel
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.wire.link import LinkRefused
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

REDIAL_S = 0.5


class CuttableKv(FakeKv):
    """KV client of one VM that a test can cut off from the service."""

    def __init__(self, model: KvModel) -> None:
        super().__init__(model)
        self.is_cut = False
        self._waiting: set[trio.CancelScope] = set()

    def cut(self) -> None:
        """Fail all calls and open watches."""
        self.is_cut = True
        for scope in self._waiting:
            scope.cancel()

    async def _read(self, *arguments: Any) -> Any:
        self._raise_if_cut()
        return await super()._read(*arguments)

    async def _mutate(self, *arguments: Any) -> Any:
        self._raise_if_cut()
        return await super()._mutate(*arguments)

    @asynccontextmanager
    async def watch(self, prefix: str, **options: Any) -> AsyncIterator[Any]:
        self._raise_if_cut()
        async with super().watch(prefix, **options) as events:
            yield self._cuttable(events)

    async def _cuttable(self, events: Any) -> AsyncIterator[Any]:
        while True:
            with trio.CancelScope() as scope:
                self._waiting.add(scope)
                try:
                    event = await anext(events)
                finally:
                    self._waiting.discard(scope)
            if scope.cancelled_caught:
                raise KvUnavailable("cut")
            yield event

    def _raise_if_cut(self) -> None:
        if self.is_cut:
            raise KvUnavailable("cut")


class Node:
    """One VM of the fleet; each start creates a new process."""

    def __init__(self, fleet: Fleet, number: int, data_centre: str) -> None:
        self.vm = f"vm{number}"
        self.address = Address("10.0.0.1", 5_000 + number)
        self.kv = CuttableKv(fleet.model)
        self.scope = trio.CancelScope()
        self._fleet = fleet
        self._number = number
        self._data_centre = data_centre

    @property
    def generations(self) -> list[int]:
        """The generations that the process has activated, in order."""
        records = self.kernel.events.records()
        return [item["fields"]["generation"] for item in records if item["name"] == "BundleTaken"]

    async def start(self) -> None:
        """Start a process."""
        fleet = self._fleet
        seed = fleet.random.getrandbits(32)
        self.kernel = Kernel(self.vm, self._data_centre, Clock(epoch_s=0.0), seed=seed)
        settings = PeerSettings(self.address, Secret("a secret of the test fleet"))
        self.peers = PeerService(settings, fleet.network.host(self.vm), "entry")
        self.kernel.add(self.peers)
        self.kernel.add(PlatformService(self.kv, vm_list=None))  # type: ignore[arg-type]
        self.service = self.kernel.add(BundleService(fleet.settings))
        self.scope = trio.CancelScope()
        await fleet.nursery.start(self._run)

    def kill(self) -> None:
        """End the process abruptly, as a crash does."""
        self.scope.cancel()
        self._fleet.network.close_listener(self.address)
        for other in self._fleet.nodes:
            self._fleet.network.cut(self.vm, other.vm)

    async def _run(self, task_status: Any) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.kernel.run)
                nursery.start_soon(self._dial)
                task_status.started()

    async def _dial(self) -> None:
        """Maintain a link to each peer, as the membership service does."""
        while True:
            for other in self._fleet.peers_of(self):
                try:
                    await self.peers.link_to(other.vm, other.address)
                except LinkRefused:
                    continue
            await trio.sleep(REDIAL_S)


class ClosableNetwork(MemoryNetwork):
    """In-memory network on which a killed process stops listening."""

    def close_listener(self, address: Address) -> None:
        """Drop the listener of an address."""
        self._listeners.pop(address, None)


class Fleet:
    """Several nodes, their KV service and operators who roll bundles."""

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.random = Random(seed)
        self.nursery = nursery
        self.model = KvModel(Random(seed))
        self.kv = FakeKv(self.model)
        self.network = ClosableNetwork(latency_s=0.001)
        self.keys = [make_key("ana"), make_key("bruno")]
        self.settings = settings_for(self.keys)
        self.nodes: list[Node] = []
        self.generation = 0

    async def add(self, count: int, data_centres: Sequence[str] = ("cordon", "prado")) -> None:
        """Start nodes, distributed over data centres in turn."""
        for _ in range(count):
            number = len(self.nodes)
            self.nodes.append(Node(self, number, data_centres[number % len(data_centres)]))
            await self.nodes[-1].start()

    def peers_of(self, node: Node) -> list[Node]:
        """Return the nodes that a node dials: those started before it."""
        return self.nodes[: self.nodes.index(node)]

    async def roll(self, bundle: Bundle) -> str:
        """Publish, sign and roll a bundle; return its digest."""
        published = await publish_bundle(self.kv, bundle)
        await sign_bundle(self.kv, published.digest, self.keys[0], self.settings)
        head = await read_head(self.kv)
        self.generation = head.generation if head else 0
        order = RollOrder(published.digest, self.generation, f"{self.random.getrandbits(64):x}")
        result = await roll_bundle(self.kv, order, self.keys[0], self.settings)
        self.generation = result.head.generation
        return published.digest

    async def wait_everywhere(self, generation: int, within_s: float) -> None:
        """Wait until a generation is active on all nodes."""
        with trio.fail_after(within_s):
            for node in self.nodes:
                await node.service.wait_for(generation)

    def events(self, node: Node, name: str) -> list[Any]:
        """Return the fields of a node's events with the given name."""
        return [item["fields"] for item in node.kernel.events.records() if item["name"] == name]


def settings_for(keys: Sequence[SigningKey], **changes: Any) -> BundleSettings:
    """Return settings that trust the given keys."""
    trusted = tuple(TrustedSigner(key.signer, key.public_key) for key in keys)
    return BundleSettings(trusted_signers=trusted)._replace(**changes)


def make_bundle(customers: int = 3, share: float = 1.0) -> Bundle:
    """Return a bundle; the first customer's share distinguishes bundles."""
    return Bundle(
        "yeso",
        models=(Model("crew", "1", 1_000_000),),
        customers=tuple(
            Customer(f"c{number:05}", (f"{number:064x}",), share=share if number == 0 else 1.0)
            for number in range(customers)
        ),
    )


@pytest.fixture
def make_bundle_of() -> Any:
    """Return the factory of bundles."""
    return make_bundle


@pytest.fixture
def trust() -> Any:
    """Return the factory of settings that trust some keys."""
    return settings_for


@pytest.fixture
async def fleet(autojump_clock: Any, nursery: trio.Nursery) -> Fleet:
    """Return a fleet without nodes, on the mock clock."""
    return Fleet(nursery, seed=1)


@pytest.fixture
def fleet_of(autojump_clock: Any, nursery: trio.Nursery) -> Any:
    """Return the factory of fleets by seed."""
    return lambda seed: Fleet(nursery, seed)
