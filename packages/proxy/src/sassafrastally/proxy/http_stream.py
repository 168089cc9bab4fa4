"""One HTTP/1.1 connection: an h11 state machine over a byte stream."""

from __future__ import annotations

import errno
import socket
import struct
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.core import CodedError, error
from sassafrastally.proxy.cpu_overload import StepTimeout

if TYPE_CHECKING:
    from sassafrastally.core import Address

RECEIVE_BYTES = 65_536
"""Maximum number of bytes read from a connection at once: the usual size of a socket buffer."""

CALLER_SEND_BUFFER_BYTES = 65_536
SERVER_RECEIVE_BUFFER_BYTES = 32_768
"""Socket buffers towards callers and from backend servers; Linux doubles both. By default they grow
to several megabytes for a caller that doesn't read, which counts as the entry's memory."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""A peer that loses power or network connectivity sends no reset. TCP keepalive probes after one
second of silence end such a connection after about three seconds, well within the shortest route
time limits."""

LINGER_ZERO = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""

LINGER_OFF = struct.pack("ii", 0, 0)

SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of opening a socket that say nothing about the host to connect to."""


@error(10004)
class ConnectionLost(CodedError):
    """The connection ended or received bytes that aren't valid HTTP."""

    is_refused = False
    """Whether the host refused the connection because no process listens on the port."""
    is_own_shortage = False
    """Whether this process lacked the resources for a connection, so that nothing was tried."""


class HttpStream:
    """A connection that sends and receives h11 events.

    Parameters
    ----------
    stream
        Byte stream of the connection; owned by this object.
    role
        ``h11.CLIENT`` or ``h11.SERVER``.
    header_bytes
        Maximum size of a header.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        role: type[h11.CLIENT] | type[h11.SERVER],
        header_bytes: int = 65_536,
    ) -> None:
        self.stream = stream
        self.http = h11.Connection(role, max_incomplete_event_size=header_bytes)
        self.is_write_incomplete = False
        """Whether a write was cancelled: the peer lacks bytes that h11 counts as sent."""
        self.is_reused = False
        """Whether it has carried a response before."""

    async def receive(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event.

        Raises
        ------
        ConnectionLost
            If the connection is reset.
        h11.RemoteProtocolError
            If the peer sends bytes that aren't valid HTTP.
        """
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                await self.receive_bytes()
            elif event is h11.PAUSED or isinstance(event, h11.Event):
                return event

    async def receive_bytes(self) -> bool:
        """Receive bytes, waiting if necessary; return ``False`` at the end of the stream."""
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
            raise ConnectionLost(f"connection reset while reading: {cause!r}") from cause
        self.http.receive_data(bytes(data))
        return bool(data)

    async def send(self, *events: h11.Event) -> None:
        """Send events in a single write; raises `ConnectionLost`."""
        await self.send_bytes(self.encode(*events))

    def encode(self, *events: h11.Event) -> bytes:
        """Return the bytes of events to send."""
        return b"".join(self.http.send(event) or b"" for event in events)

    async def send_bytes(self, data: bytes) -> None:
        """Send bytes that h11 has encoded; raises `ConnectionLost`."""
        self.is_write_incomplete = True
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
            raise ConnectionLost(f"connection reset while sending: {cause!r}") from cause
        self.is_write_incomplete = False

    def has_unread_input(self) -> bool:
        """Return whether unexpected bytes or the end of the stream can be read from the socket."""
        if self.http.trailing_data[0]:
            return True
        if isinstance(self.stream, trio.SocketStream):
            return self.stream.socket.is_readable()
        return False

    async def close(self) -> None:
        """Close the connection immediately, without a graceful shutdown."""
        await trio.aclose_forcefully(self.stream)

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Choose whether closing the connection, also by the end of the process, resets it."""
        if isinstance(self.stream, trio.SocketStream):
            value = LINGER_ZERO if is_reset else LINGER_OFF
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    async def reset(self) -> None:
        """Close the connection with a reset, which the peer can't take for a regular end."""
        self.set_reset_on_close(True)
        await self.close()


def enable_keepalive(stream: trio.abc.Stream) -> None:
    """Enable TCP keepalive so that the OS closes a connection whose peer has disappeared."""
    if not isinstance(stream, trio.SocketStream):
        return
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def limit_send_buffer(stream: trio.abc.Stream) -> None:
    """Bound what the OS buffers for a caller."""
    if isinstance(stream, trio.SocketStream):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES)


async def connect(
    address: Address, time_limit_s: float, *, receive_buffer_bytes: int = 0
) -> trio.abc.Stream:
    """Open a TCP connection.

    Parameters
    ----------
    address
        Address to connect to.
    time_limit_s
        Longest time until the connection is established.
    receive_buffer_bytes
        Size of the receive buffer; 0 for the OS's default.

    Raises
    ------
    ConnectionLost
        If the connection can't be established in time.
    """

    async def open_socket() -> trio.socket.SocketType:
        sock = trio.socket.socket()
        try:
            if receive_buffer_bytes:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
            await sock.connect((address.host, address.port))
        except BaseException:
            sock.close()
            raise
        return sock

    try:
        sock = await StepTimeout(time_limit_s).read(open_socket)
    except (OSError, trio.TooSlowError) as cause:
        failure = ConnectionLost(f"failed to connect to {address}: {cause!r}")
        failure.is_refused = isinstance(cause, ConnectionRefusedError)
        failure.is_own_shortage = isinstance(cause, OSError) and cause.errno in SHORTAGES
        raise failure from cause
    stream = trio.SocketStream(sock)
    enable_keepalive(stream)
    return stream
