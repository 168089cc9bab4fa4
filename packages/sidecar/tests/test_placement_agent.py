"""Tests of the placement agent: which orders reach the engine."""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING, Any, ClassVar

import pytest
import trio

from sassafrastally.control.lease_holder import LeaseHolder, Tenure
from sassafrastally.control.placement_orders import PlacementAction, PlacementState
from sassafrastally.control.placement_plan import EngineLine, PlacedModel
from sassafrastally.control.placement_record import KEYS, write_lines
from sassafrastally.core import Kernel, Service
from sassafrastally.sidecar.engine import EngineOrder
from sassafrastally.sidecar.placement_agent import PlacementAgent, PlacementAgentSettings
from sassafrastally.stores import PlatformService
from sassafrastally.testing.engine_fake import FakeEngine
from sassafrastally.testing.engine_model import EngineModel, EngineShape, EngineTiming
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel
from sassafrastally.testing.weight_store import FakeWeightStore, WeightStoreModel
from sassafrastally.wire.messages import PlacementOrder, PlacementReply

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

VM = "engine-1"
COMPARE_S = 5.0
LOAD_S = 8.0
LEASE_S = 10.0
both_fencing_kinds = pytest.mark.parametrize(
    "checks_fencing", [True, False], ids=["checks", "ignores"]
)


class StubPeers(Service):
    """Peers without links; the tests pass orders to the agent directly."""

    name: ClassVar[str] = "peers"

    def on_stream(self, kind: type[Any], handler: Any) -> None:
        pass


class PlacementRig:
    """One engine with its placement record, and sidecars that can be replaced."""

    def __init__(self, nursery: trio.Nursery, checks_fencing: bool) -> None:
        self.kv = KvModel(Random(5))
        self.weight_store = WeightStoreModel(10.0)
        timing = EngineTiming(load_model_s=LOAD_S)
        shape = EngineShape(("reader@1",), checks_fencing=checks_fencing, timing=timing)
        self.engine = EngineModel(shape)
        self.client = FakeEngine(self.engine)
        self._nursery = nursery
        self._scopes: list[trio.CancelScope] = []
        self._lines: dict[str, EngineLine] = {}

    @property
    def models(self) -> tuple[str, ...]:
        return self.engine.placement.models

    async def start_sidecar(self, pinned: tuple[str, ...] = ()) -> PlacementAgent:
        """Start a sidecar that replaces the previous one."""
        for scope in self._scopes:
            scope.cancel()
        kernel = Kernel(VM, "dc", seed=len(self._scopes))
        store = FakeWeightStore(self.weight_store)
        kernel.add(PlatformService(FakeKv(self.kv), None, store))  # type: ignore[arg-type]
        kernel.add(StubPeers())
        settings = PlacementAgentSettings(compare_interval_s=COMPARE_S)
        agent = kernel.add(PlacementAgent(settings, self.client, pinned))
        scope = await self._nursery.start(_run, kernel)
        self._scopes.append(scope)
        return agent

    async def begin_tenure(self) -> Tenure:
        """Acquire the lease as the next holder, after the previous lease has lapsed."""
        kernel = Kernel("entry", "dc", seed=9)
        await trio.sleep(LEASE_S + 1.0)
        tenure = await LeaseHolder(kernel, FakeKv(self.kv), KEYS, LEASE_S).acquire()
        assert tenure is not None
        return tenure

    async def record(self, version: str) -> int:
        """Record as the next holder which version the engine must run; return the fencing token."""
        tenure = await self.begin_tenure()
        placed = PlacedModel("reader", version, f"reader@{version}")
        lines = {VM: EngineLine(VM, (placed,))}
        await write_lines(tenure, self._lines, lines)
        self._lines = lines
        return tenure.fence


async def _run(kernel: Kernel, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.run)
            task_status.started(scope)


@asynccontextmanager
async def open_rig(checks_fencing: bool = False) -> AsyncIterator[PlacementRig]:
    async with trio.open_nursery() as nursery:
        yield PlacementRig(nursery, checks_fencing)
        nursery.cancel_scope.cancel()


def load(fence: int, version: str) -> PlacementOrder:
    return PlacementOrder(fence, PlacementAction.LOAD, "reader", version)


def unload(fence: int, version: str, needed: str = "") -> PlacementOrder:
    return PlacementOrder(fence, PlacementAction.UNLOAD, "reader", version, needed=needed)


def observe(fence: int) -> PlacementOrder:
    return PlacementOrder(fence, PlacementAction.OBSERVE)


