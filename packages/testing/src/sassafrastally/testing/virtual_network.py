"""A network in memory behind trio's sockets, for programs that run on the mock clock.

Programs open sockets as always; each belongs to the host in whose context it was opened. Bytes and
datagrams take a link's time, and more on a slow one; links can be cut, hosts can end. What a real
network adds beyond that (windows, losses of streams) is left out.
"""

from __future__ import annotations

import errno
import socket
from collections import Counter, deque
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.http_stream import LINGER_ZERO

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from typing_extensions import Buffer

_HOST: ContextVar[str] = ContextVar("virtual_host", default="127.0.0.1")

EPHEMERAL_PORT = 32_768

Name = tuple[str, int]


class _Piece(NamedTuple):
    """Bytes on their way, the end of a direction, or the end of the connection."""

    due_s: float
    data: bytes
    is_end: bool = False
    is_reset: bool = False


class _Way:
    """One direction of a connection."""

    def __init__(self, network: VirtualNetwork, sender: str, receiver: str) -> None:
        self._network = network
        self._hosts = (sender, receiver)
        self._pieces: deque[_Piece] = deque()
        self._news = trio.Event()
        self.is_closed = False
        """The receiver has closed its side."""

    def put(self, data: bytes, *, is_end: bool = False, is_reset: bool = False) -> None:
        earlier_s = self._pieces[-1].due_s if self._pieces else 0.0
        due_s = max(earlier_s, self._network.due_s(self._hosts[0], len(data)))
        self._pieces.append(_Piece(due_s, data, is_end, is_reset))
        self.wake()

    def wake(self) -> None:
        self._news.set()
        self._news = trio.Event()

    def head(self) -> _Piece | None:
        """Return what has arrived."""
        if not self._pieces or self._network.is_cut(*self._hosts):
            return None
        piece = self._pieces[0]
        return piece if piece.due_s <= trio.current_time() else None

    async def take(self, most_bytes: int) -> bytes:
        while (piece := self.head()) is None:
            await self._wait()
        await trio.lowlevel.checkpoint()
        if piece.is_reset:
            raise OSError(errno.ECONNRESET, "reset by the other side")
        if piece.is_end:
            return b""
        self._pieces.popleft()
        if len(piece.data) > most_bytes:
            self._pieces.appendleft(piece._replace(data=piece.data[most_bytes:]))
        return piece.data[:most_bytes]

    async def _wait(self) -> None:
        if self.is_closed:
            raise trio.ClosedResourceError("closed while it was read")
        due_s = self._pieces[0].due_s if self._pieces else float("inf")
        if self._network.is_cut(*self._hosts):
            due_s = float("inf")
        with trio.move_on_at(due_s):
            await self._news.wait()


