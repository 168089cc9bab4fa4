"""The response to one request, as sent to the caller."""

from __future__ import annotations

import math
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.core import error, time_limit
from sassafrastally.proxy.cpu_overload import read_until
from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.slow_readers import BlockedCallers
from sassafrastally.proxy.time_limit import TimeLimit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.http_stream import HttpStream

CONNECTION_HEADERS = frozenset({b"connection", b"transfer-encoding", b"content-length"})
"""Hop-by-hop and framing fields, which are set for the caller's connection and not forwarded."""

HTTP_1_0 = b"1.0"

LAST_WRITE_S = 0.15
"""How long a write goes on after a cancellation. At the end of a stopping process, it takes what is
left after the last answers until the process is killed."""

READ_CHECKS = 4
"""How often within the timeout of a blocked write to check whether the caller reads."""

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
        """Time limit of the request."""
        self.write_timeout_s = math.inf
        """Time after which a caller that reads nothing is disconnected."""
        self.is_for_head = False
        """Whether the request was a HEAD request, whose response has a length but no body."""
        self.has_begun = False
        """Whether the caller may have got a part of the response."""
        self.has_ended = False
        self.has_caller_left = False
        """Whether the caller has closed its connection."""
        self.sent_bytes = 0
        """Bytes passed to the operating system."""
        self._unsent: _Unsent | None = None
        """What is left of a complete response."""
        self._cut: _Unsent | None = None
        """The write that was cancelled."""
        self._is_encoded = False
        """Whether the end of a response of unknown length is encoded."""
        self.was_sent_at_once = False
        """Whether the response was sent by `send_at_once`, a rest of it perhaps not yet."""
        self.has_rest = False
        """Whether the rest of a stream is kept that is whole."""
        self._header: h11.Response | None = None
        """The header of a response that has begun, until its first bytes are sent."""
        self._connection = connection
        self._is_last = is_last
        self._blocked_callers = blocked_callers or BlockedCallers()

    @property
    def can_complete(self) -> bool:
        """Whether a response can be sent as a whole: none has begun, or a complete one was cut."""
        return not self.has_begun or self._unsent is not None

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response with a complete body; raises `ConnectionLost`.

        After a cancellation, the same response may be sent again, which goes on where it was cut.
        """
        await self._end_if_answered()
        if self._unsent is None:
            self._unsent = _Unsent(self._encode_complete(status, headers, body))
        await self._write_whole(self._unsent, is_complete=True)
        self.has_ended = True

    def send_at_once(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response with a complete body as far as its connection takes it without a wait.

        The rest, if any, is kept for `send_rest`.
        """
        self._unsent = _Unsent(self._encode_complete(status, headers, body))
        self.was_sent_at_once = True
        written = self._connection.send_at_once(self._unsent.piece)
        self.sent_bytes += written
        self._unsent.remove(written)
        self.has_ended = not self._unsent.piece

    def _encode_complete(self, status: int, headers: Headers, body: bytes) -> list[bytes]:
        length = str(len(body)).encode()
        if self.is_for_head:
            length, body = _declared_length(headers) or length, b""
        fields = [*_end_to_end_headers(headers), (b"content-length", length)]
        response = self._response(status, fields)
        return self._connection.encode_parts(response, h11.Data(data=body), h11.EndOfMessage())

    async def begin(self, status: int, headers: Headers) -> None:
        """Begin a response of unknown length, whose header is sent with its first bytes.

        A limit that passes between two writes would leave the caller with a success without
        anything in it. If the request is cancelled already, nothing is sent and another response is
        possible.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._header = self._response(status, _end_to_end_headers(headers))

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; raises `ConnectionLost`."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """End the body; raises `ConnectionLost`."""
        self._is_encoded = True
        await self._send(h11.EndOfMessage())
        self._note_end()

    def keep_rest(self, status: int, headers: Headers, rest: bytes) -> None:
        """Keep the rest of a response of unknown length that is whole, after a cancellation.

        Parameters
        ----------
        status, headers
            The header, in case it hasn't been sent.
        rest
            The body after what was passed to `send`.
        """
        self._note_begin()
        events: list[h11.Event] = []
        if not self.has_begun:
            events.append(self._response(status, _end_to_end_headers(headers)))
        if not self._is_encoded:
            events += [h11.Data(data=rest), h11.EndOfMessage()]
        cut = self._cut.take_rest() if self._cut is not None else b""
        self._unsent = _Unsent([cut, *self._connection.encode_parts(*events)])
        self.has_rest = True

    async def send_rest(self) -> None:
        """Send what is kept; raises `ConnectionLost`."""
        if self._unsent is None:
            raise RuntimeError("nothing is kept")
        await self._write_whole(self._unsent, is_complete=True)
        self._note_end()

    def _note_begin(self) -> None:
        # A caller without chunked transfer coding takes the end of the connection for that of the
        # response, whether this entry or the operating system closes it.
        if self._ends_with_connection:
            self._connection.set_reset_on_close(True)

    def _note_end(self) -> None:
        if self._ends_with_connection:
            self._connection.set_reset_on_close(False)
        self.has_ended = True

    @property
    def _ends_with_connection(self) -> bool:
        """Whether a response of unknown length has no end but that of its connection."""
        return self._connection.http.their_http_version == HTTP_1_0

    async def _send(self, *events: h11.Event) -> None:
        """Send events as a whole, as `_write_whole`."""
        await self._end_if_answered()
        if self._header is not None:
            self._note_begin()
            events, self._header = (self._header, *events), None
        unsent = _Unsent(self._connection.encode_parts(*events))
        await self._write_whole(unsent, is_complete=isinstance(events[-1], h11.EndOfMessage))

    async def _end_if_answered(self) -> None:
        """Let the cancellation act that comes with `send_at_once`, before anything else is sent."""
        if self.was_sent_at_once:
            await trio.lowlevel.checkpoint_if_cancelled()

    async def _write_whole(self, unsent: _Unsent, *, is_complete: bool) -> None:
        """Write bytes as a whole; raises `CallerBlocked` if the caller doesn't read them.

        A cancellation doesn't cut them unless the caller reads too slowly: a caller can't tell a
        part of a response from a broken one, and what h11 has encoded can't be taken back. A
        response that is complete isn't cancelled any more, so that it is recorded.

        Parameters
        ----------
        unsent
            The bytes.
        is_complete
            Whether the response ends with them.
        """
        try:
            await self._write_all(unsent)
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                async with time_limit(trio.current_time() + LAST_WRITE_S):
                    await self._write_all(unsent)
            if unsent.piece or not is_complete:
                self._cut = unsent
                raise

    async def _write_all(self, unsent: _Unsent) -> None:
        """Write bytes and remove those that are written."""
        while unsent.piece:
            written = await self._write(unsent.piece, unsent.response_bytes)
            self.sent_bytes += written
            self.limit.record_delivery()
            unsent.remove(written)

    async def _write(self, data: bytes, response_bytes: int) -> int:
        """Write some bytes of a response of a size and return how many."""
        now_s = trio.current_time()
        with trio.CancelScope() as scope, suppress(trio.TooSlowError):
            longest_blocked = self._blocked_callers.begin(
                scope, now_s, response_bytes, self._connection.is_writable
            )
            if longest_blocked is not None:
                longest_blocked.cancel()
            try:
                return await self._write_while_read(data)
            finally:
                self._blocked_callers.end(scope)
        blocked_s = trio.current_time() - now_s
        raise CallerBlocked(f"a write was blocked for {blocked_s:.2f} s")

    async def _write_while_read(self, data: bytes) -> int:
        """Write some bytes; raise `trio.TooSlowError` if the caller reads nothing for the timeout.

        A connection takes more bytes only once a third of its buffer is free, which takes a caller
        that reads slowly longer than the timeout.
        """
        due_s = trio.current_time() + self.write_timeout_s
        unread_bytes = self._connection.send_buffered_bytes()
        while True:
            check_s = min(due_s, trio.current_time() + self.write_timeout_s / READ_CHECKS)
            try:
                return await read_until(partial(self._connection.send_some, data), check_s)
            except trio.TooSlowError:
                before_bytes, unread_bytes = unread_bytes, self._connection.send_buffered_bytes()
                if unread_bytes < before_bytes:
                    due_s = trio.current_time() + self.write_timeout_s
                elif trio.current_time() >= due_s:
                    raise

    def _response(self, status: int, headers: Headers) -> h11.Response:
        self.has_begun = True
        if self._is_last():
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)


class _Unsent:
    """Encoded bytes that aren't written yet, in pieces of one write.

    Parameters
    ----------
    parts
        The bytes; a large part isn't copied as a whole.
    """

    def __init__(self, parts: Sequence[bytes]) -> None:
        self.response_bytes = sum(map(len, parts))
        """Size of all parts."""
        self._writes = _writes(parts)
        self.piece = next(self._writes, b"")
        """The next bytes to write; empty after the last ones."""

    def remove(self, written: int) -> None:
        """Remove bytes of the piece that are written."""
        self.piece = self.piece[written:] or next(self._writes, b"")

    def take_rest(self) -> bytes:
        """Return all bytes that aren't written, which are removed."""
        rest = self.piece + b"".join(self._writes)
        self.piece = b""
        return rest


def _writes(parts: Sequence[bytes]) -> Iterator[bytes]:
    """Yield the bytes of all parts in pieces of one write, without a copy of a whole part."""
    pending = bytearray()
    for part in parts:
        for begin in range(0, len(part), WRITE_BYTES):
            pending += part[begin : begin + WRITE_BYTES]
            if len(pending) >= WRITE_BYTES:
                yield bytes(pending[:WRITE_BYTES])
                del pending[:WRITE_BYTES]
    if pending:
        yield bytes(pending)


def _end_to_end_headers(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in CONNECTION_HEADERS]


def _declared_length(headers: Headers) -> bytes | None:
    return next((value for name, value in headers if name == b"content-length"), None)
