"""One HTTP/1.1 connection: an h11 state machine over a byte stream."""

from __future__ import annotations

import fcntl
import math
import os
import select
import socket
import struct
import sys
import termios

import h11
import trio

from sassafrastally.core import SenderTime, is_final_status
from sassafrastally.core.http_patterns import use_linear_patterns
from sassafrastally.proxy.connecting import connect
from sassafrastally.proxy.connection_errors import ConnectionLost, InputTooLong
from sassafrastally.proxy.connection_state import is_reset
from sassafrastally.proxy.input_limits import (
    MAX_HEAD_BYTES,
    MAX_INTERIM_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_READ_EVENTS,
    MAX_SMALL_CHUNKS,
    MAX_TRAILER_BYTES,
    SMALL_CHUNK_BYTES,
    InputAccount,
    InputBudget,
    InputExcess,
    InputPlace,
)
from sassafrastally.proxy.socket_options import enable_keepalive, limit_send_buffer

__all__ = [
    "CLOSED",
    "LINGER_OFF",
    "LINGER_ZERO",
    "RECEIVE_BYTES",
    "SERVER_RECEIVE_BUFFER_BYTES",
    "ConnectionLost",
    "HttpStream",
    "InputTooLong",
    "connect",
    "enable_keepalive",
    "limit_send_buffer",
]

use_linear_patterns()

RECEIVE_BYTES = 65_536
"""Maximum number of bytes read from a connection at once: the usual size of a socket buffer."""

SERVER_RECEIVE_BUFFER_BYTES = 32_768
"""Receive buffer of a connection to a backend server; Linux doubles it."""

LINGER_ZERO = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""

DELIVERY_CHECK_S = 0.005
"""Interval at which is looked whether the peer has acknowledged what was sent."""

CLOSED = -1
"""File descriptor of a closed socket."""

LINGER_OFF = struct.pack("ii", 0, 0)

RESET_DETAIL = "connection reset before the end of the stream"

TOO_LONG_STATUS = 431
"""Status that h11 proposes when an incomplete header exceeds its bound."""