class VirtualSocket(trio.socket.SocketType):
    """A socket of a virtual host; the calls that trio's streams, listeners and programs make."""

    def __init__(self, network: VirtualNetwork, kind: int) -> None:
        super().__init__()
        self._network = network
        self._kind = kind
        self._name: Name = (_HOST.get(), 0)
        self._peer: Name | None = None
        self._in: _Way | None = None
        self._out: _Way | None = None
        self._accepting: _Accepting | None = None
        self._datagrams: deque[tuple[float, bytes, Name]] = deque()
        self._news = trio.Event()
        self._is_closed = False
        self._has_ended = False
        self._is_reset_on_close = False

    @property
    def type(self) -> socket.SocketKind:
        return socket.SocketKind(self._kind)

    @property
    def family(self) -> socket.AddressFamily:
        return socket.AF_INET

    @property
    def proto(self) -> int:
        return 0

    @property
    def did_shutdown_SHUT_WR(self) -> bool:  # noqa: N802
        return self._has_ended

    def __enter__(self) -> VirtualSocket:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def fileno(self) -> int:
        """Return -1: it has no file descriptor."""
        return -1

    def getsockname(self) -> Name:
        return self._name

    def getpeername(self) -> Name:
        if self._peer is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self._peer

    def setsockopt(self, level: int, optname: int, *value: object) -> None:
        """Take any option; only the linger time has a meaning here."""
        if (level, optname) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self._is_reset_on_close = value == (LINGER_ZERO,)

    def getsockopt(  # type: ignore[override]  # No option here is read as bytes.
        self, level: int, optname: int, buflen: int | None = None
    ) -> int:
        return int(optname == socket.SO_ACCEPTCONN and self._accepting is not None)

    def is_readable(self) -> bool:
        if self._accepting is not None:
            return bool(self._accepting.waiting)
        return self._in is not None and self._in.head() is not None

    async def wait_writable(self) -> None:
        await trio.lowlevel.checkpoint()

    async def bind(self, address: Name) -> None:
        await trio.lowlevel.checkpoint()
        host, port = address[0], address[1] or self._network.free_port()
        self._name = (host, port)
        if self._kind == socket.SOCK_DGRAM:
            self._network.datagram_sockets[self._name] = self
        elif self._name in self._network.accepting:
            raise OSError(errno.EADDRINUSE, f"{self._name} is taken")

    def listen(self, backlog: int = 0) -> None:
        self._accepting = _Accepting()
        self._network.accepting[self._name] = self._accepting

    def dup(self) -> VirtualSocket:
        """Return another holder of a listening socket."""
        other = VirtualSocket(self._network, self._kind)
        other._name, other._accepting = self._name, self._accepting
        if self._accepting is not None:
            self._accepting.holders += 1
        return other

    async def accept(self) -> tuple[VirtualSocket, Name]:
        assert self._accepting is not None
        await trio.lowlevel.checkpoint()
        while not self._accepting.waiting:
            if self._is_closed:
                raise trio.ClosedResourceError("closed while it was listening")
            await self._accepting.news.wait()
        accepted = self._accepting.waiting.popleft()
        return accepted, accepted.getpeername()

    async def connect(self, address: Name) -> None:
        network, here, there = self._network, self._name[0], address[0]
        if here == "127.0.0.1":
            here = there
        await trio.sleep(network.way_s())
        while network.is_cut(here, there) or network.is_cut(there, here) or there in network.dark:
            await network.link_change()
        await trio.sleep(network.way_s())
        accepting = network.accepting.get((there, address[1]))
        if accepting is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nobody listens at {address}")
        self._name = (here, network.free_port())
        self._peer = (there, address[1])
        served = VirtualSocket(network, socket.SOCK_STREAM)
        served._name, served._peer = self._peer, self._name
        self._out = served._in = _Way(network, here, there)
        served._out = self._in = _Way(network, there, here)
        network.ways += [self._out, served._out]
        accepting.waiting.append(served)
        accepting.wake()

    async def send(self, data: Buffer, flags: int = 0, /) -> int:
        await trio.lowlevel.checkpoint()
        if self._is_closed:
            raise trio.ClosedResourceError("closed")
        if self._out is None or self._in is None:
            raise OSError(errno.ENOTCONN, "not connected")
        head = self._in.head()
        if self._out.is_closed and (head is None or head.is_reset):
            raise BrokenPipeError(errno.EPIPE, "closed by the other side")
        sent = bytes(data)
        self._out.put(sent)
        return len(sent)

    async def recv(self, most_bytes: int, flags: int = 0) -> bytes:
        if self._in is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return await self._in.take(most_bytes)

    def shutdown(self, how: int) -> None:
        if not self._has_ended and self._out is not None:
            self._has_ended = True
            self._out.put(b"", is_end=True)

    async def sendto(  # type: ignore[override]  # Programs here give no flags.
        self, data: bytes, address: Name, /
    ) -> int:
        await trio.lowlevel.checkpoint()
        network = self._network
        other = network.datagram_sockets.get((address[0], address[1]))
        is_lost = network.is_cut(self._name[0], address[0]) or network.is_lost()
        if other is not None and not is_lost:
            due_s = network.due_s(self._name[0], len(data))
            other._datagrams.append((due_s, bytes(data), self._name))
            other._wake()
        network.datagram_bytes += len(data)
        network.datagrams_sent[self._name[0], address[0]] += 1
        network.datagram_bytes_sent[self._name[0], address[0]] += len(data)
        return len(data)

    async def recvfrom(self, most_bytes: int, flags: int = 0) -> tuple[bytes, Name]:
        await trio.lowlevel.checkpoint()
        while True:
            if self._is_closed:
                raise trio.ClosedResourceError("closed while it was read")
            due_s = self._datagrams[0][0] if self._datagrams else float("inf")
            if due_s <= trio.current_time():
                _, data, sender = self._datagrams.popleft()
                return data[:most_bytes], sender
            with trio.move_on_at(due_s):
                await self._news.wait()

    def close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._accepting is not None:
            self._accepting.leave(self._network, self._name)
        if self._network.datagram_sockets.get(self._name) is self:
            del self._network.datagram_sockets[self._name]
        self._wake()
        if self._in is not None and self._out is not None:
            # As a kernel does: unread bytes make the end a reset.
            unread = self._in.head()
            has_unread = unread is not None and not unread.is_end
            is_reset = has_unread or self._is_reset_on_close
            self._in.is_closed = True
            self._in.wake()
            if not self._has_ended or is_reset:
                self._out.put(b"", is_end=not is_reset, is_reset=is_reset)
            self._network.forget(self._in, self._out)

    def _wake(self) -> None:
        self._news.set()
        self._news = trio.Event()


