"""A backend server's response to an attempt, and the errors of attempts without one."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import h11
import trio

from sassafrastally.core import CodedError, error
from sassafrastally.proxy.body_framing import BodyFraming, requires_content
from sassafrastally.proxy.cpu_overload import read_until
from sassafrastally.proxy.http_stream import ConnectionLost, InputTooLong
from sassafrastally.proxy.input_limits import (
    MAX_BODY_BYTES,
    InputBudgetExceeded,
    InputExcess,
    InputPlace,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import Address
    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.http_stream import HttpStream
    from sassafrastally.proxy.model import ResponseMetadata

T = TypeVar("T")

SILENT_SHARE = 0.5
"""A server that has sent nothing for this share of the limit is silent, rather than busy with an
event that never ends."""

RESET_TIME_S = 0.1
"""Time in which a server that answers before it has the request resets its connection after its
host has acknowledged the rest, if it has broken off: it ends its sending side and closes in two
steps, between which a busy machine may keep it waiting for some tens of milliseconds."""

NO_EVENT_DETAIL = "bytes kept coming, but no event was complete before the timeout"

TIMEOUT_DETAIL = "no data arrived before the timeout"
INCOMPLETE_HEADER_DETAIL = "the response header wasn't complete before the timeout"
NO_CONTENT_DETAIL = "the connection was closed before the first byte of the body"


@error(10005)
class AttemptNotRun(CodedError):
    """The backend server has not run the request and never will."""

    failed_server_address: Address | None = None
    """Address of another backend server that caused the failure."""
    is_unreachable = False
    """Whether no connection could be opened, so that nothing was sent."""
    is_out_of_time = False
    """Whether nothing was sent because the time for the attempt was over."""
    counts_against_server = True
    """Whether the failure counts against the server that was called."""
    excess: InputExcess | None = None
    """The bound that the response exceeded, if any."""


@error(10006)
class AttemptUnknown(CodedError):
    """The attempt got no complete response; the request may have run."""

    is_timeout = False
    """Whether the only failure was a timeout."""
    excess: InputExcess | None = None
    """The bound that the response exceeded, if any."""

    @classmethod
    def from_excess(cls, excess: InputExcess) -> AttemptUnknown:
        """Return the error for a response that exceeds a bound."""
        unknown = cls(str(excess))
        unknown.excess = excess
        return unknown


class Answer:
    """A response whose header has been received.

    Attributes
    ----------
    status
        HTTP status.
    headers
        Header fields sent by the backend server.
    framing
        How the end of the body is delimited.
    facts
        Information extracted from the header.
    """

    def __init__(
        self,
        connection: HttpStream,
        response: h11.Response,
        facts: ResponseMetadata,
        framing: BodyFraming,
    ) -> None:
        self.status = response.status_code
        self.headers: Headers = list(response.headers)
        self.framing = framing
        self.facts = facts
        self._connection = connection
        self._lacks_content = requires_content(self.status, framing)
        """Whether the body may not end yet."""
        is_early = framing is BodyFraming.CLOSE and connection.is_sending
        self._reset_time_s = RESET_TIME_S if is_early else 0.0
        self._has_ended = False
        """Whether the end of the body has been read."""

    async def chunk(self, silence_limit_s: float = math.inf) -> bytes | None:
        """Return the next chunk of the body, or ``None`` after the last one.

        Parameters
        ----------
        silence_limit_s
            Longest time to wait for the chunk.

        Raises
        ------
        AttemptUnknown
            If the body ends early or no data arrives in time.
        """
        return await read_in_time(self.next_chunk, trio.current_time() + silence_limit_s)

    async def read(self, due_s: float = math.inf, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        due_s
            Time by which it must be complete.
        max_bytes
            Maximum size.

        Raises
        ------
        AttemptUnknown
            If the body ends early, isn't complete in time or is too long.
        """
        body = bytearray()
        await read_in_time(partial(self._read_into, body, max_bytes), due_s)
        return bytes(body)

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk as `chunk`, without a limit; nothing is lost if it is cancelled."""
        while not self._has_ended:
            event = await receive(self._connection)
            if isinstance(event, h11.Data):
                self._lacks_content = False
                return bytes(event.data)
            self._has_ended = isinstance(event, h11.EndOfMessage)
        if self._lacks_content:
            raise AttemptUnknown(NO_CONTENT_DETAIL)
        if self.framing is BodyFraming.CLOSE:
            await self._require_delivered()
        return None

    async def _require_delivered(self) -> None:
        """Wait until the server's host has the request: a reset may follow the end."""
        try:
            await self._connection.require_delivered(self._reset_time_s)
        except ConnectionLost as cause:
            raise AttemptUnknown(f"response interrupted: {cause}") from cause

    def hold(self, added_bytes: int) -> None:
        """Count bytes that are held until they are handed on; negative for those that were.

        Raises
        ------
        AttemptUnknown
            If the response is given up for the sake of others.
        """
        try:
            self._connection.account.add(added_bytes)
        except InputBudgetExceeded as cause:
            raise AttemptUnknown.from_excess(cause.excess) from cause

    @property
    def received_s(self) -> float:
        """When the last bytes of the response were received."""
        return self._connection.received_s

    async def _read_into(self, body: bytearray, max_bytes: int) -> None:
        while (chunk := await self.next_chunk()) is not None:
            body += chunk
            self.hold(len(chunk))
            if len(body) > max_bytes:
                raise AttemptUnknown.from_excess(InputExcess(InputPlace.BODY, len(body), max_bytes))


async def read_in_time(read: Callable[[], Awaitable[T]], due_s: float) -> T:
    """Read until a time, and once more if the entry ran late.

    Parameters
    ----------
    read
        Reads; loses nothing when it is cancelled.
    due_s
        Time by which it must be done.

    Raises
    ------
    AttemptUnknown
        If it isn't done in time.
    """
    try:
        return await read_until(read, due_s)
    except trio.TooSlowError:
        raise timeout_error() from None


def timeout_error() -> AttemptUnknown:
    """Return the error for an attempt that timed out waiting for data."""
    error = AttemptUnknown(TIMEOUT_DETAIL)
    error.is_timeout = True
    return error


async def receive(connection: HttpStream) -> h11.Event | type[h11.PAUSED]:
    """Return the next event of a response; raises `AttemptUnknown` if it is interrupted."""
    try:
        event = await connection.receive()
    except (InputTooLong, InputBudgetExceeded) as cause:
        raise AttemptUnknown.from_excess(cause.excess) from cause
    except (ConnectionLost, h11.RemoteProtocolError) as cause:
        raise AttemptUnknown(f"response interrupted: {cause}") from cause
    if isinstance(event, h11.ConnectionClosed):
        raise AttemptUnknown("connection closed before the end of the response")
    if event is h11.PAUSED:
        raise AttemptUnknown("the server left HTTP, as after a CONNECT request")
    return event
