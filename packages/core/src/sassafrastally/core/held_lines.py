"""Log lines of the time before the logging library is loaded.

Importing the library takes a tenth of the processor time of a process's start. A process that must
serve before holds its lines here, with the time at which they were emitted, and releases them in
order once the library is configured.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from sassafrastally.core.log_writer import MAX_QUEUED_LINES

if TYPE_CHECKING:
    from sassafrastally.core.log_writer import LogWriter


TIMESTAMP = "timestamp"
"""Field that holds the time of a line; a line that has it when it is logged was held."""


class WriteLine(Protocol):
    """Function that passes a line on to the logging library."""

    def __call__(self, level: str, name: str, fields: dict[str, Any]) -> None: ...


class HeldLine(NamedTuple):
    """A line that isn't written yet."""

    write: WriteLine
    level: str
    name: str
    fields: dict[str, Any]
    emitted_s: float
    """Unix time."""


class HeldLines:
    """Lines held back; before `hold` is called, none are."""

    def __init__(self) -> None:
        self._lines: deque[HeldLine] = deque()
        self._writer: LogWriter | None = None

    def hold(self, writer: LogWriter) -> None:
        """Hold lines from now on; the writer's rate limit and its count of losses apply."""
        self._writer = writer

    def keep(self, write: WriteLine, level: str, name: str, fields: dict[str, Any]) -> bool:
        """Hold a line; return whether the caller has nothing left to do."""
        if self._writer is None:
            return False
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._writer.dropped += 1
        elif level != "info" or self._writer.allows_success():
            self._lines.append(HeldLine(write, level, name, fields, time.time()))
        return True

    def release(self, limit: int) -> bool:
        """Write the oldest lines, up to a limit; return whether no more are held.

        Lines are held until the last one is released, so that they keep their order.
        """
        from datetime import UTC, datetime

        for _ in range(min(limit, len(self._lines))):
            line = self._lines.popleft()
            at = datetime.fromtimestamp(line.emitted_s, tz=UTC).isoformat()
            line.write(line.level, line.name, {**line.fields, TIMESTAMP: at.replace("+00:00", "Z")})
        if self._lines:
            return False
        self._writer = None
        return True


HELD_LINES = HeldLines()
"""The held lines of this process."""
