"""Tests of membership: who exists, who leaves, and the links that an entry keeps up."""

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
    def __init__(self, vm: str, life: int) -> None:
        self.peer = PeerIdentity(vm, "sidecar", "tirano", Incarnation(f"{vm}-{life}"))
        self.is_up = True


class FakePeers(Service):
    """Links that come about at once unless the VM refuses them."""

    name: ClassVar[str] = "peers"

    def __init__(self) -> None:
        self.lives: Counter[str] = Counter()
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
            found = self._links[vm] = FakeLink(vm, self.lives[vm])
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
        self.lives[vm] += 1


class Process:
    """An entry or a sidecar with its membership."""

    def __init__(self, role: str, names: list[str]) -> None:
        self.peers = FakePeers()
        self.model = VmListModel([vm_state(name) for name in names])
        self.membership = MembershipService(role, MembershipSettings(SUBSET), POLL_S)
        self.kernel = Kernel(OWN, "tirano", seed=5)
        self.kernel.add(PlatformService(cast("Kv", None), FakeVmList(self.model)))
        self.kernel.add(self.peers)
        self.kernel.add(self.membership)

    async def polled(self) -> None:
        """Let at least one poll and the dialling after it pass."""
        await trio.sleep(POLL_BOUND_S)


@asynccontextmanager
async def running(role: str, names: list[str]) -> AsyncIterator[Process]:
    process = Process(role, names)
    async with trio.open_nursery() as nursery:
        await nursery.start(process.kernel.run)
        await process.polled()
        yield process
        nursery.cancel_scope.cancel()


def running_entry() -> AbstractAsyncContextManager[Process]:
    return running("entry", ["s1", "s2", "s3"])


