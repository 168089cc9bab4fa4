"""Fetches changes of configuration and backend servers from peers.

Configuration versions of half a megabyte may follow each other within a tenth of a second, while an
entry's link carries a megabyte per second. If an entry called every peer with a newer revision, it
would receive the same changes from twenty of them at once, none within the time limit, and retry;
versions would come into force seconds late. So one call is in flight at a time, to a peer in the
same data centre if one has the changes, and versions in quick succession are fetched together.
"""

from __future__ import annotations

import re
from functools import partial
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import trio

from sassafrastally.core import LogRate
from sassafrastally.proxy.calls import KeptConnectionClosed, ResponseBounds, ResponseTooLarge
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.delta_messages import decode_delta
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.log_events import PeerFailed
from sassafrastally.proxy.store import AnswerLost, Snapshot, StorePosition

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.calls import CallClient
    from sassafrastally.proxy.cluster_state import ClusterState

CALL_TIMEOUT_S = 0.5
"""Idle timeout of a call; peers answer from memory. Each received chunk restarts it."""

CHANGES_BOUNDS = ResponseBounds(size_bytes=4 * 1024 * 1024, time_s=5.0)
"""Bounds of an answer as a whole. Compressed, the whole state takes less than a megabyte, which a
link of ten megabits carries within a second; meanwhile no other peer is asked."""

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

FRUITLESS_PAUSE_S = 5.0
"""How long a peer is left out whose answer can't be used or didn't bring what its datagrams
promise."""

CHANGES_PATH = "/changes"

_NUMBER = re.compile(r"[0-9]{1,19}")
"""Number of a position: it fits in 64 bits."""


def changes_target(position: StorePosition) -> str:
    """Return the target of a call for the changes after a position."""
    return f"{CHANGES_PATH}?epoch={position.epoch}&after={position.revision}"


def parse_changes_target(target: str) -> StorePosition | None:
    """Return the position that a call names; ``None`` if it names none."""
    try:
        query = dict(parse_qsl(urlsplit(target).query))
    except ValueError:
        return None
    # Peers of earlier releases don't name an epoch; they get a full snapshot.
    numbers = query.get("epoch", "0"), query.get("after", "")
    if not all(_NUMBER.fullmatch(number) for number in numbers):
        return None
    return StorePosition(*map(int, numbers))


def has_news(
    position: StorePosition, configuration_version: int, cluster_state: ClusterState
) -> bool:
    """Return whether a peer knows a later position or a newer configuration."""
    return (
        position > cluster_state.position
        or configuration_version > cluster_state.configuration_version
    )


class Source(NamedTuple):
    """A live peer that knows a later position or a newer configuration."""

    host: str
    is_local: bool
    """Whether it is in the same data centre."""
    position: StorePosition
    configuration_version: int
    calls: CallClient
    confirmed_s: float | None = None
    """Up to when the store had told it everything, as its latest datagram says."""


def choose_source(
    sources: Sequence[Source], failed_s: dict[str, float], now_s: float
) -> Source | None:
    """Return the peer to fetch from; ``None`` if no peer has news.

    Parameters
    ----------
    sources
        Live peers that have news.
    failed_s
        When the last call to a peer failed, by host.
    now_s
        Present time.
    """

    def rank(source: Source) -> tuple[bool, bool, int, int]:
        has_failed = now_s - failed_s.get(source.host, float("-inf")) < FAILED_PEER_PAUSE_S
        epoch, revision = source.position
        return has_failed, not source.is_local, -epoch, -revision

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
        Returns the live peers that know a later position or a newer configuration.
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
        self._left_out_until_s: dict[str, float] = {}
        self._fruitless: set[str] = set()
        """Peers whose latest answer was fruitless."""
        self._news = trio.Event()
        self._log_rate = LogRate()
        self._containment = Containment(kernel, "changes of a peer")

    def note_news(self) -> None:
        """Signal that a peer knows a later position or a newer configuration."""
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
            self._left_out_until_s = {
                host: until_s for host, until_s in self._left_out_until_s.items() if until_s > now_s
            }
            sources = [one for one in self._sources() if one.host not in self._left_out_until_s]
            source = choose_source(sources, self._failed_s, now_s)
            if source is None:
                self._failed_s.clear()
                return
            if not source.is_local and not has_waited and self._defers_to_relays():
                has_waited = True
                await trio.sleep(RELAYS_FIRST_S)
                continue
            await self._fetch(source)

    async def _fetch(self, source: Source) -> None:
        target = changes_target(self._cluster_state.position)
        configuration = self._cluster_state.configuration
        exchange = partial(
            source.calls.exchange, "GET", target, [], b"", CALL_TIMEOUT_S, CHANGES_BOUNDS
        )
        try:
            try:
                response = await exchange()
            except KeptConnectionClosed:
                # The peer may have closed it for being idle, and others as well.
                await source.calls.close()
                response = await exchange()
            if response.status != 200:
                raise AnswerLost(f"peer answered with status {response.status}")
            delta = await decode_delta(response.body)
            events = await self._cluster_state.used_events(delta.events)
        except (DocumentInvalid, ResponseTooLarge) as cause:
            self._leave_out(source, cause.detail)
            return
        except AnswerLost as cause:
            self._failed_s[source.host] = self._kernel.clock.now_s()
            self._record_failed(source, cause.detail)
            await trio.sleep(FAILED_PEER_PAUSE_S * self._kernel.random.uniform(0.1, 0.3))
            return
        name = f"peer {source.host}"
        with self._containment:
            await self._cluster_state.decode_ahead(delta.entries or events)
            if delta.entries is not None:
                snapshot = Snapshot(delta.entries, delta.position)
                self._cluster_state.replace(snapshot, name, source.confirmed_s)
            else:
                self._cluster_state.apply(events, delta.position, name, source.confirmed_s)
        if has_news(source.position, source.configuration_version, self._cluster_state):
            self._leave_out(source, "its answer doesn't bring what its datagrams promise")
        else:
            self._fruitless.discard(source.host)
        if self._cluster_state.configuration is not configuration:
            await trio.sleep(CONFIGURATION_PAUSE_S)

    def _leave_out(self, source: Source, cause: str) -> None:
        """Leave a peer out for a while; log it unless its previous answer was fruitless too."""
        self._left_out_until_s[source.host] = self._kernel.clock.now_s() + FRUITLESS_PAUSE_S
        if source.host not in self._fruitless:
            self._fruitless.add(source.host)
            self._record_failed(source, cause)

    def _record_failed(self, source: Source, cause: str) -> None:
        key = source.host, source.host in self._fruitless
        failures = self._log_rate.count(key, self._kernel.clock.now_s())
        if failures:
            self._kernel.events.emit(
                PeerFailed(
                    source.host, *self._cluster_state.position, *source.position, cause, failures
                )
            )
