"""What the end of a stream proves while bytes were still on their way to the peer."""

from __future__ import annotations

import fcntl
import socket
import sys
import termios
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import trio

CLOSED = -1
"""File descriptor of a closed socket."""


class StreamEnd(NamedTuple):
    """State of a connection whose end of the stream has been read.

    The OS reports a reset that follows an end of the stream to no read: the stream looks as if it
    had only ended.
    """

    unacknowledged_bytes: int = 0
    """Bytes that the peer's host hasn't received. Each segment acknowledges what has arrived before
    it was sent, so the peer ended its stream before it had them."""
    error_number: int = 0
    """Error of the connection that no call has returned yet; 0 without one."""

    @property
    def is_regular(self) -> bool:
        """Whether the peer had all bytes and no reset has followed."""
        return not (self.unacknowledged_bytes or self.error_number)


def stream_end(sock: trio.socket.SocketType | socket.socket) -> StreamEnd:
    """Return the state of a connection whose end of the stream has been read."""
    descriptor = sock.fileno()
    if descriptor == CLOSED:
        return StreamEnd()
    unacknowledged = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return StreamEnd(int.from_bytes(unacknowledged, sys.byteorder), int(error_number))
