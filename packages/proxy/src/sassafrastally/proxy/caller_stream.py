"""The stream of events that a caller gets, from one server after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.event_stream import EventTimes

if TYPE_CHECKING:
    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.event_stream import StreamEvent
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.task import Progress, RequestTask


class CallerStream:
    """Forwards each event once, so that a stream can be resumed on another server.

    Parameters
    ----------
    task, reply, progress
        The request.
    timeout_s
        Silence after which the caller closes the stream.
    """

    def __init__(
        self, task: RequestTask, reply: Reply, progress: Progress, timeout_s: float
    ) -> None:
        self.last_event_id = task.request.facts.last_event_id
        """ID of the last event that the caller has; ``None`` without one."""
        self.times = EventTimes(task.request.arrived_s)
        self._timeout_s = timeout_s
        self._reply = reply
        self._progress = progress

    @property
    def caller_leaves_s(self) -> float:
        """When the caller closes the stream unless an event comes."""
        return self.times.last_s + self._timeout_s

    def has(self, event: StreamEvent) -> bool:
        """Return whether the caller has an event, as if a resumed stream begins too early."""
        known_id = -1 if self.last_event_id is None else self.last_event_id
        return event.event_id is not None and event.event_id <= known_id

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the header unless it is sent already; raises `ConnectionLost`."""
        if not self._reply.has_begun:
            await self._reply.begin(status, headers)

    async def end(self, rest: bytes) -> None:
        """Send the bytes after the last event and the end; raises `ConnectionLost`."""
        if rest:
            await self._reply.send(rest)
        await self._reply.end()

    async def forward(self, event: StreamEvent, now_s: float) -> None:
        """Forward an event unless the caller has it; raises `ConnectionLost`."""
        if self.has(event):
            return
        if event.has_fields:
            self.times.record(now_s)
        await self._reply.send(event.data)
        if event.event_id is not None:
            self.last_event_id = event.event_id
            self._progress.last_event_id = event.event_id
        elif event.has_fields:
            self._progress.has_unnumbered_events = True
