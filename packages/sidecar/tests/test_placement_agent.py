"""Tests of the sidecar's part of placement: which orders reach the engine."""

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
both_kinds = pytest.mark.parametrize("checks_fencing", [True, False], ids=["checks", "ignores"])


class NoPeers(Service):
    """Links that nothing comes over: the tests hand orders to the agent themselves."""

    name: ClassVar[str] = "peers"

    def on_stream(self, kind: type[Any], handler: Any) -> None:
        pass


class World:
    """One engine with its record; sidecars come and go."""

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
        """Start a sidecar in place of the one before."""
        for scope in self._scopes:
            scope.cancel()
        kernel = Kernel(VM, "dc", seed=len(self._scopes))
        store = FakeWeightStore(self.weight_store)
        kernel.add(PlatformService(FakeKv(self.kv), None, store))  # type: ignore[arg-type]
        kernel.add(NoPeers())
        settings = PlacementAgentSettings(compare_interval_s=COMPARE_S)
        agent = kernel.add(PlacementAgent(settings, self.client, pinned))
        scope = await self._nursery.start(_run, kernel)
        self._scopes.append(scope)
        return agent

    async def begin_tenure(self) -> Tenure:
        """Take the fence as the next holder, after the lease of the one before has lapsed."""
        kernel = Kernel("entry", "dc", seed=9)
        await trio.sleep(LEASE_S + 1.0)
        tenure = await LeaseHolder(kernel, FakeKv(self.kv), KEYS, LEASE_S).acquire()
        assert tenure is not None
        return tenure

    async def record(self, version: str) -> int:
        """Let the next holder write which version the engine is to run; return its fence."""
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
async def open_world(checks_fencing: bool = False) -> AsyncIterator[World]:
    async with trio.open_nursery() as nursery:
        yield World(nursery, checks_fencing)
        nursery.cancel_scope.cancel()


def load(fence: int, version: str) -> PlacementOrder:
    return PlacementOrder(fence, PlacementAction.LOAD, "reader", version)


def unload(fence: int, version: str, needed: str = "") -> PlacementOrder:
    return PlacementOrder(fence, PlacementAction.UNLOAD, "reader", version, needed=needed)


def observe(fence: int) -> PlacementOrder:
    return PlacementOrder(fence, PlacementAction.OBSERVE)


