"""Draining of a leaving backend server: no reservation is made after the first signal to leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.sidecar.events import LeavingBegan

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.control.interfaces import BundleSource
    from sassafrastally.core import Kernel


class Leaving:
    """Tracks whether this backend server is leaving (draining).

    Parameters
    ----------
    kernel
        The process; its stop signal also begins leaving.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._began = trio.Event()
        self.on_begin: Callable[[], None] = lambda: None
        """Called once when leaving begins."""

    @property
    def is_leaving(self) -> bool:
        """Whether new reservations are refused.

        The kernel's stop signal is checked directly: a reservation that arrives between the signal
        and the first step of `stop` must be refused too.
        """
        return self._began.is_set() or self._kernel.stopping.is_set()

    def begin(self, reason: str) -> None:
        """Refuse new reservations from now on; this can't be undone in this incarnation."""
        if self._began.is_set():
            return
        self._began.set()
        self._kernel.events.emit(LeavingBegan(reason))
        self.on_begin()

    async def watch_bundle(self, source: BundleSource) -> None:
        """Begin leaving when the bundle in force lists this VM as draining."""
        generation = 0
        while True:
            in_force = await source.wait_for(generation + 1)
            generation = in_force.generation
            if self._kernel.vm in in_force.bundle.drain.vms:
                self.begin("bundle")

    async def watch(self, reason: str, event: trio.Event) -> None:
        """Begin leaving when an event is set."""
        await event.wait()
        self.begin(reason)
