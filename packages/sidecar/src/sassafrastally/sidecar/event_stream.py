"""A parser for server-sent events with size limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import CodedError, error

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event."""

_DATA = b"data:"


@error(7040)
class BadEventStream(CodedError):
    """An event stream exceeds a size limit."""


class EventReader:
    """Splits a byte stream into the data of its events.

    Only ``data`` lines are read; comments and other fields are skipped.
    """

    def __init__(self) -> None:
        self._rest = b""
        self._data: list[bytes] = []
        self._data_bytes = 0

    def feed(self, piece: bytes) -> Iterator[bytes]:
        """Parse a piece and yield the data of each event that it completes.

        Raises
        ------
        BadEventStream
            When an event is too long.
        """
        *lines, self._rest = (self._rest + piece).split(b"\n")
        for line in lines:
            stripped = line.rstrip(b"\r")
            if stripped.startswith(_DATA):
                self._add(stripped[len(_DATA) :].removeprefix(b" "))
            elif not stripped and self._data:
                yield b"\n".join(self._data)
                self._data = []
                self._data_bytes = 0
        if len(self._rest) > MAX_EVENT_BYTES:
            raise BadEventStream(f"a line is longer than {MAX_EVENT_BYTES} bytes")

    def _add(self, data: bytes) -> None:
        self._data.append(data)
        self._data_bytes += len(data) + 1
        if self._data_bytes > MAX_EVENT_BYTES:
            raise BadEventStream(f"an event is longer than {MAX_EVENT_BYTES} bytes")
