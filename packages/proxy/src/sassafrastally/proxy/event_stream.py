"""Events of a ``text/event-stream`` body, cut out of the bytes as they arrive."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
ID_FIELD = b"id:"

MOST_EVENT_BYTES = 1_048_576
"""Bytes of an event that isn't complete; beyond it the stream is broken. An event of a model
engine has some hundred bytes."""


class StreamEvent(NamedTuple):
    """One complete event."""

    data: bytes
    """Its bytes, the blank line at its end included."""
    event_id: int | None


class EventSplitter:
    """Cuts a body into events; keeps the incomplete one at the end."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes.

        Raises
        ------
        ValueError
            When an event grows too large.
        """
        *complete, self._rest = (self._rest + data).split(EVENT_END)
        if len(self._rest) > MOST_EVENT_BYTES:
            raise ValueError("an event grows too large")
        return [StreamEvent(block + EVENT_END, _event_id(block)) for block in complete]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
