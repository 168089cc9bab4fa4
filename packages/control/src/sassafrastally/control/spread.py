"""The service that brings the bundle in force to this process and passes it on to its peers.

Notes
-----
A new head is sent to a few linked peers at once, who do the same (rumour mongering); what that
misses, the periodic comparison of heads with a random peer brings (anti-entropy). A. Demers et
al., "Epidemic Algorithms for Replicated Database Maintenance" (1987). Heads are signed and parts
named by digest, so no peer needs to be trusted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar, cast

import trio

from sassafrastally.control.bundle import BundleInForce
from sassafrastally.control.bundle_events import (
    BundleClockGap,
    BundleHeadConflict,
    BundleHeadOutdated,
    BundleHeadRefused,
    BundlePartsMissing,
    BundleStaged,
    BundleTaken,
)
from sassafrastally.control.canonical import BadEncoding
from sassafrastally.control.fetch import (
    KvSource,
    PartsMissing,
    PartSource,
    PeerSource,
    fetch_bundle,
    reply_to,
)
from sassafrastally.control.head import Head, HeardHead, decode_head, verify_head
from sassafrastally.control.parts import BundleTooLarge
from sassafrastally.control.signing import decode_signature, verify_signature
from sassafrastally.control.store import PartStore
from sassafrastally.control.watching import Watcher
from sassafrastally.core import CodedError, Service
from sassafrastally.core.kv import KvUnavailable
from sassafrastally.stores.service import PlatformService
from sassafrastally.wire.link import LinkCut, StreamEnded
from sassafrastally.wire.messages import HeadNotice, Message, PartsRequest

if TYPE_CHECKING:
    from sassafrastally.control.signing import BundleSettings
    from sassafrastally.core.kv import Kv
    from sassafrastally.wire.link import Link, PeerIdentity, Peers, Stream

KV = "kv"
"""Source name of the KV service."""
MAX_ANNOUNCERS = 8
"""Peers remembered as holding the candidate's parts."""
NOTICE_TIME_LIMIT_S = 2.0
RELAY_ROUNDS = 6
RELAY_INTERVAL_S = 0.1
RETRY_S = 1.0
RETRY_CAP_S = 5.0
GAP_PROBE_S = 1.0
GAP_S = 5.0
"""Longer stands between two looks at the clock mean that the process stood still."""


