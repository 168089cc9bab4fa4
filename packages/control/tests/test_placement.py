"""Tests of the placement holder over whole deployments on the mock clock."""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model
from sassafrastally.control.lease_holder import LeaseHolder, TenureOver, decode_fence
from sassafrastally.control.placement import PlacementService
from sassafrastally.control.placement_fleet import EngineFleet
from sassafrastally.control.placement_orders import OrderSender, OrderTimes
from sassafrastally.control.placement_plan import EngineLine, PlacedModel, Step
from sassafrastally.control.placement_record import KEYS
from sassafrastally.control.placement_settings import PlacementSettings
from sassafrastally.control.placement_work import PlacementWork
from sassafrastally.core import Address, Kernel
from sassafrastally.entry import CallerRequest, RequestPath
from sassafrastally.serving.refusals import Refusal
from sassafrastally.sidecar.placement_agent import PlacementAgent, PlacementAgentSettings
from sassafrastally.stores import KvWrite, VmState
from sassafrastally.testing.deployment import Deployment, DeploymentShape, VmSpec, key_digest
from sassafrastally.testing.engine_model import EngineShape
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.wire.messages import PlacementReply

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.core import Service

MODEL = "reader"
SETTINGS = PlacementSettings()


class PlacedDeployment(Deployment):
    """A deployment whose processes take part in placement."""

    async def _build(self, spec: VmSpec) -> Kernel:
        kernel = await super()._build(spec)
        service: Service = PlacementService(SETTINGS)
        if spec.role == "sidecar":
            engine = self.engine_clients.get(spec.vm)
            service = PlacementAgent(PlacementAgentSettings(), engine)
        if not kernel.has(service.name):
            kernel.add(service)
        return kernel

    def holders(self) -> list[str]:
        """Return the entries that hold placement."""
        return [
            vm
            for vm, node in self.nodes.items()
            if node.spec.role == "entry" and node.kernel.get("placement", PlacementService).fence
        ]

    def versions(self) -> set[tuple[str, ...]]:
        """Return what the engines run, without doubles."""
        return {engine.placement.models for engine in self.engines.values()}

    async def wait_holder(self) -> str:
        """Wait until an entry holds placement."""
        with trio.fail_after(60.0):
            while not self.holders():
                await trio.sleep(0.5)
        return self.holders()[0]

    async def wait_versions(self, *names: str, limit_s: float = 300.0) -> float:
        """Wait until every engine runs just these; return how long it took."""
        began_s = trio.current_time()
        with trio.fail_after(limit_s):
            while self.versions() != {names}:
                await trio.sleep(0.25)
        return trio.current_time() - began_s


def bundle(*models: Model) -> Bundle:
    return Bundle(
        "test",
        models or (Model(MODEL, "1", 10_000, 2),),
        (Customer("one", (key_digest("key"),)),),
        limits=Limits(),
    )


def version(number: str, least: int = 2) -> Bundle:
    return bundle(Model(MODEL, number, 10_000, least))


@asynccontextmanager
async def deployed(
    engines: int = 4, entries: int = 2, names: tuple[str, ...] = (MODEL,), **shape: Any
) -> AsyncIterator[PlacedDeployment]:
    vms = [VmSpec(f"entry-{i}", "entry") for i in range(entries)]
    vms += [VmSpec(f"engine-{i}", "sidecar") for i in range(engines)]
    whole = DeploymentShape(tuple(vms), bundle(), EngineShape(models=names, **shape))
    async with trio.open_nursery() as nursery:
        deployment = PlacedDeployment(whole, nursery, MemoryNetwork(0.001))
        await deployment.roll(whole.bundle)
        for spec in vms:
            await deployment.start(spec.vm)
        yield deployment
        nursery.cancel_scope.cancel()


