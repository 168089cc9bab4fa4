"""HTTP client for short calls with small responses, over keep-alive connections."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.core import error
from sassafrastally.proxy.cpu_overload import LAST_READ_S, StepTimeout

# Runtime import: Headers is a field type of a named tuple.
from sassafrastally.proxy.dialect import Headers
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.proxy.input_limits import (
    MAX_READ_EVENTS,
    InputAccount,
    InputBudget,
    InputBudgetExceeded,
)
from sassafrastally.proxy.store import AnswerLost

if TYPE_CHECKING:
    from sassafrastally.core import Address

CONNECT_TIME_S = 0.4
"""Connection timeout. Connecting within a region takes a few milliseconds. If a packet is lost, TCP
retransmits it after a second, so it is cheaper to try again."""

MAX_IDLE_CONNECTIONS = 4
"""Maximum number of idle connections per address: enough for a watch, a lease and two other
concurrent calls."""

BODY_GRACE_S = 1.0
MIN_BODY_BYTES_PER_S = 2_000
"""A body that arrives more slowly after its first second is given up, so that the call can be made
again. Links that lose packets still carry ten times as much."""

_FAILURES = (
    ConnectionLost,
    InputBudgetExceeded,
    h11.RemoteProtocolError,
    trio.TooSlowError,
)
"""Errors after which a call has no complete response."""


class ResponseBounds(NamedTuple):
    """Bounds of the response to a call, however fast or steadily it arrives."""

    size_bytes: int
    """Maximum number of bytes received: interim responses, headers, chunk framing and trailers
    count too."""
    time_s: float
    """Time limit of the call as a whole, including connecting and sending."""


DEFAULT_BOUNDS = ResponseBounds(size_bytes=4 * 1024 * 1024, time_s=35.0)
"""Bounds of a call that states none: twice the largest page of the store, and longer than the
longest watch poll."""


@error(10090)
class ResponseTooLarge(AnswerLost):
    """The response to a call is over its bound in bytes; the rest wasn't read."""


@error(10091)
class KeptConnectionClosed(AnswerLost):
    """A kept connection was closed before any part of the response, maybe for being idle."""


class CallTimeout(StepTimeout):
    """Timeout of a call: one for silence, and one for the whole call.

    Parameters
    ----------
    silence_limit_s
        Time until the response header and between two parts of the body.
    whole_limit_s
        Time for the whole call.
    """

    def __init__(self, silence_limit_s: float, whole_limit_s: float) -> None:
        super().__init__(min(silence_limit_s, whole_limit_s))
        self.silence_limit_s = silence_limit_s
        self._end_s = trio.current_time() + whole_limit_s
        self._is_over = False
        self._body_begin_s = math.inf

    def begin_body(self) -> None:
        """Record that the header arrived."""
        self._body_begin_s = trio.current_time()

    def note_progress(self, body_bytes: int) -> None:
        """Record that a part arrived; raises `trio.TooSlowError` when its time is over.

        Parameters
        ----------
        body_bytes
            Size of the body so far; 0 before it has begun.

        Notes
        -----

        An entry that runs late may find the rest of the response in its socket, so what is due then
        still gets `LAST_READ_S` as a whole.
        """
        now_s = trio.current_time()
        body_end_s = self._body_begin_s + BODY_GRACE_S + body_bytes / MIN_BODY_BYTES_PER_S
        end_s = self._end_s if self._is_over else min(self._end_s, body_end_s)
        if now_s < end_s:
            if body_bytes:
                self.extend(min(self.silence_limit_s, end_s - now_s))
        elif self._is_over:
            raise trio.TooSlowError
        else:
            self._is_over = True
            self._end_s = now_s + LAST_READ_S


class CallResponse(NamedTuple):
    """Complete response of a call."""

    status: int
    headers: Headers
    body: bytes


