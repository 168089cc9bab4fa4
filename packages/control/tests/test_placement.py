"""The placement holder in whole deployments on the mock clock."""

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
    """A deployment whose processes run placement."""

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
        """Return the distinct sets of models that the engines run."""
        return {engine.placement.models for engine in self.engines.values()}

    async def wait_holder(self) -> str:
        """Wait until an entry holds placement."""
        with trio.fail_after(60.0):
            while not self.holders():
                await trio.sleep(0.5)
        return self.holders()[0]

    async def wait_versions(self, *names: str, limit_s: float = 300.0) -> float:
        """Wait until every engine runs exactly these models; return the time it took."""
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


async def send_request(deployment: Deployment, entry: str = "entry-0") -> str:
    """Send one short request; return the refusal's code, or an empty string if it succeeds."""
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
    async def test_no_request_is_refused_under_steady_load(self, autojump_clock: Any) -> None:
        """An operator rolls a new version while callers send requests.

        Each engine loads the new version in addition to the old one, which is unloaded once the
        new one is ready. If the old version were unloaded first, all engines of a wave would
        refuse requests at once, and callers would get the refusal that no replica serves the model.
        """
        async with deployed() as deployment:
            await deployment.roll(version("1", least=4))
            await deployment.wait_holder()
            refusals: list[str] = []
            least_ready = len(deployment.engines)

            async def load() -> None:
                while True:
                    refusals.append(await send_request(deployment))
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

    async def test_loads_follow_the_rate_of_a_slow_weight_store(self, autojump_clock: Any) -> None:
        """The weight store allows one load every 15 seconds and is down for a while.

        Loads don't exceed that rate, nothing is unloaded before its load, and the change completes.
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
    async def test_engines_are_distributed_and_a_lost_replica_is_replaced(
        self, autojump_clock: Any
    ) -> None:
        """Empty engines get models; if a model's only replica dies, a surplus one replaces it."""
        async with deployed(engines=3, names=()) as deployment:
            await deployment.roll(bundle(Model("a", "1", 9), Model("b", "1", 9)))
            await deployment.wait_holder()
            with trio.fail_after(120.0):
                while sum(len(e.placement.models) for e in deployment.engines.values()) < 3:
                    await trio.sleep(0.5)
            assigned = {vm: e.placement.models for vm, e in deployment.engines.items()}
            assert sorted(assigned.values()) == [("a@1",), ("a@1",), ("b@1",)]
            single_replica = next(vm for vm, names in assigned.items() if names == ("b@1",))
            await deployment.kill(single_replica)
            deployment.vm_list.remove(single_replica)
            with trio.fail_after(120.0):
                while not any(
                    engine.placement.models == ("b@1",)
                    for vm, engine in deployment.engines.items()
                    if vm != single_replica
                ):
                    await trio.sleep(0.5)


class TestFleet:
    async def test_absence_is_measured_from_first_unanswered_poll(
        self, autojump_clock: Any
    ) -> None:
        """There are more sidecars than can be polled in turn within the absence timeout.

        If the timeout were measured from the last reply, all but the most recently polled sidecars
        would count as gone, and the holder would move models between healthy engines.
        """
        silent: set[str] = set()

        class Sender:
            async def observe(self, state: VmState) -> PlacementReply | None:
                return None if state.vm in silent else reply(MODEL)

        fleet = EngineFleet(_FakeMembership(), Sender(), 10.0)  # type: ignore[arg-type]
        for second in range(60):
            await fleet.poll_next(1)
            await trio.sleep(1.0)
            if second == 30:
                silent.add("engine-3")
        assert {view.vm for view in fleet.engines({})} == {
            state.vm for state in _FakeMembership().vms("sidecar") if state.vm != "engine-3"
        }

    async def test_last_ready_replica_is_not_unloaded_on_a_stale_reply(
        self, autojump_clock: Any
    ) -> None:
        """An engine should unload a model because another engine serves it, which has died since.

        According to the stored reply the model has a surplus replica. If it were unloaded on that
        basis, every request for the model would be refused.
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
                return reply("a@1", "b@1")  # Reports success without effect: not ordered again.

        fleet = EngineFleet(_FakeMembership(), Sender(), 10.0)  # type: ignore[arg-type]
        await fleet.poll_next(0)
        kernel = Kernel("one", "dc", seed=1)
        work = PlacementWork(kernel, fleet, Sender(), None, SETTINGS)  # type: ignore[arg-type]
        line = EngineLine("engine-0", (PlacedModel("b", "1", "b@1"),))
        work.update([Model("a", "1", 9), Model("b", "1", 9)], {"engine-0": line})
        late_reply = answers.pop("engine-1")
        await work.advance("engine-0")
        assert orders == []
        answers["engine-1"] = late_reply
        await work.advance("engine-0")
        assert [step.model for step in orders] == ["a"]


def reply(*names: str) -> PlacementReply:
    return PlacementReply("done", 1, names, "general")


class _FakeMembership:
    """Membership with twenty sidecars."""

    def vms(self, role: str) -> list[VmState]:
        return [_STATE._replace(vm=f"engine-{i}") for i in range(20)]

    def is_leaving(self, vm: str) -> bool:
        return False


class TestHolder:
    async def test_successor_of_holder_has_a_higher_fence(self, autojump_clock: Any) -> None:
        """The holder's VM is lost; the other entry takes over when the lease has expired."""
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

    async def test_kv_outage_stops_placement_but_not_serving(self, autojump_clock: Any) -> None:
        """The KV service goes down during a version change.

        The holder can't renew its lease and stops; requests are served throughout. After the
        outage a holder reads the record and completes the change.
        """
        async with deployed() as deployment:
            await deployment.wait_holder()
            await deployment.roll(version("2"))
            await trio.sleep(4.0)
            deployment.kv.set_faults(KvFaults(down=True))
            await trio.sleep(2 * SETTINGS.lease_s)
            assert deployment.holders() == []
            models_in_outage = {vm: e.placement.models for vm, e in deployment.engines.items()}
            assert len(set(models_in_outage.values())) > 1
            for _ in range(10):
                assert await send_request(deployment) == ""
                await trio.sleep(1.0)
            assert {
                vm: e.placement.models for vm, e in deployment.engines.items()
            } == models_in_outage
            deployment.kv.set_faults(KvFaults())
            await deployment.wait_versions("reader@2")


