"""Membership: the known VMs, which of them are leaving, and the links that an entry maintains."""

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
"""Maximum jitter of the poll interval in either direction, as a fraction of the interval."""

POLLS = counter("sassafrastally.membership.polls", "1", "Polls of the VM list by result.")


@section("membership")
class MembershipSettings(NamedTuple):
    """Links that an entry maintains."""

    subset_size: int = 16
    """Number of sidecars to which an entry keeps links; all if there are fewer."""
    redial_base_s: float = 0.1
    """Upper bound of the first delay after a failed dial; it doubles with each failure."""
    redial_cap_s: float = 5.0
    """Maximum delay between two dial attempts."""
    link_check_interval_s: float = 0.5
    """Time between two checks whether a link is still up."""


@event(4301, "warning")
class VmListLost(NamedTuple):
    """The VM list is unavailable or empty; the last valid list stays in use."""

    detail: str
    vms: int


@event(4302)
class VmListRecovered(NamedTuple):
    """The VM list is available again."""

    vms: int


@event(4303)
class VmLeaving(NamedTuple):
    """A VM was first reported as leaving."""

    peer: str
    source: str
    """``list`` or ``report``."""


@event(4304)
class SelfLeaving(NamedTuple):
    """The VM list marks this VM as leaving."""


class _ReceivedReport(NamedTuple):
    report: LoadReport
    incarnation: Incarnation
    received_s: float