async def ask(deployment: Deployment, entry: str = "entry-0") -> str:
    """Ask one short question; return the refusal's code, empty when it was answered."""
    path = deployment.node(entry).kernel.get("path", RequestPath)
    body = b'{"model": "reader", "stream": true, "max_tokens": 8, "prompt": "plaster?"}'
    request = CallerRequest(
        customer=deployment.shape.bundle.customers[0],
        arrived_s=trio.current_time(),
        time_limit_s=20.0,
        operation="POST /v1/completions",
        body=body,
        model=MODEL,
        is_streamed=True,
        prompt_tokens=10,
        max_output_tokens=8,
    )
    try:
        async with path.open(request) as answer:
            async for _ in answer:
                pass
    except Refusal as refusal:
        return refusal.kind.code
    return ""


class TestVersionChange:
    async def test_under_a_steady_load_no_request_is_refused(self, autojump_clock: Any) -> None:
        """An operator rolls a new version while callers go on asking.

        Each engine loads the new version beside the old one, which goes when the new one is
        ready. Unloaded first, all engines of a wave would refuse at once and callers would be
        told that no replica serves the model.
        """
        async with deployed() as deployment:
            await deployment.roll(version("1", least=4))
            await deployment.wait_holder()
            refusals: list[str] = []
            least_ready = len(deployment.engines)

            async def load() -> None:
                while True:
                    refusals.append(await ask(deployment))
                    await trio.sleep(0.2)

            async def count_ready() -> None:
                nonlocal least_ready
                while True:
                    ready = [e for e in deployment.engines.values() if e.placement.serves(MODEL)]
                    least_ready = min(least_ready, len(ready))
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(load)
                nursery.start_soon(count_ready)
                await trio.sleep(5.0)
                await deployment.roll(version("2", least=4))
                await deployment.wait_versions("reader@2")
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()
            assert len(refusals) > 100
            assert set(refusals) == {""}
            assert least_ready == 4

    async def test_a_slow_weight_store_spreads_the_loads(self, autojump_clock: Any) -> None:
        """The weight store lets one load begin every 15 seconds and is down for a while.

        Nothing is loaded faster than that, nothing is unloaded before, and the change ends.
        """
        async with deployed() as deployment:
            await deployment.wait_holder()
            deployment.weight_store._interval_s = 15.0
            deployment.weight_store.down = True
            await deployment.roll(version("2"))
            await trio.sleep(20.0)
            assert deployment.versions() == {("reader",)}
            deployment.weight_store.down = False
            took_s = await deployment.wait_versions("reader@2", limit_s=600.0)
            assert took_s > 3 * 15.0
            assert deployment.weight_store.loads == ["reader@2"] * 4


class TestModels:
    async def test_engines_are_spread_over_models_and_a_gap_is_filled(
        self, autojump_clock: Any
    ) -> None:
        """Empty engines get models; when the only replica of one dies, a spare takes its place."""
        async with deployed(engines=3, names=()) as deployment:
            await deployment.roll(bundle(Model("a", "1", 9), Model("b", "1", 9)))
            await deployment.wait_holder()
            with trio.fail_after(120.0):
                while sum(len(e.placement.models) for e in deployment.engines.values()) < 3:
                    await trio.sleep(0.5)
            holds = {vm: e.placement.models for vm, e in deployment.engines.items()}
            assert sorted(holds.values()) == [("a@1",), ("a@1",), ("b@1",)]
            only = next(vm for vm, names in holds.items() if names == ("b@1",))
            await deployment.kill(only)
            deployment.vm_list.remove(only)
            with trio.fail_after(120.0):
                while not any(
                    engine.placement.models == ("b@1",)
                    for vm, engine in deployment.engines.items()
                    if vm != only
                ):
                    await trio.sleep(0.5)


