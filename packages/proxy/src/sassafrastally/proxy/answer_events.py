"""Reading of a backend server's response as a stream of events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import EventTooLong
from sassafrastally.proxy.attempt import AttemptUnknown
from sassafrastally.proxy.event_stream import EventSplitter, carries_events

if TYPE_CHECKING:
    from sassafrastally.proxy.attempt import Answer
    from sassafrastally.proxy.event_stream import StreamEvent


class AnswerEvents:
    """The events of a response.

    Bytes of an incomplete event are buffered: if the server dies within the event, the next one
    sends it from its beginning, and the caller must not see both.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._splitter = EventSplitter()
        self._is_event_stream = carries_events(answer.headers, by_default=True)

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._splitter.rest

    async def read(self, silence_limit_s: float) -> list[StreamEvent] | None:
        """Return the events that the next chunk completes, or ``None`` after the whole stream.

        Parameters
        ----------
        silence_limit_s
            Longest time to wait for the chunk.

        Raises
        ------
        AttemptUnknown
            If the stream ends early, no data arrives in time or an event is too long.
        """
        chunk = await self._answer.chunk(silence_limit_s)
        if chunk is None:
            self._require_end()
            return None
        try:
            return self._splitter.feed(chunk)
        except EventTooLong as cause:
            raise AttemptUnknown(cause.detail) from cause

    def _require_end(self) -> None:
        if not self._is_event_stream:
            return
        if interruption := self._splitter.interruption(self._answer.framing):
            raise AttemptUnknown(interruption)
