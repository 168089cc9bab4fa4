"""Containment of unexpected errors: they end the work in which they occur, not the process.

Decoders reject what later steps can't handle, so an error here is a fault of this program. Without
containment, it would end the process, and with it the responses of all callers.
"""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.log_events import ErrorContained
from sassafrastally.proxy.metrics import ERRORS_CONTAINED

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

    from sassafrastally.core import Kernel

MAX_TRACEBACK_FRAMES = 12
"""Maximum number of traceback frames that are logged; the innermost ones show where the error was
raised."""

MAX_TRACEBACK_CHARACTERS = 8000
"""Maximum length of a logged traceback; the message of an error may hold any value."""

MAX_REMEMBERED = 32
"""Maximum number of errors that are remembered as logged, by kind and place."""

RESTART_PAUSE_S = 0.5
"""Pause before a task is restarted, so that an error that recurs at once takes little CPU time."""


class Containment:
    """Context manager that ends a unit of work at an unexpected error and logs the error.

    The same error at the same place is logged once and counted each time.

    Parameters
    ----------
    kernel
        Log.
    work
        What is done in the context, for the log.
    """

    def __init__(self, kernel: Kernel, work: str) -> None:
        self._kernel = kernel
        self._work = work
        self._logged: dict[tuple[str, str], None] = {}

    def __enter__(self) -> None:
        return None

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        self.record(error)
        return True

    async def restart(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task that never ends; restart it after an unexpected error."""
        while True:
            with self:
                await task()
            await trio.sleep(RESTART_PAUSE_S)

    async def repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step, which waits for a message, again and again."""
        while True:
            with self:
                await step()

    async def run(self, task: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Run a task once."""
        with self:
            await task(*arguments)

    def record(self, error: Exception) -> None:
        """Log and count an error that has been handled otherwise."""
        ERRORS_CONTAINED.add(1, {"work": self._work})
        frames = traceback.extract_tb(error.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        key = (type(error).__name__, place)
        if key in self._logged:
            return
        self._logged[key] = None
        if len(self._logged) > MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        text = "".join(traceback.format_exception(error, limit=-MAX_TRACEBACK_FRAMES))
        self._kernel.events.emit(ErrorContained(self._work, text[-MAX_TRACEBACK_CHARACTERS:]))
