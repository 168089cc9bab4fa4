"""The stream of events that a caller gets, from one server after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.event_stream import EventTimes

if TYPE_CHECKING:
    from sassafrastally.proxy.event_stream import StreamEvent
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.task import Progress, RequestTask


class CallerStream:
    """Forwards each event once, so that a stream can be resumed on another server.

    Parameters
    ----------
    task, reply, progress
        The request.
    """

    def __init__(self, task: RequestTask, reply: Reply, progress: Progress) -> None:
        self.last_event_id = task.request.facts.last_event_id
        """ID of the last event that the caller has; ``None`` without one."""
        self.times = EventTimes(task.request.arrived_s)
        self._reply = reply
        self._progress = progress

    async def forward(self, event: StreamEvent, now_s: float) -> None:
        """Forward an event unless the caller has it; raises `ConnectionLost`."""
        known_id = -1 if self.last_event_id is None else self.last_event_id
        if event.event_id is not None and event.event_id <= known_id:
            return  # Already forwarded; the resumed stream begins earlier than requested.
        if event.has_fields:
            self.times.record(now_s)
        await self._reply.send(event.data)
        if event.event_id is not None:
            self.last_event_id = event.event_id
            self._progress.last_event_id = event.event_id
        elif event.has_fields:
            self._progress.has_unnumbered_events = True
