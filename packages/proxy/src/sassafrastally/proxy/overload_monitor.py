"""Measures the scheduling delay of this entry's tasks; `cpu_overload` decides what follows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.cpu_overload import (
    MAX_LAG_S,
    TIMER_S,
    WINDOW_S,
    LagWindow,
    StreamLimit,
    is_crowded,
    shed_retry_delay_s,
)
from sassafrastally.proxy.log_events import EntryOverloaded, EntryRecovered
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.refusals import ENTRY_BUSY
from sassafrastally.proxy.task import LocalReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.load import Ledger

INACTIVE_CHECK_S = 1.0
"""Interval at which an entry among even ones checks whether it still is, and whether it is crowded.
Otherwise the others are as loaded as this one, so that nothing would be gained by leaving work to
them."""


class OverloadMonitor(Service):
    """Detects CPU overload and sheds new streams meanwhile.

    Parameters
    ----------
    ledger
        Attempts in progress.
    """

    name: ClassVar[str] = "overload"
    needs: ClassVar[tuple[str, ...]] = ("peers",)

    def __init__(self, ledger: Ledger) -> None:
        self.on_change: Callable[[bool], None] = lambda _: None
        """Called with whether the entry is overloaded, each time that this changes."""
        self._ledger = ledger
        self._window = LagWindow()
        self._limit = StreamLimit()
        self._overloaded_since_s: float | None = None
        self._due_s = math.inf
        """Time at which the present timer is due."""
        self._crowding_checked_s = -math.inf
        self._is_crowded = False
        self._heard_s = -math.inf
        """Time at which other entries were last heard."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the timer."""
        self._peers = self.kernel.get("peers", Peers)
        nursery.start_soon(Containment(self.kernel, "overload check").restart, self._measure)

    @property
    def lag_s(self) -> float:
        """Scheduling delay of this entry's tasks."""
        return self._window.lag_s

    @property
    def is_overloaded(self) -> bool:
        """Whether this entry leaves work to others."""
        return self._overloaded_since_s is not None

    def is_stuck(self) -> bool:
        """Return whether this entry is too late to be ready."""
        return self._window.is_stuck(self.kernel.clock.now_s())

    def shed_reply(self) -> LocalReply | None:
        """Return the refusal of a new stream; ``None`` if it is accepted."""
        if not self.is_overloaded or not self._hears_others():
            return None
        if self._is_crowded and not self._peers.has_uneven_links():
            return None  # New connections are refused instead, before their requests are read.
        if self._limit.accepts(len(self._ledger)):
            return None
        detail = (
            f"tasks run {self.lag_s:.2f} s late, {len(self._ledger)} requests in progress, "
            f"at most {self._limit.most_streams:g}"
        )
        delay_s = shed_retry_delay_s(self.kernel.random.random())
        return LocalReply(ENTRY_BUSY, detail, delay_s)

    def refuses_connections(self) -> bool:
        """Return whether new connections aren't served, so that callers retry elsewhere at once.

        Their retries reach another entry of the data centre, which must have CPU time left.
        """
        return (
            self.is_overloaded
            and not self._limit.accepts(len(self._ledger))
            and self._peers.has_local_peer_with_time()
        )

    async def _measure(self) -> None:
        while True:
            # An entry whose tasks are late may not have read its peers' datagrams yet.
            may_be_uneven = self._hears_others() and self._window.longest_lag_s > MAX_LAG_S
            self._check_crowding()
            is_uneven = self._is_crowded or self._peers.has_uneven_links()
            if not may_be_uneven and not is_uneven:
                self._due_s = math.inf
                self._window.clear()
                self._apply(self.kernel.clock.now_s())
                await trio.sleep(INACTIVE_CHECK_S)
                continue
            self._due_s = self.kernel.clock.now_s() + TIMER_S
            await trio.sleep(TIMER_S)
            now_s = self.kernel.clock.now_s()
            self._window.record(now_s, max(0.0, now_s - self._due_s))
            self._apply(now_s)

    def _check_crowding(self) -> None:
        now_s = self.kernel.clock.now_s()
        if now_s - self._crowding_checked_s < INACTIVE_CHECK_S:
            return
        self._crowding_checked_s = now_s
        self._is_crowded = is_crowded(
            len(self._ledger), self._peers.requests_in_progress(), self._peers.live_count()
        )

    def _hears_others(self) -> bool:
        """Return whether other entries are heard, or were before the tasks ran late."""
        now_s = self.kernel.clock.now_s()
        if self._peers.live_count():
            self._heard_s = now_s
        lag_s = max(self._window.longest_lag_s, now_s - self._due_s)
        return now_s - self._heard_s <= (WINDOW_S + lag_s if lag_s > MAX_LAG_S else 0.0)

    def _apply(self, now_s: float) -> None:
        self._limit.update(self.lag_s, len(self._ledger), now_s)
        if self._window.is_overloaded == self.is_overloaded:
            return
        lag_s = round(self.lag_s, 3)
        if self._overloaded_since_s is None:
            self._overloaded_since_s = now_s
            self.kernel.events.emit(
                EntryOverloaded(lag_s, len(self._ledger), int(self._limit.most_streams))
            )
        else:
            overloaded_s = round(now_s - self._overloaded_since_s, 3)
            self._overloaded_since_s = None
            self.kernel.events.emit(EntryRecovered(lag_s, overloaded_s))
        self._peers.set_overloaded(is_overloaded=self.is_overloaded)
        self.on_change(self.is_overloaded)
