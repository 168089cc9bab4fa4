"""How far the answer to one attempt has got."""

from __future__ import annotations

GOING_ON_S = 0.5
GOING_ON_EVENTS = 4
"""Time since the first event and number of events after which an answer counts as going on. A
server that crashes as it begins to write an answer may have sent a few events by then; the time
alone isn't enough, as this entry may have read events late that had arrived together."""

MAX_GAP_S = 0.2
"""How much of a gap between two events counts for that time: the server, or this entry, may have
stood still in the rest. `GOING_ON_EVENTS` events are enough at any pace."""


class AnswerProgress:
    """Progress of the answer to one attempt."""

    def __init__(self) -> None:
        self.events = 0
        """Number of events received from the backend server."""
        self.last_event_s: float | None = None
        """When the latest event arrived."""
        self.is_going_on = False
        """Whether the server has gone on with the answer after its begin."""
        self._gone_on_s = 0.0

    def record_event(self, now_s: float) -> bool:
        """Record that an event has arrived; return whether the answer goes on since this event."""
        self.events += 1
        if self.last_event_s is not None:
            self._gone_on_s += min(now_s - self.last_event_s, MAX_GAP_S)
        self.last_event_s = now_s
        was_going_on = self.is_going_on
        has_lasted = self._gone_on_s >= GOING_ON_S
        self.is_going_on = was_going_on or (has_lasted and self.events >= GOING_ON_EVENTS)
        return self.is_going_on and not was_going_on
