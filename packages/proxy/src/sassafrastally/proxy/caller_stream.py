"""The stream of events that a caller gets, from one server after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.event_stream import EventTimes
from sassafrastally.proxy.stream_agreement import ForwardedEvents, StreamPosition

if TYPE_CHECKING:
    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.event_stream import StreamEvent
    from sassafrastally.proxy.reply import Reply
    from sassafrastally.proxy.stream_agreement import Agreement
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
        self.forwarded = ForwardedEvents()
        """Events forwarded so far."""
        self.times = EventTimes(task.request.arrived_s)
        self._timeout_s = timeout_s
        self._reply = reply
        self._progress = progress

    @property
    def caller_leaves_s(self) -> float:
        """When the caller closes the stream unless an event comes."""
        return self.times.last_s + self._timeout_s

    @property
    def position(self) -> StreamPosition:
        """The position of an attempt that begins after the last event that the caller has."""
        return StreamPosition(self.forwarded.count, self.last_event_id)

    def agreement(self, event: StreamEvent, position: StreamPosition) -> Agreement:
        """Return how an attempt's next event relates to those that the caller has got."""
        return self.forwarded.agreement(event, position)

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the header unless it is sent already; raises `ConnectionLost`."""
        if not self._reply.has_begun:
            await self._reply.begin(status, headers)

    async def end(self, rest: bytes) -> None:
        """Send the bytes after the last event and the end; raises `ConnectionLost`."""
        if rest:
            await self._reply.send(rest)
        await self._reply.end()

    async def forward(self, event: StreamEvent, now_s: float, *, has_others: bool) -> None:
        """Forward an event or comments that the caller lacks; raises `ConnectionLost`.

        Parameters
        ----------
        event
            The event.
        now_s
            Present time.
        has_others
            Whether other attempts are open, which may send it as well.
        """
        self.record(event, now_s, has_others=has_others)
        await self._reply.send(event.data)

    def keep(self, status: int, headers: Headers, rest: bytes) -> None:
        """Keep the rest of a whole stream, which `Reply.send_rest` sends after the limit."""
        self._reply.keep_rest(status, headers, rest)

    def record(self, event: StreamEvent, now_s: float, *, has_others: bool) -> None:
        """Record an event or comments that the caller gets; parameters as of `forward`."""
        if event.has_fields:
            self.times.record(now_s)
            self.forwarded.record(event, has_others=has_others)
        if event.event_id is not None:
            self.last_event_id = event.event_id
            self._progress.last_event_id = event.event_id
        elif event.has_fields:
            self._progress.has_unnumbered_events = True
