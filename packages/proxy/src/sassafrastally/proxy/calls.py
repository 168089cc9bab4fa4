"""Short calls with small answers, over connections that are kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.proxy.store import AnswerLost

if TYPE_CHECKING:
    from sassafrastally.core import Address
    from sassafrastally.proxy.dialect import Headers

CONNECT_TIME_S = 0.4
"""A connection in a region takes some milliseconds; one lost packet costs more than this, and a
new try is cheaper than waiting for its repeat after a second."""

KEPT_CONNECTIONS = 4
"""Idle connections kept for one address: a watch, a lease and two others at once."""

MOST_TIME_S = 35.0
"""Longest time for a call whose answer goes on coming: more than the longest wait of a watch."""


class CallClient:
    """Calls to one address.

    A kept connection that fails is never tried twice in silence: the caller learns `AnswerLost`
    and decides whether the call may be repeated.

    Parameters
    ----------
    address
        Where the calls go.
    host_name
        Name by which they ask for the host; the address if not given.
    """

    def __init__(self, address: Address, host_name: str | None = None) -> None:
        self.address = address
        self._host = (host_name or str(address)).encode()
        self._idle: list[HttpStream] = []

    async def exchange(
        self, method: str, target: str, headers: Headers, body: bytes, time_limit_s: float
    ) -> tuple[int, bytes]:
        """Return status and body.

        Parameters
        ----------
        time_limit_s
            Longest wait for the answer, and for each further piece of it. A large answer on a slow
            link goes on coming; given up after a fixed time, it would be asked for again and again,
            and fill the link with what nobody takes.

        Raises
        ------
        AnswerLost
            When no whole answer came.
        """
        try:
            with trio.fail_after(time_limit_s) as limit, trio.fail_after(MOST_TIME_S):
                return await self._exchange(method, target, headers, body, limit, time_limit_s)
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
        limit: trio.CancelScope,
        silence_limit_s: float,
    ) -> tuple[int, bytes]:
        connection = await self._take()
        is_reusable = False
        try:
            await connection.send(
                h11.Request(
                    method=method,
                    target=target,
                    headers=[
                        (b"host", self._host),
                        (b"content-length", str(len(body)).encode()),
                        *headers,
                    ],
                ),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )
            status, answer = await _read_answer(connection, limit, silence_limit_s)
            is_reusable = connection.http.our_state is h11.DONE and (
                connection.http.their_state is h11.DONE
            )
            return status, answer
        finally:
            await self._put_back(connection, is_reusable)

    async def _take(self) -> HttpStream:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_unread_input():
                return connection
            await connection.close()
        return HttpStream(await connect(self.address, CONNECT_TIME_S), h11.CLIENT)

    async def _put_back(self, connection: HttpStream, is_reusable: bool) -> None:
        if is_reusable and len(self._idle) < KEPT_CONNECTIONS:
            connection.http.start_next_cycle()
            self._idle.append(connection)
        else:
            await connection.close()


async def _read_answer(
    connection: HttpStream, limit: trio.CancelScope, silence_limit_s: float
) -> tuple[int, bytes]:
    status = 0
    body = bytearray()
    while True:
        event = await connection.receive()
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            limit.deadline = max(limit.deadline, trio.current_time() + silence_limit_s)
        elif isinstance(event, h11.EndOfMessage):
            return status, bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionLost("closed before the answer")
