"""Distributes bundles: fetches and activates the newest bundle and relays its head to peers.

Notes
-----
A new head is sent immediately to a few linked peers, which do the same (rumour mongering). A
periodic comparison of heads with a random peer (anti-entropy) covers the peers that this misses.
See A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987). Heads are
signed and parts are content-addressed, so no peer needs to be trusted.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Any, ClassVar, cast

import trio

from sassafrastally.control.bundle import BundleInForce
from sassafrastally.control.bundle_events import (
    HEADS_REFUSED,
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
    make_reply,
)
from sassafrastally.control.head import Head, ReceivedHead, decode_head, verify_head
from sassafrastally.control.parts import BundleTooLarge
from sassafrastally.control.signing import decode_signature, verify_signature
from sassafrastally.control.store import PartStore
from sassafrastally.control.watching import Watcher
from sassafrastally.core import CodedError, Service
from sassafrastally.core.kv import KvUnavailable
from sassafrastally.stores.budget import TokenBucket
from sassafrastally.stores.service import PlatformService
from sassafrastally.wire.link import LinkCut, StreamEnded
from sassafrastally.wire.messages import HeadNotice, Message, PartsRequest

if TYPE_CHECKING:
    from sassafrastally.control.signing import BundleSettings
    from sassafrastally.core.kv import Kv
    from sassafrastally.wire.link import Link, PeerIdentity, Peers, Stream

KV = "kv"
"""Source name of the KV service."""
MAX_CANDIDATE_SOURCES = 8
"""Maximum number of peers remembered as having the candidate's parts."""
NOTICE_TIME_LIMIT_S = 2.0
REFUSALS_PER_S = 0.2
REFUSAL_BURST = 50
"""Rate of log lines about refused heads and signatures; a metric counts all of them."""
RELAY_ROUNDS = 6
RELAY_INTERVAL_S = 0.1
RETRY_S = 1.0
RETRY_CAP_S = 5.0
CLOCK_CHECK_INTERVAL_S = 1.0
MIN_CLOCK_GAP_S = 5.0
"""A longer delay between two clock checks means that the process was suspended."""