class _Accepting:
    """Connections that wait to be accepted at an address."""

    def __init__(self) -> None:
        self.waiting: deque[VirtualSocket] = deque()
        self.news = trio.Event()
        self.holders = 1

    def wake(self) -> None:
        self.news.set()
        self.news = trio.Event()

    def leave(self, network: VirtualNetwork, name: Name) -> None:
        self.holders -= 1
        self.wake()
        if self.holders == 0:
            network.accepting.pop(name, None)
            for waiting in self.waiting:
                waiting.close()


class _Link:
    """A host's way out; what is sent waits for what was sent before."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    def sent_s(self, size_bytes: int) -> float:
        begin_s = max(self._free_s, trio.current_time())
        self._free_s = begin_s + size_bytes / self._bytes_per_s
        return self._free_s


class VirtualNetwork(trio.abc.SocketFactory):
    """All hosts, and the links between them.

    Parameters
    ----------
    random
        Decides which datagrams are lost, and how long each way takes.
    delay_s
        Least time from one host to another.
    jitter_s
        Most time beyond that.
    lost_share
        Share of the datagrams that are lost.
    """

    def __init__(
        self,
        random: Random,
        delay_s: float = 0.0002,
        jitter_s: float = 0.0,
        lost_share: float = 0.0,
    ) -> None:
        self.delay_s = delay_s
        self.jitter_s = jitter_s
        self.lost_share = lost_share
        self.accepting: dict[Name, _Accepting] = {}
        self.datagram_sockets: dict[Name, VirtualSocket] = {}
        self.datagram_bytes = 0
        """Bytes of all datagrams that were sent."""
        self.datagrams_sent: Counter[tuple[str, str]] = Counter()
        """Datagrams that were sent, by sender and receiver."""
        self.datagram_bytes_sent: Counter[tuple[str, str]] = Counter()
        """Bytes of these datagrams."""
        self.dark: set[str] = set()
        """Hosts that answer nothing, not even that a port is closed."""
        self.ways: list[_Way] = []
        self._cut: set[tuple[str, str]] = set()
        self._cut_hosts: set[str] = set()
        self._changed = trio.Event()
        self._links: dict[str, _Link] = {}
        self._random = random
        self._ports = EPHEMERAL_PORT

    def socket(self, family: int = 0, type: int = 0, proto: int = 0) -> VirtualSocket:
        """Open a socket of the host in whose context it is called."""
        return VirtualSocket(self, socket.SOCK_STREAM if type != socket.SOCK_DGRAM else type)

    @contextmanager
    def at_host(self, host: str) -> Iterator[None]:
        """Open sockets at a host, also in tasks that are started here."""
        token = _HOST.set(host)
        try:
            yield
        finally:
            _HOST.reset(token)

    def cut(self, sender: str, receiver: str) -> None:
        """Let nothing pass from one host to another."""
        self._cut.add((sender, receiver))

    def cut_off(self, host: str) -> None:
        """Let nothing pass from and to a host."""
        self._cut_hosts.add(host)

    def heal(self) -> None:
        """Let everything pass again."""
        self._cut.clear()
        self._cut_hosts.clear()
        self.note_change()

    def note_change(self) -> None:
        """Let all who wait for a link look again."""
        self._changed.set()
        self._changed = trio.Event()
        for way in self.ways:
            way.wake()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes between two hosts now."""
        if not self._cut and not self._cut_hosts and not self.dark:
            return False
        hosts = {sender, receiver}
        if hosts & self.dark:
            return True
        if sender == receiver:
            return False
        return (sender, receiver) in self._cut or bool(hosts & self._cut_hosts)

    def way_s(self) -> float:
        """Draw the time from one host to another."""
        return self.delay_s + self.jitter_s * self._random.random()

    def limit_link(self, host: str, bytes_per_s: float) -> None:
        """Let a host send no faster."""
        self._links[host] = _Link(bytes_per_s)

    def due_s(self, sender: str, size_bytes: int) -> float:
        """Return when what a host sends now has arrived."""
        link = self._links.get(sender)
        sent_s = link.sent_s(size_bytes) if link else trio.current_time()
        return sent_s + self.way_s()

    def is_lost(self) -> bool:
        """Draw whether a datagram is lost."""
        return self.lost_share > 0 and self._random.random() < self.lost_share

    def free_port(self) -> int:
        """Return a port that nobody has had."""
        self._ports += 1
        return self._ports

    def forget(self, *ways: _Way) -> None:
        """Forget directions of a connection that was closed."""
        self.ways = [way for way in self.ways if way not in ways]

    async def link_change(self) -> None:
        """Wait until a link changes."""
        await self._changed.wait()
