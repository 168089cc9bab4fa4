"""Incremental splitting of a ``text/event-stream`` body into server-sent events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
ID_FIELD = b"id:"

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an incomplete event; a larger one is treated as a broken stream. Events of model
engines have a few hundred bytes."""


class StreamEvent(NamedTuple):
    """One complete event."""

    data: bytes
    """Bytes of the event, including the blank line at its end."""
    event_id: int | None


class EventSplitter:
    """Splits a body into events and buffers an incomplete event at the end."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds the maximum size.
        """
        *complete, self._rest = (self._rest + data).split(EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("incomplete event exceeds the maximum size")
        return [StreamEvent(block + EVENT_END, _event_id(block)) for block in complete]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None


class EventTimes:
    """Times at which the caller got the events of a stream.

    Parameters
    ----------
    arrived_s
        When its request arrived.
    """

    def __init__(self, arrived_s: float) -> None:
        self.first_s: float | None = None
        """Time from the request to the first event."""
        self.last_s = arrived_s
        """When the last event was forwarded; the arrival of the request before the first one."""
        self.longest_pause_s = 0.0
        self._arrived_s = arrived_s

    def record(self, now_s: float) -> None:
        """Record an event."""
        if self.first_s is None:
            self.first_s = now_s - self._arrived_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_s)
        self.last_s = now_s
