"""Callers of an entry, and what became of their requests."""

from __future__ import annotations

import json
import math
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import ReceivedResponse, read_response
from sassafrastally.testing.lag.requests import PLAIN, CallerRequest, Kind, Upload

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.core import Address

CONNECT_S = 1.0
"""How long callers wait for a connection."""

PATIENCE_S = 2.0
"""How long callers still wait for an answer after their time is over."""


class Exchange(NamedTuple):
    """A request and its end; times on the clock of the callers' loop.

    Attributes
    ----------
    begin_s
        When its first byte was sent.
    sent_s
        When the operating system had all of it; infinite if it never had.
    paused_s
        How long its caller didn't send in the middle of it.
    limit_s
        End of the time that its caller gave it.
    ended_s
        When its answer or its connection ended; infinite if neither did.
    status
        0 without an answer.
    is_whole
        Whether the answer is complete and the server's or the entry's own.
    is_foreign
        Whether it is a success that looks complete and isn't the server's whole answer.
    code
        Code of the entry's own answer; empty for a server's.
    is_last
        Whether the answer says that the connection ends.
    detail
        What the entry's own answer says.
    """

    request_id: str
    kind: Kind
    upload: Upload
    begin_s: float
    sent_s: float
    paused_s: float
    limit_s: float
    ended_s: float
    status: int
    is_whole: bool
    is_foreign: bool
    code: str
    is_last: bool
    detail: str


NO_RESPONSE = ReceivedResponse(0, {}, b"", False)


class Caller:
    """A caller with one connection at a time.

    Parameters
    ----------
    address
        Where it connects.
    exchanges
        Its requests are added here as they end.
    make_request
        Makes a request.
    """

    def __init__(
        self,
        address: Address,
        exchanges: list[Exchange],
        make_request: Callable[[Kind, Upload, float], CallerRequest],
    ) -> None:
        self._address = address
        self._make_request = make_request
        self._exchanges = exchanges
        self._connection: HttpStream | None = None

    async def call(
        self, kind: Kind, upload: Upload = PLAIN, time_left_s: float = 4.0
    ) -> Exchange | None:
        """Send a request on the open connection, or a new one; ``None`` if that is refused."""
        connection = await self._open()
        if connection is None:
            return None
        request = self._make_request(kind, upload, time_left_s)
        begin_s = trio.current_time()
        sending = _Sending(connection, request.encode(connection.http), upload.pause_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sending.run)
            response = await _read(connection, begin_s + time_left_s + PATIENCE_S)
            nursery.cancel_scope.cancel()
        ended = self._end(request, begin_s, sending, response)
        if not ended.status or ended.is_last or connection.http.our_state is not h11.DONE:
            await self.hang_up()
        else:
            connection.http.start_next_cycle()
        return ended

    async def call_pipelined(self, kind: Kind, count: int, time_left_s: float = 4.0) -> bool:
        """Send several requests at once on a new connection; return whether that is accepted."""
        connection = await self._open()
        if connection is None:
            return False
        requests = [self._make_request(kind, PLAIN, time_left_s) for _ in range(count)]
        data = [part for one in requests for part in one.encode(h11.Connection(h11.CLIENT))]
        begin_s = trio.current_time()
        sending = _Sending(connection, [b"".join(data)], 0.0)
        await sending.run()
        for request in requests:
            request.encode(connection.http)  # Its answer is read as that to the latest request.
            response = await _read(connection, begin_s + time_left_s + PATIENCE_S)
            ended = self._end(request, begin_s, sending, response)
            if not ended.status or ended.is_last:
                break
            connection.http.start_next_cycle()
        await self.hang_up()
        return True

    async def hang_up(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close()

    async def _open(self) -> HttpStream | None:
        if self._connection is None:
            try:
                stream = await connect(self._address, CONNECT_S)
            except ConnectionLost:
                return None
            self._connection = HttpStream(stream, h11.CLIENT)
        return self._connection

    def _end(
        self,
        request: CallerRequest,
        begin_s: float,
        sending: _Sending,
        response: ReceivedResponse | None,
    ) -> Exchange:
        ended_s = math.inf if response is None else trio.current_time()
        response = response or NO_RESPONSE
        is_whole = response.is_whole and response.status > 0
        is_foreign, code, detail = False, "", ""
        if response.headers.get("content-type") == "application/problem+json":
            if is_whole:
                document = json.loads(response.body)
                code, detail = document["type"].rpartition(":")[2], document.get("detail", "")
        elif response.status == 200:
            is_whole = is_whole and request.is_answered_by(response)
            is_foreign = not is_whole and not request.is_broken_off(response)
        ended = Exchange(
            request.request_id,
            request.kind,
            request.upload,
            begin_s,
            sending.sent_s,
            sending.paused_s,
            begin_s + request.time_left_s,
            ended_s,
            response.status,
            is_whole,
            is_foreign,
            code,
            response.headers.get("connection", "").lower() == "close",
            detail,
        )
        self._exchanges.append(ended)
        return ended


class _Sending:
    """Sends a request; an answer may come, or the connection end, before it is complete."""

    def __init__(self, connection: HttpStream, data: Sequence[bytes], pause_s: float) -> None:
        self.sent_s = math.inf
        self.paused_s = 0.0
        self._connection = connection
        self._data = data
        self._pause_s = pause_s

    async def run(self) -> None:
        with suppress(ConnectionLost):
            for number, piece in enumerate(self._data):
                if number:
                    begin_s = trio.current_time()
                    await trio.sleep(self._pause_s)
                    self.paused_s += trio.current_time() - begin_s
                await self._connection.send_bytes(piece)
            self.sent_s = trio.current_time()


async def _read(connection: HttpStream, until_s: float) -> ReceivedResponse | None:
    """Return the response, or ``None`` if none comes in time."""
    with trio.move_on_at(until_s):
        return await read_response(connection)
    return None
