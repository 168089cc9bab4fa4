"""HTTP client for short calls with small responses, over keep-alive connections."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.proxy.cpu_overload import StepTimeout

# Runtime import: Headers is a field type of a named tuple.
from sassafrastally.proxy.dialect import Headers
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.proxy.store import AnswerLost

if TYPE_CHECKING:
    from sassafrastally.core import Address

CONNECT_TIME_S = 0.4
"""Connection timeout. Connecting within a region takes a few milliseconds. If a packet is lost, TCP
retransmits it after a second, so it is cheaper to try again."""

MAX_IDLE_CONNECTIONS = 4
"""Maximum number of idle connections per address: enough for a watch, a lease and two other
concurrent calls."""

MAX_CALL_TIME_S = 35.0
"""Total timeout of a call whose response keeps arriving; longer than the longest watch poll."""


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
    """

    def __init__(self, address: Address, host_name: str | None = None) -> None:
        self.address = address
        self._host = (host_name or str(address)).encode()
        self._idle: list[HttpStream] = []

    async def exchange(
        self, method: str, target: str, headers: Headers, body: bytes, time_limit_s: float
    ) -> CallResponse:
        """Send a call and return its response.

        Parameters
        ----------
        time_limit_s
            Timeout for the response header and for each chunk of the body. It isn't a limit for the
            whole response: over a slow link, a large response would time out, be requested again
            and again, and fill the link with data that is thrown away.

        Raises
        ------
        AnswerLost
            If there is no complete response.
        """
        try:
            timeout = StepTimeout(time_limit_s)
            with trio.fail_after(MAX_CALL_TIME_S):
                return await self._exchange(method, target, headers, body, timeout, time_limit_s)
        except (ConnectionLost, h11.RemoteProtocolError, trio.TooSlowError) as cause:
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
        timeout: StepTimeout,
        silence_timeout_s: float,
    ) -> CallResponse:
        connection = await self._take(silence_timeout_s)
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
            response = await _read_answer(connection, timeout, silence_timeout_s)
            is_reusable = connection.http.our_state is h11.DONE and (
                connection.http.their_state is h11.DONE
            )
            return response
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
            self._idle.append(connection)
        else:
            await connection.close()


async def _read_answer(
    connection: HttpStream, timeout: StepTimeout, silence_timeout_s: float
) -> CallResponse:
    status = 0
    headers: Headers = []
    body = bytearray()
    while True:
        event = await timeout.read(connection.receive)
        if isinstance(event, h11.Response):
            status, headers = event.status_code, list(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
            timeout.extend(silence_timeout_s)
        elif isinstance(event, h11.EndOfMessage):
            return CallResponse(status, headers, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionLost("connection closed before the end of the response")
