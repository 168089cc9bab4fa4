"""The stream of one attempt, and which of its events go to the caller."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.answer_events import AnswerEvents
from sassafrastally.proxy.cpu_overload import read_until
from sassafrastally.proxy.failover_decision import Handling, Received
from sassafrastally.proxy.stream_agreement import Agreement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sassafrastally.proxy.attempt import Answer
    from sassafrastally.proxy.caller_stream import CallerStream
    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.event_stream import StreamEvent
    from sassafrastally.proxy.open_attempt import OpenAttempt
    from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts, Start

READY_S = 0.005
"""How long an attempt reads on before it forwards the first event after a silence. Runs may differ:
then a response that has arrived as a whole must come before the begin of another one."""

MAX_READY_BYTES = 65_536
"""Size of what is read in that time."""

_RECEIVED = {
    Agreement.NEW: Received.NEW_EVENT,
    Agreement.KNOWN: Received.KNOWN_EVENT,
    Agreement.DIFFERENT: Received.OTHER_EVENT,
}


class AttemptStream:
    """Forwards the events of an attempt that the caller lacks, and compares those that it has.

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
        self._is_contested = attempts.is_contested
        self._receive = attempts.receive
        self._turn = attempts.turn
        self._caller_stream = caller_stream
        self._headers = headers
        self._on_events = on_events
        self._events = AnswerEvents(answer)
        self._held: list[StreamEvent] = []
        """Comments that are held back."""
        self._counted_bytes = 0
        """Bytes that are counted as held."""
        self._is_whole = False
        """Whether the stream has come to its end."""
        self.has_kept_failure = False
        """Whether a failure is kept, which can only be forwarded until the header is sent."""

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
            If it is closed for another attempt.
        """
        if not self.has_kept_failure and not self._has_others(self._attempt):
            await self._begin()
        while not self._is_whole and (events := await self._read()) is not None:
            if self._is_contested(self._attempt):
                events += await self._read_ready()
            async with self._turn(self._attempt):
                for event in events:
                    await self._take(event)
                self._count(_size_bytes(self._held))
        async with self._turn(self._attempt):
            await self._end()

    async def _begin(self) -> None:
        await self._caller_stream.begin(self._answer.status, self._headers)

    async def _read(self) -> list[StreamEvent] | None:
        # Measured only while waiting for the server: the time spent on writing to the caller says
        # nothing about the server.
        waiting_since_s = trio.current_time()
        with self._attempt.wait.awaited():
            events = await self._events.read(math.inf)
        if events is not None:
            self._on_events(events, trio.current_time() - waiting_since_s)
        return events

    async def _read_ready(self) -> list[StreamEvent]:
        """Return what arrives within a moment, and note whether the stream is whole with it."""
        begin_s = trio.current_time()
        events: list[StreamEvent] = []
        read = partial(self._events.read, math.inf)
        with self._attempt.wait.awaited():
            while not self._is_whole and self._counted_bytes < MAX_READY_BYTES:
                try:
                    more = await read_until(read, begin_s + READY_S)
                except trio.TooSlowError:
                    break
                self._is_whole = more is None
                events += more or ()
                self._count(self._counted_bytes + _size_bytes(more or ()))
        if events:
            self._on_events(events, trio.current_time() - begin_s)
        return events

    async def _take(self, event: StreamEvent) -> None:
        """Forward, compare or hold back an event."""
        received = Received.COMMENT
        if event.has_fields:
            received = _RECEIVED[self._caller_stream.agreement(event, self._attempt.position)]
        handling = await self._receive(self._attempt, received)
        if handling is Handling.HOLD:
            self._held.append(event)
        elif handling is Handling.FORWARD:
            await self._release()
            await self._forward(event)
        else:
            # What precedes an event that the caller has would come too late.
            self._held.clear()
            if self._attempt.position.is_new_to_attempt(event):
                self._attempt.position = self._attempt.position.after(event)

    async def _forward(self, event: StreamEvent) -> None:
        has_others = self._has_others(self._attempt)
        await self._caller_stream.forward(event, trio.current_time(), has_others=has_others)
        if event.has_fields:
            self._attempt.position = self._attempt.position.after(event)

    async def _release(self) -> None:
        """Forward the comments that are held back."""
        await self._begin()
        held, self._held = self._held, []
        for event in held:
            await self._forward(event)

    async def _end(self) -> None:
        """End the caller's stream, unless other attempts have sent more events than this one."""
        is_whole = self._attempt.position.events == self._caller_stream.forwarded.count
        await self._receive(
            self._attempt, Received.RESPONSE if is_whole else Received.OTHER_RESPONSE
        )
        await self._release()
        await self._caller_stream.end(self.rest)

    def _count(self, held_bytes: int) -> None:
        """Count the bytes that are held; raises `AttemptUnknown` if they are too many."""
        added_bytes, self._counted_bytes = held_bytes - self._counted_bytes, held_bytes
        if added_bytes:
            self._answer.hold(added_bytes)


def _size_bytes(events: Iterable[StreamEvent]) -> int:
    return sum(len(event.data) for event in events)