@pytest.fixture(name="kv_model")
def make_kv_model() -> KvModel:
    return KvModel(Random(3))


def make_holder(vm: str, kv: FakeKv) -> tuple[Kernel, LeaseHolder]:
    kernel = Kernel(vm, "dc", seed=len(vm))
    return kernel, LeaseHolder(kernel, kv, KEYS, SETTINGS.lease_s)


class TestLease:
    async def test_concurrent_candidates_get_one_tenure(
        self, autojump_clock: Any, kv_model: KvModel
    ) -> None:
        """Two entries find no holder at the same moment; a compare-and-swap selects one."""
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
    async def test_lost_response_when_raising_the_fence_is_resolved(
        self, autojump_clock: Any, kv_model: KvModel, lost: str
    ) -> None:
        """The response to the write that raises the fence is lost, before or after its effect.

        If the entry treated this as a failure, it would block placement with an unused lease; if
        as a success, it could send orders under a fencing number that it doesn't hold.
        """
        kernel, holder = make_holder("one", FakeKv(kv_model))
        kv = FakeKv(kv_model)
        grant_lease = kv.grant_lease
        faults = KvFaults(**{lost: 1})

        async def grant(time_to_live_s: float, *, purpose: str) -> int:
            lease = await grant_lease(time_to_live_s, purpose=purpose)
            kv_model.set_faults(faults)
            return lease

        kv.grant_lease = grant  # type: ignore[method-assign]
        tenure = await LeaseHolder(kernel, kv, KEYS, SETTINGS.lease_s).acquire()
        assert tenure is not None
        entry = kv_model.range(KEYS.fence)
        assert decode_fence(entry.value).number == tenure.fence == 1
        await tenure.write([KvWrite("sassafrastally/placement/part/00", b"x", -1)])
        assert await holder.acquire() is None

    async def test_holder_resumed_after_its_lease_sends_and_writes_nothing(
        self, autojump_clock: Any, kv_model: KvModel
    ) -> None:
        """A holder is suspended between its decision and its order until its lease has expired.

        The next holder has a higher fencing number. The first one resumes while dialling the
        sidecar. By its own clock the lease has expired, so it sends nothing, and its write of the
        record fails because of the raised fence.
        """
        _, holder = make_holder("one", FakeKv(kv_model))
        suspended = await holder.acquire()
        assert suspended is not None
        link = _SuspendedLink()
        sender = OrderSender(link, suspended, OrderTimes(1.0, 1000.0))  # type: ignore[arg-type]
        with pytest.raises(TenureOver):
            await sender.order(_STATE, Step("engine-0", "load", MODEL, "1"))
        assert link.sent == []
        second = await make_holder("second", FakeKv(kv_model))[1].acquire()
        assert second is not None
        assert second.fence == suspended.fence + 1
        part = "sassafrastally/placement/part/00"
        await second.write([KvWrite(part, b"new", -1)])
        suspended._ended = ""
        with pytest.raises(TenureOver):
            await suspended.write([KvWrite(part, b"old", -1)])
        assert kv_model.range(part).value == b"new"


_STATE = VmState("engine-0", "sidecar", "dc", "region", Address("127.0.0.1", 1))


class _SuspendedLink:
    """Link of a process that is suspended for a minute while dialling."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    async def link_to(self, vm: str, address: Any) -> _SuspendedLink:
        await trio.sleep(60.0)
        return self

    async def call(self, message: Any) -> Any:
        self.sent.append(message)
