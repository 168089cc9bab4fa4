"""Connections that a listening socket has established and its process hasn't accepted."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

TCP_INFO_QUEUED = struct.Struct("=24xI")
"""Where ``struct tcp_info`` of a listening socket has their number (Linux, ``tcp(7)``)."""


def waiting_connections(listening: trio.socket.SocketType) -> int | None:
    """Return how many connections wait to be accepted; ``None`` if the system doesn't tell."""
    try:
        info = listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_QUEUED.size)
    except OSError:
        return None
    if not isinstance(info, bytes) or len(info) < TCP_INFO_QUEUED.size:
        return None
    (waiting,) = TCP_INFO_QUEUED.unpack(info)
    return int(waiting)
