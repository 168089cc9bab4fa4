"""One open attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.answer_progress import AnswerProgress
from sassafrastally.proxy.stream_agreement import StreamPosition

if TYPE_CHECKING:
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.silence_watch import ServerWait


class OpenAttempt:
    """An attempt of a request, from its begin to its end.

    Parameters
    ----------
    server
        The server that gets the request.
    number
        Number of the attempt, from 1.
    begin_s
        When it began.
    wait
        The wait for the server.
    """

    def __init__(
        self, server: BackendServer, number: int, begin_s: float, wait: ServerWait
    ) -> None:
        self.server = server
        self.number = number
        self.begin_s = begin_s
        self.wait = wait
        self.answer = AnswerProgress()
        """Progress of the answer to the attempt."""
        self.progress_since_silence = AnswerProgress()
        """The same since the last time at which the servers of all open attempts were silent."""
        self.position = StreamPosition(0, None)
        """How far its events agree with what the caller has got."""
        self.is_return = False
        """Whether its server could resume the stream after an earlier attempt."""
        self.is_sent = False
        """Whether its request has been sent."""
        self.scope = trio.CancelScope()
        """Closes the attempt when another one goes on."""
        self.silence_detail = ""
        """How the server was silent for as long as an attempt is given; empty if it wasn't."""
        self.is_slow = False
        """Whether another attempt was added since an engine is slow."""
        self.closed_by: OpenAttempt | None = None
        """The attempt for which it was closed."""
        self.has_differed = False
        """Whether it was closed since its events differ from those that the caller has got."""

    @property
    def is_closed(self) -> bool:
        """Whether it was closed for another attempt."""
        return self.scope.cancel_called

    def record_event(self, now_s: float) -> bool:
        """Record an event; return whether the answer goes on since this event."""
        self.progress_since_silence.record_event(now_s)
        return self.answer.record_event(now_s)

    @property
    def is_logged(self) -> bool:
        """Whether the reason for another attempt beside it is logged."""
        return self.is_slow or bool(self.silence_detail)

    def close(self, closed_by: OpenAttempt | None) -> None:
        """Close it for another attempt, which goes on."""
        self.closed_by = closed_by
        self.scope.cancel()
