"""Whether the events of an attempt agree with those that its caller has got.

Several attempts of a request may be open at once, each at a server of its own. Two runs of a model
may differ, and a caller must not get pieces of both. An attempt forwards an event only if it has
itself sent all events that the caller has got since it began, byte by byte. So what the caller has
is always the begin of one run, whichever attempt forwards next.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.proxy.event_stream import StreamEvent

DIGEST_BYTES = 16

MAX_COMPARED_EVENTS = 4096
"""Number of the latest events that are compared. An attempt that is further behind can't be
verified any more; its server would need many seconds to catch up."""


class Agreement(Enum):
    """How an event of an attempt relates to those that the caller has got."""

    NEW = "the caller lacks it and has all events before it"
    KNOWN = "the caller has the same one, or had it before the attempt began"
    DIFFERENT = "the caller has got another one in its place, or it can't be compared"


class StreamPosition(NamedTuple):
    """How far an attempt has followed the events that the caller has got."""

    events: int
    """Number of events forwarded to the caller that it has sent, or that were sent before it."""
    last_event_id: int | None
    """ID of the last one of them that has an id."""

    def is_new_to_attempt(self, event: StreamEvent) -> bool:
        """Return whether the attempt hasn't sent an event yet.

        A resumed stream may begin before the event that it was asked for.
        """
        known_id = -1 if self.last_event_id is None else self.last_event_id
        return event.event_id is None or event.event_id > known_id

    def after(self, event: StreamEvent) -> StreamPosition:
        """Return the position after an event."""
        event_id = self.last_event_id if event.event_id is None else event.event_id
        return StreamPosition(self.events + 1, event_id)


class ForwardedEvents:
    """The events that a caller has got, as far as other attempts may have to repeat them."""

    def __init__(self) -> None:
        self.count = 0
        """Number of events that the caller has got, without comments."""
        self._digests: deque[bytes] = deque(maxlen=MAX_COMPARED_EVENTS)
        """Digests of the latest ones."""

    def record(self, event: StreamEvent, *, has_others: bool) -> None:
        """Record an event that is forwarded.

        Parameters
        ----------
        event
            The event.
        has_others
            Whether other attempts are open, which may send it as well.
        """
        self.count += 1
        if has_others:
            self._digests.append(_digest(event))
        else:
            self._digests.clear()

    def agreement(self, event: StreamEvent, position: StreamPosition) -> Agreement:
        """Return how an attempt's next event relates to those that the caller has got.

        The load is a few requests at silent servers, each with one or two successors that repeat
        what the caller has got meanwhile: one digest for each of these events.
        """
        if not position.is_new_to_attempt(event):
            return Agreement.KNOWN
        if position.events == self.count:
            return Agreement.NEW
        place = position.events - self.count + len(self._digests)
        is_same = place >= 0 and self._digests[place] == _digest(event)
        return Agreement.KNOWN if is_same else Agreement.DIFFERENT


def _digest(event: StreamEvent) -> bytes:
    return blake2b(event.data, digest_size=DIGEST_BYTES).digest()
