"""Load reports to linked entries, sent periodically and after significant changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.wire.link import LinkCut
from sassafrastally.wire.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.link import Link, Peers

FREE_BLOCKS_CHANGE_SHARE = 0.25
"""Change in free blocks, as a share of all blocks, that triggers a report."""

QUEUED_TOKENS_CHANGE_FACTOR = 2.0
"""Factor by which the queued tokens must change to trigger a report."""

MIN_QUEUED_TOKENS = 20_000
"""Queue sizes below this are treated as equal."""


class Reports:
    """Sends load reports to the linked entries.

    Parameters
    ----------
    settings
        Report interval and minimum gap.
    peers
        Links to the entries.
    make_report
        Returns the current report, including predictions.
    make_load
        Returns the current report without predictions.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        peers: Peers,
        make_report: Callable[[], LoadReport],
        make_load: Callable[[], LoadReport],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._make_report = make_report
        self._make_load = make_load
        self._report_requested = trio.Event()
        self._last = LoadReport()

    def check(self) -> None:
        """Request a report if the load has changed significantly since the last one."""
        if _is_significant_change(self._last, self._make_load()):
            self._report_requested.set()

    def request_report(self) -> None:
        """Request a report before the regular interval ends."""
        self._report_requested.set()

    async def on_link(self, link: Link) -> None:
        """Send a report to a new link immediately."""
        await self._send_to(link, self._make_report())

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            with trio.move_on_after(self._settings.report_interval_s):
                await self._report_requested.wait()
            self._report_requested = trio.Event()
            await self.send()
            await trio.sleep(self._settings.report_gap_s)

    async def send(self) -> None:
        """Send a report to all linked entries; a blocked link doesn't delay the others."""
        report = self._last = self._make_report()
        with trio.move_on_after(self._settings.report_interval_s):
            async with trio.open_nursery() as nursery:
                for link in self._peers.links():
                    nursery.start_soon(self._send_to, link, report)

    async def _send_to(self, link: Link, report: LoadReport) -> None:
        try:
            await link.notify(report)
        except LinkCut:
            return  # The link emits its own event; a new link gets a report immediately.


def _is_significant_change(last: LoadReport, new: LoadReport) -> bool:
    if (last.leaving, last.models, last.services) != (new.leaving, new.models, new.services):
        return True
    if abs(last.free_blocks - new.free_blocks) > FREE_BLOCKS_CHANGE_SHARE * new.total_blocks:
        return True
    low, high = sorted(max(MIN_QUEUED_TOKENS, report.queued_tokens) for report in (last, new))
    return high > QUEUED_TOKENS_CHANGE_FACTOR * low
