"""Options of TCP connections: buffers and the detection of peers that have disappeared."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.connection_errors import ConnectionLost

if TYPE_CHECKING:
    from collections.abc import Sequence

CALLER_SEND_BUFFER_BYTES = 65_536
"""Socket buffer towards a caller; Linux doubles it. By default it grows to several megabytes for a
caller that doesn't read, which counts as the entry's memory."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""A peer that loses power or network connectivity sends no reset. TCP keepalive probes after one
second of silence end such a connection after about three seconds, well within the shortest route
time limits."""


def enable_keepalive(stream: trio.abc.Stream) -> None:
    """Enable TCP keepalive so that the OS closes a connection whose peer has disappeared.

    Raises
    ------
    ConnectionLost
        If the connection has been reset; not every OS tells that here.
    """
    _set_options(
        stream,
        (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        ),
    )


def limit_send_buffer(stream: trio.abc.Stream) -> None:
    """Bound what the OS buffers for a caller; raises `ConnectionLost` as `enable_keepalive`."""
    _set_options(stream, ((socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES),))


def _set_options(stream: trio.abc.Stream, options: Sequence[tuple[int, int, int]]) -> None:
    if not isinstance(stream, trio.SocketStream):
        return
    try:
        for option in options:
            stream.setsockopt(*option)
    except OSError as cause:
        raise ConnectionLost(f"connection lost before its options were set: {cause!r}") from cause
