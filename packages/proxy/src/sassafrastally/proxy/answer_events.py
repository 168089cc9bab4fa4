"""Reading of a backend server's response as a stream of events."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import EventTooLong
from sassafrastally.proxy.answer import (
    NO_EVENT_DETAIL,
    SILENT_SHARE,
    AttemptUnknown,
    read_in_time,
)
from sassafrastally.proxy.event_stream import EventSplitter, StreamEvent, carries_events
from sassafrastally.proxy.input_limits import (
    MAX_EVENT_BYTES,
    MAX_IDLE_BYTES,
    InputExcess,
    InputPlace,
)

if TYPE_CHECKING:
    from sassafrastally.proxy.answer import Answer
    from sassafrastally.proxy.body_framing import BodyFraming


SPLIT_BYTES = 4096
"""Number of bytes that are split at once: they hold at most some thousand events."""

CHECK_S = 0.2
"""How long the check of a complete body isn't cancelled: the largest one with events of 200 bytes
takes half of it, and a stopping entry has more time after its drain."""


class AnswerEvents:
    """The events of a response.

    Bytes of an incomplete event are buffered: if the server dies within the event, the next one
    sends it from its beginning, and the caller must not see both.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._splitter = EventSplitter()
        self._is_event_stream = carries_events(answer.headers, by_default=True)
        self._chunk = b""
        """Last chunk, whose bytes up to `_position` have been split."""
        self._position = 0
        self._held_bytes = 0
        self._waited_s = 0.0
        """Time spent on waiting since the last new event."""
        self._has_new_event = False
        """Whether the last read returned a new event."""
        self._idle_bytes = 0
        """Bytes since the last event that was new."""
        self._last_id = -1
        """Highest event id so far."""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._splitter.rest

    async def read(self, silence_limit_s: float) -> list[StreamEvent] | None:
        """Return the next events, or ``None`` after the whole stream.

        Nothing is lost if it is cancelled or times out: the next call goes on from there.

        Parameters
        ----------
        silence_limit_s
            Longest time to wait for a new event, counted over all calls since the last one or
            since a timeout. Comments, parts of an event and repeated ids don't extend it.

        Raises
        ------
        AttemptUnknown
            If the stream ends early, no event is complete in time or an event is too long. A
            timeout while bytes keep coming isn't reported as one: the server isn't silent.
        """
        self._has_new_event = False
        begin_s = trio.current_time()
        due_s = begin_s + silence_limit_s - self._waited_s
        try:
            events = await read_in_time(self._next_events, due_s)
        except AttemptUnknown as cause:
            self._waited_s = 0.0
            silent_s = trio.current_time() - self._answer.received_s
            if cause.is_timeout and silent_s < SILENT_SHARE * silence_limit_s:
                raise AttemptUnknown(NO_EVENT_DETAIL) from cause
            raise
        self._waited_s = (
            0.0 if self._has_new_event else self._waited_s + trio.current_time() - begin_s
        )
        return events

    async def _next_events(self) -> list[StreamEvent] | None:
        while True:
            if self._position >= len(self._chunk):
                chunk = await self._answer.next_chunk()
                if chunk is None:
                    self._require_end()
                    return None
                self._chunk, self._position = chunk, 0
            if events := self._split():
                return events

    def _split(self) -> list[StreamEvent]:
        """Return the events that the next bytes of the chunk complete."""
        begin, self._position = self._position, self._position + SPLIT_BYTES
        try:
            events = self._splitter.feed(self._chunk[begin : self._position])
        except EventTooLong as cause:
            excess = InputExcess(InputPlace.EVENT, self._splitter.rest_bytes, MAX_EVENT_BYTES)
            raise AttemptUnknown.from_excess(excess) from cause
        self._record_progress(events)
        added_bytes = self._splitter.rest_bytes - self._held_bytes
        self._held_bytes += added_bytes
        self._answer.hold(added_bytes)
        return _with_joined_comments(events)

    def _record_progress(self, events: list[StreamEvent]) -> None:
        """Bound the comments and repeated events between two new events."""
        for event in events:
            is_new = event.event_id is None or event.event_id > self._last_id
            if event.has_fields and is_new:
                self._idle_bytes, self._has_new_event = 0, True
            else:
                self._idle_bytes += len(event.data)
            if event.event_id is not None:
                self._last_id = max(self._last_id, event.event_id)
        if self._idle_bytes > MAX_IDLE_BYTES:
            excess = InputExcess(InputPlace.BETWEEN_EVENTS, self._idle_bytes, MAX_IDLE_BYTES)
            raise AttemptUnknown.from_excess(excess)

    def _require_end(self) -> None:
        if not self._is_event_stream:
            return
        if interruption := self._splitter.interruption(self._answer.framing):
            raise AttemptUnknown(interruption)


def _with_joined_comments(events: list[StreamEvent]) -> list[StreamEvent]:
    """Join comments that follow each other, since each item costs a write to the caller."""
    joined: list[StreamEvent] = []
    for has_fields, group in groupby(events, key=lambda event: event.has_fields):
        if has_fields:
            joined.extend(group)
        else:
            joined.append(StreamEvent(b"".join(event.data for event in group), None, False))
    return joined


async def body_interruption(body: bytes, framing: BodyFraming) -> str:
    """Return why an event stream that was read to its end isn't whole; empty if it is.

    It isn't cancelled for `CHECK_S`: a limit that passes meanwhile would drop a ready response.
    """
    splitter = EventSplitter(max_event_bytes=len(body))
    postponed_until_s = trio.current_time() + CHECK_S
    with trio.CancelScope(shield=True) as scope:
        for begin in range(0, len(body), SPLIT_BYTES):
            splitter.feed(body[begin : begin + SPLIT_BYTES])
            scope.shield = trio.current_time() < postponed_until_s
            await trio.lowlevel.checkpoint()
    return splitter.interruption(framing)
