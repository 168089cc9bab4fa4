"""The response to one request, as sent to the caller."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.core import error
from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.slow_readers import BlockedCallers
from sassafrastally.proxy.time_limit import TimeLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.http_stream import HttpStream

CONNECTION_HEADERS = frozenset({b"connection", b"transfer-encoding", b"content-length"})
"""Hop-by-hop and framing fields, which are set for the caller's connection and not forwarded."""

HTTP_1_0 = b"1.0"

WRITE_BYTES = 16_384
"""Size of one write to a caller. The time limit applies to each, so that a caller that reads slowly
isn't taken for one that doesn't read."""


@error(10065)
class CallerBlocked(ConnectionLost):
    """The caller was disconnected because it didn't read its response."""


class Reply:
    """Sends one response on a caller's connection.

    Parameters
    ----------
    connection
        The caller's connection.
    is_last
        Called when the header is sent; returns whether to close the connection after this response.
    blocked_callers
        Callers of this process whose writes are in progress.
    """

    def __init__(
        self,
        connection: HttpStream,
        is_last: Callable[[], bool],
        blocked_callers: BlockedCallers[trio.CancelScope] | None = None,
    ) -> None:
        self.limit = TimeLimit()
        """Time limit of the request. It doesn't cut a response or an event while it is written."""
        self.write_timeout_s = math.inf
        """Time after which a caller that reads nothing is disconnected."""
        self.is_for_head = False
        """Whether the request was a HEAD request, whose response has a length but no body."""
        self.has_begun = False
        """Whether the caller may have got a part of the response."""
        self.has_ended = False
        self.sent_bytes = 0
        """Bytes passed to the operating system, without those of a cancelled write."""
        self._connection = connection
        self._is_last = is_last
        self._blocked_callers = blocked_callers or BlockedCallers()

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response with a complete body; raises `ConnectionLost`."""
        length = str(len(body)).encode()
        if self.is_for_head:
            length, body = _declared_length(headers) or length, b""
        fields = [*_end_to_end_headers(headers), (b"content-length", length)]
        response = self._response(status, fields)
        await self._send(response, h11.Data(data=body), h11.EndOfMessage())
        self.has_ended = True

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the header of a response of unknown length; raises `ConnectionLost`.

        If the request is cancelled already, nothing is sent and another response is possible.
        A caller without chunked transfer coding takes the end of the connection for that of the
        response, whether this entry or the operating system closes it.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        if self._ends_with_connection:
            self._connection.set_reset_on_close(True)
        await self._send(self._response(status, _end_to_end_headers(headers)))

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; raises `ConnectionLost`."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """End the body; raises `ConnectionLost`."""
        await self._send(h11.EndOfMessage())
        if self._ends_with_connection:
            self._connection.set_reset_on_close(False)
        self.has_ended = True

    @property
    def _ends_with_connection(self) -> bool:
        """Whether a response of unknown length has no end but that of its connection."""
        return self._connection.http.their_http_version == HTTP_1_0

    def abandon(self) -> None:
        """End a write in progress, as its caller has left."""
        self.limit.abandon_write()

    async def _send(self, *events: h11.Event) -> None:
        """Send events as a whole; raises `CallerBlocked` if the caller doesn't read them.

        Neither the time limit nor the end of the process cuts them: a caller can't tell a part of a
        response from a broken one, and bytes that aren't sent can't be taken back from h11.
        """
        data = self._connection.encode(*events)
        with self.limit.writing() as scope:
            for begin in range(0, len(data), WRITE_BYTES):
                await self._write(data[begin : begin + WRITE_BYTES])
        if scope.cancelled_caught:
            await trio.lowlevel.checkpoint_if_cancelled()  # If the caller has left.
            raise CallerBlocked("it hadn't read everything when its time was over")

    async def _write(self, data: bytes) -> None:
        now_s = trio.current_time()
        with trio.move_on_after(self.write_timeout_s) as scope:
            longest_blocked = self._blocked_callers.begin(scope, now_s)
            if longest_blocked is not None:
                longest_blocked.cancel()
            try:
                await self._connection.send_bytes(data)
                self.sent_bytes += len(data)
            finally:
                self._blocked_callers.end(scope)
        if scope.cancelled_caught:
            blocked_s = trio.current_time() - now_s
            raise CallerBlocked(f"nothing was read for {blocked_s:.2f} s")

    def _response(self, status: int, headers: Headers) -> h11.Response:
        self.has_begun = True
        if self._is_last():
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)


def _end_to_end_headers(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in CONNECTION_HEADERS]


def _declared_length(headers: Headers) -> bytes | None:
    return next((value for name, value in headers if name == b"content-length"), None)
