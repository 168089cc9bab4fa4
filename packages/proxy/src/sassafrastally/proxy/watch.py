"""Follows the store: everything once, then changes as they come."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import KvUnavailable, Service
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.catching_up import TOGETHER_S
from sassafrastally.proxy.log_events import (
    HistoryReread,
    StoreLost,
    StoreRegained,
    WatchTakenOver,
)
from sassafrastally.proxy.metrics import STORE_LOSSES
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.store import HistoryGone
from sassafrastally.proxy.watch_duty import has_duty

if TYPE_CHECKING:
    from sassafrastally.proxy.store import Store

EVERYTHING = ""
"""Prefix of all keys. One watch for configuration and servers costs half of what two cost."""

WAIT_S = 1.0
"""How long a watch waits for a change. A connection that went silent shows after this and the
store client's time limit, inside the two seconds that operators allow for a change to be in force.
Each end of a wait costs a call, so shorter is dearer."""

LOOK_S = 0.1
"""How often an entry that doesn't watch looks whether it has to."""

FIRST_WAIT_S = 0.1
"""The same for the first watch of an entry that steps in: its answer tells the others that they
needn't."""

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
"""Pause after a failed call, doubled with each one in a row, with jitter: entries must not return
all at once to a store that has just come back, and must be back well within two seconds."""

OTHERS_PAUSE_S = 1.5
"""Longest pause of entries that leave it to a few others to try a lost store often. Should it
answer none of those, it is still found within the two seconds."""

FIRST_HEARING_S = 0.4
"""How long an entry that starts waits to hear of the others before it watches itself. Most find
that others do; until then each start cost a call that waits."""


class StoreWatch(Service):
    """Keeps `Beliefs` up to date from the store."""

    name: ClassVar[str] = "store-watch"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "peers")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lost_since_s: float | None = None
        self._is_watching = True
        self._wait_s = WAIT_S

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow."""
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        self._peers = self.kernel.get("peers", Peers)
        nursery.start_soon(self._follow)

    async def _follow(self) -> None:
        pause_s = FIRST_PAUSE_S
        must_read = True
        while True:
            if not must_read and not self._has_duty():
                await trio.sleep(LOOK_S)
                continue
            try:
                if must_read:
                    await self._read_everything()
                    must_read, pause_s = False, FIRST_PAUSE_S
                    continue
                wait_s, self._wait_s = self._wait_s, WAIT_S
                changes = await self._store.watch(EVERYTHING, self._beliefs.revision, wait_s)
                self._note_regained()
                configuration = self._beliefs.configuration
                self._peers.note_changes(changes.events)
                self._beliefs.apply(changes.events, changes.revision, "store")
                pause_s = FIRST_PAUSE_S
                if self._beliefs.configuration is not configuration:
                    await trio.sleep(TOGETHER_S)
            except HistoryGone:
                self.kernel.events.emit(HistoryReread(self._beliefs.revision))
                must_read = True
            except KvUnavailable as cause:
                self._note_lost(cause)
                await trio.sleep(pause_s * self.kernel.random.uniform(0.5, 1.0))
                pause_s = min(self._longest_pause_s(), 2 * pause_s)

    async def _read_everything(self) -> None:
        snapshot = await self._store.read_prefix(EVERYTHING)
        is_first = self._beliefs.revision == 0
        self._beliefs.replace(snapshot, "store")
        self._note_regained()
        self._peers.note_snapshot(snapshot.entries)
        if is_first and self._peers.knows_others():
            await trio.sleep(FIRST_HEARING_S)

    def _longest_pause_s(self) -> float:
        return LONGEST_PAUSE_S if self._peers.is_prober() else OTHERS_PAUSE_S

    def _has_duty(self) -> bool:
        """Return whether this entry watches; note when it takes the watch over.

        Those who watched had no answer lately, so the store may just have been away. The entry that
        takes over never saw that itself; entries that lapsed meanwhile must keep their place with
        it too.
        """
        others = self._peers.others_at_the_store()
        had_duty, self._is_watching = self._is_watching, has_duty(self._peers.own_entry, others)
        if self._is_watching and not had_duty:
            self._wait_s = FIRST_WAIT_S
            self.kernel.events.emit(WatchTakenOver(len(others), self._beliefs.revision))
            if self._lost_since_s is None:
                self._lost_since_s = self.kernel.clock.now_s()
        return self._is_watching

    def _note_lost(self, cause: KvUnavailable) -> None:
        if self._lost_since_s is not None:
            return
        now_s = self.kernel.clock.now_s()
        self._lost_since_s = now_s
        STORE_LOSSES.add(1)
        age_s = min(now_s - self._beliefs.confirmed_s, 1e6)
        self.kernel.events.emit(
            StoreLost("watch", cause.detail, self._beliefs.revision, round(age_s, 3))
        )

    def _note_regained(self) -> None:
        now_s = self.kernel.clock.now_s()
        self._beliefs.store_answered_s = now_s
        if self._lost_since_s is None:
            return
        self._beliefs.store_returned_s = now_s
        away_s = round(now_s - self._lost_since_s, 3)
        self._lost_since_s = None
        self.kernel.events.emit(StoreRegained(away_s, self._beliefs.revision))