class TestFence:
    @both_fencing_kinds
    async def test_order_of_a_holder_with_a_lapsed_lease_is_rejected(
        self, autojump_clock: Any, checks_fencing: bool
    ) -> None:
        """A lease holder is frozen with an order in transit; the next holder changes the version.

        Then the old order arrives and asks to unload the version now in use. If it were executed,
        this engine would refuse every request although the record says that it serves.
        """
        async with open_rig(checks_fencing) as rig:
            old = await rig.record("1")
            agent = await rig.start_sidecar()
            assert (await agent.obey(observe(old))).state == PlacementState.DONE
            new = await rig.record("2")
            assert (await agent.obey(load(new, "2"))).state == PlacementState.DONE
            reply = await agent.obey(unload(old, "2"))
            assert (reply.state, reply.fence) == (PlacementState.OUTDATED, new)
            assert rig.models == ("reader@1", "reader@2")

    @both_fencing_kinds
    async def test_restarted_sidecar_reads_the_fence_before_executing_orders(
        self, autojump_clock: Any, checks_fencing: bool
    ) -> None:
        """A restarted sidecar has lost the highest fencing token and gets an outdated order first.

        While the KV service is down, outdated and current orders can't be distinguished, so none
        is executed. Afterwards the record provides the highest token.
        """
        async with open_rig(checks_fencing) as rig:
            old = await rig.record("1")
            new = await rig.record("2")
            agent = await rig.start_sidecar()
            assert (await agent.obey(load(new, "2"))).state == PlacementState.DONE
            rig.kv.set_faults(KvFaults(down=True))
            agent = await rig.start_sidecar()
            for fence in (old, new):
                reply = await agent.obey(unload(fence, "2"))
                assert reply.state == PlacementState.FENCE_UNKNOWN
            rig.kv.set_faults(KvFaults())
            assert (await agent.obey(unload(old, "2"))).state == PlacementState.OUTDATED
            assert agent.highest_fence == new
            assert rig.models == ("reader@1", "reader@2")

    async def test_order_superseded_during_its_load_is_reported_and_reverted(
        self, autojump_clock: Any
    ) -> None:
        """The next holder, whose record has another version, sends an order during a load."""
        async with open_rig() as rig:
            old = await rig.record("1")
            agent = await rig.start_sidecar()
            replies: list[PlacementReply] = []

            async def order() -> None:
                replies.append(await agent.obey(load(old, "3")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(order)
                await trio.sleep(LOAD_S / 2)
                assert (await agent.obey(observe(old + 1))).state == PlacementState.DONE
            assert replies[0].state == PlacementState.OUTDATED
            assert "reader@3" in rig.models
            await trio.sleep(2 * COMPARE_S)
            assert rig.models == ("reader@1",)

    async def test_last_ready_version_is_not_unloaded(self, autojump_clock: Any) -> None:
        """An order to unload the old version arrives while the new one is not loaded.

        The engine restarted after the holder last checked it, so unloading would leave no model.
        """
        async with open_rig() as rig:
            fence = await rig.record("2")
            agent = await rig.start_sidecar()
            reply = await agent.obey(unload(fence, "1", needed="reader@2"))
            assert reply.state == PlacementState.LAST_READY
            assert rig.models == ("reader@1",)


class TestComparison:
    async def test_outdated_order_executed_by_the_engine_is_corrected(
        self, autojump_clock: Any
    ) -> None:
        """Outdated orders of an earlier, frozen sidecar incarnation reach the engine late.

        The engine ignores fencing and executes them, so the old version is back and the new one is
        gone. Until the comparison, callers would get answers of a version that is not signed.
        """
        async with open_rig() as rig:
            await rig.record("1")
            new = await rig.record("2")
            agent = await rig.start_sidecar()
            await trio.sleep(2 * COMPARE_S + LOAD_S)
            # Only the lease holder, which staggers loads, orders the first load of a version.
            assert rig.models == ("reader@1",)
            await agent.obey(load(new, "2"))
            await agent.obey(unload(new, "1", needed="reader@2"))
            await trio.sleep(2 * COMPARE_S)
            assert rig.models == ("reader@2",)
            await rig.client.order(EngineOrder(new - 1, "load", "reader", "1"))
            await rig.client.order(EngineOrder(new - 1, "unload", "reader", "2"))
            assert rig.models == ("reader@1",)
            await trio.sleep(3 * COMPARE_S + LOAD_S)
            assert rig.models == ("reader@2",)

    async def test_unseen_newer_line_is_not_reverted(self, autojump_clock: Any) -> None:
        """The next holder's load ends between two comparisons while the agent has the old line."""
        async with open_rig() as rig:
            first = await rig.record("1")
            agent = await rig.start_sidecar()
            await agent.obey(observe(first))
            await trio.sleep(2 * COMPARE_S)
            new = await rig.record("2")
            await agent.obey(load(new, "2"))
            await agent.obey(unload(new, "1", needed="reader@2"))
            await trio.sleep(4 * COMPARE_S)
            assert rig.models == ("reader@2",)
            assert rig.weight_store.loads == []

    async def test_nothing_is_corrected_during_a_kv_outage(self, autojump_clock: Any) -> None:
        """The record can't be read, so a correction might revert a change not seen yet."""
        async with open_rig() as rig:
            await rig.record("1")
            await rig.start_sidecar()
            await trio.sleep(2 * COMPARE_S)
            await rig.client.order(EngineOrder(0, "load", "reader", "0"))
            rig.kv.set_faults(KvFaults(down=True))
            await trio.sleep(4 * COMPARE_S)
            assert rig.models == ("reader@1", "reader@0")
            rig.kv.set_faults(KvFaults())
            await trio.sleep(2 * COMPARE_S)
            assert rig.models == ("reader@1",)

    async def test_engine_restarted_empty_during_a_kv_outage_is_loaded_again(
        self, autojump_clock: Any
    ) -> None:
        """An engine restarts with nothing loaded during a long KV outage.

        If it were not loaded until the record can be read, the replica would be lost for the whole
        outage.
        """
        async with open_rig() as rig:
            await rig.record("1")
            await rig.start_sidecar()
            await trio.sleep(2 * COMPARE_S)
            rig.kv.set_faults(KvFaults(down=True))
            rig.engine.placement._models.clear()
            await trio.sleep(2 * COMPARE_S + LOAD_S)
            assert rig.models == ("reader@1",)

    async def test_engine_without_a_record_is_not_changed(self, autojump_clock: Any) -> None:
        """In a deployment without placement, the models that the operator loaded stay."""
        async with open_rig() as rig:
            agent = await rig.start_sidecar(pinned=("reader",))
            await trio.sleep(4 * COMPARE_S)
            assert rig.models == ("reader@1",)
            assert (await agent.obey(observe(0))).is_pinned
