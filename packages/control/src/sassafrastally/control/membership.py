"""Who exists, who leaves, and the links that an entry keeps up."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, NamedTuple, cast

import trio

from sassafrastally.control.interfaces import PeerLoad
from sassafrastally.control.subset import choose_subset
from sassafrastally.core import Service, counter, event
from sassafrastally.core.settings import section
from sassafrastally.stores import PlatformService, PlatformUnavailable, full_jitter
from sassafrastally.wire.link import LinkCut, LinkRefused
from sassafrastally.wire.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sassafrastally.control.interfaces import BundleSource
    from sassafrastally.core import Incarnation
    from sassafrastally.stores import VmState
    from sassafrastally.wire.link import Link, PeerIdentity, Peers
    from sassafrastally.wire.messages import Message

ENTRY_ROLE = "entry"
SIDECAR_ROLE = "sidecar"
BUNDLE = "bundle"

POLL_JITTER = 0.25
"""Part of the poll interval by which each poll is moved at random, earlier or later."""

POLLS = counter("sassafrastally.membership.polls", "1", "Polls of the VM list by result.")


@section("membership")
class MembershipSettings(NamedTuple):
    """Links that an entry keeps up."""

    subset_size: int = 16
    """Sidecars that an entry keeps links to; all when there are fewer."""
    redial_base_s: float = 0.1
    """Bound of the first wait after a link didn't come about; it doubles with each failure."""
    redial_cap_s: float = 5.0
    """Longest wait between two attempts at a link."""
    link_check_interval_s: float = 0.5
    """Time between two looks at whether a link still stands."""


@event(4301, "warning")
class VmListLost(NamedTuple):
    """The VM list doesn't answer; the last good list stays in use."""

    detail: str
    vms: int


@event(4302)
class VmListRecovered(NamedTuple):
    """The VM list answers again."""

    vms: int


@event(4303)
class VmLeaving(NamedTuple):
    """A VM is known to leave from now on."""

    peer: str
    source: str
    """``list`` or ``report``."""


@event(4304)
class SelfLeaving(NamedTuple):
    """The VM list says that this VM leaves."""


class _Received(NamedTuple):
    report: LoadReport
    incarnation: Incarnation
    received_s: float


