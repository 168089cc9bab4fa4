"""Fixtures for tests of an entry's request path against scripted sidecars, with a mock clock."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple

import pytest
import trio

from sassafrastally.control.bundle import (
    Bundle,
    BundleInForce,
    Customer,
    Limits,
    Model,
    PlainService,
)
from sassafrastally.control.interfaces import PeerLoad
from sassafrastally.core import Address, Clock, Incarnation, Kernel, Service
from sassafrastally.entry.http import HttpService
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.relay import EVENT_STREAM
from sassafrastally.entry.request import COMPLETIONS, CallerRequest
from sassafrastally.entry.settings import EntrySettings, HttpSettings
from sassafrastally.serving import policies  # noqa: F401
from sassafrastally.serving.outcome import AttemptState
from sassafrastally.stores.interfaces import VmState
from sassafrastally.wire.link import LinkCut, LinkRefused, PeerIdentity, StreamEnded
from sassafrastally.wire.messages import (
    Attach,
    Chunk,
    Commit,
    End,
    LoadReport,
    Message,
    Query,
    QueryReply,
    Reserve,
    Reserved,
)
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

KEY = "a-key-of-yeso-justo"
MODEL = "yeso-small"

CUSTOMER = Customer("yeso-justo", (sha256(KEY.encode()).hexdigest(),))

BUNDLE = Bundle(
    name="uy-sur",
    models=(Model(MODEL, "1", 20_000), Model("dossier", "1", 1_000_000)),
    customers=(
        CUSTOMER,
        Customer("sondrio", (sha256(b"another").hexdigest(),), models=("dossier",)),
    ),
    services=(PlainService("bookings", time_limit_s=20.0),),
    limits=Limits(default_time_limit_s=30.0, max_time_limit_s=60.0, max_body_bytes=100_000),
)


class _Pipe:
    """One direction of a stream; messages in it are lost if the link is cut."""

    def __init__(self) -> None:
        self.sender, self.receiver = trio.open_memory_channel[Message](1000)
        self.close_code = 0
        """Code with which its sender has closed the stream."""

    async def receive(self, is_cut: Callable[[], bool]) -> Message:
        try:
            message = await self.receiver.receive()
        except trio.EndOfChannel:
            raise (LinkCut("cut") if is_cut() else StreamEnded("closed", self.close_code)) from None
        if is_cut():
            raise LinkCut("cut")
        return message


class FakeStream:
    """The entry's end of a stream; the script controls the other end."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.is_cut = False
        self.has_free_stream = True
        self.up, self.down = _Pipe(), _Pipe()

    @property
    def peer(self) -> Any:
        return None

    async def send(self, message: Message) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_cut:
            raise LinkCut("cut")
        if not self.has_free_stream:
            raise TooManyStreams("all streams are open")
        try:
            self.up.sender.send_nowait(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise StreamEnded("closed") from None

    async def receive_ready(self) -> list[Message]:
        return [await self.receive()]

    async def receive(self) -> Message:
        return await self.down.receive(lambda: self.is_cut)

    async def __aenter__(self) -> FakeStream:
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    def close(self, code: int = 0, reason: str = "") -> None:
        self.up.close_code = self.up.close_code or code
        self.up.sender.close()
        self.down.receiver.close()


class SidecarEnd:
    """The end of a stream that a script controls."""

    def __init__(self, stream: FakeStream, log: list[Message]) -> None:
        self._stream = stream
        self._log = log

    async def receive(self) -> Message:
        message = await self._stream.up.receive(lambda: self._stream.is_cut)
        self._log.append(message)
        return message

    async def send(self, *messages: Message) -> None:
        for message in messages:
            try:
                self._stream.down.sender.send_nowait(message)
            except trio.BrokenResourceError:
                raise StreamEnded("closed") from None

    def cut(self) -> None:
        """Cut the link: neither end receives anything more."""
        self._stream.is_cut = True
        self._stream.down.sender.close()
        self._stream.up.sender.close()

    async def body(self, size_bytes: int) -> bytes:
        """Receive a request's body."""
        data = b""
        while len(data) < size_bytes:
            chunk = await self.receive()
            assert isinstance(chunk, Chunk)
            data += chunk.data
        return data


if TYPE_CHECKING:
    Script = Callable[["FakeSidecar", SidecarEnd, Message], Awaitable[None]]


class FakeSidecar:
    """A sidecar that runs one script per stream, and behaves correctly once there are none left."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.incarnation = f"life-1-of-{vm}"
        self.is_down = False
        self.has_streams_left = True
        self.words = ("ha", "ho", "hi")
        self.scripts: list[Script] = []
        self.log: list[Message] = []
        self.ran: list[tuple[str, int]] = []
        """Attempts that have run."""
        self.states: dict[tuple[str, int], AttemptState] = {}
        self.report = LoadReport(
            models=(MODEL, "dossier@1"),
            services=("bookings",),
            free_blocks=1000,
            total_blocks=1000,
            block_tokens=16,
            first_token_s=(0.1, 0.2, 0.3),
            prefill_tokens_per_s=10_000.0,
        )

    @staticmethod
    def chunks(own: tuple[str, int], words: tuple[str, ...], first: int = 0) -> list[Chunk]:
        """Return one chunk for each word."""
        return [Chunk(*own, number, 1, event(word)) for number, word in enumerate(words, first)]

    @staticmethod
    def end(own: tuple[str, int], count: int, outcome: str = "completed", **more: Any) -> End:
        """Return an end mark."""
        fields = {"content_type": EVENT_STREAM, "output_tokens": count, "status": 200, **more}
        return End(*own, outcome=outcome, chunks=count, **fields)

    def of(self, kind: type[Any]) -> list[Any]:
        """Return the messages of a type that were received."""
        return [message for message in self.log if isinstance(message, kind)]

    async def serve(self, stream: FakeStream) -> None:
        end = SidecarEnd(stream, self.log)
        try:
            message = await end.receive()
            script = self.scripts.pop(0) if self.scripts else FakeSidecar.behave
            await script(self, end, message)
        except (LinkCut, StreamEnded):
            return
        finally:
            stream.down.sender.close()

    async def behave(self, end: SidecarEnd, message: Message) -> None:
        """Serve a stream as a correct sidecar does."""
        match message:
            case Reserve():
                await self.accept(end, message)
                await self.answer(end, message)
            case Query():
                await end.send(self.reply(message))
            case Attach():
                await self.replay(end, message)

    async def accept(self, end: SidecarEnd, reserve: Reserve) -> bytes:
        """Confirm the reservation, then receive the commit and the body."""
        own = (reserve.request_id, reserve.attempt)
        await end.send(Reserved(*own, self.incarnation, 0.1, 0.5, 5.0))
        if not reserve.commit_now:
            message = await end.receive()
            if not isinstance(message, Commit):
                raise StreamEnded("given up")
        self.states[own] = AttemptState.COMMITTED
        return await end.body(reserve.body_size_bytes)

    async def answer(self, end: SidecarEnd, reserve: Reserve) -> None:
        """Run the attempt and send its answer."""
        own = (reserve.request_id, reserve.attempt)
        self.ran.append(own)
        words = self.words[reserve.shown_tokens :]
        await end.send(*self.chunks(own, words), self.end(own, len(words)))
        self.states[own] = AttemptState.COMPLETED

    def reply(self, query: Query) -> QueryReply:
        """Answer a query, and void the attempt if the query asks for it."""
        own = (query.request_id, query.attempt)
        if query.incarnation != self.incarnation:
            return QueryReply(*own, self.incarnation, AttemptState.OTHER_INCARNATION)
        state = self.states.get(own, AttemptState.ABSENT)
        if query.void_if_uncommitted and state == AttemptState.ABSENT:
            self.states[own] = AttemptState.VOIDED
        return QueryReply(*own, self.incarnation, state)

    async def replay(self, end: SidecarEnd, attach: Attach) -> None:
        """Send the rest of the answer of a committed attempt."""
        own = (attach.request_id, attach.attempt)
        if own not in self.ran:
            self.ran.append(own)
        chunks = self.chunks(own, self.words)
        await end.send(*chunks[attach.from_sequence :], self.end(own, len(chunks)))


def event(word: str) -> bytes:
    """Return one server-sent event."""
    return b'data: {"w":"' + word.encode() + b'"}\n\n'


class FakeLink:
    def __init__(self, sidecar: FakeSidecar, nursery: trio.Nursery) -> None:
        self._sidecar = sidecar
        self._nursery = nursery
        self.is_up = True
        self.peer = PeerIdentity(
            sidecar.vm, "sidecar", "sala-prado", Incarnation(sidecar.incarnation)
        )

    def open_stream(self) -> FakeStream:
        stream = FakeStream(self._sidecar.vm)
        stream.has_free_stream = self._sidecar.has_streams_left
        self._nursery.start_soon(self._sidecar.serve, stream)
        return stream

    async def call(self, message: Message) -> Message:
        async with self.open_stream() as stream:
            await stream.send(message)
            return await stream.receive()


class FakePeers(Service):
    name: ClassVar[str] = "peers"

    def __init__(self, sidecars: dict[str, FakeSidecar]) -> None:
        self._sidecars = sidecars
        self._nursery: trio.Nursery

    async def start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery

    async def link_to(self, vm: str, address: Address) -> FakeLink:
        await trio.lowlevel.checkpoint()
        sidecar = self._sidecars[vm]
        if sidecar.is_down:
            raise LinkRefused(f"{vm} doesn't answer")
        return FakeLink(sidecar, self._nursery)


class FakeMembership(Service):
    name: ClassVar[str] = "membership"

    def __init__(self, sidecars: dict[str, FakeSidecar]) -> None:
        self._sidecars = sidecars
        self.leaving: set[str] = set()

    def vms(self, role: str) -> list[VmState]:
        address = Address("127.0.0.1", 1)
        return [VmState(vm, role, "sala-prado", "uy-sur", address) for vm in self._sidecars]

    def is_leaving(self, vm: str) -> bool:
        return vm in self.leaving

    def loads(self) -> list[PeerLoad]:
        states = {state.vm: state for state in self.vms("sidecar")}
        now_s = trio.current_time()
        return [PeerLoad(states[vm], each.report, now_s) for vm, each in self._sidecars.items()]


class FakeBundles(Service):
    name: ClassVar[str] = "bundle"

    def __init__(self) -> None:
        self.in_force: BundleInForce | None = BundleInForce(7, "d" * 64, BUNDLE)


class Result(NamedTuple):
    """A complete answer as received by a caller."""

    status: int
    body: bytes


class World:
    """An entry with the sidecars ``s1`` and ``s2``."""

    def __init__(self, settings: EntrySettings) -> None:
        self.sidecars = {vm: FakeSidecar(vm) for vm in ("s1", "s2")}
        self.s1, self.s2 = self.sidecars.values()
        self.kernel = Kernel("e1", "sala-prado", Clock(epoch_s=1e9), seed=1)
        self.kernel.add(FakePeers(self.sidecars))
        self.membership = self.kernel.add(FakeMembership(self.sidecars))
        self.bundles = self.kernel.add(FakeBundles())
        self.path = self.kernel.add(RequestPath(settings))

    def request(self, **fields: Any) -> CallerRequest:
        """Return a request, streamed and idempotent by default."""
        base = CallerRequest(
            customer=CUSTOMER,
            arrived_s=trio.current_time(),
            time_limit_s=30.0,
            operation=COMPLETIONS,
            body=b'{"prompt": "plaster"}',
            model=MODEL,
            is_streamed=True,
            prompt_tokens=10,
            max_output_tokens=10,
        )
        return base._replace(**fields)

    def booking(self, **fields: Any) -> CallerRequest:
        """Return a non-idempotent call to a plain service."""
        call = {"operation": "POST /crews", "model": "", "service": "bookings"}
        return self.request(**{**call, "is_streamed": False, "is_idempotent": False, **fields})

    async def ask(self, request: CallerRequest) -> Result:
        """Return the complete answer; raises `Refusal`."""
        async with self.path.open(request) as answer:
            body = b"".join([data async for data in answer])
            return Result(answer.head.status, body)

    def ran(self) -> int:
        """Return how many attempts ran on all sidecars."""
        return sum(len(sidecar.ran) for sidecar in self.sidecars.values())


@pytest.fixture
def entry_settings() -> EntrySettings:
    return EntrySettings(routing_policy="round-robin", drain_s=3.0)


@pytest.fixture
def http_settings() -> HttpSettings | None:
    """Settings of the HTTP server; modules that need one override this fixture."""
    return None


@pytest.fixture
def claims() -> Service | None:
    """The claim service; modules that need one override this fixture."""
    return None


@pytest.fixture
async def world(
    entry_settings: EntrySettings, http_settings: HttpSettings | None, claims: Service | None
) -> AsyncIterator[World]:
    built = World(entry_settings)
    if claims is not None:
        built.kernel.add(claims)
    if http_settings is not None:
        built.kernel.add(HttpService(http_settings, entry_settings))
    async with trio.open_nursery() as nursery:
        await nursery.start(built.kernel.run)
        yield built
        nursery.cancel_scope.cancel()
