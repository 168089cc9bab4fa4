"""One open attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.answer_progress import AnswerProgress

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
        self.scope = trio.CancelScope()
        """Closes the attempt when another one's response comes first."""
        self.silence_detail = ""
        """How the server was silent for as long as an attempt is given; empty if it wasn't."""
        self.closed_by: OpenAttempt | None = None
        """The attempt for which it was closed."""

    @property
    def is_closed(self) -> bool:
        """Whether another attempt's response came first."""
        return self.scope.cancel_called

    def close(self, closed_by: OpenAttempt) -> None:
        """Close it for another attempt, which goes on."""
        self.closed_by = closed_by
        self.scope.cancel()
