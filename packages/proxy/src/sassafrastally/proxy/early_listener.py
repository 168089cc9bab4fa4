"""Opens the callers' port before the rest of the program is loaded.

Loading takes about 0.2 s of processor time. While nobody listens, callers that come back after a
restart are turned away by the kernel and give up; with the port open their connections wait in the
accept queue and are served as soon as the process runs. So this module imports nothing of the
project and little of the standard library.
"""

from __future__ import annotations

import socket

BACKLOG = 512
"""Connections that wait to be accepted: a burst of all of a data centre's callers at once."""


def listen_early(host: str, port: int) -> socket.socket | None:
    """Return a listening socket; ``None`` when the port can't be had yet."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        # The regular start tries again and reports the error.
        listener.close()
        return None
    return listener