class TestFleet:
    async def test_a_sidecar_counts_as_gone_by_its_silence_not_by_its_turn(
        self, autojump_clock: Any
    ) -> None:
        """There are more sidecars than are asked in turn within the time after which one is gone.

        Counted from the last answer, all but the latest ones would count as gone, and the holder
        would move models between engines that answer well.
        """
        silent: set[str] = set()

        class Sender:
            async def observe(self, state: VmState) -> PlacementReply | None:
                return None if state.vm in silent else reply(MODEL)

        fleet = EngineFleet(_Listed(), Sender(), 10.0)  # type: ignore[arg-type]
        for second in range(60):
            await fleet.ask_next(1)
            await trio.sleep(1.0)
            if second == 30:
                silent.add("engine-3")
        assert {view.vm for view in fleet.engines({})} == {
            state.vm for state in _Listed().vms("sidecar") if state.vm != "engine-3"
        }

    async def test_the_last_ready_replica_is_not_given_up_on_an_old_answer(
        self, autojump_clock: Any
    ) -> None:
        """An engine is to give up a model because another one serves it, which has died since.

        By the answer of a while ago the model has a replica to spare; unloaded by that, every
        request for it would be refused.
        """
        orders: list[Step] = []
        answers = {f"engine-{i}": reply("b@1") for i in range(20)}
        answers["engine-0"] = reply("a@1", "b@1")
        answers["engine-1"] = reply("a@1")

        class Sender:
            fence = 1

            async def observe(self, state: VmState) -> PlacementReply | None:
                return answers.get(state.vm)

            async def order(self, state: VmState, step: Step) -> PlacementReply:
                orders.append(step)
                return reply("a@1", "b@1")  # Said to be done and not done: not ordered again.

        fleet = EngineFleet(_Listed(), Sender(), 10.0)  # type: ignore[arg-type]
        await fleet.ask_next(0)
        kernel = Kernel("one", "dc", seed=1)
        work = PlacementWork(kernel, fleet, Sender(), None, SETTINGS)  # type: ignore[arg-type]
        line = EngineLine("engine-0", (PlacedModel("b", "1", "b@1"),))
        work.adopt([Model("a", "1", 9), Model("b", "1", 9)], {"engine-0": line})
        alive = answers.pop("engine-1")
        await work.advance("engine-0")
        assert orders == []
        answers["engine-1"] = alive
        await work.advance("engine-0")
        assert [step.model for step in orders] == ["a"]


def reply(*names: str) -> PlacementReply:
    return PlacementReply("done", 1, names, "general")


class _Listed:
    """A VM list of twenty sidecars."""

    def vms(self, role: str) -> list[VmState]:
        return [_STATE._replace(vm=f"engine-{i}") for i in range(20)]

    def is_leaving(self, vm: str) -> bool:
        return False


class TestHolder:
    async def test_there_is_one_holder_and_its_successor_has_a_higher_fence(
        self, autojump_clock: Any
    ) -> None:
        """The holder's VM is lost; the other entry takes over when the lease has lapsed."""
        async with deployed() as deployment:
            first = await deployment.wait_holder()
            await trio.sleep(30.0)
            assert deployment.holders() == [first]
            await deployment.kill(first)
            await trio.sleep(2 * SETTINGS.lease_s + SETTINGS.attempt_s)
            (second,) = deployment.holders()
            assert deployment.node(second).kernel.get("placement", PlacementService).fence == 2
            await deployment.roll(version("2"))
            await deployment.wait_versions("reader@2")

    async def test_in_an_outage_placement_stands_still_and_serving_goes_on(
        self, autojump_clock: Any
    ) -> None:
        """The KV service goes down while a change of version is under way.

        The holder can't renew its lease and stops; requests are answered throughout. After the
        outage a holder reads the record and ends the change.
        """
        async with deployed() as deployment:
            await deployment.wait_holder()
            await deployment.roll(version("2"))
            await trio.sleep(4.0)
            deployment.kv.set_faults(KvFaults(down=True))
            await trio.sleep(2 * SETTINGS.lease_s)
            assert deployment.holders() == []
            stood = {vm: e.placement.models for vm, e in deployment.engines.items()}
            assert len(set(stood.values())) > 1
            for _ in range(10):
                assert await ask(deployment) == ""
                await trio.sleep(1.0)
            assert {vm: e.placement.models for vm, e in deployment.engines.items()} == stood
            deployment.kv.set_faults(KvFaults())
            await deployment.wait_versions("reader@2")