class BundleService(Service):
    """Implements `sassafrastally.control.interfaces.BundleSource`.

    Parameters
    ----------
    settings
        Trusted signers and times.
    """

    name: ClassVar[str] = "bundle"
    needs: ClassVar[tuple[str, ...]] = ("peers", "platform")

    def __init__(self, settings: BundleSettings) -> None:
        self._settings = settings
        self._store = PartStore()
        self._in_force: BundleInForce | None = None
        self._head_bytes = b""
        self._candidate: HeardHead | None = None
        self._announcers: list[str] = []
        self._floor = 0
        self._staged = ""
        self._is_staging = False
        self._notified: set[str] = set()
        self._changed = trio.Event()
        self._offered = trio.Event()
        self._settled = trio.Event()
        self._heard_head = trio.Event()

    @property
    def in_force(self) -> BundleInForce | None:
        """The bundle that this process acts by; ``None`` before the first one is known."""
        return self._in_force

    @property
    def is_ready(self) -> bool:
        """Whether a bundle is in force; a process without one serves nothing."""
        return self._in_force is not None

    @property
    def generation(self) -> int:
        """Generation in force; 0 for none."""
        return self._in_force.generation if self._in_force else 0

    async def wait_for(self, generation: int) -> BundleInForce:
        """Wait until a generation at least as high is in force here."""
        while self._in_force is None or self._in_force.generation < generation:
            await self._changed.wait()
        return self._in_force

    def status(self) -> dict[str, Any]:
        """Return what ``sassafrastally status`` shows of the bundle."""
        return {
            "generation": self.generation,
            "digest": self._in_force.digest if self._in_force else "",
            "known_generation": self._known_generation,
            "staged": self._staged,
            "is_watcher": self._watcher.is_watching,
            "held_bytes": self._store.size_bytes,
        }

    async def start(self, nursery: trio.Nursery) -> None:
        """Register with the peers and start the tasks."""
        self._nursery = nursery
        self._peers = cast("Peers", self.kernel.get("peers", Service))
        self._kv: Kv = self.kernel.get("platform", PlatformService).kv
        self._watcher = Watcher(self.kernel, self._kv, self._settings, self)
        self._peers.on_notice(HeadNotice, self._on_notice)
        self._peers.on_stream(PartsRequest, self._on_parts_request)
        self._peers.on_link(self._on_link)
        for task in (
            self._watcher.run,
            self._join,
            self._settle,
            self._adopt,
            self._exchange,
            self._watch_clock,
        ):
            nursery.start_soon(task)

    def on_kv_head(self, data: bytes | None) -> None:
        """Take the head as the KV service has it."""
        if data is not None:
            # The KV service's generation is the least that a new process may take: a head that is
            # refused here, since its signer was withdrawn, must not let an older one in.
            try:
                self._floor = max(self._floor, decode_head(data).generation)
            except BadEncoding as refused:
                self._refuse(KV, refused)
                return
            self._offer(data, KV)
        self._settled.set()

    def on_kv_signature(self, digest: str, data: bytes) -> None:
        """Fetch the parts of a bundle that a trusted signer has signed, before it is rolled."""
        try:
            verify_signature(self._settings, digest, decode_signature(data))
        except CodedError as refused:
            self._refuse(KV, refused)
            return
        if not self._is_staging and digest != self._staged:
            self._is_staging = True
            self._nursery.start_soon(self._stage, digest)

    @property
    def _known_generation(self) -> int:
        return max(self.generation, self._candidate.head.generation if self._candidate else 0)

    def _offer(self, data: bytes, source: str) -> None:
        """Take a head of unknown worth; it becomes the candidate if it is valid and higher."""
        try:
            head = decode_head(data)
            if head.generation <= self._known_generation or head.generation < self._floor:
                self._on_known_generation(head, source)
                return
            verify_head(self._settings, head)
        except CodedError as refused:
            self._refuse(source, refused)
            return
        self._candidate = HeardHead(head, data, source, trio.current_time())
        self._announcers = [source]
        self._heard_head.set()
        self._offered.set()

    def _on_known_generation(self, head: Head, source: str) -> None:
        """Judge a head that isn't higher than what is known."""
        current = self._candidate.head if self._candidate else None
        digest = current.digest if current else self._in_force.digest if self._in_force else ""
        if head.generation < self._known_generation or head.generation < self._floor:
            self.kernel.events.emit(
                BundleHeadOutdated(source, head.generation, self._known_generation)
            )
        elif head.digest != digest:
            self._on_conflict(source, head.digest, digest)
        elif current and source not in self._announcers[:MAX_ANNOUNCERS]:
            self._announcers.append(source)

    def _on_conflict(self, source: str, offered: str, digest: str) -> None:
        self.kernel.events.emit(BundleHeadConflict(source, self._known_generation, digest, offered))

    def _refuse(self, source: str, reason: CodedError) -> None:
        self.kernel.events.emit(BundleHeadRefused(source, reason.code, reason.detail))

    async def _join(self) -> None:
        """Read the head at the start; the KV service's own answer settles what is newest."""
        wait_s = RETRY_S
        while not self._settled.is_set():
            try:
                await self._watcher.read_head()
            except KvUnavailable:
                await trio.sleep(self.kernel.random.uniform(0.0, wait_s))
                wait_s = min(2 * wait_s, RETRY_CAP_S)

    async def _settle(self) -> None:
        """Let the peers' heads count after a time of collecting them.

        Failure: a process starts in a KV outage and the first peer to answer is behind. Taking its
        head at once would put an older bundle in force than this VM had before the restart.
        Waiting for the others' heads holds as long as one peer that answers in time is not behind.
        """
        await self._heard_head.wait()
        with trio.move_on_after(self._settings.settling_s):
            await self._settled.wait()
        self._settled.set()

    async def _adopt(self) -> None:
        """Put the candidate in force once its parts are here; one bundle at a time."""
        wait_s = RETRY_S
        while True:
            await self._offered.wait()
            await self._settled.wait()
            self._offered = trio.Event()
            candidate = self._candidate
            if candidate is None or candidate.head.generation < self._floor:
                continue
            try:
                await self._take(candidate)
                wait_s = RETRY_S
            except PartsMissing as cause:
                head = candidate.head
                self.kernel.events.emit(
                    BundlePartsMissing(head.generation, head.digest, cause.missing)
                )
                await trio.sleep(self.kernel.random.uniform(0.0, wait_s))
                wait_s = min(2 * wait_s, RETRY_CAP_S)
                self._offered.set()
            except (BadEncoding, BundleTooLarge) as refused:
                # It was signed, but this process can't read it: the one in force stays.
                self._refuse(candidate.source, refused)

    async def _take(self, candidate: HeardHead) -> None:
        head = candidate.head
        bundle = await fetch_bundle(
            head.digest, self._sources(candidate), self._store, self.kernel.events
        )
        # Guards against a revert: nothing lower than what is in force is ever put in force.
        if head.generation <= self.generation:
            return
        self._in_force = BundleInForce(head.generation, head.digest, bundle)
        self._head_bytes = candidate.data
        if self._candidate is candidate:
            self._candidate = None
        self._store.keep_only({head.digest, self._staged})
        self.kernel.events.emit(
            BundleTaken(
                head.generation,
                head.digest,
                candidate.source,
                trio.current_time() - candidate.heard_s,
            )
        )
        self._changed.set()
        self._changed = trio.Event()
        self._nursery.start_soon(self._relay, candidate.source)

    def _sources(self, candidate: HeardHead) -> list[PartSource]:
        """Return where the candidate's parts may be had, the likeliest first."""
        links = self._links()
        announcers = [link for link in links if link.peer.vm in self._announcers]
        others = [link for link in links if link.peer.vm not in self._announcers]
        self.kernel.random.shuffle(others)
        peers: list[PartSource] = [PeerSource(link) for link in announcers]
        peers += [PeerSource(link) for link in others[:MAX_ANNOUNCERS]]
        kv = KvSource(self._kv)
        return [kv, *peers] if candidate.source == KV else [*peers, kv]

    async def _stage(self, digest: str) -> None:
        sources = [KvSource(self._kv)]
        try:
            await fetch_bundle(digest, sources, self._store, self.kernel.events)
        except (PartsMissing, BadEncoding, BundleTooLarge):
            # Staging only saves time: the roll fetches what is missing.
            return
        finally:
            self._is_staging = False
        self._staged = digest
        self.kernel.events.emit(BundleStaged(digest))

    def _links(self) -> list[Link]:
        """Return one link to each peer; two processes that dial each other have two."""
        return list({link.peer.vm: link for link in self._peers.links()}.values())

    async def _relay(self, source: str) -> None:
        """Tell linked peers of the head in force: a few at once with all of it, then by hints.

        A peer that a hint finds behind answers with its own generation and so gets the head. The
        rounds reach every peer of a node with few links, whose peers have no other one to hear
        it from; with many links the others' relays overlap.
        """
        generation = self.generation
        links = [link for link in self._links() if link.peer.vm != source]
        self.kernel.random.shuffle(links)
        fan_out = max(1, self._settings.relay_fan_out)
        for link in links[:fan_out]:
            self._nursery.start_soon(self._send_head, link)
        for start in range(fan_out, min(len(links), fan_out * RELAY_ROUNDS), fan_out):
            await trio.sleep(RELAY_INTERVAL_S)
            if generation != self.generation:
                return
            for link in links[start : start + fan_out]:
                self._nursery.start_soon(self._notify, link, b"")

    async def _send_head(self, link: Link) -> None:
        """Send the head in force to a peer; one notice to each peer at a time."""
        if link.peer.vm in self._notified:
            return
        self._notified.add(link.peer.vm)
        try:
            await self._notify(link, self._head_bytes)
        finally:
            self._notified.discard(link.peer.vm)

    async def _notify(self, link: Link, head: bytes) -> None:
        digest = self._in_force.digest if self._in_force else ""
        with trio.move_on_after(NOTICE_TIME_LIMIT_S):
            try:
                await link.notify(HeadNotice(self.generation, digest, head))
            except (LinkCut, StreamEnded):
                # The comparison at the next link brings the head.
                return

    async def _on_link(self, link: Link) -> None:
        """Compare heads with a new peer: whoever is ahead answers with the whole head."""
        self._nursery.start_soon(self._notify, link, b"")

    async def _on_notice(self, peer: PeerIdentity, message: Message) -> None:
        notice = cast("HeadNotice", message)
        if notice.head:
            self._offer(notice.head, peer.vm)
        if notice.generation == self.generation:
            digest = self._in_force.digest if self._in_force else ""
            if notice.digest != digest and not notice.head:
                self._on_conflict(peer.vm, notice.digest, digest)
            return
        link = next((link for link in self._peers.links() if link.peer.vm == peer.vm), None)
        if link is None:
            return
        if notice.generation < self.generation:
            self._nursery.start_soon(self._send_head, link)
        elif not notice.head:
            # The peer is ahead: it answers this lower generation with its whole head.
            self._nursery.start_soon(self._notify, link, b"")

    async def _on_parts_request(self, stream: Stream, message: Message) -> None:
        await stream.send(reply_to(cast("PartsRequest", message), self._store))

    async def _exchange(self) -> None:
        """Compare heads with a random peer from time to time; costs one small notice each."""
        while True:
            await trio.sleep(self._settings.exchange_s * self.kernel.random.uniform(0.5, 1.5))
            if links := self._links():
                await self._notify(self.kernel.random.choice(links), b"")

    async def _watch_clock(self) -> None:
        """Read the head again after this process stood still."""
        last_s = trio.current_time()
        while True:
            await trio.sleep(GAP_PROBE_S)
            gap_s = trio.current_time() - last_s - GAP_PROBE_S
            last_s = trio.current_time()
            if gap_s > GAP_S:
                self.kernel.events.emit(BundleClockGap(gap_s))
                self._nursery.start_soon(self._reread)

    async def _reread(self) -> None:
        for link in self._links():
            self._nursery.start_soon(self._notify, link, b"")
        try:
            await self._watcher.read_head()
        except KvUnavailable:
            # The peers' answers and the next look at the KV service have to do.
            return
