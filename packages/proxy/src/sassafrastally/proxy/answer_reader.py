"""Reads the response to a request, behind responses to earlier requests on its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.proxy.answer import Answer, AttemptUnknown, receive
from sassafrastally.proxy.body_framing import body_framing
from sassafrastally.proxy.input_limits import DISCARD_TIME_S, MAX_DISCARDED_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.http_stream import HttpStream
    from sassafrastally.proxy.model import ResponseMetadata
    from sassafrastally.proxy.request import Request

NON_SUCCESS_STATUS = 300
"""Lowest HTTP status that doesn't mean success."""

MAX_STALE_ANSWERS = 2
"""Number of responses to earlier requests that are skipped before an attempt is abandoned."""


class AnswerReader:
    """Reads the header of one request's response.

    Parameters
    ----------
    connection
        Connection on which the request is sent.
    request
        The request.
    head
        Its header.
    record_header
        Decodes the header of each response and records its signals.
    """

    def __init__(
        self,
        connection: HttpStream,
        request: Request,
        head: h11.Request,
        record_header: Callable[[h11.Response], ResponseMetadata],
    ) -> None:
        self._connection = connection
        self._request = request
        self._head = head
        self._record_header = record_header
        self._stale: Answer | None = None
        """Response to an earlier request that is being skipped."""
        self._stale_answers = 0

    @property
    def is_awaited(self) -> bool:
        """Whether the header of the response hasn't been received."""
        is_awaiting_header = self._connection.http.their_state is h11.SEND_RESPONSE
        return self._stale is not None or is_awaiting_header

    def request_events(self) -> tuple[h11.Event, ...]:
        """Return the request as it is sent."""
        return self._head, h11.Data(data=self._request.body), h11.EndOfMessage()

    async def read(self) -> Answer:
        """Return the response; nothing is lost if it is cancelled.

        Raises
        ------
        AttemptUnknown
            If there is none.
        """
        while True:
            if self._stale is not None:
                await self._skip(self._stale)
            answer = await self._read_head()
            if _belongs_to_request(answer, self._request, is_reused=self._connection.is_reused):
                return answer
            # A server may send a second response to an earlier request on the connection, or other
            # bytes. The response to this request follows.
            self._stale = answer
            self._stale_answers += 1
            if self._stale_answers > MAX_STALE_ANSWERS:
                raise AttemptUnknown("received only responses to other requests")

    async def _skip(self, stale: Answer) -> None:
        if not await discard(stale):
            raise AttemptUnknown("a response to an earlier request wasn't complete in time")
        rest = self._connection.http.trailing_data[0]
        self._connection.http = awaiting = h11.Connection(h11.CLIENT)
        for event in self.request_events():
            awaiting.send(event)
        if rest:
            awaiting.receive_data(rest)  # Without data, this would be the end of the connection.
        self._stale = None

    async def _read_head(self) -> Answer:
        while True:
            event = await receive(self._connection)
            if isinstance(event, h11.Response):
                framing = body_framing(event, self._request.method)
                return Answer(self._connection, event, self._record_header(event), framing)
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                request_id = self._request.facts.request_id
                raise AttemptUnknown(f"connection closed without a response to {request_id}")


async def discard(answer: Answer) -> bool:
    """Read a body that isn't used; return whether it was complete in time.

    Raises
    ------
    AttemptUnknown
        If it breaks off or is too long.
    """
    try:
        await answer.read(trio.current_time() + DISCARD_TIME_S, MAX_DISCARDED_BYTES)
    except AttemptUnknown as cause:
        if cause.is_timeout:
            return False
        raise
    return True


def _belongs_to_request(answer: Answer, request: Request, *, is_reused: bool) -> bool:
    """Return whether a response may be the one to a request.

    A success that names no request and bears no mark isn't the server's own. On a connection that
    has been used before, it may be followed by the response to this request.
    """
    facts = answer.facts
    if facts.request_id is not None:
        return facts.request_id == request.facts.request_id
    return not is_reused or facts.is_sealed or answer.status >= NON_SUCCESS_STATUS
