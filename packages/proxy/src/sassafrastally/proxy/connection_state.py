"""State of a connection as the operating system has it, where reads and writes don't tell."""

from __future__ import annotations

import socket

import trio

TCP_CLOSE = 7
"""State of a connection that is gone (``tcp_states.h`` of Linux)."""


def is_reset(stream: trio.abc.Stream) -> bool:
    """Return whether a connection that isn't closed here is gone.

    After the peer has ended its sending side, a reset isn't reported to reads any more: they return
    the end of the stream.
    """
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return False
    try:
        info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return isinstance(info, bytes) and info == bytes([TCP_CLOSE])
