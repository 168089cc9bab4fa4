"""The sidecar service: assembles, runs and stops the sidecar's components."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, cast

import trio

from sassafrastally.control.bundle import Weights
from sassafrastally.control.membership import MembershipService
from sassafrastally.core import Service
from sassafrastally.serving import lanes, naive
from sassafrastally.serving.lanes import lane_probe_tokens
from sassafrastally.serving.scheduling import SCHEDULERS, Work
from sassafrastally.sidecar.admission import Admission
from sassafrastally.sidecar.answer import AnswerStore
from sassafrastally.sidecar.attempts import AttemptTable, CancelReason
from sassafrastally.sidecar.conversation import AttemptStreams
from sassafrastally.sidecar.engine_backend import EngineBackend
from sassafrastally.sidecar.engine_watch import EngineWatch
from sassafrastally.sidecar.events import StopCutWork
from sassafrastally.sidecar.leaving import Leaving
from sassafrastally.sidecar.ledger import Ledger
from sassafrastally.sidecar.plain import PlainBackend
from sassafrastally.sidecar.queue import WorkQueue
from sassafrastally.sidecar.reports import Reports
from sassafrastally.sidecar.runner import Runner
from sassafrastally.wire.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.control.bundle import BundleInForce
    from sassafrastally.control.interfaces import BundleSource
    from sassafrastally.sidecar.engine import Engine
    from sassafrastally.sidecar.plain import Caller
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.link import Peers

_SCHEDULER_MODULES = (lanes, naive)
"""Imported for the side effect of registering their schedulers."""

PROBE_OUTPUT_TOKENS = 1

IDLE_POLL_INTERVAL_S = 0.05
"""Interval at which a stopping process checks whether its work is done."""


class SidecarService(Service):
    """Serves one backend server.

    Parameters
    ----------
    settings
        The sidecar's settings.
    engine
        Client of the model engine; ``None`` when this sidecar has only plain services.
    services
        Clients of the plain services, by name.
    """

    name: ClassVar[str] = "sidecar"
    needs: ClassVar[tuple[str, ...]] = ("peers", "membership", "bundle")

    def __init__(
        self,
        settings: SidecarSettings,
        engine: Engine | None,
        services: Mapping[str, Caller],
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._clients = services
        self.table = AttemptTable(settings)
        self.answers = AnswerStore(settings)
        self.ledger = Ledger()
        self.watch: EngineWatch | None = None
        self.queue: WorkQueue | None = None
        self._engine_backend: EngineBackend | None = None
        self._weights_generation = -1

    async def start(self, nursery: trio.Nursery) -> None:
        """Connect to the engine, free leftovers of an earlier incarnation and accept streams."""
        kernel = self.kernel
        self._bundle = cast("BundleSource", kernel.get("bundle", Service))
        peers = cast("Peers", kernel.get("peers", Service))
        self.leaving = Leaving(kernel)
        self.admission = Admission(
            kernel.clock, self._settings, self.table, self.answers, self.leaving
        )
        runner = Runner(kernel, self._settings, self.table, self.answers)
        self.reports = Reports(self._settings, peers, self.load_report, self.load)
        self.leaving.on_begin = self.reports.request_report
        if self._engine is not None:
            await self._start_engine(self._engine, nursery)
        self.admission.services = {
            name: self._plain_backend(name, client) for name, client in self._clients.items()
        }
        self.attempt_streams = AttemptStreams(
            kernel, self._settings, self.admission, self.table, self.answers, runner, nursery
        )
        self.attempt_streams.register(peers)
        peers.on_link(self.reports.on_link)
        if kernel.has("membership"):
            membership = kernel.get("membership", MembershipService)
            membership.on_leaving(lambda: self.leaving.begin("VM list"))
        nursery.start_soon(self.leaving.watch, "signal", kernel.stopping)
        nursery.start_soon(self.leaving.watch_bundle, self._bundle)
        nursery.start_soon(self.reports.run)
        nursery.start_soon(self._expire_periodically)

    async def stop(self) -> None:
        """Finish reserved and running attempts within the stop time limits.

        Links stay open until this returns, so existing reservations can still be committed and
        answers are still delivered. Attempts unfinished at the limit are cancelled on the engine
        and their readers get an end mark.
        """
        self.leaving.begin("signal")
        await self.reports.send()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_idle, nursery.cancel_scope)
            nursery.start_soon(self._wait_limit, nursery.cancel_scope)
        unfinished = self.table.live
        if not unfinished:
            return
        self.kernel.events.emit(StopCutWork(len(unfinished)))
        for attempt in unfinished:
            attempt.give_up(CancelReason("backend-failed", "the backend server stopped"))
        with trio.move_on_after(self._settings.cancel_limit_s) as scope:
            await self._wait_idle(scope)

    def load_report(self) -> LoadReport:
        """Return the current load with the predicted time to first token of each lane."""
        report = self.load()
        if self.queue is None or self._engine_backend is None:
            return report
        expected = self._engine_backend.expected_work()
        probes = lane_probe_tokens(self._weights())
        prefill_s = self.queue.scheduler.cost.prefill_s(probes[0])
        return report._replace(
            first_token_s=tuple(self._probe_s(tokens, expected) for tokens in probes),
            prefill_tokens_per_s=probes[0] / prefill_s if prefill_s > 0 else 0.0,
        )

    def load(self) -> LoadReport:
        """Return the current load without predictions, which are the expensive part."""
        in_force = self._bundle.in_force
        report = LoadReport(
            services=tuple(self._clients),
            running=sum(1 for attempt in self.table.live if attempt.has_started),
            leaving=self.leaving.is_leaving,
            generation=in_force.generation if in_force else 0,
        )
        if self.watch is None or self._engine_backend is None:
            return report
        expected = self._engine_backend.expected_work()
        return report._replace(
            models=self.watch.models,
            queued_tokens=sum(work.prompt_tokens - work.cached_tokens for work in expected),
            free_blocks=max(0, self.ledger.free_blocks - self._promised_blocks()),
            total_blocks=self.ledger.total_blocks,
            block_tokens=self.ledger.block_tokens,
        )

    def _promised_blocks(self) -> int:
        assert self._engine_backend is not None
        return sum(promise.blocks for promise in self._engine_backend.promises.open())

    async def _start_engine(self, engine: Engine, nursery: trio.Nursery) -> None:
        make = SCHEDULERS.get(self._settings.scheduler)
        self.queue = WorkQueue(
            make(self._weights()),
            self.ledger,
            self.kernel.clock,
            self._settings.dispatch_interval_s,
        )
        self.watch = EngineWatch(self.kernel, self._settings, engine, self.ledger, self.table)
        self.watch.on_change = self._on_engine_change
        self.queue.is_open = lambda: self.watch is not None and self.watch.info is not None
        self._engine_backend = self.admission.engine = EngineBackend(
            self.kernel,
            self._settings,
            engine,
            self.watch,
            self.ledger,
            self.queue,
            self.table,
            self.answers,
        )
        self.queue.promises = self._engine_backend.promises.open
        nursery.start_soon(self.queue.dispatch)
        await nursery.start(self.watch.run)

    def _on_engine_change(self) -> None:
        assert self.queue is not None
        self._apply_weights()
        self.queue.notify_change()

    def _apply_weights(self) -> None:
        """Recreate the scheduler for a new bundle generation, keeping the learned cost model."""
        in_force = self._bundle.in_force
        if in_force is None or in_force.generation == self._weights_generation:
            return
        assert self.queue is not None
        self._weights_generation = in_force.generation
        scheduler = SCHEDULERS.get(self._settings.scheduler)(in_force.bundle.weights)
        scheduler.cost = self.queue.scheduler.cost
        self.queue.scheduler = scheduler

    def _plain_backend(self, name: str, client: Caller) -> PlainBackend:
        own_limits = {service.name: service.max_concurrent for service in self._settings.services}

        def max_concurrent() -> int:
            limits = [own_limits.get(name, 0), _bundle_max_concurrent(self._bundle.in_force, name)]
            return min((limit for limit in limits if limit > 0), default=1)

        return PlainBackend(self.kernel, name, client, max_concurrent, self.table, self.answers)

    async def _expire_periodically(self) -> None:
        while True:
            await trio.sleep(self._settings.describe_interval_s)
            now_s = self.kernel.clock.now_s()
            self.table.expire(now_s)
            self.answers.expire(now_s)
            self.reports.check()

    async def _wait_idle(self, scope: trio.CancelScope) -> None:
        while not self._is_idle():
            await trio.sleep(IDLE_POLL_INTERVAL_S)
        scope.cancel()

    def _is_idle(self) -> bool:
        """Return whether nothing runs and no answer is being read or waits to be fetched.

        An answer whose link was cut exists only here, so its entry gets a grace period to reattach.
        """
        now_s = self.kernel.clock.now_s()
        self.table.expire(now_s)
        if self.table.live or self.answers.has_readers:
            return False
        return not self.answers.has_undelivered_since(now_s - self._settings.reattach_grace_s)

    async def _wait_limit(self, scope: trio.CancelScope) -> None:
        with trio.move_on_after(self._settings.stop_limit_s):
            await self.kernel.hurrying.wait()
            await trio.sleep(self._settings.hurried_stop_limit_s)
        scope.cancel()

    def _weights(self) -> Weights:
        in_force = self._bundle.in_force
        return in_force.bundle.weights if in_force else Weights()

    def _probe_s(self, prompt_tokens: int, expected: list[Work]) -> float:
        assert self.queue is not None
        now_s = self.kernel.clock.now_s()
        probe = Work("", 0, "", prompt_tokens, 0, PROBE_OUTPUT_TOKENS, 0, now_s, now_s + 86_400.0)
        return self.queue.scheduler.predict(probe, expected, self.queue.state()).first_token_s


def _bundle_max_concurrent(in_force: BundleInForce | None, name: str) -> int:
    if in_force is None:
        return 0
    services = {service.name: service for service in in_force.bundle.services}
    return services[name].max_concurrent if name in services else 0
