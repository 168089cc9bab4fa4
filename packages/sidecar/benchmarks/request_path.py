"""Measure the CPU time that the sidecar spends on the request path, in one process on one core.

Run as ``python packages/sidecar/benchmarks/request_path.py``. The engine is a
stub that costs nothing and the streams are lists, so the figures cover the sidecar alone. Network
links and a real engine add to them.
"""

from __future__ import annotations

import json
import random
import time
from contextlib import asynccontextmanager

import structlog
import trio

from sassafrastally.control.assemble import Surroundings
from sassafrastally.control.membership import MembershipSettings
from sassafrastally.control.signing import BundleSettings
from sassafrastally.core import Address
from sassafrastally.core.secret import Secret
from sassafrastally.core.settings import ProcessSettings, Settings
from sassafrastally.sidecar import SidecarService, SidecarSettings, build_sidecar
from sassafrastally.sidecar.conversation import AttemptStreams
from sassafrastally.sidecar.engine import EngineChunk, EngineInfo, EngineUsage
from sassafrastally.sidecar.placement_agent import PlacementAgentSettings
from sassafrastally.stores import PlatformService
from sassafrastally.stores.settings import VmListSettings
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvModel
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.testing.vm_list import FakeVmList, VmListModel
from sassafrastally.wire.messages import Chunk, Commit, End, Reserve
from sassafrastally.wire.settings import PeerSettings

BODY = json.dumps({"prompt": "x" * 4000, "max_tokens": 8, "stream": True}).encode()
PIECE = json.dumps({"id": "x" * 60, "choices": [{"index": 0, "text": "word "}]}).encode()
ATTEMPTS = 200
CHUNKS = 50_000
RESERVED_AHEAD_COUNTS = (0, 50, 200)


class _Run:
    def __init__(self, chunks):
        self.usage = None
        self._left = chunks

    def __aiter__(self):
        return self

    async def __anext__(self):
        await trio.lowlevel.checkpoint()
        if self._left == 0:
            self.usage = EngineUsage(1000, 0, 8, "stop")
            raise StopAsyncIteration
        self._left -= 1
        return EngineChunk(PIECE, 1)


class _Engine:
    """An engine that answers immediately."""

    chunks = 1

    async def describe(self):
        return EngineInfo("a" * 32, ("small",), 16, 10_000_000, 10_000_000, True)

    @asynccontextmanager
    async def generate(self, request):
        yield _Run(self.chunks)

    async def list_streams(self):
        return []

    async def cache_events(self, after):
        return []

    async def cancel(self, stream_id):
        return True


class _Stream:
    """The entry's side of a stream: delivers the given messages, then blocks."""

    def __init__(self, messages):
        self._messages = messages
        self.sent = 0
        self.end = None

    async def receive(self):
        await trio.lowlevel.checkpoint()
        if self._messages:
            return self._messages.pop(0)
        return await trio.sleep_forever()

    async def send(self, message):
        await trio.lowlevel.checkpoint()
        self.sent += 1
        if isinstance(message, End):
            self.end = message


def _reserve(number, **changes):
    return Reserve(
        request_id=f"{number:032x}",
        attempt=1,
        model="small",
        prompt_tokens=1000,
        max_output_tokens=8,
        time_limit_s=100_000.0,
        body_size_bytes=len(BODY),
        operation="POST /v1/completions",
    )._replace(**changes)


async def _serve(attempt_streams, kernel, number, **changes):
    reserve = _reserve(number, **changes)
    first = [Commit(*reserve[:2], kernel.incarnation, 900.0), Chunk(*reserve[:2], 0, 0, BODY)]
    stream = _Stream(first)
    await attempt_streams.on_reserve(stream, reserve)
    assert stream.end is not None and stream.end.outcome == "completed", stream.end
    return stream


async def _measure(service, kernel, attempt_streams, engine):
    for scheduler in ("naive", "lanes"):
        for waiting in RESERVED_AHEAD_COUNTS:
            await _measure_reservations(service, kernel, attempt_streams, scheduler, waiting)
    engine.chunks = CHUNKS
    start_s = time.process_time()
    stream = await _serve(attempt_streams, kernel, 10**9)
    spent_us = (time.process_time() - start_s) * 1e6
    print(f"{spent_us / CHUNKS:.1f} us for each relayed token, {stream.sent - 2} chunks sent")
    start_s = time.process_time()
    for _ in range(1000):
        service.load_report()
    print(f"{(time.process_time() - start_s) * 1e3:.0f} us for each load report")


async def _measure_reservations(service, kernel, attempt_streams, scheduler, waiting):
    from sassafrastally.control.bundle import Weights
    from sassafrastally.serving.scheduling import SCHEDULERS

    service.queue.scheduler = SCHEDULERS.get(scheduler)(Weights())
    held = [service.admission.reserve(_reserve(10**6 + n)).attempt for n in range(waiting)]
    for attempt in held:
        attempt.lapses_at_s = float("inf")
    base = kernel.random.getrandbits(100)
    start_s = time.process_time()
    for number in range(ATTEMPTS):
        await _serve(attempt_streams, kernel, base + number, idempotent=True)
    spent_s = time.process_time() - start_s
    print(
        f"{scheduler}, {waiting} reserved ahead: {ATTEMPTS / spent_s:.0f} reserve, commit and run"
        f" a second, {spent_s / ATTEMPTS * 1e6:.0f} us each"
    )
    for attempt in held:
        service.table.void(attempt, kernel.clock.now_s())
        service.table._marks.clear()
        service.answers.drop(attempt.key)


async def main():
    sections = {
        "process": ProcessSettings("reader-1", "sala-prado", "uy-sur"),
        "sidecar": SidecarSettings(scheduler="naive"),
        "peer": PeerSettings(Address("10.0.0.1", 7300), Secret("a secret of the fleet")),
        "membership": MembershipSettings(),
        "vm_list": VmListSettings(Address("10.0.0.1", 1)),
        "bundle": BundleSettings(),
        "placement_agent": PlacementAgentSettings(),
    }
    platform = PlatformService(FakeKv(KvModel(random.Random(1))), FakeVmList(VmListModel()))
    network = MemoryNetwork().host("reader-1")
    engine = _Engine()
    kernel = build_sidecar(Settings("sidecar", sections), Surroundings(platform, network), engine)
    service = kernel.get("sidecar", SidecarService)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        attempt_streams = service.attempt_streams
        assert isinstance(attempt_streams, AttemptStreams)
        await _measure(service, kernel, attempt_streams, engine)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    trio.run(main)
