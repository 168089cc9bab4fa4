"""The stream of one attempt, and when its events go to the caller."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.answer_events import AnswerEvents
from sassafrastally.proxy.failover_decision import Handling, Received

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.attempt import Answer
    from sassafrastally.proxy.caller_stream import CallerStream
    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.event_stream import StreamEvent
    from sassafrastally.proxy.open_attempt import OpenAttempt
    from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts, Start


class AttemptStream:
    """Forwards the events of an attempt, and holds them back while another may take over.

    Parameters
    ----------
    attempt, answer
        The attempt and its response.
    attempts
        All attempts of the request.
    caller_stream
        What the caller gets.
    headers
        Header fields for the caller.
    on_events
        Called with all events that arrive, and the time waited for them.
    """

    def __init__(
        self,
        attempt: OpenAttempt,
        answer: Answer,
        attempts: OverlappingAttempts[Start],
        caller_stream: CallerStream,
        headers: Headers,
        on_events: Callable[[list[StreamEvent], float], None],
    ) -> None:
        self._attempt = attempt
        self._answer = answer
        self._has_others = attempts.has_others
        self._receive = attempts.receive
        self._caller_stream = caller_stream
        self._headers = headers
        self._on_events = on_events
        self._events = AnswerEvents(answer)
        self._held: list[StreamEvent] = []
        """Comments that are held back."""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._events.rest

    async def forward(self) -> None:
        """Forward the stream event by event, so that a broken one can be resumed.

        Raises
        ------
        AttemptUnknown
            If it breaks off.
        ConnectionLost
            If the caller can't be reached.
        trio.Cancelled
            If another attempt has taken over.
        """
        if not self._has_others(self._attempt):
            await self._begin()
        while True:
            # Measured only while waiting for the server: the time spent on writing to the caller
            # says nothing about the server.
            waiting_since_s = trio.current_time()
            with self._attempt.wait.awaited():
                events = await self._events.read(math.inf)
            if events is not None:
                self._on_events(events, trio.current_time() - waiting_since_s)
            released = await self._release(events)
            if released or events is None:
                await self._begin()
            for event in released:
                await self._caller_stream.forward(event, trio.current_time())
            if events is None:
                break
        await self._caller_stream.end(self.rest)

    async def _begin(self) -> None:
        await self._caller_stream.begin(self._answer.status, self._headers)

    async def _release(self, events: list[StreamEvent] | None) -> list[StreamEvent]:
        """Return the events that go to the caller now; `events` is ``None`` at the end."""
        new = [event for event in events or () if not self._caller_stream.has(event)]
        received = Received.NOTHING_NEW
        if events is None:
            received = Received.RESPONSE
        elif any(event.has_fields for event in new):
            received = Received.NEW_EVENT
        if await self._receive(self._attempt, received) is Handling.HOLD:
            self._held += new
            self._answer.hold(_size_bytes(new))
            return []
        if self._held:
            self._answer.hold(-_size_bytes(self._held))
            new, self._held = [*self._held, *new], []
        return new


def _size_bytes(events: list[StreamEvent]) -> int:
    return sum(len(event.data) for event in events)