class TestFence:
    @both_kinds
    async def test_an_order_of_a_holder_woken_past_its_lease_is_refused(
        self, autojump_clock: Any, checks_fencing: bool
    ) -> None:
        """A holder is frozen with an order on its way; the next holder changes the version.

        Then the old order arrives: unload the version that now serves. Obeyed, every request to
        this engine would be refused although the record says that it serves.
        """
        async with open_world(checks_fencing) as world:
            old = await world.record("1")
            agent = await world.start_sidecar()
            assert (await agent.obey(observe(old))).state == PlacementState.DONE
            new = await world.record("2")
            assert (await agent.obey(load(new, "2"))).state == PlacementState.DONE
            reply = await agent.obey(unload(old, "2"))
            assert (reply.state, reply.fence) == (PlacementState.OUTDATED, new)
            assert world.models == ("reader@1", "reader@2")

    @both_kinds
    async def test_a_restarted_sidecar_learns_the_fence_before_it_obeys(
        self, autojump_clock: Any, checks_fencing: bool
    ) -> None:
        """A sidecar restarts and has forgotten the highest number; an old order arrives first.

        While the KV service is down nobody can tell old from new, so none is obeyed; afterwards
        the record tells.
        """
        async with open_world(checks_fencing) as world:
            old = await world.record("1")
            new = await world.record("2")
            agent = await world.start_sidecar()
            assert (await agent.obey(load(new, "2"))).state == PlacementState.DONE
            world.kv.set_faults(KvFaults(down=True))
            agent = await world.start_sidecar()
            for fence in (old, new):
                reply = await agent.obey(unload(fence, "2"))
                assert reply.state == PlacementState.FENCE_UNKNOWN
            world.kv.set_faults(KvFaults())
            assert (await agent.obey(unload(old, "2"))).state == PlacementState.OUTDATED
            assert agent.highest_fence == new
            assert world.models == ("reader@1", "reader@2")

    async def test_an_order_overtaken_during_its_load_is_told_so_and_undone(
        self, autojump_clock: Any
    ) -> None:
        """A load is under way when the next holder speaks, whose record wants another version."""
        async with open_world() as world:
            old = await world.record("1")
            agent = await world.start_sidecar()
            replies: list[PlacementReply] = []

            async def order() -> None:
                replies.append(await agent.obey(load(old, "3")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(order)
                await trio.sleep(LOAD_S / 2)
                assert (await agent.obey(observe(old + 1))).state == PlacementState.DONE
            assert replies[0].state == PlacementState.OUTDATED
            assert "reader@3" in world.models
            await trio.sleep(2 * COMPARE_S)
            assert world.models == ("reader@1",)

    async def test_the_last_ready_version_is_not_unloaded(self, autojump_clock: Any) -> None:
        """An order to unload the old version comes although the new one isn't there.

        The engine restarted after the holder's last look: unloading would leave nothing.
        """
        async with open_world() as world:
            fence = await world.record("2")
            agent = await world.start_sidecar()
            reply = await agent.obey(unload(fence, "1", needed="reader@2"))
            assert reply.state == PlacementState.LAST_READY
            assert world.models == ("reader@1",)


class TestComparison:
    async def test_an_old_order_that_reached_the_engine_past_the_agent_is_put_right(
        self, autojump_clock: Any
    ) -> None:
        """An earlier life of the sidecar was frozen with old orders on their way to the engine.

        The engine ignores fencing and carries them out: the old version is back and the new one
        gone. Callers would get answers of a version that no one signed, until the comparison.
        """
        async with open_world() as world:
            await world.record("1")
            new = await world.record("2")
            agent = await world.start_sidecar()
            await trio.sleep(2 * COMPARE_S + LOAD_S)
            # What was never there is loaded when the holder says so, who spreads the loads.
            assert world.models == ("reader@1",)
            await agent.obey(load(new, "2"))
            await agent.obey(unload(new, "1", needed="reader@2"))
            await trio.sleep(2 * COMPARE_S)
            assert world.models == ("reader@2",)
            await world.client.order(EngineOrder(new - 1, "load", "reader", "1"))
            await world.client.order(EngineOrder(new - 1, "unload", "reader", "2"))
            assert world.models == ("reader@1",)
            await trio.sleep(3 * COMPARE_S + LOAD_S)
            assert world.models == ("reader@2",)

    async def test_a_line_that_it_has_not_heard_of_is_not_undone(self, autojump_clock: Any) -> None:
        """The next holder's load ends between two comparisons; the agent knows the old line."""
        async with open_world() as world:
            first = await world.record("1")
            agent = await world.start_sidecar()
            await agent.obey(observe(first))
            await trio.sleep(2 * COMPARE_S)
            new = await world.record("2")
            await agent.obey(load(new, "2"))
            await agent.obey(unload(new, "1", needed="reader@2"))
            await trio.sleep(4 * COMPARE_S)
            assert world.models == ("reader@2",)
            assert world.weight_store.loads == []

    async def test_in_a_kv_outage_nothing_is_put_right(self, autojump_clock: Any) -> None:
        """The record can't be read: the comparison might undo what it hasn't heard of."""
        async with open_world() as world:
            await world.record("1")
            await world.start_sidecar()
            await trio.sleep(2 * COMPARE_S)
            await world.client.order(EngineOrder(0, "load", "reader", "0"))
            world.kv.set_faults(KvFaults(down=True))
            await trio.sleep(4 * COMPARE_S)
            assert world.models == ("reader@1", "reader@0")
            world.kv.set_faults(KvFaults())
            await trio.sleep(2 * COMPARE_S)
            assert world.models == ("reader@1",)

    async def test_an_engine_that_restarts_empty_in_a_kv_outage_is_loaded_again(
        self, autojump_clock: Any
    ) -> None:
        """An engine dies in a long outage and comes back with nothing loaded.

        Left so until the record can be read, the replica would be lost for the whole outage.
        """
        async with open_world() as world:
            await world.record("1")
            await world.start_sidecar()
            await trio.sleep(2 * COMPARE_S)
            world.kv.set_faults(KvFaults(down=True))
            world.engine.placement._models.clear()
            await trio.sleep(2 * COMPARE_S + LOAD_S)
            assert world.models == ("reader@1",)

    async def test_without_a_record_the_engine_is_left_as_it_is(self, autojump_clock: Any) -> None:
        """A deployment without placement: what the operator loaded stays."""
        async with open_world() as world:
            agent = await world.start_sidecar(pinned=("reader",))
            await trio.sleep(4 * COMPARE_S)
            assert world.models == ("reader@1",)
            assert (await agent.obey(observe(0))).is_pinned
