"""Reads a caller's request from its connection and validates it."""

from __future__ import annotations

import math
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.core import SenderTime, read_in_time
from sassafrastally.proxy.attempt import Request
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.http_stream import RECEIVE_BYTES, ConnectionLost
from sassafrastally.proxy.input_limits import InputAccount, InputBudget

# Runtime import: Refusal is a field type of a named tuple.
from sassafrastally.proxy.refusals import (
    BODY_TOO_LARGE,
    HEADER_TOO_LARGE,
    MALFORMED,
    NOT_SENT_IN_TIME,
    STOPPING,
    TOO_SLOW,
    Refusal,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.dialect import Dialect, Headers
    from sassafrastally.proxy.drain import Drain
    from sassafrastally.proxy.http_stream import HttpStream
    from sassafrastally.proxy.model import RequestLimits, RequestMetadata


BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
"""Fields of a request that has a body (RFC 9112, section 6.3)."""

RETRY_ELSEWHERE_S = 0.1
"""When a caller may retry at another entry after this one has stopped."""


class BadRequest(NamedTuple):
    """Why a request is rejected before it is fully parsed."""

    refusal: Refusal
    problem: str
    retry_after_s: float = 0.0
    """When it may be sent again; 0 if not at all."""


class RequestReader:
    """Reads one request; what has been read is kept if reading is cancelled.

    Parameters
    ----------
    connection
        The caller's connection.
    limits
        Limits of a request.
    dialect
        Translates headers.
    account
        Where the bytes of header and body are counted.
    arrived_s
        When the first bytes of the request were received.
    time_limit_s
        Returns the time of a request, from then on, by its metadata and target.
    """

    def __init__(
        self,
        connection: HttpStream,
        limits: RequestLimits,
        dialect: Dialect,
        account: InputAccount,
        arrived_s: float,
        time_limit_s: Callable[[RequestMetadata, bytes], float] = lambda _facts, _target: math.inf,
    ) -> None:
        self._connection = connection
        self._limits = limits
        self._dialect = dialect
        self._account = account
        self._arrived_s = arrived_s
        self._time_limit_s = time_limit_s
        self._reading = trio.CancelScope()
        self._head: h11.Request | None = None
        self._body = bytearray()

    @property
    def is_for_head(self) -> bool:
        """Whether it is a HEAD request, as far as its header has been read."""
        return self._head is not None and self._head.method == b"HEAD"

    async def read_in_time(self, drain: Drain) -> Request | BadRequest | None:
        """Return the request as `read`, or why it is rejected if its time has passed.

        Only the caller's time counts: what it holds back since this entry hasn't read yet, and what
        has arrived meanwhile, is read before. A long request is read no longer than it may last.

        Parameters
        ----------
        drain
            At its end, an incomplete request is rejected.
        """
        sender = SenderTime()
        self._connection.sender_time = sender
        try:
            with drain.limit_reading() as self._reading:
                return await read_in_time(self.read, sender, self._limits.header_time_s)
        except trio.TooSlowError:
            return BadRequest(TOO_SLOW, self._progress(sender))
        finally:
            self._connection.sender_time = None
        if drain.has_ended:
            return BadRequest(STOPPING, self._progress(sender), RETRY_ELSEWHERE_S)
        return BadRequest(NOT_SENT_IN_TIME, self._progress(sender))

    def _progress(self, sender: SenderTime) -> str:
        """Return how far a request has been read."""
        elapsed_s = trio.current_time() - self._arrived_s
        progress = f"not complete after {elapsed_s:.3f} s, {sender.taken_s:.3f} s of the caller's"
        declared = 0 if self._head is None else _declared_length(list(self._head.headers))
        of_declared = f" of {declared}" if declared else ""
        return f"{progress}; {len(self._body)}{of_declared} bytes of the body"

    async def read(self) -> Request | BadRequest | None:
        """Return the request, or ``None`` if the connection closes before it begins.

        Raises
        ------
        ConnectionLost
            If the connection closes before the end of the request.
        h11.RemoteProtocolError
            If it isn't valid HTTP.
        InputBudgetExceeded
            If the process holds too much input.
        """
        if self._head is None:
            event = await self._connection.receive()
            if not isinstance(event, h11.Request):
                return None
            self._head = event
            self._account.add(_header_size(event))
        if (rejected := self._check_head(self._head)) is not None:
            return rejected
        if self._connection.http.they_are_waiting_for_100_continue:
            await self._connection.send(h11.InformationalResponse(status_code=100, headers=[]))
        return await self._read_body(self._head)

    def _check_head(self, head: h11.Request) -> BadRequest | None:
        """Return why a request is rejected by its header, if it is."""
        headers: Headers = list(head.headers)
        if _header_size(head) > self._limits.header_bytes:
            # h11 limits only an incomplete header, not one that arrives in a single read.
            return BadRequest(HEADER_TOO_LARGE, f"over {self._limits.header_bytes} bytes")
        if problem := _framing_problem(headers):
            return BadRequest(MALFORMED, problem)
        if _declared_length(headers) > self._limits.body_bytes:
            return self._body_too_large()
        return None

    def _limit_reading(self, head: h11.Request) -> None:
        """Limit the reading of a request that takes several reads to its own time."""
        headers: Headers = list(head.headers)
        if 0 < _declared_length(headers) <= RECEIVE_BYTES:
            return
        # An invalid field is rejected once the request is complete.
        with suppress(DocumentInvalid):
            facts = self._dialect.decode_request(headers)
            due_s = self._arrived_s + self._time_limit_s(facts, head.target)
            self._reading.deadline = min(self._reading.deadline, due_s)

    async def _read_body(self, head: h11.Request) -> Request | BadRequest:
        if _has_body(head):
            self._limit_reading(head)
        while True:
            with self._account.reading():
                event = await self._connection.receive()
            if isinstance(event, h11.Data):
                self._account.add(len(event.data))
                self._body += event.data
                if len(self._body) > self._limits.body_bytes:
                    return self._body_too_large()
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise ConnectionLost("connection closed before the end of the request")
        self._account.keep()
        # A pipelined request that is held meanwhile must not end the one in progress.
        self._connection.charge(InputAccount(InputBudget()))
        headers: Headers = list(head.headers)
        try:
            facts = self._dialect.decode_request(headers)
        except DocumentInvalid as cause:
            return BadRequest(MALFORMED, cause.detail)
        body = bytes(self._body)
        now_s = trio.current_time()
        return Request(head.method, head.target, headers, body, facts, self._arrived_s, now_s)

    def _body_too_large(self) -> BadRequest:
        return BadRequest(BODY_TOO_LARGE, f"over {self._limits.body_bytes} bytes")


def _has_body(head: h11.Request) -> bool:
    return any(name in BODY_HEADERS for name, _ in head.headers)


def _header_size(head: h11.Request) -> int:
    """Return the approximate size of a header on the wire, in bytes."""
    separators = len(": \r\n")
    fields = sum(len(name) + len(value) + separators for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _framing_problem(headers: Headers) -> str:
    """Return what is wrong with the framing or the host of a request; empty if nothing is.

    Servers disagree on how to read a request with both a content length and a transfer encoding:
    what one reads as the body, another reads as a second request (request smuggling).
    """
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return "both a length and a transfer encoding"
    if names.count(b"host") != 1:
        return "not exactly one host"
    return ""


def _declared_length(headers: Headers) -> int:
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
