"""A network in memory with latency and faults, for tests on trio's mock clock."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import Address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

PIPE_BYTES = 256 * 1024
"""Bytes on their way in one direction of a connection; senders wait beyond it."""

FIRST_FREE_PORT = 40_000


class _Parcel(NamedTuple):
    """Bytes and the time from which the reader may have them."""

    ready_s: float
    data: bytes


class _CutAfter(NamedTuple):
    """A cut once so many more bytes have come."""

    size_bytes: int
    cut: Callable[[], None]


class _Pipe:
    """One direction of a connection."""

    def __init__(self, latency_s: float) -> None:
        self.latency_s = latency_s
        self.is_frozen = False
        self.is_broken = False
        self.is_writer_closed = False
        self.is_reader_closed = False
        self.is_ended = False
        """Whether the reader has got the end of the stream and the writer's next bytes are lost."""
        self.cut_after: _CutAfter | None = None
        self._parcels: deque[_Parcel] = deque()
        self._size_bytes = 0
        self._changed = trio.lowlevel.ParkingLot()

    async def send(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        view = memoryview(data)
        while view:
            self._check_writer()
            room = PIPE_BYTES - self._size_bytes
            if room <= 0:
                await self._changed.park()
                continue
            part, view = bytes(view[:room]), view[room:]
            self._size_bytes += len(part)
            self._parcels.append(_Parcel(trio.current_time() + self.latency_s, part))
            self.wake()
        self._check_writer()

    async def receive(self, max_bytes: int) -> bytes:
        await trio.lowlevel.checkpoint()
        while True:
            if self.is_reader_closed:
                raise trio.ClosedResourceError
            if self.is_broken:
                raise trio.BrokenResourceError("cut")
            if self.is_ended:
                return b""
            if not self.is_frozen:
                if self._parcels and self._parcels[0].ready_s <= trio.current_time():
                    return self._take(max_bytes)
                if self.is_writer_closed and not self._parcels:
                    return b""
            await self._wait()

    async def wait_room(self) -> None:
        await trio.lowlevel.checkpoint()
        while self._size_bytes >= PIPE_BYTES and not self.is_broken:
            await self._changed.park()

    def wake(self) -> None:
        self._changed.unpark_all()

    def break_off(self, *, with_end: bool = False) -> None:
        self.is_ended = with_end
        self.is_broken = not with_end
        self._parcels.clear()
        self.wake()

    async def _wait(self) -> None:
        if self._parcels and not self.is_frozen:
            with trio.move_on_at(self._parcels[0].ready_s):
                await self._changed.park()
        else:
            await self._changed.park()

    def _take(self, max_bytes: int) -> bytes:
        ready_s, data = self._parcels.popleft()
        if self.cut_after is not None:
            max_bytes = min(max_bytes, self.cut_after.size_bytes)
        if len(data) > max_bytes:
            self._parcels.appendleft(_Parcel(ready_s, data[max_bytes:]))
            data = data[:max_bytes]
        self._size_bytes -= len(data)
        self.wake()
        if self.cut_after is not None:
            self.cut_after = self.cut_after._replace(
                size_bytes=self.cut_after.size_bytes - len(data)
            )
            if not self.cut_after.size_bytes:
                self.cut_after.cut()
        return data

    def _check_writer(self) -> None:
        if self.is_writer_closed:
            raise trio.ClosedResourceError
        if self.is_broken or self.is_reader_closed or self.is_ended:
            raise trio.BrokenResourceError("the reader is gone")


class MemoryStream(trio.abc.Stream):
    """One end of a connection in memory."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe) -> None:
        self._incoming = incoming
        self._outgoing = outgoing

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; waits while the pipe is full."""
        await self._outgoing.send(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the pipe has room."""
        await self._outgoing.wait_room()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the bytes that have come, none at the end."""
        return await self._incoming.receive(max_bytes or PIPE_BYTES)

    async def aclose(self) -> None:
        """Close both directions; the peer still reads what is on its way."""
        self._incoming.is_reader_closed = True
        self._outgoing.is_writer_closed = True
        self._incoming.wake()
        self._outgoing.wake()
        await trio.lowlevel.checkpoint()


class _Connection:
    """The two pipes between two VMs."""

    def __init__(self, dialler: str, acceptor: str, latency_s: float) -> None:
        self.vms = frozenset((dialler, acceptor))
        self.pipes = (_Pipe(latency_s), _Pipe(latency_s))
        self._pipe_from = dict(zip((dialler, acceptor), self.pipes, strict=True))

    @property
    def is_over(self) -> bool:
        return all(
            p.is_broken or p.is_ended or (p.is_reader_closed and p.is_writer_closed)
            for p in self.pipes
        )

    def cut(self) -> None:
        """Break both directions; bytes on their way are lost."""
        for pipe in self.pipes:
            pipe.break_off()

    def cut_after(self, sender: str, size_bytes: int, *, with_end: bool) -> None:
        """Cut once so many more bytes of a sender have been read."""
        pipe = self._pipe_from[sender]

        def cut() -> None:
            self.cut()
            pipe.break_off(with_end=with_end)

        if size_bytes:
            pipe.cut_after = _CutAfter(size_bytes, cut)
        else:
            cut()


class _Listener(NamedTuple):
    vm: str
    handler: Callable[[trio.abc.Stream], Awaitable[None]]
    nursery: trio.Nursery


class MemoryNetwork:
    """The network between all VMs of a test.

    Parameters
    ----------
    latency_s
        Time that bytes take one way.
    """

    def __init__(self, latency_s: float = 0.0) -> None:
        self.latency_s = latency_s
        self._listeners: dict[Address, _Listener] = {}
        self._connections: list[_Connection] = []
        self._refused: set[Address] = set()
        self._frozen: set[str] = set()
        self._partitions: set[frozenset[str]] = set()
        self._next_port = FIRST_FREE_PORT

    def host(self, vm: str) -> HostNetwork:
        """Return the network as one VM sees it."""
        return HostNetwork(self, vm)

    def cut(self, a: str, b: str) -> None:
        """Break the connections between two VMs; bytes on their way are lost."""
        for connection in self._live():
            if connection.vms == frozenset((a, b)):
                connection.cut()

    def cut_after(
        self, sender: str, receiver: str, size_bytes: int, *, with_end: bool = False
    ) -> None:
        """Cut two VMs once so many more bytes have come from one of them.

        Parameters
        ----------
        sender, receiver
            The VMs; the bytes on their connections are counted each on its own.
        size_bytes
            Number of bytes that the receiver still gets.
        with_end
            Whether the receiver sees the end of the stream, as of a peer that has closed it,
            instead of a break.
        """
        for connection in self._live():
            if connection.vms == frozenset((sender, receiver)):
                connection.cut_after(sender, size_bytes, with_end=with_end)

    def partition(self, a: str, b: str) -> None:
        """Cut two VMs and let them not connect again until `heal`."""
        self._partitions.add(frozenset((a, b)))
        self.cut(a, b)

    def heal(self, a: str, b: str) -> None:
        """End a partition."""
        self._partitions.discard(frozenset((a, b)))

    def kill(self, vm: str) -> None:
        """Break all connections of a VM and free its addresses, so that a restart can listen."""
        for connection in self._live():
            if vm in connection.vms:
                connection.cut()
        self._listeners = {
            address: listener for address, listener in self._listeners.items() if listener.vm != vm
        }

    def refuse(self, address: Address) -> None:
        """Refuse new connections to an address until `admit`; those that stand stay."""
        self._refused.add(address)

    def admit(self, address: Address) -> None:
        """Take new connections to an address again."""
        self._refused.discard(address)

    def freeze(self, address: Address) -> None:
        """Hold all bytes from and to the VM that listens at an address until `thaw`."""
        self._set_frozen(self._listeners[address].vm, self._frozen.add)

    def thaw(self, address: Address) -> None:
        """Let the held bytes of a frozen VM go on."""
        self._set_frozen(self._listeners[address].vm, self._frozen.discard)

    async def open(self, vm: str, address: Address) -> trio.abc.Stream:
        """Connect a VM to an address."""
        await trio.sleep(2 * self.latency_s)
        listener = self._listeners.get(address)
        if listener is None or address in self._refused:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        if frozenset((vm, listener.vm)) in self._partitions:
            raise ConnectionRefusedError(f"{address} can't be reached from {vm}")
        connection = _Connection(vm, listener.vm, self.latency_s)
        self._connections = [*self._live(), connection]
        self._set_frozen(vm, lambda _: None)
        there, back = connection.pipes
        try:
            listener.nursery.start_soon(listener.handler, MemoryStream(there, back))
        except RuntimeError as cause:
            raise ConnectionRefusedError(f"{address} is closing") from cause
        return MemoryStream(back, there)

    def add_listener(self, address: Address, listener: _Listener) -> Address:
        """Register who accepts at an address and return it; port 0 takes a free one."""
        if address.port == 0:
            address = Address(address.host, self._next_port)
            self._next_port += 1
        if address in self._listeners:
            raise OSError(f"{address} is in use")
        self._listeners[address] = listener
        return address

    def _live(self) -> Iterable[_Connection]:
        return [connection for connection in self._connections if not connection.is_over]

    def _set_frozen(self, vm: str, change: Callable[[str], None]) -> None:
        change(vm)
        for connection in self._live():
            for pipe in connection.pipes:
                pipe.is_frozen = bool(connection.vms & self._frozen)
                pipe.wake()


class HostNetwork:
    """The network as one VM sees it; implements `sassafrastally.core.Network`."""

    def __init__(self, network: MemoryNetwork, vm: str) -> None:
        self._network = network
        self._vm = vm

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Open a stream to an address."""
        return await self._network.open(self._vm, address)

    async def listen(
        self,
        address: Address,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        nursery: trio.Nursery,
        on_shortage: Callable[[str], None] = lambda _: None,
    ) -> Address:
        """Accept streams at an address."""
        return self._network.add_listener(address, _Listener(self._vm, handler, nursery))
