"""Second handles of trio's sockets."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio


def second_handle(opened: trio.socket.SocketType) -> socket.socket | None:
    """Return a second handle of a socket, whose calls don't take a turn of the event loop each.

    Calls that would wait raise `BlockingIOError`. ``None`` if the socket isn't one of the operating
    system's.
    """
    descriptor = opened.fileno()
    if descriptor < 0:
        return None
    handle = socket.socket(fileno=os.dup(descriptor))
    handle.setblocking(False)
    return handle
