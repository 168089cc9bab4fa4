"""A store that answers each watch at once."""

from __future__ import annotations

import trio

from sassafrastally.core import Clock, Kernel
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.log_events import HistoryReread
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.store import Changes, HistoryGone, Snapshot, StorePosition
from sassafrastally.proxy.store_watchers import WatchCandidate
from sassafrastally.proxy.watch import MAX_RETRY_PAUSE_S, StoreWatch
from sassafrastally.testing.outside_values import DIALECT

POSITION = StorePosition(0, 7)


class BusyStore:
    """Answers each watch at once, with nothing or with an error."""

    def __init__(self, failure: HistoryGone | None = None) -> None:
        self.watches = 0
        self._failure = failure

    async def read_prefix(self, prefix) -> Snapshot:
        await trio.sleep(0.001)
        return Snapshot((), POSITION)

    async def watch(self, prefix, after, wait_s) -> Changes:
        self.watches += 1
        await trio.sleep(0.001)
        if self._failure is not None:
            raise self._failure
        return Changes((), after)


class NoPeers(Peers):
    """Peers of the only entry, which watches the store itself."""

    needs = ()
    own_entry = WatchCandidate("127.0.0.1", 0.0)

    def __init__(self) -> None:
        """Need no settings."""

    async def start(self, nursery) -> None:
        """Bind no port."""

    async def stop(self) -> None:
        """Tell nobody."""

    def record_snapshot(self, snapshot) -> None:
        """Learn of no entries."""

    def note_changes(self, events) -> None:
        """Learn of no entries."""

    def has_known_peers(self) -> bool:
        """Return that there are none."""
        return False

    def watch_candidates(self) -> list[WatchCandidate]:
        """Return nobody else."""
        return []

    def is_prober(self) -> bool:
        """Return that this entry calls the store often."""
        return True


async def follow(store: BusyStore, duration_s: float) -> Kernel:
    """Follow a store for a while; return the kernel with its events."""
    kernel = Kernel("vm", "here", Clock(), seed=1)
    kernel.add(ClusterState(DIALECT, 3.0))
    kernel.add(NoPeers())
    kernel.add(StoreWatch(store))
    with trio.move_on_after(duration_s):
        await kernel.run()
    return kernel


class TestBusyStore:
    """A store that answers each watch at once."""

    DURATION_S = 10.0

    async def test_without_news_is_called_at_the_pace_of_retries(self, autojump_clock):
        """Guards against a watch that returns at once without news and is called without a pause.

        Calls are limited and priced, and such a loop takes the CPU time of the entry.
        """
        store = BusyStore()
        await follow(store, self.DURATION_S)
        assert 5 < store.watches <= 3 * self.DURATION_S / MAX_RETRY_PAUSE_S

    async def test_without_history_is_logged_once(self, autojump_clock):
        """Guards against a line of the log for each response of a store that floods watches."""
        kernel = await follow(BusyStore(HistoryGone("too many changes")), self.DURATION_S)
        reread = [one for one in kernel.events.records() if one["name"] == HistoryReread.__name__]
        assert len(reread) == 1
