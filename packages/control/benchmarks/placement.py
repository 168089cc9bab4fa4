"""Measures placement in a whole deployment on the mock clock.

Prints the KV calls per minute that an idle holder, an idle candidate, another entry and the
sidecars make for placement, the duration of a version change with the outcomes of the requests
during it, and the CPU time of the holder's round over many engines.

    python packages/control/benchmarks/placement.py --replicas 20
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

import trio
from trio.testing import MockClock

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model
from sassafrastally.control.placement import PlacementService
from sassafrastally.control.placement_fleet import EngineFleet
from sassafrastally.control.placement_plan import next_lines
from sassafrastally.control.placement_record import PURPOSE
from sassafrastally.control.placement_settings import PlacementSettings
from sassafrastally.control.placement_work import PlacementWork
from sassafrastally.core import Address, Kernel
from sassafrastally.core.logs import configure_logs
from sassafrastally.entry import CallerRequest, RequestPath
from sassafrastally.serving.refusals import Refusal
from sassafrastally.sidecar.placement_agent import PlacementAgent, PlacementAgentSettings
from sassafrastally.stores import PlatformService, VmState
from sassafrastally.testing.deployment import Deployment, DeploymentShape, VmSpec, key_digest
from sassafrastally.testing.engine_model import EngineShape
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.wire.messages import PlacementReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sassafrastally.core import Service

MODEL = "reader"
ENTRIES = 4
SETTLE_S = 60.0
IDLE_S = 600.0
REQUEST_GAP_S = 0.25
SECONDS_PER_MINUTE = 60.0
MODELS = 12
MIN_REPLICAS = 20
ROUNDS = 20


class CountingKv(FakeKv):
    """Fake KV client of one process that counts its calls by purpose."""

    def __init__(self, model: Any) -> None:
        super().__init__(model)
        self.calls: Counter[str] = Counter()

    async def _read(self, method: str, operation: Callable[[], Any], purpose: str) -> Any:
        self.calls[purpose] += 1
        return await super()._read(method, operation, purpose)

    async def _mutate(self, method: str, operation: Callable[[], Any], purpose: str) -> Any:
        self.calls[purpose] += 1
        return await super()._mutate(method, operation, purpose)


class MeasuredDeployment(Deployment):
    """A deployment with placement whose processes count their KV calls."""

    async def _build(self, spec: VmSpec) -> Kernel:
        kernel = await super()._build(spec)
        kernel.get("platform", PlatformService).kv = CountingKv(self.kv)
        service: Service = PlacementService(PlacementSettings())
        if spec.role == "sidecar":
            engine = self.engine_clients.get(spec.vm)
            service = PlacementAgent(PlacementAgentSettings(), engine)
        if not kernel.has(service.name):
            kernel.add(service)
        return kernel

    def calls(self) -> Counter[str]:
        """Return the number of calls for placement so far, by VM."""
        counted = {}
        for vm, node in self.nodes.items():
            kv = node.kernel.get("platform", PlatformService).kv
            assert isinstance(kv, CountingKv)
            counted[vm] = kv.calls[PURPOSE]
        return Counter(counted)

    def fence(self, vm: str) -> int:
        """Return the fencing number under which an entry holds placement."""
        return self.nodes[vm].kernel.get("placement", PlacementService).fence


def make_bundle(version: str) -> Bundle:
    """Return a bundle with one model."""
    model = Model(MODEL, version, 10_000, min_replicas=2)
    return Bundle("bench", (model,), (Customer("one", (key_digest("key"),)),), limits=Limits())


async def measure(replicas: int) -> None:
    """Run the deployment benchmark and print its results."""
    vms = [VmSpec(f"entry-{i}", "entry") for i in range(ENTRIES)]
    vms += [VmSpec(f"engine-{i:04d}", "sidecar") for i in range(replicas)]
    shape = DeploymentShape(tuple(vms), make_bundle("1"), EngineShape(models=(MODEL,)))
    async with trio.open_nursery() as nursery:
        deployment = MeasuredDeployment(shape, nursery, MemoryNetwork(0.001))
        await deployment.roll(shape.bundle)
        for spec in vms:
            await deployment.start(spec.vm)
        await trio.sleep(SETTLE_S)
        await _measure_idle(deployment)
        await _measure_change(deployment)
        nursery.cancel_scope.cancel()


async def _measure_idle(deployment: MeasuredDeployment) -> None:
    before = deployment.calls()
    await trio.sleep(IDLE_S)
    after = deployment.calls()
    print(f"KV calls per minute for placement, idle, over {IDLE_S:.0f} s:")
    for vm, node in deployment.nodes.items():
        if node.spec.role == "entry":
            rate = (after[vm] - before[vm]) * SECONDS_PER_MINUTE / IDLE_S
            print(f"  {vm}{' (holder)' if deployment.fence(vm) else ''}: {rate:.1f}")
    sidecars = sum(after[vm] - before[vm] for vm in deployment.engines)
    print(f"  all sidecars together: {sidecars * SECONDS_PER_MINUTE / IDLE_S:.1f}")


async def _measure_change(deployment: MeasuredDeployment) -> None:
    outcomes: Counter[str] = Counter()
    before = sum(deployment.calls().values())
    began_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_load, deployment, outcomes)
        await deployment.roll(make_bundle("2"))
        expected = (f"{MODEL}@2",)
        while any(one.placement.models != expected for one in deployment.engines.values()):
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    took_s = trio.current_time() - began_s
    calls = sum(deployment.calls().values()) - before
    print(f"version change over {len(deployment.engines)} replicas: {took_s:.1f} s,")
    print(f"  {calls} KV calls for placement, requests by outcome {dict(outcomes)}")


async def _run_load(deployment: MeasuredDeployment, outcomes: Counter[str]) -> None:
    while True:
        outcomes[await _send_request(deployment)] += 1
        await trio.sleep(REQUEST_GAP_S)


async def _send_request(deployment: MeasuredDeployment) -> str:
    path = deployment.node("entry-0").kernel.get("path", RequestPath)
    request = CallerRequest(
        customer=deployment.shape.bundle.customers[0],
        arrived_s=trio.current_time(),
        time_limit_s=20.0,
        operation="POST /v1/completions",
        body=b'{"model": "reader", "stream": true, "max_tokens": 8, "prompt": "plaster?"}',
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
    return "answered"


async def measure_round(engines: int) -> None:
    """Print the CPU time of the holder's round over synthetic engines."""
    states = [
        VmState(f"engine-{i}", "sidecar", "dc", "region", Address("127.0.0.1", 1))
        for i in range(engines)
    ]
    models = [Model(f"model-{i}", "1", 1_000, MIN_REPLICAS) for i in range(MODELS)]

    class FakeMembership:
        def vms(self, _role: str) -> list[VmState]:
            return states

        def is_leaving(self, _vm: str) -> bool:
            return False

    class FakeSender:
        async def observe(self, state: VmState) -> PlacementReply:
            number = int(state.vm.partition("-")[2]) % MODELS
            return PlacementReply("done", 1, (f"model-{number}@1",), "general")

    settings = PlacementSettings()
    fleet = EngineFleet(FakeMembership(), FakeSender(), settings.absent_s)  # type: ignore[arg-type]
    kernel = Kernel("entry", "dc", seed=0)
    work = PlacementWork(kernel, fleet, FakeSender(), None, settings)  # type: ignore[arg-type]
    await fleet.poll_next(0)
    lines = next_lines(models, fleet.engines({}), {}, settings.wave_share)
    began_s = time.process_time()
    for _ in range(ROUNDS):
        await fleet.poll_next(settings.questions_per_round)
        work.update(models, lines)
        work.claim_due()
        fleet.engines(lines)
    idle_s = (time.process_time() - began_s) / ROUNDS
    newer = [model._replace(version="2") for model in models]
    began_s = time.process_time()
    for _ in range(ROUNDS):
        next_lines(newer, fleet.engines(lines), lines, settings.wave_share)
    change_s = (time.process_time() - began_s) / ROUNDS
    print(f"holder's round over {engines} engines: {idle_s * 1000:.1f} ms of CPU time,")
    print(f"  computing the next lines while all engines change: {change_s * 1000:.1f} ms more")


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replicas", type=int, default=20)
    parser.add_argument("--engines", type=int, default=1500)
    options = parser.parse_args()
    configure_logs("error")
    begin_s = time.perf_counter()
    trio.run(partial(measure, options.replicas), clock=MockClock(autojump_threshold=0))
    print(f"wall time of the run: {time.perf_counter() - begin_s:.1f} s")
    trio.run(measure_round, options.engines)


if __name__ == "__main__":
    main()
