"""Load reports to the linked entries: from time to time, and at once when much has changed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.wire.link import LinkCut
from sassafrastally.wire.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.link import Link, Peers

BIG_CHANGE = 0.25
"""Change of the free blocks, as a share of all, that is reported at once."""

BIG_QUEUE_CHANGE = 2.0
"""Factor by which the queued tokens have to change to be reported at once."""

MIN_QUEUED_TOKENS = 20_000
"""Queues below this count as alike."""


class Reports:
    """Tells entries about the load.

    Parameters
    ----------
    settings
        Interval and least gap.
    peers
        The links.
    make
        Returns the whole report of this moment.
    look
        Returns the report without its predictions.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        peers: Peers,
        make: Callable[[], LoadReport],
        look: Callable[[], LoadReport],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._make = make
        self._look = look
        self._hurry = trio.Event()
        self._last = LoadReport()

    def check(self) -> None:
        """Report soon if much has changed since the last report."""
        if _is_big_change(self._last, self._look()):
            self._hurry.set()

    def hurry(self) -> None:
        """Report soon."""
        self._hurry.set()

    async def on_link(self, link: Link) -> None:
        """Tell a new link at once."""
        await self._tell(link, self._make())

    async def run(self) -> None:
        """Report for as long as the process runs."""
        while True:
            with trio.move_on_after(self._settings.report_interval_s):
                await self._hurry.wait()
            self._hurry = trio.Event()
            await self.send()
            await trio.sleep(self._settings.report_gap_s)

    async def send(self) -> None:
        """Tell all linked entries now; a link that doesn't take it holds up no other."""
        report = self._last = self._make()
        with trio.move_on_after(self._settings.report_interval_s):
            async with trio.open_nursery() as nursery:
                for link in self._peers.links():
                    nursery.start_soon(self._tell, link, report)

    async def _tell(self, link: Link, report: LoadReport) -> None:
        try:
            await link.notify(report)
        except LinkCut:
            return  # The link's own event says so; a new link is told at once.


def _is_big_change(last: LoadReport, new: LoadReport) -> bool:
    if (last.leaving, last.models, last.services) != (new.leaving, new.models, new.services):
        return True
    if abs(last.free_blocks - new.free_blocks) > BIG_CHANGE * new.total_blocks:
        return True
    low, high = sorted(max(MIN_QUEUED_TOKENS, report.queued_tokens) for report in (last, new))
    return high > BIG_QUEUE_CHANGE * low
