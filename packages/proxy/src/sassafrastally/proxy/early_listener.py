"""Opens the port for callers before the rest of the program is imported.

Importing takes about 0.2 s of CPU time. While no socket listens, the operating system refuses
callers that reconnect after a restart, and they give up. With the port open, their connections wait
in the accept queue and are served as soon as the process runs. For this reason the module imports
nothing from the project, and instead of `socket` the C module that it wraps: importing `socket`
takes as much CPU time as the start of the interpreter.
"""

from __future__ import annotations

import _socket

BACKLOG = 512
"""Length of the accept queue: enough for all callers of a data centre connecting at once."""


def listen_early(host: str, port: int) -> _socket.socket | None:
    """Return a listening socket, or ``None`` if the port can't be bound yet.

    `socket.socket` takes it over by its file descriptor (``fileno=listener.detach()``).
    """
    listener = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    listener.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        # The regular startup tries again and reports the error.
        listener.close()
        return None
    return listener
