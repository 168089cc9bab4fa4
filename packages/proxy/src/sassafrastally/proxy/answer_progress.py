"""How far the answer to one attempt has got."""

from __future__ import annotations


class AnswerProgress:
    """Progress of the answer to one attempt."""

    def __init__(self) -> None:
        self.events = 0
        """Number of events received from the backend server."""
        self.first_event_s: float | None = None
        """When the first event arrived."""

    def record_event(self, now_s: float) -> None:
        """Record that an event has arrived."""
        self.events += 1
        if self.first_event_s is None:
            self.first_event_s = now_s
