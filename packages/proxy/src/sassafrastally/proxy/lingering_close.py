"""Closes a caller's connection so that its last answer arrives although the caller goes on sending.

The operating system resets a connection that is closed with unread input, or that receives input
afterwards. It then drops what it hasn't sent yet, and a caller that is still sending gets an error
before it reads the answer (RFC 9112, section 9.6). Therefore only the sending side is closed at
first, and input is discarded until the caller closes its side.
"""

from __future__ import annotations

from functools import partial

import h11
import trio

from sassafrastally.proxy.cpu_overload import read_until
from sassafrastally.proxy.http_stream import RECEIVE_BYTES, HttpStream

MAX_LINGER_S = 10.0
"""How long input is discarded at most."""

MAX_QUIET_S = 2.0
"""How long a caller may neither send anything nor acknowledge what was sent to it."""

MAX_DISCARDED_BYTES = 16_777_216
"""Input that is discarded at most: four times the usual limit of a body."""

CHECK_S = 0.05
"""Interval at which to look whether the caller has acknowledged everything."""


async def linger(connection: HttpStream) -> None:
    """Wait until a connection can be closed without a loss of what was sent on it.

    Returns at once if the connection is to be reset, or if its peer has sent a whole request and
    acknowledged the answer. A caller that doesn't stop to send is cut after the bounds above.

    Parameters
    ----------
    connection
        A connection with an answer after which it is closed.
    """
    stream = connection.stream
    if not isinstance(stream, trio.SocketStream) or not _has_to_wait(connection):
        return
    try:
        await stream.send_eof()
        await _discard_input(connection, stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


def _has_to_wait(connection: HttpStream) -> bool:
    if connection.is_reset_on_close or connection.http.trailing_data[1]:
        return False
    return (
        _expects_input(connection)
        or connection.is_readable()
        or connection.send_buffered_bytes() > 0
    )


def _expects_input(connection: HttpStream) -> bool:
    """Return whether a part of a request has been read."""
    state = connection.http.their_state
    if state is h11.IDLE:
        return bool(connection.http.trailing_data[0])
    return state in (h11.SEND_BODY, h11.ERROR)


async def _discard_input(connection: HttpStream, stream: trio.SocketStream) -> None:
    expects_input = _expects_input(connection)
    now_s = trio.current_time()
    ends_s, quiet_until_s = now_s + MAX_LINGER_S, now_s + MAX_QUIET_S
    unacknowledged_bytes = connection.send_buffered_bytes()
    discarded_bytes = 0
    while discarded_bytes < MAX_DISCARDED_BYTES and now_s < min(ends_s, quiet_until_s):
        received: bytes | bytearray | None = None
        try:
            received = await read_until(
                partial(stream.receive_some, RECEIVE_BYTES), now_s + CHECK_S
            )
        except trio.TooSlowError:
            if not unacknowledged_bytes and not expects_input:
                return
        if received == b"":
            return
        now_s = trio.current_time()
        before_bytes, unacknowledged_bytes = unacknowledged_bytes, connection.send_buffered_bytes()
        if received or unacknowledged_bytes < before_bytes:
            quiet_until_s = now_s + MAX_QUIET_S
        discarded_bytes += len(received or b"")
        connection.discarded_bytes = discarded_bytes