class MembershipService(Service):
    """Tracks the VM list and the peers' load reports.

    Parameters
    ----------
    role
        Role of this process; only an entry dials.
    settings
        Links that an entry maintains.
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
        """VMs that are no longer in the list but still have a link."""
        self._incarnations: dict[str, Incarnation] = {}
        """Incarnation of each VM that was last seen on a link."""
        self._leaving: set[str] = set()
        """VMs whose incarnation recorded above was reported as leaving."""
        self._reports: dict[str, _ReceivedReport] = {}
        self._link_scopes: dict[str, trio.CancelScope] = {}
        self._is_self_leaving = False
        self._on_leaving: list[Callable[[], None]] = []
        self._is_list_unavailable = False
        self._listed = trio.Event()

    @property
    def is_self_leaving(self) -> bool:
        """Whether the VM list has marked this VM as leaving; never reset in this process."""
        return self._is_self_leaving

    @property
    def has_list(self) -> bool:
        """Whether the VM list has been read at least once."""
        return self._listed.is_set()

    def on_leaving(self, callback: Callable[[], None]) -> None:
        """Register a callback for when this VM starts leaving.

        It is called once, and immediately if this VM is already leaving.
        """
        self._on_leaving.append(callback)
        if self._is_self_leaving:
            callback()

    async def wait_listed(self) -> None:
        """Wait until the VM list has been read at least once."""
        await self._listed.wait()

    def vms(self, role: str) -> list[VmState]:
        """Return the VMs of a role in the VM list, including leaving ones."""
        return [state for state in self._vms.values() if state.role == role]

    def is_leaving(self, vm: str) -> bool:
        """Return whether the VM list, the active bundle or the VM itself reports it as leaving.

        A VM that is no longer in the list counts as leaving while it has a link.
        """
        state = self._vms.get(vm)
        listed_leaving = state is not None and state.leaving
        reported_leaving = vm in self._leaving or vm in self._removed
        return listed_leaving or reported_leaving or vm in self._drained_vms()

    def _drained_vms(self) -> tuple[str, ...]:
        if not self.kernel.has(BUNDLE):
            return ()
        in_force = cast("BundleSource", self.kernel.get(BUNDLE, Service)).in_force
        return in_force.bundle.drain.vms if in_force else ()

    def loads(self) -> list[PeerLoad]:
        """Return the latest reports of the sidecars with an established link.

        Reports from an earlier incarnation of a sidecar are left out, since the queue and memory
        that they describe no longer exist.
        """
        loads = []
        for vm, incarnation in self._linked().items():
            received = self._reports.get(vm)
            state = self._vms.get(vm) or self._removed.get(vm)
            if received and state and received.incarnation == incarnation:
                loads.append(PeerLoad(state, received.report, received.received_s))
        return loads

    def subset(self) -> frozenset[str]:
        """Return the names of the sidecars to which this process keeps links.

        A VM that left but is listed as live again is dialled once more: only the handshake tells
        whether it is the incarnation that left or a new one.
        """
        if self._role != ENTRY_ROLE:
            return frozenset()
        left = self._leaving & self._linked().keys()
        sidecars = self.vms(SIDECAR_ROLE)
        names = [state.vm for state in sidecars if not state.leaving and state.vm not in left]
        return choose_subset(self.kernel.vm, names, self._settings.subset_size)

    async def start(self, nursery: trio.Nursery) -> None:
        """Register the peer handlers and start polling."""
        self._peers = cast("Peers", self.kernel.get("peers", Service))
        self._vm_list = self.kernel.get("platform", PlatformService).vm_list
        self._peers.on_notice(LoadReport, self._on_report)
        self._peers.on_link(self._on_link)
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._poll()
                self._update_maintained_links(nursery)
                jitter = self.kernel.random.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
                await trio.sleep(self._poll_interval_s * jitter)

    async def _poll(self) -> None:
        try:
            vms = await self._vm_list.list_vms()
        except PlatformUnavailable as cause:
            self._on_list_unavailable(cause.detail)
            return
        if not vms and self._vms:
            # This process runs on a VM, so a correct list is never empty. Accepting an empty list
            # would cut the entry off from all sidecars, and every request would be refused.
            self._on_list_unavailable("the list is empty")
            return
        POLLS.add(1, {"result": "ok"})
        self._update_vms(vms)

    def _on_list_unavailable(self, detail: str) -> None:
        POLLS.add(1, {"result": "unavailable"})
        if not self._is_list_unavailable:
            self._is_list_unavailable = True
            self.kernel.events.emit(VmListLost(detail, len(self._vms)))

    def _update_vms(self, vms: Iterable[VmState]) -> None:
        before = self._vms
        self._vms = {state.vm: state for state in vms}
        if self._is_list_unavailable:
            self._is_list_unavailable = False
            self.kernel.events.emit(VmListRecovered(len(self._vms)))
        for state in self._vms.values():
            earlier = before.get(state.vm)
            if state.leaving and not (earlier and earlier.leaving):
                self._mark_leaving(state.vm, "list")
        self._prune_removed({**self._removed, **before})
        self._listed.set()
        own = self._vms.get(self.kernel.vm)
        if own is not None and own.leaving:
            self._mark_self_leaving()

    def _prune_removed(self, known: dict[str, VmState]) -> None:
        linked = self._linked()
        self._removed = {
            vm: state for vm, state in known.items() if vm in linked and vm not in self._vms
        }
        for vm in [vm for vm in self._reports if vm not in linked]:
            del self._reports[vm]
        kept = self._vms.keys() | linked.keys()
        self._leaving &= kept
        for vm in [vm for vm in self._incarnations if vm not in kept]:
            del self._incarnations[vm]

    def _mark_leaving(self, vm: str, source: str) -> None:
        if vm in self._leaving:
            return
        # Recorded only for a known incarnation. Otherwise a VM that comes back under the same name
        # would be treated as leaving for ever.
        if vm in self._incarnations:
            self._leaving.add(vm)
        self.kernel.events.emit(VmLeaving(vm, source))

    def _mark_self_leaving(self) -> None:
        if self._is_self_leaving:
            return
        self._is_self_leaving = True
        self.kernel.events.emit(SelfLeaving())
        for callback in self._on_leaving:
            callback()

    def _record_incarnation(self, peer: PeerIdentity) -> None:
        # A new incarnation clears the leaving mark. Within one incarnation the mark is never
        # cleared: the list lags and may show a VM that is about to stop as live again.
        if self._incarnations.get(peer.vm, peer.incarnation) != peer.incarnation:
            self._leaving.discard(peer.vm)
        self._incarnations[peer.vm] = peer.incarnation

    async def _on_link(self, link: Link) -> None:
        self._record_incarnation(link.peer)

    async def _on_report(self, peer: PeerIdentity, message: Message) -> None:
        report = cast("LoadReport", message)
        if self._linked().get(peer.vm, peer.incarnation) != peer.incarnation:
            # A late report of an earlier incarnation: the new one already has a link.
            return
        self._record_incarnation(peer)
        now_s = self.kernel.clock.now_s()
        self._reports[peer.vm] = _ReceivedReport(report, peer.incarnation, now_s)
        if report.leaving:
            self._mark_leaving(peer.vm, "report")

    def _linked(self) -> dict[str, Incarnation]:
        return {link.peer.vm: link.peer.incarnation for link in self._peers.links() if link.is_up}

    def _update_maintained_links(self, nursery: trio.Nursery) -> None:
        wanted = self.subset()
        for vm in self._link_scopes.keys() - wanted:
            self._link_scopes.pop(vm).cancel()
        for vm in sorted(wanted - self._link_scopes.keys()):
            self._link_scopes[vm] = trio.CancelScope()
            nursery.start_soon(self._maintain_link, vm, self._link_scopes[vm])

    async def _maintain_link(self, vm: str, scope: trio.CancelScope) -> None:
        """Maintain a link; when the VM leaves the subset, the link stays up for its users."""
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
                # After a rack or data centre fails, all entries redial at the same moment. The
                # jitter, which applies from the first attempt on, spreads the dials.
                wait_s = full_jitter(
                    failures, settings.redial_base_s, settings.redial_cap_s, self.kernel.random
                )
                await trio.sleep(wait_s)
