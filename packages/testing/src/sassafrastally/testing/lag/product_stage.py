"""The product's entry and sidecars, of which one side can be blocked, on stand-ins of all else."""

from __future__ import annotations

import json
import math
import time
from random import Random
from typing import TYPE_CHECKING

import trio

from sassafrastally.control.assemble import Surroundings
from sassafrastally.control.bundle import Bundle, Customer, Limits, Model, PlainService
from sassafrastally.control.publish import publish_bundle, sign_bundle
from sassafrastally.control.rolling import RollOrder, roll_bundle
from sassafrastally.control.signing import BundleSettings
from sassafrastally.core import TcpNetwork
from sassafrastally.core.settings import load_settings
from sassafrastally.entry import build_entry
from sassafrastally.entry.http import HttpService
from sassafrastally.sidecar import build_sidecar
from sassafrastally.stores import VmState, make_platform
from sassafrastally.testing.deployment import (
    ADMIN_TOKEN,
    ANY_PORT,
    ENGINE_SETTINGS,
    ENTRY_SETTINGS,
    LINK_SECRET,
    RECEIPT_KEY,
    SERVICE_SETTINGS,
    SETTINGS,
    SIDECAR_SETTINGS,
    SIGNER,
    key_digest,
)
from sassafrastally.testing.engine_model import EngineModel, EngineShape
from sassafrastally.testing.engine_server import make_engine_app
from sassafrastally.testing.http_serving import serve_app
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvModel
from sassafrastally.testing.kv_server import make_kv_app
from sassafrastally.testing.lag.backend import Backend, Manner, Run, answer_to
from sassafrastally.testing.lag.callers import Caller, Exchange
from sassafrastally.testing.lag.loop_thread import LoopThread
from sassafrastally.testing.lag.requests import EVENTS, CallerRequest, Kind
from sassafrastally.testing.lag.scene import IDLE_LIMIT_S, PRODUCT_STAGES, STAGES
from sassafrastally.testing.vm_list import VmListModel, make_vm_list_app
from sassafrastally.wire.peers import PeerService

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.core.settings import Settings
    from sassafrastally.stand_ins.caller_requests import ReceivedResponse

HOST = "127.0.0.1"

MODEL = "small"

SERVICE = "calls"

KEY = "a-key"

ENTRY = "entry-1"
SIDECARS = ("model-1", "model-2", "calls-1", "calls-2")

READY_LIMIT_S = 20.0

DRAIN_S = 1.0
"""How long a stopping entry still serves new requests."""

BUNDLE = Bundle(
    name="lags",
    models=(Model(MODEL, "1", 200_000),),
    customers=(Customer("ana", (key_digest(KEY),)),),
    services=(PlainService(SERVICE, idempotent_methods=("PUT",)),),
    limits=Limits(default_time_limit_s=30.0),
)


class ProductRequest(CallerRequest):
    """A call to the plain service, or a streamed completion."""

    def is_answered_by(self, response: ReceivedResponse) -> bool:
        """Return whether a success is the server's whole answer to this request."""
        if not self.kind.is_stream:
            return response.body == answer_to(self.request_id, len(self._body()))
        events = [line for line in response.body.split(b"\n") if line.startswith(b"data: ")]
        return len(events) > 1 and events[-1] == b"data: [DONE]"

    def is_broken_off(self, response: ReceivedResponse) -> bool:
        """Return whether a success says within its body that it isn't whole."""
        return super().is_broken_off(response) or b"event: error\n" in response.body

    def _method_and_target(self) -> tuple[str, str]:
        if self.kind.is_stream:
            return "POST", "/v1/completions"
        return "PUT" if self.kind.may_repeat else "POST", f"/services/{SERVICE}/x"

    def _fields(self) -> dict[str, str]:
        return {
            "Host": "front.example",
            "Authorization": f"Bearer {KEY}",
            "Sassafrastally-Time-Limit-S": f"{self.time_left_s:g}",
            "Sassafrastally-Idempotent": "true" if self.kind.may_repeat else "false",
        }

    def _body(self) -> bytes:
        padding = "x" * self.upload.body_bytes
        if not self.kind.is_stream:
            return f"{self.request_id}{padding}".encode()
        document = {"model": MODEL, "prompt": "duty?", "max_tokens": EVENTS, "stream": True}
        return json.dumps({**document, "marker": self.request_id, "user": padding}).encode()