class TestLeaving:
    async def test_the_vm_list_says_it_first(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.model.mark_leaving("s1")
            assert not entry.membership.is_leaving("s1")
            await entry.polled()
            assert entry.membership.is_leaving("s1")

    async def test_a_vm_that_was_never_linked_may_leave(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.model.put(vm_state("s4")._replace(leaving=True))
            await entry.polled()
            assert entry.membership.is_leaving("s4")
            assert not entry.peers.dialled["s4"]

    async def test_the_report_says_it_first(self, autojump_clock: object) -> None:
        """A sidecar gets the signal to stop while the VM list lags. New work sent to it in the
        meantime would be cut off when its VM goes."""
        async with running_entry() as entry:
            await entry.peers.report("s1", LoadReport(leaving=True))
            assert entry.membership.is_leaving("s1")
            assert not entry.membership.is_leaving("s2")

    async def test_it_is_not_taken_back_in_the_same_life(self, autojump_clock: object) -> None:
        """Two replicas of the VM list lag differently: one says that a VM leaves, the next poll
        gets the other's older state. Callers sent there again would lose their answers."""
        async with running_entry() as entry:
            entry.model.mark_leaving("s1")
            await entry.polled()
            entry.model.put(vm_state("s1"))
            await entry.peers.report("s1", LoadReport(leaving=False))
            await entry.polled()
            assert entry.membership.is_leaving("s1")

    async def test_the_next_life_under_the_name_is_not_shunned(
        self, autojump_clock: object
    ) -> None:
        """A VM leaves and comes back under its old name. If its leaving stuck to the name, this
        entry would never use the new VM, and the others would carry its load."""
        async with running_entry() as entry:
            entry.model.mark_leaving("s1")
            await entry.polled()
            entry.peers.restart("s1")
            entry.model.put(vm_state("s1"))
            await entry.polled()
            await entry.polled()
            assert not entry.membership.is_leaving("s1")
            assert entry.peers.linked() == {"s1", "s2", "s3"}

    async def test_a_removed_vm_counts_as_leaving_while_its_link_stands(
        self, autojump_clock: object
    ) -> None:
        async with running_entry() as entry:
            entry.model.remove("s1")
            await entry.polled()
            assert entry.membership.is_leaving("s1")
            entry.peers.cut("s1")
            await entry.polled()
            assert not entry.membership.is_leaving("s1")

    async def test_a_sidecar_learns_from_the_list_that_it_leaves(
        self, autojump_clock: object
    ) -> None:
        """The operators mark a sidecar's VM as leaving. Entries poll the list later than that; if
        the sidecar went on reserving, work would start that its VM's end cuts off."""
        told: list[str] = []
        async with running("sidecar", [OWN, "s2"]) as process:
            process.membership.on_leaving(lambda: told.append("before"))
            assert not process.membership.self_leaving
            process.model.mark_leaving(OWN)
            await process.polled()
            await process.polled()
            process.membership.on_leaving(lambda: told.append("after"))
            assert process.membership.self_leaving
            assert told == ["before", "after"]
            assert not process.peers.dialled


class TestOutage:
    @pytest.mark.parametrize("fault", ["down", "empty"])
    async def test_the_last_good_list_stays(self, autojump_clock: object, fault: str) -> None:
        """The VM list is down, or comes back empty after its own restart. An entry that believed
        it would forget all sidecars and refuse every caller."""
        async with running_entry() as entry:
            if fault == "down":
                entry.model.faults = VmListFaults(down=True)
            else:
                for name in ("s1", "s2", "s3"):
                    entry.model.remove(name)
            for _ in range(10):
                await entry.polled()
            assert {state.vm for state in entry.membership.vms("sidecar")} == {"s1", "s2", "s3"}
            assert entry.peers.linked() == {"s1", "s2", "s3"}
            lost = [item for item in entry.kernel.events.records() if item["name"] == "VmListLost"]
            assert len(lost) == 1

    async def test_links_are_redialled_during_an_outage(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.model.faults = VmListFaults(down=True)
            entry.peers.cut("s2")
            await entry.polled()
            assert "s2" in entry.peers.linked()

    async def test_refused_links_are_dialled_ever_more_rarely(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            entry.peers.refusing.add("s2")
            entry.peers.cut("s2")
            await trio.sleep(100.0)
            assert 20 < entry.peers.dialled["s2"] < 80


class TestLoads:
    async def test_reports_of_standing_links_are_offered(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            await entry.peers.report("s1", LoadReport(running=3))
            [load] = entry.membership.loads()
            assert (load.state.vm, load.report.running) == ("s1", 3)
            assert load.received_s == entry.kernel.clock.now_s()

    async def test_a_report_ends_with_its_link(self, autojump_clock: object) -> None:
        """A sidecar dies and comes back empty. Judged by its last report it would look full, or
        look free while it is gone; requests would go to the wrong places."""
        async with running_entry() as entry:
            await entry.peers.report("s1", LoadReport(running=3))
            entry.peers.restart("s1")
            assert entry.membership.loads() == []
            await entry.polled()
            assert "s1" in entry.peers.linked()
            assert entry.membership.loads() == []

    async def test_a_late_report_of_an_earlier_life_is_dropped(
        self, autojump_clock: object
    ) -> None:
        """A sidecar says that it leaves and is replaced under its name; that report is handled
        after the link to its successor stands. The successor would be shunned for good."""
        async with running_entry() as entry:
            earlier = entry.peers.identity("s1")
            entry.peers.restart("s1")
            await entry.polled()
            await entry.peers.report("s1", LoadReport(leaving=True), earlier)
            assert not entry.membership.is_leaving("s1")
            assert entry.membership.loads() == []


class TestSubset:
    NAMES: ClassVar[list[str]] = [f"sidecar-{number}" for number in range(1500)]
    SIZE = 24

    def test_it_is_stable_when_one_vm_is_replaced(self) -> None:
        """VMs are replaced all day. If each replacement moved many links, entries would dial and
        handshake without end, and what they know of prefixes would be lost."""
        moved = 0
        for owner in range(50):
            before = choose_subset(f"entry-{owner}", self.NAMES, self.SIZE)
            after = choose_subset(f"entry-{owner}", [*self.NAMES[1:], "new"], self.SIZE)
            assert len(after - before) <= 1
            moved += len(after - before)
        assert moved <= 10

    def test_it_spreads_over_the_sidecars(self) -> None:
        load: Counter[str] = Counter()
        for owner in range(340):
            load.update(choose_subset(f"entry-{owner}", self.NAMES, self.SIZE))
        assert max(load.values()) <= 20

    def test_all_when_there_are_fewer(self) -> None:
        assert choose_subset(OWN, ["a", "b"], self.SIZE) == {"a", "b"}

    async def test_links_follow_the_list(self, autojump_clock: object) -> None:
        async with running_entry() as entry:
            assert entry.peers.linked() == {"s1", "s2", "s3"}
            entry.model.mark_leaving("s1")
            entry.model.put(vm_state("s4"))
            await entry.polled()
            assert entry.membership.subset() == {"s2", "s3", "s4"}
            assert "s4" in entry.peers.linked()
