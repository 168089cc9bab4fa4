"""An entry of the users' platform that can be blocked, with a store, servers and callers."""

from __future__ import annotations

import math
import signal
import time
from typing import TYPE_CHECKING

import trio

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.daemon import make_kernel
from sassafrastally.proxy.signal_handling import SignalHandler
from sassafrastally.stand_ins.documents import make_configuration, make_route, make_services
from sassafrastally.stand_ins.platform_fleet import SERVERS_HOST, PlatformFleet
from sassafrastally.testing.lag.backend import Backend, Manner, Run
from sassafrastally.testing.lag.callers import Caller, Exchange
from sassafrastally.testing.lag.judge import HEADER_LIMIT_S
from sassafrastally.testing.lag.loop_thread import LoopThread
from sassafrastally.testing.lag.requests import Kind, PlatformRequest
from sassafrastally.testing.lag.scene import IDLE_LIMIT_S, PLATFORM, STAGES

if TYPE_CHECKING:
    from sassafrastally.core import Address, Kernel
    from sassafrastally.proxy.settings import ProxySettings

MAX_BODY_BYTES = 4_000_000

BACKENDS = 2

ENGINES = 2

READY_LIMIT_S = 10.0

ROUTES = [
    make_route("look", "idempotent", "desk", timeoutMs=15_000),
    make_route("book", "non_idempotent", "desk", maxAttempts=1, timeoutMs=15_000),
    make_route("note", "streaming", "engines", gapGoalMs=250, timeoutMs=15_000),
    make_route("tale", "streaming", "engines", gapGoalMs=250, timeoutMs=15_000, resumable=False),
]


@STAGES.register(PLATFORM)
class PlatformStage:
    """A store, servers and one entry; used for one scene after the other."""

    entry: LoopThread

    def __init__(self, nursery: trio.Nursery) -> None:
        self.exchanges: list[Exchange] = []
        self.signalled_s = math.inf
        self.lag_at_s: float | None = None
        self.lag_s = 0.0
        self._nursery = nursery
        self._fleet = PlatformFleet(nursery)
        self._backends = [Backend() for _ in range(BACKENDS)]
        self._version = 2
        self._clock_offset_s = trio.current_time() - time.perf_counter()

    async def start(self) -> None:
        """Start store and servers."""
        await self._fleet.start_store()
        self._configure()
        for number, backend in enumerate(self._backends):
            record = await backend.start_registered(SERVERS_HOST, self._nursery, "desk")
            self._fleet.store.put(f"servers/desk-{number}", record)
        for number in range(ENGINES):
            await self._fleet.add_replica(f"engine-{number}")

    def _configure(self) -> None:
        document = make_configuration(self._version, routes=ROUTES, services=make_services())
        self._version += 1
        document["limits"] |= {
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": round(HEADER_LIMIT_S * 1000),
            "idleTimeoutMs": round(IDLE_LIMIT_S * 1000),
        }
        self._fleet.configure(document)

    async def start_entry(self, stop_s: float) -> None:
        """Start an entry and wait until it serves all kinds of requests."""
        settings = self._fleet.entry_settings(1)
        bounds = settings.bounds._replace(stop_time_s=stop_s or settings.bounds.stop_time_s)
        self._settings = settings._replace(bounds=bounds)
        self.signalled_s = math.inf
        self.entry = LoopThread(lambda: [self._make_kernel(self._settings)])
        self.follow(Manner())
        await self.entry.start(self._nursery)
        with trio.fail_after(READY_LIMIT_S):
            for kind in Kind:
                while not await self._is_served(kind):
                    await trio.sleep(0.05)

    def _make_kernel(self, settings: ProxySettings) -> Kernel:
        kernel = make_kernel(settings, PlatformDialect(), self._fleet.store_client(1))
        self._signals = SignalHandler(kernel, settings, lambda: settings)
        return kernel

    async def _is_served(self, kind: Kind) -> bool:
        caller = Caller(self._address, [], PlatformRequest)
        ended = await caller.call(kind)
        await caller.hang_up()
        return ended is not None and ended.status == 200

    async def stop_entry(self) -> None:
        """End the entry without a stop."""
        await self.entry.kill()

    @property
    def lagged(self) -> LoopThread:
        """What is blocked: the entry."""
        return self.entry

    @property
    def _address(self) -> Address:
        return self._settings.callers_address

    def caller(self) -> Caller:
        """Return a caller without a connection."""
        return Caller(self._address, self.exchanges, PlatformRequest)

    def follow(self, manner: Manner) -> None:
        """Let plain servers answer in a manner from now on."""
        for backend in self._backends:
            backend.manner = manner

    def reload(self) -> None:
        """Change settings and configuration, with the same contents."""
        self.entry.call(self._signals.handle, signal.SIGHUP)
        self._configure()

    def stop(self) -> None:
        """Signal the entry to stop, and block it some time later if the scene has a lag."""
        self.signalled_s = trio.current_time()
        self.entry.call(self._signals.handle, signal.SIGTERM)
        if self.lag_at_s is not None:
            self._nursery.start_soon(self._block, self.entry, self.lag_at_s)

    async def _block(self, thread: LoopThread, after_s: float) -> None:
        await trio.sleep(after_s)
        thread.block(self.lag_s)

    def killed_s(self, stop_s: float) -> float:
        """Return when the entry is killed; infinite if it doesn't stop."""
        return self.signalled_s + stop_s

    def runs(self) -> list[Run]:
        """Return all requests that servers have got so far."""
        found = [run for backend in self._backends for run in backend.runs]
        for one in self._fleet.received_requests():
            sent_s = one.sent_s if one.finished_s is not None else None
            found.append(Run(one.request_id, one.has_run, sent_s))
        return found

    def silence_engines(self, duration_s: float) -> None:
        """Let engines send nothing for a while from now on."""
        for replica in self._fleet.replicas.values():
            replica.silence.begin(duration_s)

    def at(self, perf_s: float) -> float:
        """Return a time of `time.perf_counter` on the clock of callers and servers."""
        return perf_s + self._clock_offset_s
