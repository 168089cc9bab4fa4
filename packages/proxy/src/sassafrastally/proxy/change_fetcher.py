"""Fetches changes of configuration and backend servers from peers.

Configuration versions of half a megabyte may follow each other within a tenth of a second, while an
entry's link carries a megabyte per second. If an entry called every peer with a newer revision, it
would receive the same changes from twenty of them at once, none within the time limit, and retry;
versions would come into force seconds late. So one call is in flight at a time, to a peer in the
same data centre if one has the changes, and versions in quick succession are fetched together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.log_events import PeerFailed
from sassafrastally.proxy.peer_messages import decode_delta
from sassafrastally.proxy.store import AnswerLost, Snapshot, StorePosition

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.calls import CallClient
    from sassafrastally.proxy.cluster_state import ClusterState

CALL_TIMEOUT_S = 0.5
"""Idle timeout of a call; peers answer from memory. Each received chunk restarts it."""

FAILED_PEER_PAUSE_S = 0.3
"""How long a peer whose call failed is avoided if another one has the changes."""

CONFIGURATION_PAUSE_S = 0.15
"""Pause after a new configuration before the next changes are fetched. Decoding a large one takes
about 30 ms on a small VM; of several versions within this time, only the last is decoded. Operators
allow two seconds until a version is in force."""

RELAYS_FIRST_S = 0.25
"""How long an entry that isn't a relay waits for its data centre's relays to fetch changes from
another data centre. It then fetches them locally, and they cross between data centres twice instead
of fourteen times."""

CHANGES_TARGET = "/changes?after={revision}"


class Source(NamedTuple):
    """A live peer that knows a newer revision."""

    host: str
    is_local: bool
    """Whether it is in the same data centre."""
    revision: int
    calls: CallClient


def choose_source(
    sources: Sequence[Source], failed_s: dict[str, float], now_s: float
) -> Source | None:
    """Return the peer to fetch from; ``None`` if no peer has a newer revision.

    Parameters
    ----------
    sources
        Live peers that know a newer revision.
    failed_s
        When the last call to a peer failed, by host.
    now_s
        Present time.
    """

    def rank(source: Source) -> tuple[bool, bool, int]:
        has_failed = now_s - failed_s.get(source.host, float("-inf")) < FAILED_PEER_PAUSE_S
        return has_failed, not source.is_local, -source.revision

    return min(sources, key=rank, default=None)


class ChangeFetcher:
    """Fetches changes, one call at a time.

    Parameters
    ----------
    kernel
        Clock, random source and log.
    cluster_state
        Receives the changes.
    sources
        Returns the live peers that know a newer revision.
    defers_to_relays
        Returns whether other entries of this data centre fetch from other data centres.
    """

    def __init__(
        self,
        kernel: Kernel,
        cluster_state: ClusterState,
        sources: Callable[[], Sequence[Source]],
        defers_to_relays: Callable[[], bool],
    ) -> None:
        self._kernel = kernel
        self._cluster_state = cluster_state
        self._sources = sources
        self._defers_to_relays = defers_to_relays
        self._failed_s: dict[str, float] = {}
        self._news = trio.Event()

    def note_newer_revision(self) -> None:
        """Signal that a peer knows a newer revision."""
        self._news.set()

    async def run(self) -> None:
        """Fetch changes whenever signalled, until cancelled."""
        while True:
            await self._news.wait()
            self._news = trio.Event()
            await self._fetch_changes()

    async def _fetch_changes(self) -> None:
        has_waited = False
        while True:
            now_s = self._kernel.clock.now_s()
            source = choose_source(self._sources(), self._failed_s, now_s)
            if source is None:
                self._failed_s.clear()
                return
            if not source.is_local and not has_waited and self._defers_to_relays():
                has_waited = True
                await trio.sleep(RELAYS_FIRST_S)
                continue
            await self._fetch(source)

    async def _fetch(self, source: Source) -> None:
        target = CHANGES_TARGET.format(revision=self._cluster_state.revision)
        configuration = self._cluster_state.configuration
        try:
            response = await source.calls.exchange("GET", target, [], b"", CALL_TIMEOUT_S)
            if response.status != 200:
                raise AnswerLost(f"peer answered with status {response.status}")
            delta = decode_delta(response.body)
        except (AnswerLost, DocumentInvalid) as cause:
            self._failed_s[source.host] = self._kernel.clock.now_s()
            self._kernel.events.emit(
                PeerFailed(source.host, self._cluster_state.revision, source.revision, cause.detail)
            )
            await trio.sleep(FAILED_PEER_PAUSE_S * self._kernel.random.uniform(0.1, 0.3))
            return
        name = f"peer {source.host}"
        if delta.entries is not None:
            position = StorePosition(self._cluster_state.epoch, delta.revision)
            self._cluster_state.replace(Snapshot(delta.entries, position), name)
        else:
            self._cluster_state.apply(delta.events, delta.revision, name)
        if self._cluster_state.configuration is not configuration:
            await trio.sleep(CONFIGURATION_PAUSE_S)
