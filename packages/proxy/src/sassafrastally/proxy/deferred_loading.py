"""Loads the parts of the program that the first requests don't need.

The SDK of the metrics and the logging library take a fifth of the processor time of a start, for
which callers would wait after all entries have lost power. They are loaded in slices after the
entry serves; values and log lines are held until then.
"""

from __future__ import annotations

import importlib
from functools import partial
from typing import TYPE_CHECKING, ClassVar, TypeVar

import trio

from sassafrastally.core import Service
from sassafrastally.core.held_lines import HELD_LINES
from sassafrastally.proxy.containment import Containment

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

FIRST_REQUESTS_S = 1.0
"""Time after the start in which nothing is loaded: callers that waited for the entry come then."""

LOADING_SHARE = 0.2
"""Share of the time that loading may take; requests need the rest."""

RETRY_PAUSE_S = 0.5
"""Pause before a slice that has failed runs again."""

LINES_PER_SLICE = 40
"""Held log lines written at a time, about a millisecond of work on one core."""

MODULES = (
    "concurrent.futures",
    "asyncio.base_events",
    "asyncio",
    "structlog",
    "opentelemetry.trace",
    "opentelemetry.metrics",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics",
    "opentelemetry.sdk.metrics.export",
    "sassafrastally.core.logs",
    "sassafrastally.proxy.metrics_page",
)
"""Modules to load, those that others import first, so that each is a short slice of work."""


class DeferredLoading(Service):
    """Loads modules in slices, then starts the logs and the metrics.

    Parameters
    ----------
    start_logs
        Configures the logging library; ``None`` if the process has configured it.
    """

    name: ClassVar[str] = "loading"
    needs: ClassVar[tuple[str, ...]] = ("answering",)

    def __init__(self, start_logs: Callable[[], None] | None) -> None:
        self._start_logs = start_logs

    async def start(self, nursery: trio.Nursery) -> None:
        """Start loading in the background."""
        self._errors = Containment(self.kernel, "loading")
        nursery.start_soon(self._load)

    async def _load(self) -> None:
        await trio.sleep(FIRST_REQUESTS_S)
        for module in MODULES:
            await self._run_slice(partial(importlib.import_module, module))
        if self._start_logs is not None:
            await self._run_slice(self._start_logs)
        while not await self._run_slice(partial(HELD_LINES.release, LINES_PER_SLICE)):
            pass
        await self._run_slice(_start_metrics)

    async def _run_slice(self, work: Callable[[], T]) -> T:
        """Run a slice of work, again if it fails, as it does without free file descriptors."""
        while True:
            began_s = trio.current_time()
            with self._errors:
                result = work()
                break
            await trio.sleep(RETRY_PAUSE_S)
        lasted_s = trio.current_time() - began_s
        await trio.sleep(lasted_s * (1 / LOADING_SHARE - 1))
        return result


def _start_metrics() -> None:
    from sassafrastally.proxy.metrics_page import start_metrics

    start_metrics()