@pytest.fixture(name="kv_model")
def make_kv_model() -> KvModel:
    return KvModel(Random(3))


def make_holder(vm: str, kv: FakeKv) -> tuple[Kernel, LeaseHolder]:
    kernel = Kernel(vm, "dc", seed=len(vm))
    return kernel, LeaseHolder(kernel, kv, KEYS, SETTINGS.lease_s)


class TestLease:
    async def test_two_candidates_at_once_get_one_tenure(
        self, autojump_clock: Any, kv_model: KvModel
    ) -> None:
        """Two entries find no holder at the same moment; one compare-and-swap decides."""
        kv_model.set_faults(KvFaults(delay_s=0.1))
        tenures = []

        async def acquire(vm: str) -> None:
            try:
                tenures.append(await make_holder(vm, FakeKv(kv_model))[1].acquire())
            except TenureOver:
                tenures.append(None)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(acquire, "one")
            nursery.start_soon(acquire, "three")
        assert sorted(tenure.fence if tenure else 0 for tenure in tenures) == [0, 1]

    @pytest.mark.parametrize("lost", ["lose_answers", "drop_writes"])
    async def test_a_lost_answer_when_taking_the_fence_is_settled(
        self, autojump_clock: Any, kv_model: KvModel, lost: str
    ) -> None:
        """The answer to the write that takes the fence is lost, before or after its effect.

        Taken for a failure, the entry would block placement by a lease that nobody uses; taken
        for a success, it would give orders under a number that isn't its own.
        """
        kernel, holder = make_holder("one", FakeKv(kv_model))
        kv = FakeKv(kv_model)
        asked = kv.grant_lease
        faults = KvFaults(**{lost: 1})

        async def grant(time_to_live_s: float, *, purpose: str) -> int:
            lease = await asked(time_to_live_s, purpose=purpose)
            kv_model.set_faults(faults)
            return lease

        kv.grant_lease = grant  # type: ignore[method-assign]
        tenure = await LeaseHolder(kernel, kv, KEYS, SETTINGS.lease_s).acquire()
        assert tenure is not None
        entry = kv_model.range(KEYS.fence)
        assert decode_fence(entry.value).number == tenure.fence == 1
        await tenure.write([KvWrite("sassafrastally/placement/part/00", b"x", -1)])
        assert await holder.acquire() is None

    async def test_a_frozen_holder_woken_past_its_lease_sends_and_writes_nothing(
        self, autojump_clock: Any, kv_model: KvModel
    ) -> None:
        """A holder is frozen between its decision and its order; its lease lapses meanwhile.

        The next holder has a higher number. The first one wakes inside the dial of the sidecar:
        its own clock tells that the lease is over, so it sends nothing, and a write of its
        record meets the raised fence.
        """
        _, holder = make_holder("one", FakeKv(kv_model))
        frozen = await holder.acquire()
        assert frozen is not None
        link = _FrozenLink()
        sender = OrderSender(link, frozen, OrderTimes(1.0, 1000.0))  # type: ignore[arg-type]
        with pytest.raises(TenureOver):
            await sender.order(_STATE, Step("engine-0", "load", MODEL, "1"))
        assert link.sent == []
        second = await make_holder("second", FakeKv(kv_model))[1].acquire()
        assert second is not None
        assert second.fence == frozen.fence + 1
        part = "sassafrastally/placement/part/00"
        await second.write([KvWrite(part, b"new", -1)])
        frozen._ended = ""
        with pytest.raises(TenureOver):
            await frozen.write([KvWrite(part, b"old", -1)])
        assert kv_model.range(part).value == b"new"


_STATE = VmState("engine-0", "sidecar", "dc", "region", Address("127.0.0.1", 1))


class _FrozenLink:
    """Links of a process that stands still for a minute while it dials."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    async def link_to(self, vm: str, address: Any) -> _FrozenLink:
        await trio.sleep(60.0)
        return self

    async def call(self, message: Any) -> Any:
        self.sent.append(message)
