"""Membership: the known VMs, leaving VMs, and the links that an entry maintains."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, ClassVar, cast

import pytest
import trio

from sassafrastally.control.membership import MembershipService, MembershipSettings
from sassafrastally.control.subset import choose_subset
from sassafrastally.core import Address, Incarnation, Kernel, Service
from sassafrastally.stores import PlatformService, VmState
from sassafrastally.testing.vm_list import FakeVmList, VmListFaults, VmListModel
from sassafrastally.wire.link import Link, LinkRefused, PeerIdentity
from sassafrastally.wire.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from contextlib import AbstractAsyncContextManager

    from sassafrastally.stores import Kv
    from sassafrastally.wire.messages import Message

POLL_S = 2.0
POLL_BOUND_S = POLL_S * 1.25 + 0.1
SUBSET = 3
OWN = "entry-1"


def vm_state(name: str, role: str = "sidecar") -> VmState:
    return VmState(name, role, "tirano", "lombardia-nord", Address("10.0.0.1", 7001))


class FakeLink:
    def __init__(self, vm: str, incarnation: int) -> None:
        self.peer = PeerIdentity(vm, "sidecar", "tirano", Incarnation(f"{vm}-{incarnation}"))
        self.is_up = True


class FakePeers(Service):
    """Peers whose links are established immediately unless the VM refuses them."""

    name: ClassVar[str] = "peers"

    def __init__(self) -> None:
        self.incarnation_counts: Counter[str] = Counter()
        self.refusing: set[str] = set()
        self.dialled: Counter[str] = Counter()
        self._links: dict[str, FakeLink] = {}
        self._on_notice: dict[type[Any], Callable[[PeerIdentity, Message], Awaitable[None]]] = {}
        self._on_link: list[Callable[[Link], Awaitable[None]]] = []

    def on_notice(
        self, kind: type[Any], handler: Callable[[PeerIdentity, Message], Awaitable[None]]
    ) -> None:
        self._on_notice[kind] = handler

    def on_link(self, handler: Callable[[Link], Awaitable[None]]) -> None:
        self._on_link.append(handler)

    async def link_to(self, vm: str, address: Address) -> Link:
        await trio.lowlevel.checkpoint()
        found = self._links.get(vm)
        if found is None or not found.is_up:
            self.dialled[vm] += 1
            if vm in self.refusing:
                raise LinkRefused(vm)
            found = self._links[vm] = FakeLink(vm, self.incarnation_counts[vm])
            for handler in self._on_link:
                await handler(cast("Link", found))
        return cast("Link", found)

    def links(self) -> list[Link]:
        return [cast("Link", link) for link in self._links.values() if link.is_up]

    def linked(self) -> set[str]:
        return {link.peer.vm for link in self.links()}

    def identity(self, vm: str) -> PeerIdentity:
        return self._links[vm].peer

    async def report(self, vm: str, report: LoadReport, sender: PeerIdentity | None = None) -> None:
        await self._on_notice[LoadReport](sender or self.identity(vm), report)

    def cut(self, vm: str) -> None:
        self._links[vm].is_up = False

    def restart(self, vm: str) -> None:
        self.cut(vm)
        self.incarnation_counts[vm] += 1


class Process:
    """An entry or sidecar with its membership service."""

    def __init__(self, role: str, names: list[str]) -> None:
        self.peers = FakePeers()
        self.model = VmListModel([vm_state(name) for name in names])
        self.membership = MembershipService(role, MembershipSettings(SUBSET), POLL_S)
        self.kernel = Kernel(OWN, "tirano", seed=5)
        self.kernel.add(PlatformService(cast("Kv", None), FakeVmList(self.model)))
        self.kernel.add(self.peers)
        self.kernel.add(self.membership)

    async def wait_polled(self) -> None:
        """Wait until at least one poll and the dials after it have happened."""
        await trio.sleep(POLL_BOUND_S)


@asynccontextmanager
async def running(role: str, names: list[str]) -> AsyncIterator[Process]:
    process = Process(role, names)
    async with trio.open_nursery() as nursery:
        await nursery.start(process.kernel.run)
        await process.wait_polled()
        yield process
        nursery.cancel_scope.cancel()


def running_entry() -> AbstractAsyncContextManager[Process]:
    return running("entry", ["s1", "s2", "s3"])


class TestLeaving:
    async def test_vm_list_reports_leaving_first(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.model.mark_leaving("s1")
            assert not entry.membership.is_leaving("s1")
            await entry.wait_polled()
            assert entry.membership.is_leaving("s1")

    async def test_vm_without_link_can_leave(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.model.put(vm_state("s4")._replace(leaving=True))
            await entry.wait_polled()
            assert entry.membership.is_leaving("s4")
            assert not entry.peers.dialled["s4"]

    async def test_load_report_reports_leaving_first(self, autojump_clock: object) -> None:
        """A sidecar is notified to stop while the VM list lags. Without the report, new work would
        still be sent to it and be cut off when its VM stops."""
        async with running_entry() as entry:
            await entry.peers.report("s1", LoadReport(leaving=True))
            assert entry.membership.is_leaving("s1")
            assert not entry.membership.is_leaving("s2")

    async def test_leaving_is_permanent_within_an_incarnation(self, autojump_clock: object) -> None:
        """Two replicas of the VM list lag differently: one lists a VM as leaving, the next poll
        reads the older state of the other. Requests sent to the VM again would lose their
        responses."""
        async with running_entry() as entry:
            entry.model.mark_leaving("s1")
            await entry.wait_polled()
            entry.model.put(vm_state("s1"))
            await entry.peers.report("s1", LoadReport(leaving=False))
            await entry.wait_polled()
            assert entry.membership.is_leaving("s1")

    async def test_new_incarnation_is_not_leaving(self, autojump_clock: object) -> None:
        """A VM leaves and comes back under the same name. If the leaving mark were kept for the
        name, this entry would never use the new VM, and the other VMs would carry its load."""
        async with running_entry() as entry:
            entry.model.mark_leaving("s1")
            await entry.wait_polled()
            entry.peers.restart("s1")
            entry.model.put(vm_state("s1"))
            await entry.wait_polled()
            await entry.wait_polled()
            assert not entry.membership.is_leaving("s1")
            assert entry.peers.linked() == {"s1", "s2", "s3"}

    async def test_removed_vm_is_leaving_while_linked(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.model.remove("s1")
            await entry.wait_polled()
            assert entry.membership.is_leaving("s1")
            entry.peers.cut("s1")
            await entry.wait_polled()
            assert not entry.membership.is_leaving("s1")

    async def test_sidecar_is_notified_when_listed_as_leaving(self, autojump_clock: object) -> None:
        """Operators mark a sidecar's VM as leaving, and entries poll the list later. If the sidecar
        continued to accept reservations, work would start that is cut off when the VM stops."""
        notified: list[str] = []
        async with running("sidecar", [OWN, "s2"]) as process:
            process.membership.on_leaving(lambda: notified.append("before"))
            assert not process.membership.is_self_leaving
            process.model.mark_leaving(OWN)
            await process.wait_polled()
            await process.wait_polled()
            process.membership.on_leaving(lambda: notified.append("after"))
            assert process.membership.is_self_leaving
            assert notified == ["before", "after"]
            assert not process.peers.dialled


class TestOutage:
    @pytest.mark.parametrize("fault", ["down", "empty"])
    async def test_last_valid_list_is_kept(self, autojump_clock: object, fault: str) -> None:
        """The VM list is down, or empty after its own restart. An entry that accepted the empty
        list would drop all sidecars and refuse every request."""
        async with running_entry() as entry:
            if fault == "down":
                entry.model.faults = VmListFaults(down=True)
            else:
                for name in ("s1", "s2", "s3"):
                    entry.model.remove(name)
            for _ in range(10):
                await entry.wait_polled()
            assert {state.vm for state in entry.membership.vms("sidecar")} == {"s1", "s2", "s3"}
            assert entry.peers.linked() == {"s1", "s2", "s3"}
            lost = [item for item in entry.kernel.events.records() if item["name"] == "VmListLost"]
            assert len(lost) == 1

    async def test_links_are_redialled_during_an_outage(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.model.faults = VmListFaults(down=True)
            entry.peers.cut("s2")
            await entry.wait_polled()
            assert "s2" in entry.peers.linked()

    async def test_refused_links_are_redialled_with_backoff(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.peers.refusing.add("s2")
            entry.peers.cut("s2")
            await trio.sleep(100.0)
            assert 20 < entry.peers.dialled["s2"] < 80


class TestLoads:
    async def test_loads_contain_reports_of_linked_sidecars(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            await entry.peers.report("s1", LoadReport(running=3))
            [load] = entry.membership.loads()
            assert (load.state.vm, load.report.running) == ("s1", 3)
            assert load.received_s == entry.kernel.clock.now_s()

    async def test_report_is_dropped_with_its_link(self, autojump_clock: object) -> None:
        """A sidecar dies and restarts without load. By its last report it would look full, or look
        free while it is down, and requests would be routed wrongly."""
        async with running_entry() as entry:
            await entry.peers.report("s1", LoadReport(running=3))
            entry.peers.restart("s1")
            assert entry.membership.loads() == []
            await entry.wait_polled()
            assert "s1" in entry.peers.linked()
            assert entry.membership.loads() == []

    async def test_late_report_of_earlier_incarnation_is_dropped(
        self, autojump_clock: object
    ) -> None:
        """A sidecar reports that it is leaving and is replaced under the same name. The report is
        handled after the link to the replacement is up, and would mark the replacement as leaving
        for ever."""
        async with running_entry() as entry:
            earlier = entry.peers.identity("s1")
            entry.peers.restart("s1")
            await entry.wait_polled()
            await entry.peers.report("s1", LoadReport(leaving=True), earlier)
            assert not entry.membership.is_leaving("s1")
            assert entry.membership.loads() == []


class TestSubset:
    NAMES: ClassVar[list[str]] = [f"sidecar-{number}" for number in range(1500)]
    SIZE = 24

    def test_replacing_a_vm_moves_at_most_one_link(self) -> None:
        """VMs are replaced frequently. If each replacement moved many links, entries would dial and
        handshake constantly and lose their knowledge of cached prefixes."""
        moved = 0
        for owner in range(50):
            before = choose_subset(f"entry-{owner}", self.NAMES, self.SIZE)
            after = choose_subset(f"entry-{owner}", [*self.NAMES[1:], "new"], self.SIZE)
            assert len(after - before) <= 1
            moved += len(after - before)
        assert moved <= 10

    def test_subsets_are_balanced_over_sidecars(self) -> None:
        load: Counter[str] = Counter()
        for owner in range(340):
            load.update(choose_subset(f"entry-{owner}", self.NAMES, self.SIZE))
        assert max(load.values()) <= 20

    def test_subset_is_all_names_when_there_are_fewer(self) -> None:
        assert choose_subset(OWN, ["a", "b"], self.SIZE) == {"a", "b"}

    async def test_links_follow_the_vm_list(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            assert entry.peers.linked() == {"s1", "s2", "s3"}
            entry.model.mark_leaving("s1")
            entry.model.put(vm_state("s4"))
            await entry.wait_polled()
            assert entry.membership.subset() == {"s2", "s3", "s4"}
            assert "s4" in entry.peers.linked()
