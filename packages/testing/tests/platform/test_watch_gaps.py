"""Which gaps in what an entry hears of the store count as an outage of the store."""

from __future__ import annotations

from functools import partial

import pytest
import trio

from sassafrastally.core import Clock, Kernel, KvUnavailable
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.listening_clock import ListeningClock
from sassafrastally.proxy.log_events import StoreRegained, WatchTakenOver
from sassafrastally.proxy.store import Changes
from sassafrastally.proxy.store_watchers import WatchCandidate
from sassafrastally.proxy.watch import StoreWatch
from sassafrastally.testing.outside_values import DIALECT

from .test_busy_store import BusyStore, NoPeers

EXPIRY_S = 3.6
WATCHERS_END_S = 10.0
TAKEOVER_S = 1.1
"""Time from the watchers' last datagram to the takeover."""


class QuietStore(BusyStore):
    """Answers each watch after its wait; away for a while if told so."""

    def __init__(self, away_from_s: float = 1e9, away_until_s: float = 1e9) -> None:
        super().__init__()
        self._away_from_s = away_from_s
        self._away_until_s = away_until_s

    async def watch(self, prefix, after, wait_s) -> Changes:
        self.watches += 1
        await trio.sleep(wait_s)
        if self._away_from_s <= trio.current_time() < self._away_until_s:
            raise KvUnavailable("the store is away")
        return Changes((), after)


class Watchers(NoPeers):
    """Two peers that watch the store, and tell of it, until their end."""

    own_entry = WatchCandidate("127.0.0.9", 1.0)

    def __init__(self, told_until_s: float, live: int = 1) -> None:
        self.listening = ListeningClock()
        self.is_paused = False
        self._told_until_s = told_until_s
        self._live = live

    async def start(self, nursery) -> None:
        """Receive the state of the watchers."""
        nursery.start_soon(self._tell, self.kernel.get("beliefs", ClusterState))

    async def _tell(self, state: ClusterState) -> None:
        while True:
            now_s = trio.current_time()
            if not self.is_paused:
                self.listening.note_running(now_s)
            if now_s < self._told_until_s:
                state.confirmed_s = now_s
            await trio.sleep(0.1)

    def live_count(self) -> int:
        """Return how many entries are live beside the watchers."""
        return self._live

    def watch_candidates(self) -> list[WatchCandidate]:
        """Return the watchers until they time out."""
        if trio.current_time() >= WATCHERS_END_S + TAKEOVER_S:
            return []
        return [WatchCandidate(f"127.0.0.{n}", 0.1, 1000) for n in (1, 2)]


async def follow(
    store: QuietStore, peers: NoPeers, until_s: float = 20.0, expiry_s: float = EXPIRY_S
) -> Kernel:
    """Follow a store beside peers; return the kernel with its events."""
    kernel = Kernel("vm", "here", Clock(), seed=1)
    kernel.add(ClusterState(DIALECT, expiry_s))
    kernel.add(peers)
    kernel.add(StoreWatch(store))
    with trio.move_on_after(until_s):
        await kernel.run()
    return kernel


def returned_s(kernel: Kernel) -> float:
    """Return when the store returned, as far as the entry knows."""
    return kernel.get("beliefs", ClusterState).servers.store_returned_s


def names(kernel: Kernel) -> list[str]:
    """Return the names of the events."""
    return [one["name"] for one in kernel.events.records()]


class TestTakeover:
    """An entry takes over the watch of two that have died."""

    async def test_of_a_store_that_was_not_away_is_no_return(self, autojump_clock):
        """Guards against a grace period for servers that leave while the watchers are dead."""
        kernel = await follow(QuietStore(), Watchers(WATCHERS_END_S))
        assert WatchTakenOver.__name__ in names(kernel)
        assert StoreRegained.__name__ not in names(kernel)
        assert returned_s(kernel) == float("-inf")

    async def test_while_a_watch_was_open_is_no_return(self, autojump_clock):
        """The watchers die near the end of the wait of their watch. Guards against counting that
        wait as time in which the store was away."""
        kernel = await follow(QuietStore(), Watchers(WATCHERS_END_S - 0.9))
        assert returned_s(kernel) == float("-inf")

    async def test_after_an_outage_that_only_the_watchers_noticed_is_one(self, autojump_clock):
        """The store goes away, the watchers die, and it is back before the takeover. Guards against
        dropping live servers whose leases lapsed in an outage that no live entry has seen."""
        kernel = await follow(QuietStore(), Watchers(WATCHERS_END_S - 2.5))
        assert returned_s(kernel) == pytest.approx(WATCHERS_END_S + TAKEOVER_S, abs=0.3)

    async def test_of_a_store_that_is_still_away_counts_from_its_answer(self, autojump_clock):
        """Guards against a grace period that begins before the store is back."""
        store = QuietStore(WATCHERS_END_S, WATCHERS_END_S + 5.0)
        kernel = await follow(store, Watchers(WATCHERS_END_S))
        assert returned_s(kernel) >= WATCHERS_END_S + 5.0


class TestPause:
    """An entry doesn't run for some seconds."""

    @pytest.mark.parametrize(("live", "is_outage"), [(1, False), (0, True)])
    async def test_is_an_outage_only_if_no_peer_could_tell(self, autojump_clock, live, is_outage):
        """Guards against a grace period at all entries since one of them was frozen; alone, it
        can't tell whether leases lapsed meanwhile."""
        peers = Watchers(WATCHERS_END_S - 3.0, live)

        async def pause() -> None:
            await trio.sleep(WATCHERS_END_S - 3.0)
            peers.is_paused = True

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause)
            kernel = await follow(QuietStore(), peers, WATCHERS_END_S + TAKEOVER_S + 1.0)
        assert (returned_s(kernel) > 0) == is_outage


class TestStart:
    """An entry starts."""

    @pytest.mark.parametrize("peers", [NoPeers, partial(Watchers, WATCHERS_END_S)])
    async def test_first_snapshot_is_no_return(self, autojump_clock, peers):
        """Guards against taking the time before the start for an outage."""
        kernel = await follow(QuietStore(), peers(), 5.0)
        assert returned_s(kernel) == float("-inf")


class TestQuietStore:
    """A store in which nothing changes."""

    @pytest.mark.parametrize("expiry_s", [0.0, 1.5])
    async def test_waits_of_watches_are_no_outages(self, autojump_clock, expiry_s):
        """Records are removed 1.5 s after a heartbeat, or the settings don't name the interval, and
        a watch waits for a second. Guards against a grace period without end where nothing else is
        written."""
        kernel = await follow(QuietStore(), Watchers(0.0, 0), 30.0, expiry_s)
        assert returned_s(kernel) < WATCHERS_END_S + TAKEOVER_S + 1.0