class BundleService(Service):
    """Implements `sassafrastally.control.interfaces.BundleSource`.

    Parameters
    ----------
    settings
        Trusted signers and timing.
    """

    name: ClassVar[str] = "bundle"
    needs: ClassVar[tuple[str, ...]] = ("peers", "platform")

    def __init__(self, settings: BundleSettings) -> None:
        self._settings = settings
        self._store = PartStore()
        self._in_force: BundleInForce | None = None
        self._head_bytes = b""
        self._candidate: ReceivedHead | None = None
        self._candidate_sources: list[str] = []
        self._min_generation = 0
        self._head_revision = 0
        self._refusal_log = TokenBucket(REFUSALS_PER_S, REFUSAL_BURST)
        self._last_refusal = ("", 0, "")
        self._staged = ""
        self._is_staging = False
        self._notices_in_flight: set[str] = set()
        self._activated = trio.Event()
        self._candidate_changed = trio.Event()
        self._may_activate = trio.Event()
        self._first_head_received = trio.Event()

    @property
    def in_force(self) -> BundleInForce | None:
        """The active bundle of this process; ``None`` before the first one is active."""
        return self._in_force

    @property
    def is_ready(self) -> bool:
        """Whether a bundle is active; a process without one serves nothing."""
        return self._in_force is not None

    @property
    def generation(self) -> int:
        """Active generation; 0 if there is none."""
        return self._in_force.generation if self._in_force else 0

    async def wait_for(self, generation: int) -> BundleInForce:
        """Wait until this generation or a higher one is active in this process."""
        while self._in_force is None or self._in_force.generation < generation:
            await self._activated.wait()
        return self._in_force

    def status(self) -> dict[str, Any]:
        """Return the bundle state that ``sassafrastally status`` shows."""
        return {
            "generation": self.generation,
            "digest": self._in_force.digest if self._in_force else "",
            "known_generation": self._known_generation,
            "staged": self._staged,
            "is_watcher": self._watcher.is_watching,
            "held_bytes": self._store.size_bytes,
        }

    async def start(self, nursery: trio.Nursery) -> None:
        """Register the peer message handlers and start the tasks."""
        self._nursery = nursery
        self._peers = cast("Peers", self.kernel.get("peers", Service))
        self._kv: Kv = self.kernel.get("platform", PlatformService).kv
        self._watcher = Watcher(self.kernel, self._kv, self._settings, self)
        self._peers.on_notice(HeadNotice, self._on_notice)
        self._peers.on_stream(PartsRequest, self._on_parts_request)
        self._peers.on_link(self._on_link)
        for task in (
            self._watcher.run,
            self._read_initial_head,
            self._collect_peer_heads,
            self._activate_candidates,
            self._run_anti_entropy,
            self._watch_clock,
        ):
            nursery.start_soon(task)

    def on_kv_head(self, data: bytes | None, revision: int = 0) -> None:
        """Handle the head from the KV service, with the revision at which it was written."""
        if data is not None:
            try:
                generation = decode_head(data).generation
            except BadEncoding as cause:
                self._emit_rejected(KV, cause)
                return
            self._set_min_generation(generation, revision)
            self._receive_head(data, KV)
        self._may_activate.set()

    def _set_min_generation(self, generation: int, revision: int) -> None:
        """Set the lowest generation to activate to that of the KV service.

        If the head is rejected because its signer was withdrawn, no older head may replace it. A
        head isn't verified here, so its generation only holds until another head is written.
        """
        if revision > self._head_revision:
            self._head_revision = revision
            self._min_generation = generation
        elif not revision:
            self._min_generation = max(self._min_generation, generation)

    def on_kv_signature(self, digest: str, data: bytes) -> None:
        """Prefetch the parts of a bundle that a trusted signer has signed, before it is rolled."""
        try:
            verify_signature(self._settings, digest, decode_signature(data))
        except CodedError as cause:
            self._emit_rejected(KV, cause)
            return
        if not self._is_staging and digest != self._staged:
            self._is_staging = True
            self._nursery.start_soon(self._stage, digest)

    @property
    def _known_generation(self) -> int:
        return max(self.generation, self._candidate.head.generation if self._candidate else 0)

    def _receive_head(self, data: bytes, source: str) -> None:
        """Handle an unverified head; it becomes the candidate if it is valid and newer."""
        try:
            head = decode_head(data)
            if head.generation <= self._known_generation or head.generation < self._min_generation:
                self._on_not_newer_head(head, source)
                return
            verify_head(self._settings, head)
        except CodedError as cause:
            self._emit_rejected(source, cause)
            return
        self._candidate = ReceivedHead(head, data, source, trio.current_time())
        self._candidate_sources = [source]
        self._first_head_received.set()
        self._candidate_changed.set()

    def _on_not_newer_head(self, head: Head, source: str) -> None:
        """Handle a head whose generation isn't higher than the known one; raises `CodedError`."""
        current = self._candidate.head if self._candidate else None
        digest = current.digest if current else self._in_force.digest if self._in_force else ""
        if head.generation < self._known_generation or head.generation < self._min_generation:
            self.kernel.events.emit(
                BundleHeadOutdated(source, head.generation, self._known_generation)
            )
        elif head.digest != digest:
            verify_head(self._settings, head)
            self._on_conflict(source, head.digest, digest)
        elif current and source not in self._candidate_sources[:MAX_CANDIDATE_SOURCES]:
            self._candidate_sources.append(source)

    def _on_conflict(self, source: str, offered: str, digest: str) -> None:
        self.kernel.events.emit(BundleHeadConflict(source, self._known_generation, digest, offered))

    def _emit_rejected(self, source: str, reason: CodedError) -> None:
        """Log a refused head or signature; another writer may change it at any rate."""
        HEADS_REFUSED.add(1, {"source": KV if source == KV else "peer"})
        refusal = (source, reason.code, reason.detail)
        if refusal != self._last_refusal and not self._refusal_log.take():
            self._last_refusal = refusal
            self.kernel.events.emit(BundleHeadRefused(*refusal))

    async def _read_initial_head(self) -> None:
        """Read the head at startup; the KV service's answer determines the newest generation."""
        wait_s = RETRY_S
        while not self._may_activate.is_set():
            with suppress(KvUnavailable):
                await self._watcher.read_head()
            if not self._may_activate.is_set():  # No answer, or a head that can't be decoded.
                await trio.sleep(self.kernel.random.uniform(0.0, wait_s))
                wait_s = min(2 * wait_s, RETRY_CAP_S)

    async def _collect_peer_heads(self) -> None:
        """Allow activation from peers' heads after collecting them for a while.

        Guards against this failure: a process starts during a KV outage and the first peer to
        answer is outdated. Activating its head immediately would activate an older bundle than
        this VM had before the restart. Collecting heads first works as long as at least one peer
        that answers in time is up to date.
        """
        await self._first_head_received.wait()
        with trio.move_on_after(self._settings.settling_s):
            await self._may_activate.wait()
        self._may_activate.set()

    async def _activate_candidates(self) -> None:
        """Activate candidates once their parts are fetched, one bundle at a time."""
        wait_s = RETRY_S
        while True:
            await self._candidate_changed.wait()
            await self._may_activate.wait()
            self._candidate_changed = trio.Event()
            candidate = self._candidate
            if candidate is None or candidate.head.generation < self._min_generation:
                continue
            try:
                await self._activate(candidate)
                wait_s = RETRY_S
            except PartsMissing as cause:
                head = candidate.head
                self.kernel.events.emit(
                    BundlePartsMissing(head.generation, head.digest, cause.missing)
                )
                await trio.sleep(self.kernel.random.uniform(0.0, wait_s))
                wait_s = min(2 * wait_s, RETRY_CAP_S)
                self._candidate_changed.set()
            except (BadEncoding, BundleTooLarge) as cause:
                # The bundle is signed but this process can't read it; the active one stays active.
                self._emit_rejected(candidate.source, cause)

    async def _activate(self, candidate: ReceivedHead) -> None:
        head = candidate.head
        bundle = await fetch_bundle(
            head.digest, self._sources(candidate), self._store, self.kernel.events
        )
        # Guards against a revert: the active generation never decreases.
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
        self._activated.set()
        self._activated = trio.Event()
        self._nursery.start_soon(self._relay, candidate.source)

    def _sources(self, candidate: ReceivedHead) -> list[PartSource]:
        """Return the sources for the candidate's parts, most likely ones first."""
        links = self._links()
        known_holders = [link for link in links if link.peer.vm in self._candidate_sources]
        others = [link for link in links if link.peer.vm not in self._candidate_sources]
        self.kernel.random.shuffle(others)
        peers: list[PartSource] = [PeerSource(link) for link in known_holders]
        peers += [PeerSource(link) for link in others[:MAX_CANDIDATE_SOURCES]]
        kv = KvSource(self._kv)
        return [kv, *peers] if candidate.source == KV else [*peers, kv]

    async def _stage(self, digest: str) -> None:
        sources = [KvSource(self._kv)]
        try:
            await fetch_bundle(digest, sources, self._store, self.kernel.events)
        except (PartsMissing, BadEncoding, BundleTooLarge):
            # Staging is only an optimization; missing parts are fetched after the roll.
            return
        finally:
            self._is_staging = False
        self._staged = digest
        self.kernel.events.emit(BundleStaged(digest))

    def _links(self) -> list[Link]:
        """Return one link per peer; two processes that dial each other have two links."""
        return list({link.peer.vm: link for link in self._peers.links()}.values())

    async def _relay(self, source: str) -> None:
        """Relay the active head: send it to a few linked peers immediately, then notify others.

        A notice without a head contains only the generation and digest; an outdated peer replies
        with its own generation and so receives the head. With few links, the rounds reach every
        peer, as those peers may have no other source. With many links, the relays of other peers
        overlap.
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
        """Send the active head to a peer, with at most one such notice in flight per peer."""
        if link.peer.vm in self._notices_in_flight:
            return
        self._notices_in_flight.add(link.peer.vm)
        try:
            await self._notify(link, self._head_bytes)
        finally:
            self._notices_in_flight.discard(link.peer.vm)

    async def _notify(self, link: Link, head: bytes) -> None:
        digest = self._in_force.digest if self._in_force else ""
        with trio.move_on_after(NOTICE_TIME_LIMIT_S):
            try:
                await link.notify(HeadNotice(self.generation, digest, head))
            except (LinkCut, StreamEnded):
                # The peers compare heads again when the next link is established.
                return

    async def _on_link(self, link: Link) -> None:
        """Compare heads with a newly linked peer; the newer one replies with its full head."""
        self._nursery.start_soon(self._notify, link, b"")

    async def _on_notice(self, peer: PeerIdentity, message: Message) -> None:
        notice = cast("HeadNotice", message)
        if notice.head:
            self._receive_head(notice.head, peer.vm)
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
            # The peer is newer: it replies to this lower generation with its full head.
            self._nursery.start_soon(self._notify, link, b"")

    async def _on_parts_request(self, stream: Stream, message: Message) -> None:
        await stream.send(make_reply(cast("PartsRequest", message), self._store))

    async def _run_anti_entropy(self) -> None:
        """Compare heads periodically with a random peer; each comparison costs a small notice."""
        while True:
            await trio.sleep(self._settings.exchange_s * self.kernel.random.uniform(0.5, 1.5))
            if links := self._links():
                await self._notify(self.kernel.random.choice(links), b"")

    async def _watch_clock(self) -> None:
        """Read the head again after this process was suspended."""
        last_s = trio.current_time()
        while True:
            await trio.sleep(CLOCK_CHECK_INTERVAL_S)
            gap_s = trio.current_time() - last_s - CLOCK_CHECK_INTERVAL_S
            last_s = trio.current_time()
            if gap_s > MIN_CLOCK_GAP_S:
                self.kernel.events.emit(BundleClockGap(gap_s))
                self._nursery.start_soon(self._refresh_head)

    async def _refresh_head(self) -> None:
        for link in self._links():
            self._nursery.start_soon(self._notify, link, b"")
        try:
            await self._watcher.read_head()
        except KvUnavailable:
            # The peers' replies and the next read of the KV service cover this.
            return
