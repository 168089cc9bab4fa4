"""What a scenario acts on: the running deployment, its requests and its rolls."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.control.bundle import Bundle, Customer, Drain, Limits, Model, PlainService
from sassafrastally.core import CodedError, Registry, error
from sassafrastally.testing.deployment import (
    DeploymentShape,
    VmSpec,
    key_digest,
    open_deployment,
)
from sassafrastally.testing.engine_model import EngineShape
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.testing.scenario_sent import MODEL, SERVICE, Asked, Sent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from sassafrastally.core import EventLog
    from sassafrastally.core.events import EventRecord
    from sassafrastally.testing.deployment import Deployment

    Step = Callable[..., Awaitable[None]]

STEPS: Registry[Step] = Registry("step")
"""Steps of the language by the alias of their grammar rule."""

LATENCY_S = 0.002
SETTLE_S = 5.0
"""Time for links and load reports to stand before the story begins."""
ENGINE_BLOCKS = 4096
MAX_CONTEXT_TOKENS = 200_000

_ATTEMPT_EVENTS = ("AttemptReserved", "AttemptCommitted", "AttemptStarted")


@error(9002)
class ScenarioFailed(CodedError):
    """An expectation of a scenario failed."""


class Place(NamedTuple):
    """A VM, by its name or as the server of a request."""

    vm: str = ""
    request: str = ""


class Roll(NamedTuple):
    """What an operator was told of a roll."""

    name: str
    generation: int
    """Generation that it got; 0 when it was not accepted."""
    reason: str = ""


class Stage:
    """The deployment of a scenario and what was done on it.

    Parameters
    ----------
    nursery
        Where the deployment and the callers run.
    seed
        Seed of all processes.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.nursery = nursery
        self.sent: dict[str, Sent] = {}
        self.rolls: list[Roll] = []
        self.stopped: dict[str, trio.Event] = {}
        self.deployment: Deployment
        self._seed = seed
        self._logs: dict[str, list[EventLog]] = {}
        """Events of all lives of a VM's process."""

    async def open(self, entries: int, engines: int, services: int, blocks: int) -> None:
        """Start a deployment and wait until its links stand."""
        vms = [VmSpec(f"engine-{number + 1}", "sidecar") for number in range(engines)]
        vms += [
            VmSpec(f"service-{number + 1}", "sidecar", service=SERVICE)
            for number in range(services)
        ]
        vms += [VmSpec(f"entry-{number + 1}", "entry") for number in range(entries)]
        engine = EngineShape(models=(MODEL,), total_blocks=blocks or ENGINE_BLOCKS)
        shape = DeploymentShape(tuple(vms), make_bundle("first"), engine, seed=self._seed)
        await self.nursery.start(self._hold, shape)
        for vm, node in self.deployment.nodes.items():
            self._logs[vm] = [node.kernel.events]
        await trio.sleep(SETTLE_S)

    async def start(self, vm: str) -> None:
        """Start a VM's process again."""
        node = await self.deployment.start(vm)
        self._logs[vm].append(node.kernel.events)

    def send(self, name: str, asked: Asked, entry: str) -> None:
        """Send a request in the background."""
        node = self.deployment.node(entry)
        sent = self.sent[name] = Sent(asked, node, lambda: self.executions(asked.marker))
        self.nursery.start_soon(sent.run)

    async def roll(self, bundle: Bundle, from_generation: int | None = None) -> None:
        """Roll a bundle and note what the operator was told."""
        try:
            generation = await self.deployment.roll(bundle, from_generation)
        except CodedError as cause:
            self.rolls.append(Roll(bundle.name, 0, str(cause)))
        else:
            self.rolls.append(Roll(bundle.name, generation))

    def request(self, name: str) -> Sent:
        """Return a request that was sent."""
        if name not in self.sent:
            raise ScenarioFailed(f"no request {name!r} was sent")
        return self.sent[name]

    def vm(self, place: Place) -> str:
        """Return the VM that is meant."""
        if place.vm:
            return place.vm
        found = [record["vm"] for record in self.attempt_events(place.request)]
        if not found:
            raise ScenarioFailed(f"no server has heard of {place.request!r}")
        return found[-1]

    def executions(self, marker: str) -> int:
        """Return how often the backend servers began a request, by their own count."""
        ran = sum(engine.started[marker] for engine in self.deployment.engines.values())
        services = self.deployment.services.values()
        return ran + sum(service.executions[marker] for service in services)

    def attempt_events(self, name: str) -> list[EventRecord]:
        """Return what the sidecars noted of a request's attempts, oldest first."""
        request_id = self.request(name).request_id
        if not request_id:
            return []
        where = {"request_id": request_id}
        records = [record for log in self.logs() for record in log.records(where)]
        noted = [record for record in records if record["name"] in _ATTEMPT_EVENTS]
        return sorted(noted, key=lambda record: record["stamp"])

    def logs(self) -> Iterator[EventLog]:
        """Yield the events of all lives of all processes."""
        for logs in self._logs.values():
            yield from logs

    def lives(self) -> dict[str, list[EventLog]]:
        """Return the events of each VM's process, one log a life."""
        return self._logs

    async def _hold(self, shape: DeploymentShape, *, task_status: trio.TaskStatus[None]) -> None:
        async with open_deployment(shape, MemoryNetwork(LATENCY_S)) as self.deployment:
            task_status.started()
            await trio.sleep_forever()


def make_bundle(name: str, drain: Drain = Drain()) -> Bundle:  # noqa: B008
    """Return the scenarios' bundle; those of other names differ in nothing but who leaves."""
    return Bundle(
        name=name,
        models=(Model(MODEL, "1", MAX_CONTEXT_TOKENS),),
        customers=(Customer("counter", (key_digest("counter-key"),)),),
        services=(PlainService(SERVICE, max_concurrent=4),),
        limits=Limits(),
        drain=drain,
    )