class CallClient:
    """Sends calls to one address.

    A call that fails on a pooled connection is never retried implicitly: `AnswerLost` is raised and
    the calling code decides whether the call may be repeated.

    Parameters
    ----------
    address
        Address of the server.
    host_name
        Value of the ``Host`` header; the address if not given.
    input_budget
        Budget of the process for responses that aren't complete; by default without a bound.
    """

    def __init__(
        self,
        address: Address,
        host_name: str | None = None,
        input_budget: InputBudget | None = None,
    ) -> None:
        self.address = address
        self._host = (host_name or str(address)).encode()
        self._input_budget = input_budget or InputBudget()
        self._idle: list[HttpStream] = []

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        time_limit_s: float,
        bounds: ResponseBounds = DEFAULT_BOUNDS,
    ) -> CallResponse:
        """Send a call and return its response.

        Parameters
        ----------
        time_limit_s
            Timeout for the response header and for each chunk of the body. The whole response gets
            more: over a slow link, a large response would time out, be requested again and again,
            and fill the link with data that is thrown away.
        bounds
            Bounds of the whole response.

        Raises
        ------
        ResponseTooLarge
            If the response is over its bound in bytes.
        KeptConnectionClosed
            If a kept connection was closed before any part of the response.
        AnswerLost
            If there is no complete response, or the process holds too much unfinished input.
        """
        try:
            timeout = CallTimeout(time_limit_s, bounds.time_s)
            return await self._exchange(method, target, headers, body, timeout, bounds.size_bytes)
        except ResponseTooLarge:
            raise
        except _FAILURES as cause:
            raise AnswerLost(f"{method} {target.split('?')[0]}: {cause!r}") from cause

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout: CallTimeout,
        size_bytes: int,
    ) -> CallResponse:
        connection = await self._take(timeout.silence_limit_s)
        before_bytes = connection.received_bytes
        is_reusable = False
        try:
            head = h11.Request(
                method=method,
                target=target,
                headers=[
                    (b"host", self._host),
                    (b"content-length", str(len(body)).encode()),
                    *headers,
                ],
            )
            await timeout.run(
                partial(connection.send, head, h11.Data(data=body), h11.EndOfMessage())
            )
            with self._input_budget.account() as account:
                response = await _read_answer(connection, timeout, size_bytes, account)
            is_reusable = connection.http.our_state is h11.DONE and (
                connection.http.their_state is h11.DONE
            )
            return response
        except (ConnectionLost, h11.RemoteProtocolError) as cause:
            if connection.is_reused and connection.received_bytes == before_bytes:
                raise KeptConnectionClosed(f"{method}: {cause!r}") from cause
            raise
        finally:
            await self._put_back(connection, is_reusable)

    async def _take(self, time_limit_s: float) -> HttpStream:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_unread_input():
                return connection
            await connection.close()
        stream = await connect(self.address, min(CONNECT_TIME_S, time_limit_s))
        return HttpStream(stream, h11.CLIENT)

    async def _put_back(self, connection: HttpStream, is_reusable: bool) -> None:
        if is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            connection.http.start_next_cycle()
            connection.is_reused = True
            self._idle.append(connection)
        else:
            await connection.close()


async def _read_answer(
    connection: HttpStream, timeout: CallTimeout, size_bytes: int, account: InputAccount
) -> CallResponse:
    status = 0
    headers: Headers = []
    body = bytearray()
    max_received_bytes = connection.received_bytes + size_bytes
    events = 0
    while True:
        with account.reading():
            event = await timeout.read(connection.receive)
        if isinstance(event, h11.EndOfMessage):
            return CallResponse(status, headers, bytes(body))
        if connection.received_bytes > max_received_bytes:
            raise ResponseTooLarge(f"the response is over {size_bytes} bytes")
        if isinstance(event, h11.Response):
            status, headers = event.status_code, list(event.headers)
            timeout.begin_body()
        elif isinstance(event, h11.Data):
            account.add(len(event.data))
            body += event.data
        elif not isinstance(event, h11.InformationalResponse):
            raise ConnectionLost("connection closed before the end of the response")
        timeout.note_progress(len(body))
        events += 1
        if events % MAX_READ_EVENTS == 0:
            await trio.lowlevel.checkpoint()
