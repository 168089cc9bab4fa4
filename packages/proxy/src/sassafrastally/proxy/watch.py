"""Follows the store: reads a snapshot, then watches for changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import KvUnavailable, Service
from sassafrastally.proxy.change_fetcher import CONFIGURATION_PAUSE_S
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.lease_lapses import may_lapse_leases
from sassafrastally.proxy.log_events import (
    HistoryReread,
    StoreLost,
    StoreRegained,
    WatchTakenOver,
)
from sassafrastally.proxy.metrics import STORE_LOSSES
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.store import NO_POSITION, HistoryGone
from sassafrastally.proxy.store_watchers import must_watch_store

if TYPE_CHECKING:
    from sassafrastally.proxy.store import Store, StorePosition

ALL_KEYS_PREFIX = ""
"""Prefix of all keys. One watch for configuration and servers costs half as much as two."""

WATCH_WAIT_S = 1.0
"""How long a watch waits for a change. A dead connection is detected after this time plus the store
client's time limit, within the two seconds that operators allow for a change to be in force. Each
wait costs a call, so a shorter one is more expensive."""

DUTY_CHECK_INTERVAL_S = 0.1
"""Interval at which an entry that doesn't watch checks whether it has to."""

TAKEOVER_WAIT_S = 0.1
"""Wait of the first watch after a takeover. Its early answer tells the other entries that they
needn't watch."""

MAX_ANSWER_DELAY_S = 0.5
"""An answer that takes this much longer than the watch's wait was given up to that time ago."""

MIN_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.5
"""Exponential backoff after failed calls, with jitter: entries must not all call a store at once
that has just recovered, and must reconnect well within two seconds. A second full read without a
watch that was answered in between waits in the same way."""

MIN_WAITED_SHARE = 0.5
"""A watch that brings nothing new should last for its whole wait. One that returns before this
share of it is followed by the pause of a failed call, or the calls would follow each other without
end."""

MAX_NON_PROBER_PAUSE_S = 1.5
"""Maximum pause of entries that aren't probers, the few that retry an unavailable store often. If
the store answers none of the probers, it is still found within the two seconds."""

PEER_DISCOVERY_WAIT_S = 0.4
"""How long a starting entry waits for datagrams of its peers before it watches the store itself.
Most find that others already watch; without the wait, each start cost a watch call."""