class MembershipService(Service):
    """Follows the VM list and the peers' load reports.

    Parameters
    ----------
    role
        Role of this process; only an entry dials.
    settings
        Links that an entry keeps up.
    poll_interval_s
        Mean time between two polls of the VM list.
    """

    name: ClassVar[str] = "membership"
    needs: ClassVar[tuple[str, ...]] = ("peers",)

    def __init__(self, role: str, settings: MembershipSettings, poll_interval_s: float) -> None:
        self._role = role
        self._settings = settings
        self._poll_interval_s = poll_interval_s
        self._vms: dict[str, VmState] = {}
        self._removed: dict[str, VmState] = {}
        """VMs that the list no longer shows while a link to them stands."""
        self._incarnations: dict[str, Incarnation] = {}
        """Life in which each VM was last met on a link."""
        self._leaving: set[str] = set()
        """VMs of which it was said, in the life noted above, that they leave."""
        self._received: dict[str, _Received] = {}
        self._keepers: dict[str, trio.CancelScope] = {}
        self._self_leaving = False
        self._on_leaving: list[Callable[[], None]] = []
        self._list_lost = False
        self._listed = trio.Event()

    @property
    def self_leaving(self) -> bool:
        """Whether the VM list has said that this VM leaves; stays so for this life."""
        return self._self_leaving

    @property
    def has_list(self) -> bool:
        """Whether the VM list was read at least once."""
        return self._listed.is_set()

    def on_leaving(self, callback: Callable[[], None]) -> None:
        """Register who is told once that this VM leaves; at once when that is known already."""
        self._on_leaving.append(callback)
        if self._self_leaving:
            callback()

    async def wait_listed(self) -> None:
        """Wait until the VM list was read at least once."""
        await self._listed.wait()

    def vms(self, role: str) -> list[VmState]:
        """Return the VMs of a role that the VM list shows, leaving ones included."""
        return [state for state in self._vms.values() if state.role == role]

    def is_leaving(self, vm: str) -> bool:
        """Return whether the VM list, the bundle in force or the VM itself says that it leaves.

        A VM that the list no longer shows counts as leaving while a link to it stands.
        """
        state = self._vms.get(vm)
        listed_leaving = state is not None and state.leaving
        said_by_itself = vm in self._leaving or vm in self._removed
        return listed_leaving or said_by_itself or vm in self._drained()

    def _drained(self) -> tuple[str, ...]:
        if not self.kernel.has(BUNDLE):
            return ()
        in_force = cast("BundleSource", self.kernel.get(BUNDLE, Service)).in_force
        return in_force.bundle.drain.vms if in_force else ()

    def loads(self) -> list[PeerLoad]:
        """Return the last reports of the sidecars to which a link stands.

        A report of an earlier life of the sidecar is left out: what it says of queue and memory
        went with that life.
        """
        loads = []
        for vm, incarnation in self._linked().items():
            received = self._received.get(vm)
            state = self._vms.get(vm) or self._removed.get(vm)
            if received and state and received.incarnation == incarnation:
                loads.append(PeerLoad(state, received.report, received.received_s))
        return loads

    def subset(self) -> frozenset[str]:
        """Return the names of the sidecars that this process keeps links to.

        A VM that left and that the list shows as live again is dialled once more: only the
        handshake tells whether it is the life that left or the next one.
        """
        if self._role != ENTRY_ROLE:
            return frozenset()
        left = self._leaving & self._linked().keys()
        sidecars = self.vms(SIDECAR_ROLE)
        names = [state.vm for state in sidecars if not state.leaving and state.vm not in left]
        return choose_subset(self.kernel.vm, names, self._settings.subset_size)

    async def start(self, nursery: trio.Nursery) -> None:
        """Register with the peers and begin to poll."""
        self._peers = cast("Peers", self.kernel.get("peers", Service))
        self._vm_list = self.kernel.get("platform", PlatformService).vm_list
        self._peers.on_notice(LoadReport, self._on_report)
        self._peers.on_link(self._on_link)
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._poll()
                self._adjust_keepers(nursery)
                jitter = self.kernel.random.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
                await trio.sleep(self._poll_interval_s * jitter)

    async def _poll(self) -> None:
        try:
            vms = await self._vm_list.list_vms()
        except PlatformUnavailable as cause:
            self._lose_list(cause.detail)
            return
        if not vms and self._vms:
            # This process runs on a VM, so no true list is empty. Taking it would cut the entry
            # off from all sidecars: every caller would be refused.
            self._lose_list("the list is empty")
            return
        POLLS.add(1, {"result": "ok"})
        self._take_list(vms)

    def _lose_list(self, detail: str) -> None:
        POLLS.add(1, {"result": "unavailable"})
        if not self._list_lost:
            self._list_lost = True
            self.kernel.events.emit(VmListLost(detail, len(self._vms)))

    def _take_list(self, vms: Iterable[VmState]) -> None:
        before = self._vms
        self._vms = {state.vm: state for state in vms}
        if self._list_lost:
            self._list_lost = False
            self.kernel.events.emit(VmListRecovered(len(self._vms)))
        for state in self._vms.values():
            earlier = before.get(state.vm)
            if state.leaving and not (earlier and earlier.leaving):
                self._note_leaving(state.vm, "list")
        self._forget_gone({**self._removed, **before})
        self._listed.set()
        own = self._vms.get(self.kernel.vm)
        if own is not None and own.leaving:
            self._note_self_leaving()

    def _forget_gone(self, known: dict[str, VmState]) -> None:
        linked = self._linked()
        self._removed = {
            vm: state for vm, state in known.items() if vm in linked and vm not in self._vms
        }
        for vm in [vm for vm in self._received if vm not in linked]:
            del self._received[vm]
        kept = self._vms.keys() | linked.keys()
        self._leaving &= kept
        for vm in [vm for vm in self._incarnations if vm not in kept]:
            del self._incarnations[vm]

    def _note_leaving(self, vm: str, source: str) -> None:
        if vm in self._leaving:
            return
        # Without a known life there is nothing that the word could be kept for: a VM that comes
        # back under the same name would then be shunned for good.
        if vm in self._incarnations:
            self._leaving.add(vm)
        self.kernel.events.emit(VmLeaving(vm, source))

    def _note_self_leaving(self) -> None:
        if self._self_leaving:
            return
        self._self_leaving = True
        self.kernel.events.emit(SelfLeaving())
        for callback in self._on_leaving:
            callback()

    def _meet(self, peer: PeerIdentity) -> None:
        # What an earlier life said about leaving went with it. In the same life it is never taken
        # back: the list lags, and may show a VM as live again that is about to go.
        if self._incarnations.get(peer.vm, peer.incarnation) != peer.incarnation:
            self._leaving.discard(peer.vm)
        self._incarnations[peer.vm] = peer.incarnation

    async def _on_link(self, link: Link) -> None:
        self._meet(link.peer)

    async def _on_report(self, peer: PeerIdentity, message: Message) -> None:
        report = cast("LoadReport", message)
        if self._linked().get(peer.vm, peer.incarnation) != peer.incarnation:
            # A late report of an earlier life: the link of the next one stands already.
            return
        self._meet(peer)
        now_s = self.kernel.clock.now_s()
        self._received[peer.vm] = _Received(report, peer.incarnation, now_s)
        if report.leaving:
            self._note_leaving(peer.vm, "report")

    def _linked(self) -> dict[str, Incarnation]:
        return {link.peer.vm: link.peer.incarnation for link in self._peers.links() if link.is_up}

    def _adjust_keepers(self, nursery: trio.Nursery) -> None:
        wanted = self.subset()
        for vm in self._keepers.keys() - wanted:
            self._keepers.pop(vm).cancel()
        for vm in sorted(wanted - self._keepers.keys()):
            self._keepers[vm] = trio.CancelScope()
            nursery.start_soon(self._keep_link, vm, self._keepers[vm])

    async def _keep_link(self, vm: str, scope: trio.CancelScope) -> None:
        """Keep a link up; it stays for those who use it when the VM leaves the subset."""
        settings = self._settings
        failures = 0
        with scope:
            while True:
                try:
                    link = await self._peers.link_to(vm, self._vms[vm].peer_address)
                except (LinkRefused, LinkCut):
                    failures += 1
                else:
                    failures = 0
                    while link.is_up:
                        await trio.sleep(settings.link_check_interval_s)
                # After a rack or a data centre has gone, all entries redial at the same moment:
                # the jitter, from the first attempt on, spreads them.
                wait_s = full_jitter(
                    failures, settings.redial_base_s, settings.redial_cap_s, self.kernel.random
                )
                await trio.sleep(wait_s)
