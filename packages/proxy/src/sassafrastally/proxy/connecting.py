"""Opens TCP connections to backend servers, peers and the store."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import SHORTAGES
from sassafrastally.proxy.connection_errors import ConnectionLost
from sassafrastally.proxy.cpu_overload import StepTimeout
from sassafrastally.proxy.socket_options import enable_keepalive

if TYPE_CHECKING:
    from sassafrastally.core import Address


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
    try:
        enable_keepalive(stream)
    except ConnectionLost:
        sock.close()
        raise
    return stream
