"""What has arrived on a connection and hasn't been read."""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios
from typing import NamedTuple

import trio

TCP_INFO_LAST_RECEIVED = struct.Struct("=52xI")
"""Where ``struct tcp_info`` has the milliseconds since the last data arrived (``tcp(7)``)."""


class UnreadInput(NamedTuple):
    """Input that waits in the buffer of a socket."""

    size_bytes: int = 0
    age_s: float | None = None
    """Time since the last of it arrived; ``None`` without any, or if the system doesn't tell."""


def unread_input(stream: trio.abc.Stream) -> UnreadInput:
    """Return what can be read from a connection, without reading it."""
    if not isinstance(stream, trio.SocketStream):
        return UnreadInput()
    sock = stream.socket
    descriptor = sock.fileno()
    if descriptor < 0:
        return UnreadInput(int(sock.is_readable()))
    buffered = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
    size_bytes = int.from_bytes(buffered, sys.byteorder)
    return UnreadInput(size_bytes, last_received_s(stream) if size_bytes else None)


def is_readable(stream: trio.abc.ReceiveStream) -> bool:
    """Return whether a connection has input or its end; ``False`` if that isn't known."""
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return False
    return bool(stream.socket.is_readable())


def last_received_s(stream: trio.abc.ReceiveStream) -> float | None:
    """Return how long ago the latest data arrived on a connection, read or not.

    It counts from the begin of the connection if there was none; ``None`` if it isn't known.
    """
    if not isinstance(stream, trio.SocketStream):
        return None
    try:
        size_bytes = TCP_INFO_LAST_RECEIVED.size
        info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size_bytes)
    except OSError:
        return None
    if not isinstance(info, bytes) or len(info) < TCP_INFO_LAST_RECEIVED.size:
        return None
    (age_ms,) = TCP_INFO_LAST_RECEIVED.unpack(info)
    return float(age_ms) / 1000