class HttpStream:
    """A connection that sends and receives h11 events.

    Parameters
    ----------
    stream
        Byte stream of the connection; owned by this object.
    role
        ``h11.CLIENT`` or ``h11.SERVER``.
    header_bytes
        Maximum size of a header; that of requests may change between two of them.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        role: type[h11.CLIENT] | type[h11.SERVER],
        header_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        self.stream = stream
        # h11 keeps the bound of the connection's begin; `_next_event` applies that of requests.
        fixed_bound_bytes = sys.maxsize if role is h11.SERVER else header_bytes
        self.http = h11.Connection(role, max_incomplete_event_size=fixed_bound_bytes)
        self.header_bytes = header_bytes
        """Maximum size of a header."""
        self.is_write_incomplete = False
        """Whether a write hasn't ended: the peer lacks bytes that h11 counts as sent."""
        self._write_ended = trio.Event()
        """Set unless a write that `begin_write` has begun is in progress."""
        self._write_ended.set()
        self._has_failed_write = False
        """Whether a write has failed, which only a reset or a timeout of the connection causes."""
        self.is_reused = False
        """Whether it has carried a response before."""
        self.received_bytes = 0
        """Number of bytes received so far, with headers and framing."""
        self.account = InputAccount(InputBudget())
        """Where the bytes of incomplete events are counted."""
        self.discarded_bytes = 0
        """Number of bytes received after its last response, which nothing has read."""
        self.request_id = ""
        """ID of the latest request that was read from it."""
        self.received_s = -math.inf
        """When the last bytes were received."""
        self.sender_time: SenderTime | None = None
        """Counts the time that the sender of the present message takes; ``None`` if none counts."""
        self.is_reset_on_close = False
        """Whether closing the connection resets it on purpose."""
        self._held_bytes = 0
        self._has_uncounted_rest = False
        """Whether what an event has left of the last read isn't counted yet."""
        self._may_hold_line = False
        """Whether the end of a line has been received that h11 may not have consumed."""
        self._last_byte = b""
        self._parsed_events = 0
        """Number of events since other tasks could last run."""
        self._interim_responses = 0
        self._interim_bytes = 0
        self._body_events = 0
        self._body_bytes = 0

    def charge(self, account: InputAccount) -> None:
        """Count what is held of the next message in an account, with what is there of it."""
        self.account, self._held_bytes = account, 0
        self._has_uncounted_rest = True

    async def receive(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event; nothing is lost if it is cancelled.

        Raises
        ------
        ConnectionLost
            If the connection is reset.
        InputTooLong
            If a backend server exceeds a bound.
        InputBudgetExceeded
            If the reader has been ended for the sake of others.
        h11.RemoteProtocolError
            If the peer sends bytes that aren't valid HTTP, or a status that no response has.
        """
        while True:
            if self._parsed_events >= MAX_READ_EVENTS:
                # Tiny chunks would otherwise hold all other tasks until the socket is empty.
                self._parsed_events = 0
                await trio.lowlevel.checkpoint()
            event = self._next_event()
            if event is not None:
                if self.sender_time is not None:
                    self.sender_time.count_part()
                return event
            await self.receive_bytes()

    def _next_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next event, or ``None`` if more bytes are needed."""
        is_body = self.http.their_state is h11.SEND_BODY
        try:
            event = self.http.next_event()
        except h11.RemoteProtocolError as cause:
            if cause.error_status_hint == TOO_LONG_STATUS and self.http.our_role is h11.CLIENT:
                raise self._too_long(is_body=is_body) from cause
            raise
        if event is h11.PAUSED or isinstance(event, h11.Event):
            self._parsed_events += 1
            self._has_uncounted_rest = True
            self._hold(0)
            _check_status(event)
            self._count_interim(event)
            self._count_chunks(event)
            return event
        if self._has_uncounted_rest:
            self._has_uncounted_rest = False
            rest = self.http.trailing_data[0]
            self._hold(len(rest))
            self._may_hold_line, self._last_byte = b"\r\n" in rest, rest[-1:]
        if self.http.our_role is h11.SERVER and self._held_bytes > self.header_bytes:
            raise h11.RemoteProtocolError("Receive buffer too long", TOO_LONG_STATUS)
        if is_body and self._held_bytes and self.http.our_role is h11.CLIENT:
            if self._may_hold_line and b"\r\n" in self.http.trailing_data[0]:
                # In a body, h11 keeps whole lines only of trailers. Nothing uses them, and the body
                # is complete without them (RFC 9112, section 8).
                return h11.EndOfMessage()
            self._may_hold_line = False
            if self._held_bytes > MAX_TRAILER_BYTES:
                raise self._too_long(is_body=True)
        return None

    def _too_long(self, *, is_body: bool) -> InputTooLong:
        place = InputPlace.TRAILERS if is_body else InputPlace.HEADER
        bound_bytes = MAX_TRAILER_BYTES if is_body else self.header_bytes
        return InputTooLong(InputExcess(place, self._held_bytes, bound_bytes))

    def _count_interim(self, event: h11.Event | type[h11.PAUSED]) -> None:
        """Count interim responses up to the response; raises `InputTooLong`."""
        if isinstance(event, h11.Response):
            self._interim_responses = self._interim_bytes = 0
        if not isinstance(event, h11.InformationalResponse):
            return
        self._interim_responses += 1
        self._interim_bytes += sum(len(name) + len(value) for name, value in event.headers)
        for place, amount, bound in (
            (InputPlace.INTERIM, self._interim_responses, MAX_INTERIM_RESPONSES),
            (InputPlace.INTERIM_HEADERS, self._interim_bytes, MAX_INTERIM_BYTES),
        ):
            if amount > bound:
                raise InputTooLong(InputExcess(place, amount, bound))

    def _count_chunks(self, event: h11.Event | type[h11.PAUSED]) -> None:
        """Count the parts of a response's body; raises `InputTooLong`."""
        if isinstance(event, h11.Response):
            self._body_events = self._body_bytes = 0
        if not isinstance(event, h11.Data) or self.http.our_role is not h11.CLIENT:
            return
        self._body_events += 1
        self._body_bytes += len(event.data)
        is_small = self._body_bytes < SMALL_CHUNK_BYTES * self._body_events
        if is_small and self._body_events > MAX_SMALL_CHUNKS:
            excess = InputExcess(InputPlace.SMALL_CHUNKS, self._body_events, MAX_SMALL_CHUNKS)
            raise InputTooLong(excess)

    def _hold(self, held_bytes: int) -> None:
        """Record how many bytes of an incomplete event are held."""
        if held_bytes != self._held_bytes:
            added_bytes, self._held_bytes = held_bytes - self._held_bytes, held_bytes
            self.account.add(added_bytes)

    async def receive_bytes(self) -> bool:
        """Receive bytes, waiting if necessary; return ``False`` at the end of the stream.

        Raises
        ------
        ConnectionLost
            If the connection is reset.
        InputBudgetExceeded
            If the reader has been ended for the sake of others.
        """
        try:
            with self.account.reading():
                if self.sender_time is not None:
                    data = await self.sender_time.receive(self.stream, RECEIVE_BYTES)
                else:
                    data = await self.stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
            raise ConnectionLost(f"connection reset while reading: {cause!r}") from cause
        if not data and self._has_failed_write:
            # The OS reports a reset once, here to the write; reads then end as after a close.
            raise ConnectionLost(RESET_DETAIL)
        self.received_bytes += len(data)
        self._parsed_events = 0
        self.received_s = trio.current_time()
        self.http.receive_data(bytes(data))
        self._may_hold_line |= b"\r\n" in self._last_byte + data[:1] or b"\r\n" in data
        self._last_byte = bytes(data[-1:])
        self._hold(self._held_bytes + len(data))
        return bool(data)

    async def send(self, *events: h11.Event) -> None:
        """Send events in a single write; raises `ConnectionLost`."""
        await self.send_bytes(self.encode(*events))

    def encode(self, *events: h11.Event) -> bytes:
        """Return the bytes of events to send."""
        return b"".join(self.encode_parts(*events))

    def encode_parts(self, *events: h11.Event) -> list[bytes]:
        """Return the bytes of each event to send; those of a body of known length aren't copied."""
        return [self.http.send(event) or b"" for event in events]

    async def begin_write(self, data: bytes) -> memoryview:
        """Begin a write beside which is read; return what the socket doesn't take at once.

        That is sent with `send_bytes`, and then `end_write` is called. Raises `ConnectionLost`.
        """
        self.is_write_incomplete = True
        rest = memoryview(data)[await self.send_some(data) :]
        self.is_write_incomplete = bool(rest)
        if rest:
            self._write_ended = trio.Event()
        return rest

    def end_write(self) -> None:
        """Note that a write that was begun has ended, or has failed."""
        self._write_ended.set()

    @property
    def is_sending(self) -> bool:
        """Whether the host of the peer lacks a part of what is being sent."""
        return not self._write_ended.is_set() or self.send_buffered_bytes() > 0

    async def require_delivered(self, reset_time_s: float = 0.0) -> None:
        """Wait until the host of the peer has all that was sent.

        Parameters
        ----------
        reset_time_s
            How long to wait for a reset after that.

        Raises
        ------
        ConnectionLost
            If the connection is reset instead, or was reset after the end of the stream.
        """
        await self._write_ended.wait()
        due_s = math.inf
        while not self._has_failed_write and not is_reset(self.stream):
            now_s = trio.current_time()
            if due_s == math.inf and not self.send_buffered_bytes():
                due_s = now_s + reset_time_s
            if now_s >= due_s:
                return
            await trio.sleep(DELIVERY_CHECK_S)
        raise ConnectionLost(RESET_DETAIL)

    async def send_bytes(self, data: bytes | memoryview) -> None:
        """Send bytes that h11 has encoded; raises `ConnectionLost`."""
        self.is_write_incomplete = True
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
            self._has_failed_write = True
            raise ConnectionLost(f"connection reset while sending: {cause!r}") from cause
        self.is_write_incomplete = False

    async def send_some(self, data: bytes) -> int:
        """Send bytes that h11 has encoded and return how many; none if it is cancelled.

        Raises
        ------
        ConnectionLost
            If the connection is reset or closed.
        """
        try:
            if isinstance(self.stream, trio.SocketStream):
                return await self.stream.socket.send(data)
            await self.stream.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as cause:
            self._has_failed_write = True
            raise ConnectionLost(f"connection reset while sending: {cause!r}") from cause
        return len(data)

    def send_at_once(self, data: bytes) -> int:
        """Send bytes that h11 has encoded as far as the socket takes them; return how many.

        A failure is left to the next write.
        """
        if not isinstance(self.stream, trio.SocketStream) or self.stream.socket.fileno() == CLOSED:
            return 0
        try:
            return os.write(self.stream.socket.fileno(), data)
        except OSError:
            return 0

    def send_buffered_bytes(self) -> int:
        """Return how many sent bytes the peer hasn't acknowledged; 0 if that isn't known."""
        if not isinstance(self.stream, trio.SocketStream):
            return 0
        descriptor = self.stream.socket.fileno()
        if descriptor == CLOSED:
            return 0
        buffered = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(buffered, sys.byteorder)

    @property
    def has_finished_exchange(self) -> bool:
        """Whether the request and its response are complete, so that another one may follow."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def has_unread_input(self) -> bool:
        """Return whether unexpected bytes or the end of the stream can be read from the socket."""
        return bool(self.http.trailing_data[0]) or self.is_readable()

    def is_readable(self) -> bool:
        """Return whether the socket has bytes or the end of the stream."""
        return isinstance(self.stream, trio.SocketStream) and self.stream.socket.is_readable()

    def is_writable(self) -> bool:
        """Return whether the socket takes bytes without a wait; ``False`` if that isn't known."""
        if not isinstance(self.stream, trio.SocketStream) or self.stream.socket.fileno() == CLOSED:
            return False
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLOUT)
        return bool(poll.poll(0))

    async def close(self) -> None:
        """Close the connection immediately, without a graceful shutdown."""
        await trio.aclose_forcefully(self.stream)

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Choose whether closing the connection, also by the end of the process, resets it."""
        self.is_reset_on_close = is_reset
        if isinstance(self.stream, trio.SocketStream):
            value = LINGER_ZERO if is_reset else LINGER_OFF
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    async def reset(self) -> None:
        """Close the connection with a reset, which the peer can't take for a regular end."""
        self.set_reset_on_close(True)
        await self.close()


def _check_status(event: h11.Event | type[h11.PAUSED]) -> None:
    """Raise `h11.RemoteProtocolError` for a response with a status that h11 accepts only."""
    if isinstance(event, h11.Response) and not is_final_status(event.status_code):
        raise h11.RemoteProtocolError(f"no response has the status {event.status_code}")
