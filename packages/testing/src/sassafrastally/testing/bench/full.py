"""The bench on the real code: entries, links and sidecars over a network in memory."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import trio
from trio.testing import MockClock

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model
from sassafrastally.core.logs import configure_logs
from sassafrastally.entry import CallerRequest, RequestPath
from sassafrastally.serving.prefix import prefix_hashes
from sassafrastally.serving.refusals import Refusal
from sassafrastally.testing.bench.deployment import MODEL, data_centre_of
from sassafrastally.testing.bench.fleet import ENGINE_LOST, RunResult, SyntheticEngine
from sassafrastally.testing.bench.measures import Sample
from sassafrastally.testing.bench.workload import document_text
from sassafrastally.testing.deployment import (
    Deployment as RunningDeployment,
)
from sassafrastally.testing.deployment import (
    DeploymentShape,
    VmSpec,
    key_digest,
)
from sassafrastally.testing.engine_fake import FakeEngine
from sassafrastally.testing.network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.core.settings import Settings
    from sassafrastally.testing.bench.deployment import Deployment
    from sassafrastally.testing.bench.fleet import RunPlan
    from sassafrastally.testing.bench.workload import Arrival

SETTLE_S = 5.0
"""Time for the first load reports, before the arrivals begin."""

OPERATION = "POST /v1/completions"


class BenchDeployment(RunningDeployment):
    """A deployment whose engines take synthetic prompts and whose entries route as planned."""

    def __init__(self, plan: RunPlan, nursery: trio.Nursery, network: MemoryNetwork) -> None:
        super().__init__(_shape(plan), nursery, network)
        self._plan = plan

    async def _start_backend(self, spec: VmSpec) -> None:
        if spec.role != "sidecar" or spec.vm in self.engines:
            return
        model = SyntheticEngine(self._plan.shape, len(self.engines))
        self.engines[spec.vm] = model
        self.engine_clients[spec.vm] = FakeEngine(model)
        self._nursery.start_soon(model.run)

    def _settings(self, spec: VmSpec, listen: str) -> Settings:
        routing = f'[entry]\nrouting_policy = "{self._plan.policy.routing}"\n'
        self.shape = self.shape._replace(extra_settings=routing if spec.role == "entry" else "")
        return super()._settings(spec, listen)


def run_full(plan: RunPlan, arrivals: Sequence[Arrival]) -> RunResult:
    """Run the arrivals over the real entry and sidecar code."""
    configure_logs("error")
    begin = time.perf_counter()
    samples, wasted = trio.run(_simulate, plan, arrivals, clock=MockClock(autojump_threshold=0))
    return RunResult(samples, wasted, time.perf_counter() - begin)


async def _simulate(plan: RunPlan, arrivals: Sequence[Arrival]) -> tuple[list[Sample], int]:
    samples: list[Sample] = []
    network = MemoryNetwork(plan.deployment.between_s)
    async with trio.open_nursery() as nursery:
        fleet = BenchDeployment(plan, nursery, network)
        await fleet.roll(fleet.shape.bundle)
        for spec in fleet.shape.vms:
            await fleet.start(spec.vm)
        await trio.sleep(SETTLE_S)
        if plan.fault == ENGINE_LOST:
            nursery.start_soon(_lose, fleet, plan.duration_s / 2)
        start_s = trio.current_time()
        async with trio.open_nursery() as clients:
            for arrival in arrivals:
                await trio.sleep_until(start_s + arrival.at_s)
                clients.start_soon(_client, fleet, plan, arrival, samples)
        nursery.cancel_scope.cancel()
    return samples, sum(engine.wasted_tokens for engine in fleet.engines.values())


async def _client(
    fleet: BenchDeployment, plan: RunPlan, arrival: Arrival, samples: list[Sample]
) -> None:
    path = fleet.node(f"entry-{arrival.entry}").kernel.get("path", RequestPath)
    latency_s = plan.deployment.client_s
    started_s = trio.current_time()
    await trio.sleep(latency_s)
    first_s = end_s = None
    code = ""
    try:
        async with path.open(_request(arrival, fleet.shape.bundle)) as answer:
            async for _ in answer:
                if first_s is None:
                    first_s = trio.current_time() + latency_s - started_s
        end_s = trio.current_time() + latency_s - started_s
    except Refusal as refusal:
        code = refusal.kind.code
    samples.append(Sample(arrival, first_s, end_s, code))


async def _lose(fleet: BenchDeployment, after_s: float) -> None:
    await trio.sleep(after_s)
    next(iter(fleet.engines.values())).die()


def _request(arrival: Arrival, bundle: Bundle) -> CallerRequest:
    text = document_text(arrival.document)
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": arrival.output_tokens,
        "prompt": text.decode() or f"prompt {arrival.number}",
    }
    return CallerRequest(
        customer=bundle.customers[arrival.customer],
        arrived_s=trio.current_time(),
        time_limit_s=arrival.time_limit_s,
        operation=OPERATION,
        body=json.dumps(body).encode(),
        model=MODEL,
        is_streamed=True,
        prompt_tokens=arrival.prompt_tokens,
        max_output_tokens=arrival.output_tokens,
        prefix_hashes=prefix_hashes(text),
    )


def _shape(plan: RunPlan) -> DeploymentShape:
    deployment = plan.deployment
    sidecars = [
        VmSpec(f"engine-{place}", "sidecar", data_centre_of(place, deployment))
        for place in range(deployment.engines)
    ]
    entries = [
        VmSpec(f"entry-{place}", "entry", data_centre_of(place, deployment))
        for place in range(deployment.entries)
    ]
    return DeploymentShape(
        vms=(*sidecars, *entries),
        bundle=_bundle(deployment, plan),
        engine=plan.shape,
        scheduler=plan.policy.scheduler,
    )


def _bundle(deployment: Deployment, plan: RunPlan) -> Bundle:
    memory_tokens = plan.shape.total_blocks * plan.shape.block_tokens
    customers = tuple(
        Customer(f"customer-{place}", (key_digest(f"key {place}"),), share=share)
        for place, share in enumerate(deployment.customer_shares)
    )
    return Bundle(
        name=deployment.name,
        models=(Model(MODEL, "1", memory_tokens),),
        customers=customers,
        weights=deployment.weights,
        limits=Limits(),
    )
