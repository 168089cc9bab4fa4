"""The events of a stream, when they were forwarded, and whether the stream came to its end."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core import EventBlocks, is_event_stream
from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.input_limits import MAX_EVENT_BYTES
from sassafrastally.proxy.response_times import ResponseTimes

if TYPE_CHECKING:
    from sassafrastally.proxy.dialect import Headers

ID_FIELD = b"id"

MAX_ID_DIGITS = 18
"""Event ids fit in 64 bits."""


class StreamEvent(NamedTuple):
    """One complete event, or comments between events."""

    data: bytes
    """Its bytes, including the blank line at its end."""
    event_id: int | None
    has_fields: bool
    """Whether it isn't made of comments alone."""


class EventSplitter:
    """Splits a body into events and decides whether it came to its end.

    Parameters
    ----------
    max_event_bytes
        Maximum size of an incomplete event.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._blocks = EventBlocks(max_event_bytes)
        self._has_events = False

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._blocks.rest

    @property
    def rest_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return self._blocks.rest_bytes

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        EventTooLong
            If an incomplete event exceeds the maximum size.
        """
        return [self._event(block) for block in self._blocks.feed(data)]

    def interruption(self, framing: BodyFraming) -> str:
        """Return why a body that has ended isn't a whole stream; empty if it is one.

        The end of a connection delimits a body of that framing, but a server that crashes closes
        its connections as well. Then the content must show that the stream is whole.

        Parameters
        ----------
        framing
            What delimited the body.
        """
        if self._blocks.is_inside_event:
            return "the stream ended inside an event"
        if framing is not BodyFraming.CLOSE:
            return ""
        if self._blocks.is_inside_line:
            return "the connection was closed inside a line of the stream"
        if not self._has_events:
            return "the connection was closed before the first event of the stream"
        return ""

    def _event(self, block: bytes) -> StreamEvent:
        has_fields, last_id = self._blocks.find_last(block, ID_FIELD)
        self._has_events |= has_fields
        return StreamEvent(block, _event_id(last_id), has_fields)


def carries_events(headers: Headers, *, by_default: bool) -> bool:
    """Return whether a response's body is an event stream.

    Parameters
    ----------
    headers
        Header fields of the response.
    by_default
        The value for a response that doesn't name its content type.
    """
    for name, value in headers:
        if name == b"content-type":
            return is_event_stream(value.decode("latin-1"))
    return by_default


def _event_id(last_id: bytes | None) -> int | None:
    """Return the number in the value of an id field; ``None`` if it isn't a number."""
    value = (last_id or b"").strip()
    return int(value) if value.isdigit() and len(value) <= MAX_ID_DIGITS else None


class EventTimes:
    """Times at which the caller got the events of a stream.

    Parameters
    ----------
    arrived_s
        When its request arrived.
    """

    def __init__(self, arrived_s: float) -> None:
        self.first_s: float | None = None
        """Time from the request to the first event."""
        self.last_s = arrived_s
        """When the last event was forwarded; the arrival of the request before the first one."""
        self.longest_pause_s = 0.0
        self._arrived_s = arrived_s

    def record(self, now_s: float) -> None:
        """Record an event."""
        if self.first_s is None:
            self.first_s = now_s - self._arrived_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_s)
        self.last_s = now_s

    def of_response(self, total_s: float) -> ResponseTimes:
        """Return the times of a response that took `total_s`."""
        return ResponseTimes(self.first_s or 0.0, total_s, self.longest_pause_s)
