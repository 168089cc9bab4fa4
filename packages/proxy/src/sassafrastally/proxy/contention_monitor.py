"""Connects the admission queue's contention state with the peers, and logs its begin and end."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.log_events import ContentionBegan, ContentionEnded
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.peers import Peers

if TYPE_CHECKING:
    from sassafrastally.proxy.contention import SharedContention

CHECK_INTERVAL_S = 0.5
"""Interval between two checks for the log; the exchange doesn't depend on it."""


class ContentionMonitor(Service):
    """Connects the contention state with the datagram exchange and logs changes."""

    name: ClassVar[str] = "contention"
    needs: ClassVar[tuple[str, ...]] = ("path", "peers", "sight")

    async def start(self, nursery: trio.Nursery) -> None:
        """Take part in the exchange and start the checks."""
        peers = self.kernel.get("peers", Peers)
        ledger = self.kernel.get("sight", FleetView).ledger
        contention = self.kernel.get("path", RequestPath).services.queue.contention
        contention.peers_news = peers.contention_news
        # With the next datagram, at the shortest interval.
        contention.on_refusal = ledger.note_change
        peers.contention = contention
        check = partial(self._log_changes, contention)
        nursery.start_soon(Containment(self.kernel, "contention check").restart, check)

    async def _log_changes(self, contention: SharedContention) -> None:
        began_s: float | None = None
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = self.kernel.clock.now_s()
            if contention.is_contended(now_s) == (began_s is not None):
                continue
            summary = contention.summary(now_s)
            if began_s is None:
                began_s = now_s
                self.kernel.events.emit(ContentionBegan(*summary))
            else:
                lasted_s = round(now_s - began_s, 3)
                began_s = None
                self.kernel.events.emit(ContentionEnded(*summary, lasted_s))
