"""The data of server-sent events, in pieces as they arrive from an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import EventBlocks, field_pattern

if TYPE_CHECKING:
    from collections.abc import Iterator

DATA_FIELD = field_pattern(b"data")


class EventReader:
    """Splits a byte stream into the data of its events.

    Only ``data`` lines are read; comments and other fields are skipped.
    """

    def __init__(self) -> None:
        self._blocks = EventBlocks()

    @property
    def held_bytes(self) -> int:
        """Size of the event that isn't complete."""
        return self._blocks.rest_bytes

    def feed(self, piece: bytes) -> Iterator[bytes]:
        """Parse a piece and yield the data of each event that it completes.

        Raises
        ------
        EventTooLong
            When an event is too long.
        """
        for block in self._blocks.feed(piece):
            data = self._blocks.find_values(block, DATA_FIELD)
            if data:
                yield b"\n".join(data)
