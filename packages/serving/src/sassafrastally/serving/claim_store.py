"""Storage of one shard of claims in the KV service, with a local snapshot."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core import CodedError, error
from sassafrastally.core.kv import KvWrite, MaybeApplied
from sassafrastally.serving.claim_layout import PURPOSE
from sassafrastally.serving.claim_shard import (
    ClaimBlock,
    ClosedSegment,
    Head,
    decode_head,
    encode_block,
    encode_head,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.core import Clock
    from sassafrastally.core.kv import Kv
    from sassafrastally.serving.claim_layout import ClaimLayout
    from sassafrastally.serving.claim_shard import Claim

HEAD_CLAIMS = 128
"""Maximum number of claims in a head. Each batch rewrites the head, which stays near 10 kB."""

SEGMENT_CLAIMS = 4_800
"""Number of claims at which a segment is closed: 290 kB, far below the KV service's value limit."""

EXPIRY_MARGIN_S = 1.0
"""Added to the estimated expiry of a segment, as its lease is granted after the closing time is
recorded."""

LOAD_ATTEMPTS = 4
"""Maximum number of reads of a shard whose head is sealed concurrently."""


@error(5102)
class ShardFull(CodedError):
    """A shard has reached its maximum size; nothing was written."""

    retry_after_s: float = 0.0
    """Seconds until its oldest segment expires."""


