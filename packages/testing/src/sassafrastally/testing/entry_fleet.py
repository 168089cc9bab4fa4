"""A few entries that run real services over links in memory, for tests on the mock clock.

Each entry has a view of the membership of its own, so that a test can let two entries believe in
different homes. Messages pass through the codec; a handler runs in its own entry, so that it goes
on when the caller no longer waits.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple

import trio

from sassafrastally.core import Address, Clock, Kernel, Service
from sassafrastally.stores.interfaces import VmState
from sassafrastally.stores.service import PlatformService
from sassafrastally.wire.codec import decode_frame, encode_frame
from sassafrastally.wire.link import LinkCut, LinkRefused, PeerIdentity
from sassafrastally.wire.messages import Frame

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from sassafrastally.control.bundle import BundleInForce
    from sassafrastally.control.interfaces import PeerLoad
    from sassafrastally.core.kv import Kv

EPOCH_S = 1_800_000_000.0


class FleetEntry(NamedTuple):
    """One entry of the fleet."""

    kernel: Kernel
    peers: FakePeers
    membership: FakeMembership
    scope: trio.CancelScope
    """Cancelling it kills the entry."""


class FakeMembership(Service):
    """One entry's view of which entries live."""

    name: ClassVar[str] = "membership"

    def __init__(self, names: Iterable[str]) -> None:
        self.names = list(names)

    def vms(self, role: str) -> list[VmState]:
        """Return the VMs of a role."""
        return [
            VmState(name, "entry", "dc", "region", Address("127.0.0.1", 1)) for name in self.names
        ]

    def is_leaving(self, vm: str) -> bool:
        """Return whether a VM leaves."""
        return vm not in self.names

    def loads(self) -> list[PeerLoad]:
        """Return no reports: the fleet has no sidecars."""
        return []


class FakeBundle(Service):
    """A bundle in force that never changes."""

    name: ClassVar[str] = "bundle"

    def __init__(self, in_force: BundleInForce | None) -> None:
        self.in_force = in_force


class FakePeers(Service):
    """Links of one entry to the others of the fleet."""

    name: ClassVar[str] = "peers"

    def __init__(self, fleet: EntryFleet, vm: str) -> None:
        self.handlers: dict[type[Any], Callable[..., Any]] = {}
        self.nursery: trio.Nursery | None = None
        self._fleet = fleet
        self._vm = vm

    async def start(self, nursery: trio.Nursery) -> None:
        """Run handlers in the entry's own nursery."""
        self.nursery = nursery

    def on_stream(self, kind: type[Any], handler: Callable[..., Any]) -> None:
        """Register who serves streams that begin with a message of a type."""
        self.handlers[kind] = handler

    async def link_to(self, vm: str, address: Address) -> FakeLink:
        """Return a link; raises `LinkRefused` over a cut."""
        await trio.lowlevel.checkpoint()
        self._fleet.check_reachable(self._vm, vm)
        return FakeLink(self._fleet, self._vm, vm)


class FakeLink:
    """A link between two entries."""

    def __init__(self, fleet: EntryFleet, source: str, target: str) -> None:
        self._fleet = fleet
        self._source = source
        self._target = target

    async def call(self, message: Any) -> Any:
        """Send a message and return the answer; raises `LinkCut` when it is lost."""
        return await self._fleet.deliver(self._source, self._target, message)


class _Answer:
    """The stream that a handler answers on."""

    def __init__(self, source: str) -> None:
        self.peer = PeerIdentity(source, "entry", "dc", Kernel(source, "dc", seed=0).incarnation)
        self.message: Any = None
        self.sent = trio.Event()

    async def send(self, message: Any) -> None:
        """Keep the answer."""
        await trio.lowlevel.checkpoint()
        self.message = message
        self.sent.set()


class EntryFleet:
    """The entries of a test and the faults between them.

    Parameters
    ----------
    nursery
        Runs the entries.
    latency_s
        Time that a message takes one way.
    """

    def __init__(self, nursery: trio.Nursery, latency_s: float = 0.001) -> None:
        self.entries: dict[str, FleetEntry] = {}
        self.cuts: set[frozenset[str]] = set()
        """Pairs of entries that don't reach each other."""
        self.lose_answers = 0
        """So many of the next answers are lost after the handler has run."""
        self.message_bytes: list[int] = []
        """Size of each message sent."""
        self.latency_s = latency_s
        self._nursery = nursery
        self._frozen: dict[str, trio.Event] = {}

    async def start(
        self,
        vm: str,
        names: Iterable[str],
        services: Sequence[Service],
        kv: Kv | None = None,
        bundle: BundleInForce | None = None,
    ) -> FleetEntry:
        """Start an entry with a view of the membership and some services under test."""
        kernel = Kernel(vm, "dc", Clock(epoch_s=EPOCH_S), seed=sum(vm.encode()))
        peers = kernel.add(FakePeers(self, vm))
        membership = kernel.add(FakeMembership(names))
        kernel.add(FakeBundle(bundle))
        if kv is not None:
            kernel.add(PlatformService(kv, _NoVmList()))
        for service in services:
            kernel.add(service)
        scope = await self._nursery.start(_run, kernel)
        self.entries[vm] = FleetEntry(kernel, peers, membership, scope)
        return self.entries[vm]

    def kill(self, vm: str) -> None:
        """End an entry at once, as a VM that is lost."""
        self.entries.pop(vm).scope.cancel()

    def freeze(self, vm: str) -> None:
        """Hold what comes to an entry until `thaw`."""
        self._frozen[vm] = trio.Event()

    def thaw(self, vm: str) -> None:
        """Let a frozen entry go on with what came meanwhile."""
        self._frozen.pop(vm).set()

    def check_reachable(self, source: str, target: str) -> None:
        """Raise `LinkRefused` when two entries don't reach each other."""
        if target not in self.entries or frozenset((source, target)) in self.cuts:
            raise LinkRefused(f"{source} doesn't reach {target}")

    async def deliver(self, source: str, target: str, message: Any) -> Any:
        """Carry a message to an entry and its answer back."""
        self.check_reachable(source, target)
        answer = _Answer(source)
        nursery = self.entries[target].peers.nursery
        assert nursery is not None
        nursery.start_soon(self._handle, target, answer, self._coded(message))
        await answer.sent.wait()
        await trio.sleep(self.latency_s)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LinkCut(f"{source} lost {target}")
        if frozenset((source, target)) in self.cuts:
            raise LinkCut(f"{source} lost {target}")
        return self._coded(answer.message)

    async def _handle(self, target: str, answer: _Answer, message: Any) -> None:
        await trio.sleep(self.latency_s)
        if (frozen := self._frozen.get(target)) is not None:
            await frozen.wait()
        await self.entries[target].peers.handlers[type(message)](answer, message)

    def _coded(self, message: Any) -> Any:
        data = encode_frame(Frame(1, 1, message))
        self.message_bytes.append(len(data))
        return decode_frame(data).message


async def _run(kernel: Kernel, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.run)
            task_status.started(scope)


class _NoVmList:
    """A VM list that nobody asks."""

    async def list_vms(self) -> list[VmState]:
        """Return no VMs."""
        return []