class StoreWatch(Service):
    """Keeps `ClusterState` up to date from the store."""

    name: ClassVar[str] = "store-watch"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "peers")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lost_since_s: float | None = None
        self._is_watching = True
        self._wait_s = WATCH_WAIT_S
        self._former_wait_s = 0.0
        """Wait of the watch that was open when its entry ended, until the first answer since."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Look up the services used and start following the store."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._peers = self.kernel.get("peers", Peers)
        nursery.start_soon(Containment(self.kernel, "watch of the store").restart, self._follow)

    async def _follow(self) -> None:
        pause_s, reread_pause_s = MIN_RETRY_PAUSE_S, 0.0
        must_read = True
        while True:
            if not must_read and not self._has_duty():
                await trio.sleep(DUTY_CHECK_INTERVAL_S)
                continue
            try:
                if must_read:
                    await self._read_snapshot()
                    must_read = False
                    continue
                known = self._cluster_state.position
                is_fruitless = await self._watch(known)
                reread_pause_s = 0.0
                if is_fruitless:
                    await trio.sleep(pause_s * self.kernel.random.uniform(0.5, 1.0))
                    pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
                else:
                    pause_s = MIN_RETRY_PAUSE_S
            except HistoryGone as cause:
                if not reread_pause_s:
                    self.kernel.events.emit(HistoryReread(*known, cause.detail))
                # A peer may have passed on the present state during the call.
                must_read = self._cluster_state.position.epoch == known.epoch
                await trio.sleep(reread_pause_s * self.kernel.random.uniform(0.5, 1.0))
                reread_pause_s = min(MAX_RETRY_PAUSE_S, max(MIN_RETRY_PAUSE_S, 2 * reread_pause_s))
            except KvUnavailable as cause:
                self._record_lost(cause)
                await trio.sleep(pause_s * self.kernel.random.uniform(0.5, 1.0))
                pause_s = min(self._max_pause_s(), 2 * pause_s)

    async def _watch(self, known: StorePosition) -> bool:
        """Wait for changes once; return whether the store answered at once without news."""
        wait_s, self._wait_s = self._wait_s, WATCH_WAIT_S
        begin_s = self.kernel.clock.now_s()
        changes = await self._store.watch(ALL_KEYS_PREFIX, known, wait_s)
        now_s = self.kernel.clock.now_s()
        waited_s = now_s - begin_s
        # An answer that is read late, after a pause of this process, says nothing about the pause.
        as_of_s = now_s if waited_s < wait_s + MAX_ANSWER_DELAY_S else begin_s
        self._record_answer(min(wait_s, waited_s) + self._former_wait_s)
        self._former_wait_s = 0.0
        events = await self._cluster_state.used_events(changes.events)
        configuration = self._cluster_state.configuration
        self._peers.note_changes(events)
        await self._cluster_state.decode_ahead(events)
        self._cluster_state.apply(events, changes.position, "store", as_of_s)
        if self._cluster_state.configuration is not configuration:
            await trio.sleep(CONFIGURATION_PAUSE_S)
        return changes.position <= known and waited_s < MIN_WAITED_SHARE * wait_s

    async def _read_snapshot(self) -> None:
        begin_s = self.kernel.clock.now_s()
        snapshot = await self._store.read_prefix(ALL_KEYS_PREFIX)
        await self._cluster_state.decode_ahead(snapshot.entries)
        known = self._cluster_state.position
        is_first = known == NO_POSITION
        if not is_first and snapshot.position.epoch > known.epoch and self._lost_since_s is None:
            self._lost_since_s = self.kernel.clock.now_s()
        # Before the snapshot is applied: servers whose records an outage or a restore has removed
        # get the grace period.
        self._record_answer()
        self._cluster_state.replace(snapshot, "store", begin_s)
        self._peers.record_snapshot(snapshot)
        if is_first and self._peers.has_known_peers():
            await trio.sleep(PEER_DISCOVERY_WAIT_S)

    def _max_pause_s(self) -> float:
        return MAX_RETRY_PAUSE_S if self._peers.is_prober() else MAX_NON_PROBER_PAUSE_S

    def _has_duty(self) -> bool:
        """Return whether this entry must watch; handle a takeover."""
        others = self._peers.watch_candidates()
        had_duty, self._is_watching = self._is_watching, must_watch_store(
            self._peers.own_entry, others
        )
        if self._is_watching and not had_duty:
            self._wait_s, self._former_wait_s = TAKEOVER_WAIT_S, WATCH_WAIT_S
            age_s = min(self.kernel.clock.now_s() - self._cluster_state.confirmed_s, 1e6)
            self.kernel.events.emit(
                WatchTakenOver(len(others), self._cluster_state.position.revision, round(age_s, 3))
            )
        return self._is_watching

    def _unheard_since_s(self, now_s: float, granted_s: float) -> float | None:
        """Return since when nobody heard from the store, if leases may have lapsed meanwhile.

        The entries that watched may have died during an outage that no other one has noticed. A
        pause of this process is no such gap if peers are live: they tell when the store returned.
        Nor is the wait of a watch, which an outage would have ended.
        """
        confirmed_s = self._cluster_state.confirmed_s
        expiry_s = self._cluster_state.servers.registration_expiry_s
        gap_s = now_s - confirmed_s - granted_s
        if gap_s == float("inf") or not may_lapse_leases(gap_s, expiry_s):
            return None
        if self._peers.live_count():
            gap_s -= self._peers.listening.latest_pause_s(now_s)
        return confirmed_s if may_lapse_leases(gap_s, expiry_s) else None

    def _record_lost(self, cause: KvUnavailable) -> None:
        if self._lost_since_s is not None:
            return
        now_s = self.kernel.clock.now_s()
        self._lost_since_s = now_s
        STORE_LOSSES.add(1)
        age_s = min(now_s - self._cluster_state.confirmed_s, 1e6)
        self.kernel.events.emit(
            StoreLost("watch", cause.detail, self._cluster_state.position.revision, round(age_s, 3))
        )

    def _record_answer(self, granted_s: float = 0.0) -> None:
        """Record an answer of the store, before what it says is applied.

        Parameters
        ----------
        granted_s
            Part of the time until the answer for which the store was asked to wait.
        """
        now_s = self.kernel.clock.now_s()
        if self._lost_since_s is None:
            self._lost_since_s = self._unheard_since_s(now_s, granted_s)
        self._cluster_state.store_answered_s = now_s
        if self._lost_since_s is None:
            return
        self._cluster_state.servers.store_returned_s = now_s
        away_s = round(now_s - self._lost_since_s, 3)
        self._lost_since_s = None
        self.kernel.events.emit(StoreRegained(away_s, self._cluster_state.position.revision))
