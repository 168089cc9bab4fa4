"""Service kernel: starts named services in dependency order and stops them in reverse."""

from __future__ import annotations

import random
from graphlib import CycleError, TopologicalSorter
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple, TypeVar

import trio

from sassafrastally.core.clock import Clock
from sassafrastally.core.errors import CodedError, error
from sassafrastally.core.events import EventLog, event
from sassafrastally.core.ids import Incarnation, new_incarnation

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

S = TypeVar("S", bound="Service")


@error(1002)
class KernelError(CodedError):
    """Invalid set of services: a name is missing, duplicated or part of a dependency cycle."""


@event(1001)
class ProcessStarted(NamedTuple):
    """All services of the process have started."""

    services: int
    data_centre: str


@event(1002)
class ProcessStopped(NamedTuple):
    """All services of the process have stopped."""


class Service:
    """A component of a process that other services look up by name.

    A service gets its dependencies from the kernel in `start` and may run tasks in the kernel's
    nursery. The kernel calls `stop`, then `finish`, in reverse start order, and then cancels the
    remaining tasks.
    """

    name: ClassVar[str] = ""
    """Name under which other services find this one."""

    needs: ClassVar[tuple[str, ...]] = ()
    """Names of the services that start before this one and stop after it."""

    kernel: Kernel
    """The kernel that runs the service; set when the service is added."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the service; background tasks run in the nursery."""

    async def stop(self) -> None:
        """Finish work in progress and accept no new work."""

    async def finish(self) -> None:
        """End what had to go on until all services have stopped."""

    def status(self) -> dict[str, Any]:
        """Return JSON values for ``sassafrastally status``."""
        return {}


class Kernel:
    """The services of one process.

    Parameters
    ----------
    vm
        Name of the VM.
    data_centre
        Name of the data centre.
    clock
        Clock of the process.
    seed
        Seed of the random number generator; ``None`` uses the system's generator.
    """

    def __init__(
        self, vm: str, data_centre: str, clock: Clock | None = None, seed: int | None = None
    ) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.clock = clock or Clock()
        self.random = random.SystemRandom() if seed is None else random.Random(seed)
        self.incarnation: Incarnation = new_incarnation(self.random)
        self.events = EventLog(vm, self.incarnation, self.clock)
        self.stopping = trio.Event()
        """Set on the first stop request; work in progress is finished first."""
        self.hurrying = trio.Event()
        """Set on the second stop request; services then end work at their stop limit."""
        self._services: dict[str, Service] = {}

    def add(self, service: S) -> S:
        """Add a service and return it.

        Raises
        ------
        KernelError
            If its name is empty or already taken.
        """
        if not service.name or service.name in self._services:
            raise KernelError(f"service name {service.name!r} is empty or already taken")
        service.kernel = self
        self._services[service.name] = service
        return service

    def get(self, name: str, kind: type[S]) -> S:
        """Return the service with a name.

        Raises
        ------
        KernelError
            If there is no service with that name and type.
        """
        found = self._services.get(name)
        if not isinstance(found, kind):
            raise KernelError(f"no service {name!r} of type {kind.__name__}")
        return found

    def services(self) -> Iterator[Service]:
        """Yield the services in the order they were added."""
        yield from self._services.values()

    def has(self, name: str) -> bool:
        """Return whether a service with that name exists."""
        return name in self._services

    def request_stop(self) -> None:
        """Request a stop; `run` returns after the services have stopped.

        A second call tells the services not to wait longer than their stop limit.
        """
        if self.stopping.is_set():
            self.hurrying.set()
        self.stopping.set()

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Start all services, wait for a stop request and stop them in reverse order."""
        order = self._start_order()
        async with trio.open_nursery() as nursery:
            for service in order:
                await service.start(nursery)
            self.events.emit(ProcessStarted(len(order), self.data_centre))
            task_status.started()
            await self.stopping.wait()
            for service in reversed(order):
                await service.stop()
            for service in reversed(order):
                await service.finish()
            self.events.emit(ProcessStopped())
            nursery.cancel_scope.cancel()

    def _start_order(self) -> Sequence[Service]:
        graph = {name: self._checked_needs(service) for name, service in self._services.items()}
        try:
            return [self._services[name] for name in TopologicalSorter(graph).static_order()]
        except CycleError as cause:
            raise KernelError(
                f"services depend on each other in a cycle: {cause.args[1]}"
            ) from cause

    def _checked_needs(self, service: Service) -> tuple[str, ...]:
        for need in service.needs:
            if need not in self._services:
                raise KernelError(f"service {service.name!r} needs {need!r}, which is missing")
        return service.needs