class SegmentCache:
    """LRU cache of segments, limited by size in bytes.

    Segments are immutable and their numbers are never reused, so a cached segment is never stale.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._blocks: OrderedDict[str, ClaimBlock] = OrderedDict()

    def get(self, key: str) -> ClaimBlock | None:
        """Return the cached segment of a KV key; ``None`` when it is not cached."""
        if key in self._blocks:
            self._blocks.move_to_end(key)
        return self._blocks.get(key)

    def put(self, key: str, block: ClaimBlock) -> None:
        """Add a segment and evict the least recently used ones beyond the size limit."""
        self.drop(key)
        self._blocks[key] = block
        self._size_bytes += block.size_bytes
        while self._size_bytes > self._max_bytes and len(self._blocks) > 1:
            self.drop(next(iter(self._blocks)))

    def drop(self, key: str) -> None:
        """Remove a segment."""
        if (block := self._blocks.pop(key, None)) is not None:
            self._size_bytes -= block.size_bytes


class _Snapshot(NamedTuple):
    revision: int
    """Revision of the head; 0 when there is none yet."""
    head: Head
    recent: dict[bytes, Claim]
    tail: ClaimBlock | None
    closed: dict[int, ClaimBlock]
    """By number, newest first, without expired segments."""


class ShardStore:
    """Reads and writes one shard.

    The local snapshot may be stale: a claim that it contains was granted, but a missing claim may
    have been granted since. Only `append` is authoritative, as it succeeds only if the head is
    unchanged.

    Parameters
    ----------
    kv
        The KV service.
    shard
        Number of the shard.
    layout
        Layout shared by all entries.
    cache
        Segment cache of this process.
    clock
        The process's clock.
    """

    def __init__(
        self, kv: Kv, shard: int, layout: ClaimLayout, cache: SegmentCache, clock: Clock
    ) -> None:
        self._kv = kv
        self._prefix = f"claims/{shard:04d}"
        self._layout = layout
        self._cache = cache
        self._clock = clock
        self._snapshot: _Snapshot | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether there is a snapshot of the shard."""
        return self._snapshot is not None

    def forget(self) -> None:
        """Drop the snapshot, so that the shard is read again before its next use."""
        self._snapshot = None

    async def load(self) -> None:
        """Read the current state of the shard; raises `KvUnavailable`, `BadClaimValue`."""
        self._snapshot = None
        for _ in range(LOAD_ATTEMPTS):
            entry = await self._kv.get(self._head_key, purpose=PURPOSE)
            head = Head() if entry is None else decode_head(entry.value)
            tail = await self._segment(head.tail) if head.tail else None
            # Another entry may have sealed the head between the two reads and deleted its tail.
            # Without the tail, a lookup would miss its claims; and if an operator had deleted the
            # tail, all of its keys would be granted again.
            if head.tail and tail is None:
                continue
            closed = {}
            for segment in reversed(head.closed):
                if (block := await self._segment(segment.number)) is not None:
                    closed[segment.number] = block
            revision = 0 if entry is None else entry.mod_revision
            self._snapshot = _Snapshot(revision, head, _by_key(head.recent), tail, closed)
            return
        raise MaybeApplied(
            f"{self._head_key}: tail segment missing in each of {LOAD_ATTEMPTS} reads"
        )

    def find(self, key_hash: bytes) -> Claim | None:
        """Return the newest known claim of a key."""
        if self._snapshot is None:
            return None
        if (recent := self._snapshot.recent.get(key_hash)) is not None:
            return recent
        tail = () if self._snapshot.tail is None else (self._snapshot.tail,)
        found = (block.find(key_hash) for block in (*tail, *self._snapshot.closed.values()))
        return next((claim for claim in found if claim is not None), None)

    async def append(self, claims: Sequence[Claim]) -> None:
        """Add claims to the shard if it still matches the snapshot.

        Parameters
        ----------
        claims
            At most `HEAD_CLAIMS`, one per key; a newer claim of a key takes precedence.

        Raises
        ------
        KvConflict
            When the shard has changed; nothing was written.
        MaybeApplied
            When the response was lost; the write may have taken effect.
        KvUnavailable, LeaseLost, ShardFull
            When nothing was written.
        """
        view = self._snapshot
        assert view is not None
        if len(view.recent) + len(claims) > HEAD_CLAIMS:
            await self._append_and_seal(view, claims)
            return
        recent = {**view.recent, **_by_key(claims)}
        head = view.head._replace(recent=tuple(recent.values()))
        revision = await self._write([], head, view.revision)
        self._snapshot = view._replace(revision=revision, head=head, recent=recent)

    async def _append_and_seal(self, view: _Snapshot, claims: Sequence[Claim]) -> None:
        """Merge a full head and its tail into a new segment; the new head holds the claims."""
        number = view.head.next_number
        block = ClaimBlock(encode_block([*(view.tail or ()), *view.recent.values()]))
        head = view.head._replace(
            next_number=number + 1, tail=number, tail_claims=len(block), recent=tuple(claims)
        )
        lease_id = 0
        if len(block) >= SEGMENT_CLAIMS:
            head = await self._close_tail(head, len(block))
            # The KV service deletes a closed segment by its own clock, so an entry with a wrong
            # clock or after a pause cannot delete a claim early.
            lease_id = await self._kv.grant_lease(self._layout.retention_s, purpose=PURPOSE)
        writes = [KvWrite(self._segment_key(number), block.data, 0, lease_id)]
        if view.head.tail:
            writes.append(KvWrite(self._segment_key(view.head.tail), None, -1))
        revision = await self._write(writes, head, view.revision)
        self._cache.drop(self._segment_key(view.head.tail))
        self._cache.put(self._segment_key(number), block)
        known = {number: block, **view.closed}
        closed = {
            item.number: known[item.number]
            for item in reversed(head.closed)
            if item.number in known
        }
        tail = block if head.tail else None
        self._snapshot = _Snapshot(revision, head, _by_key(claims), tail, closed)

    async def _close_tail(self, head: Head, claims: int) -> Head:
        """Return the head with its tail closed and without its expired segments."""
        kept = await self._without_expired(head.closed)
        if len(kept) >= self._layout.max_closed_segments:
            oldest_end_s = kept[0].closed_wall_s + self._layout.retention_s + EXPIRY_MARGIN_S
            full = ShardFull(f"{self._prefix} holds {len(kept)} closed segments")
            full.retry_after_s = min(
                max(oldest_end_s - self._clock.wall_s(), 1.0), self._layout.retention_s
            )
            raise full
        segment = ClosedSegment(head.tail, math.ceil(self._clock.wall_s()), claims)
        return head._replace(tail=0, tail_claims=0, closed=(*kept, segment))

    async def _without_expired(
        self, closed: tuple[ClosedSegment, ...]
    ) -> tuple[ClosedSegment, ...]:
        # Segments expire oldest first, each with its own lease, so the search stops at the first
        # existing one. It must be read from the KV service, as the cache keeps expired segments.
        for index, segment in enumerate(closed):
            key = self._segment_key(segment.number)
            if await self._kv.get(key, purpose=PURPOSE) is not None:
                return closed[index:]
            self._cache.drop(key)
        return ()

    async def _write(self, writes: Sequence[KvWrite], head: Head, revision: int) -> int:
        head_write = KvWrite(self._head_key, encode_head(head), revision)
        return await self._kv.write([head_write, *writes], purpose=PURPOSE)

    async def _segment(self, number: int) -> ClaimBlock | None:
        key = self._segment_key(number)
        if (block := self._cache.get(key)) is not None:
            return block
        entry = await self._kv.get(key, purpose=PURPOSE)
        if entry is None:
            return None
        block = ClaimBlock(entry.value)
        self._cache.put(key, block)
        return block

    @property
    def _head_key(self) -> str:
        return f"{self._prefix}/head"

    def _segment_key(self, number: int) -> str:
        return f"{self._prefix}/segment/{number:08d}"


def _by_key(claims: Sequence[Claim]) -> dict[bytes, Claim]:
    return {claim.key_hash: claim for claim in claims}