class ProductStage:
    """Stand-ins, an entry in a thread of its own and all sidecars in another one."""

    entry: LoopThread

    def __init__(self, nursery: trio.Nursery) -> None:
        self.exchanges: list[Exchange] = []
        self.signalled_s = math.inf
        self.lag_at_s: float | None = None
        self.lag_s = 0.0
        self._nursery = nursery
        self._kv = KvModel(Random(0))
        self._vm_list = VmListModel()
        self._engines = [EngineModel(EngineShape(models=(MODEL,)), seed=one) for one in range(2)]
        self._backends = [Backend() for _ in range(2)]
        self._clock_offset_s = trio.current_time() - time.perf_counter()

    async def start(self) -> None:
        """Start stand-ins and sidecars."""
        self._kv_address = await self._nursery.start(serve_app, make_kv_app(self._kv), ANY_PORT)
        app = make_vm_list_app(self._vm_list)
        self._vm_list_address = await self._nursery.start(serve_app, app, ANY_PORT)
        settings = []
        for vm, engine in zip(SIDECARS, self._engines, strict=False):
            await self._nursery.start(engine.run)
            address = await self._nursery.start(serve_app, make_engine_app(engine), ANY_PORT)
            settings.append(self._settings(vm, "sidecar", ENGINE_SETTINGS.format(address=address)))
        for vm, backend in zip(SIDECARS[2:], self._backends, strict=True):
            address = await backend.start(HOST, self._nursery)
            text = SERVICE_SETTINGS.format(name=SERVICE, address=address)
            settings.append(self._settings(vm, "sidecar", text))
        await self._roll(settings[0].get(BundleSettings))
        self.sidecars = LoopThread(lambda: [_make_sidecar(one) for one in settings])
        await self.sidecars.start(self._nursery)
        for kernel in self.sidecars.kernels:
            self._list(kernel, "sidecar")

    async def _roll(self, settings: BundleSettings) -> None:
        kv = FakeKv(self._kv)
        published = await publish_bundle(kv, BUNDLE)
        await sign_bundle(kv, published.digest, SIGNER, settings)
        await roll_bundle(kv, RollOrder(published.digest, 0), SIGNER, settings)

    def _list(self, kernel: Kernel, role: str) -> None:
        address = kernel.get("peers", PeerService).bound_address
        self._vm_list.put(VmState(kernel.vm, role, "dc-1", "region-1", address))

    def _settings(self, vm: str, role: str, more: str) -> Settings:
        text = SETTINGS.replace(
            '[kv]\naddress = "127.0.0.1:1"', f'[kv]\naddress = "{self._kv_address}"'
        )
        text = text.replace('127.0.0.1:1"', f'{self._vm_list_address}"')
        text = text.format(
            role=role,
            vm=vm,
            data_centre="dc-1",
            region="region-1",
            listen="127.0.0.1:0",
            link_secret=LINK_SECRET,
            signer=SIGNER.signer,
            public_key=SIGNER.public_key,
        )
        if role == "sidecar":
            text += SIDECAR_SETTINGS.format(scheduler="lanes")
        return load_settings(text + more, f"{vm}.toml")

    def _entry_settings(self) -> Settings:
        text = ENTRY_SETTINGS.format(receipt_key=RECEIPT_KEY, token_digest=key_digest(ADMIN_TOKEN))
        text = text.replace("[admin]", f"keep_alive_s = {IDLE_LIMIT_S}\n[admin]")
        return self._settings(ENTRY, "entry", f"{text}\n[entry]\ndrain_s = {DRAIN_S}\n")

    async def start_entry(self, stop_s: float) -> None:
        """Start an entry and wait until it serves all kinds of requests."""
        settings = self._entry_settings()
        self.signalled_s = math.inf
        self.entry = LoopThread(lambda: [_make_entry(settings)])
        self.follow(Manner())
        await self.entry.start(self._nursery)
        (kernel,) = self.entry.kernels
        self._address = kernel.get("http", HttpService).bound_address
        self._list(kernel, "entry")
        with trio.fail_after(READY_LIMIT_S):
            for kind in Kind:
                while not await self._is_served(kind):
                    await trio.sleep(0.05)

    async def _is_served(self, kind: Kind) -> bool:
        caller = Caller(self._address, [], ProductRequest)
        ended = await caller.call(kind)
        await caller.hang_up()
        return ended is not None and ended.status == 200

    async def stop_entry(self) -> None:
        """End the entry without a stop."""
        self._vm_list.remove(ENTRY)
        await self.entry.kill()

    @property
    def lagged(self) -> LoopThread:
        """What is blocked."""
        return self.entry

    def caller(self) -> Caller:
        """Return a caller without a connection."""
        return Caller(self._address, self.exchanges, ProductRequest)

    def follow(self, manner: Manner) -> None:
        """Let plain servers answer in a manner from now on."""
        for backend in self._backends:
            backend.manner = manner

    def reload(self) -> None:
        """Change nothing: the product reads its settings once."""

    def silence_engines(self, duration_s: float) -> None:
        """Leave the engines as they are."""

    def stop(self) -> None:
        """Signal the entry to stop, and block a process some time later if the scene has a lag."""
        self.signalled_s = trio.current_time()
        for kernel in self.entry.kernels:
            self.entry.call(kernel.request_stop)
        if self.lag_at_s is not None:
            self._nursery.start_soon(self._block, self.lagged, self.lag_at_s)

    async def _block(self, thread: LoopThread, after_s: float) -> None:
        await trio.sleep(after_s)
        thread.block(self.lag_s)

    def killed_s(self, stop_s: float) -> float:
        """Return infinity: a stopping entry of the product waits for all its requests."""
        return math.inf

    def runs(self) -> list[Run]:
        """Return all requests that servers have got so far."""
        found = [run for backend in self._backends for run in backend.runs]
        for engine in self._engines:
            found += [Run(marker, True, None) for marker in engine.started.elements()]
        return found

    def at(self, perf_s: float) -> float:
        """Return a time of `time.perf_counter` on the clock of callers and servers."""
        return perf_s + self._clock_offset_s


@STAGES.register(PRODUCT_STAGES[0])
class LaggedEntryStage(ProductStage):
    """The product with its entry blocked."""


@STAGES.register(PRODUCT_STAGES[1])
class LaggedSidecarStage(ProductStage):
    """The product with its sidecars blocked, all at the same time."""

    @property
    def lagged(self) -> LoopThread:
        """What is blocked."""
        return self.sidecars


def _make_entry(settings: Settings) -> Kernel:
    return build_entry(settings, Surroundings(make_platform(settings), TcpNetwork()))


def _make_sidecar(settings: Settings) -> Kernel:
    return build_sidecar(settings, Surroundings(make_platform(settings), TcpNetwork()))
