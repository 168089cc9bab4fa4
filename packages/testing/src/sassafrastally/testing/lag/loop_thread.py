"""Kernels whose event loop runs in a thread of its own, so that it alone can be blocked."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.lag.instrument import LagInstrument

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.core import Kernel

MOST_THREADS = 100

_THREADS = trio.CapacityLimiter(MOST_THREADS)


class LoopThread:
    """Runs kernels of the real programs; created in the loop of their callers and servers.

    Parameters
    ----------
    make_kernels
        Returns the kernels; called in their loop.

    Attributes
    ----------
    kernels
        The kernels, once started.
    """

    kernels: Sequence[Kernel]

    def __init__(self, make_kernels: Callable[[], Sequence[Kernel]]) -> None:
        self.lag = LagInstrument()
        self.ended = trio.Event()
        self._make_kernels = make_kernels
        self._started = trio.Event()
        self._outside = trio.lowlevel.current_trio_token()
        self._inside: trio.lowlevel.TrioToken | None = None
        self._scope = trio.CancelScope()
        self._is_ended_early = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the kernels; returns once all their services have started."""
        nursery.start_soon(self._run)
        await self._started.wait()

    async def _run(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._end_when_cancelled)
                await trio.to_thread.run_sync(self._run_loop, limiter=_THREADS)
                nursery.cancel_scope.cancel()
        finally:
            self.ended.set()

    async def _end_when_cancelled(self) -> None:
        """End the kernels with the nursery that runs them: a thread can't be cancelled."""
        try:
            await trio.sleep_forever()
        finally:
            self._is_ended_early = True
            self.call(self._scope.cancel)

    def _run_loop(self) -> None:
        trio.run(self._main, instruments=[self.lag])

    async def _main(self) -> None:
        self.kernels = self._make_kernels()
        self._inside = trio.lowlevel.current_trio_token()
        if self._is_ended_early:
            return
        with self._scope:
            async with trio.open_nursery() as nursery:
                for kernel in self.kernels:
                    await nursery.start(kernel.run)
                self._outside.run_sync_soon(self._started.set)

    def call(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function in the kernels' loop; nothing is called once that has ended."""
        if self._inside is not None and not self.ended.is_set():
            with suppress(trio.RunFinishedError):
                self._inside.run_sync_soon(function, *arguments)

    def block(self, lag_s: float) -> None:
        """Block the loop now."""
        self.call(self.lag.block, lag_s)

    async def kill(self) -> None:
        """End the kernels without a stop."""
        self.call(self._scope.cancel)
        await self.ended.wait()
