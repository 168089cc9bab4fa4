"""Claims of idempotency keys and how a shard keeps them in the KV service.

A shard is one *head* value and a list of *segments*. The head holds the newest claims and is
changed by compare-and-swap; segments are sorted blocks that are written once and never changed.
The head lists its segments, so whoever has read a head knows which claims exist.
"""

from __future__ import annotations

import struct
from bisect import bisect_left
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core import CodedError, Incarnation, RequestId, error

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

HASH_BYTES = 16
"""Length of a key's hash and of a body's digest.

With 58 million claims (a day at the target size) the odds that any two keys share a hash are
5e-24. Eight bytes would be too few: 1e-4, and a caller could search for a colliding body."""

FILTER_SLOTS = 1 << 16
"""Bytes of a block's filter, one for each value of two bytes of a hash. A new key has to be looked
for in all segments of its shard; the filter answers for 13 in 14 of them without a search."""

MIN_FILTERED_CLAIMS = 512
"""Smaller blocks have no filter."""

_RECORD = struct.Struct("<16s16s16sHH")
_BLOCK = struct.Struct("<2sHI")
_PEER = struct.Struct("<16sB")
_HEAD = struct.Struct("<2sIIIH")
_CLOSED = struct.Struct("<III")
_BLOCK_MAGIC = b"c1"
_HEAD_MAGIC = b"h1"


@error(5101)
class BadClaimValue(CodedError):
    """A value under the claims' keys can't be decoded; no claim of its shard is granted."""


class ClaimOperation(StrEnum):
    """What is asked of a shard."""

    CLAIM = "claim"
    REPLACE = "replace"
    LOOKUP = "lookup"


class ClaimState(StrEnum):
    """How a claim stands."""

    GRANTED = "granted"
    """The placement asked for holds the key."""
    HELD = "held"
    """Another placement holds the key, for the same body."""
    KEY_REUSED = "key_reused"
    """The key is held for another body."""
    ABSENT = "absent"
    """Nobody is known to hold the key; only a claim can tell for certain."""
    UNAVAILABLE = "unavailable"
    """The shard couldn't be read or written in time; the key may or may not have been claimed."""
    FULL = "full"
    """The shard holds as many claims as it may; the key was not claimed."""


class Placement(NamedTuple):
    """Where a request runs: one attempt on one incarnation of a sidecar."""

    vm: str
    incarnation: Incarnation
    request_id: RequestId
    attempt: int


class Claim(NamedTuple):
    """An idempotency key and who holds it."""

    key_hash: bytes
    """Keyed hash of customer and idempotency key, `HASH_BYTES` long."""
    body_digest: bytes
    """Digest of the request's body, `HASH_BYTES` long."""
    placement: Placement


class ShardRequest(NamedTuple):
    """One question to a shard."""

    operation: ClaimOperation
    claim: Claim
    """The claim wanted; of a look-up only the key's hash and the body's digest count."""
    old: Placement | None = None
    """Placement that a replacement takes the key from."""


class ClaimResult(NamedTuple):
    """Answer to a `ShardRequest`."""

    state: ClaimState
    placement: Placement | None = None
    """Who holds the key, where somebody does."""
    retry_after_s: float = 0.0

    @property
    def is_granted(self) -> bool:
        """Whether the placement asked for holds the key."""
        return self.state is ClaimState.GRANTED


class ClosedSegment(NamedTuple):
    """A segment that takes no more claims."""

    number: int
    closed_wall_s: int
    """Wall time of its closing by the writer's clock; only a hint of when it lapses."""
    claims: int


class Head(NamedTuple):
    """The changing value of a shard."""

    next_number: int = 1
    """Number of the next segment; none is used twice."""
    tail: int = 0
    """Segment that the next full head is merged into; 0 for none."""
    tail_claims: int = 0
    closed: tuple[ClosedSegment, ...] = ()
    """Oldest first."""
    recent: tuple[Claim, ...] = ()
    """Claims that are in no segment yet."""


class ClaimBlock:
    """A sorted block of claims, searched in its encoded form.

    A claim takes 52 bytes here; as Python objects it would take over 400.

    Parameters
    ----------
    data
        The encoded block.

    Raises
    ------
    BadClaimValue
        When it isn't one.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        try:
            magic, peers, count = _BLOCK.unpack_from(data)
            self._peers, self._start = _decode_peers(data, peers)
        except (struct.error, UnicodeDecodeError) as cause:
            raise BadClaimValue("the block of claims is cut") from cause
        self._count: int = count
        if magic != _BLOCK_MAGIC or len(data) != self._start + self._count * _RECORD.size:
            raise BadClaimValue("not a block of claims")
        self._filter = self._make_filter()

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Claim]:
        return (self._claim(index) for index in range(self._count))

    def find(self, key_hash: bytes) -> Claim | None:
        """Return the claim of a key."""
        if self._filter and not self._filter[_slot(key_hash)]:
            return None
        index = bisect_left(range(self._count), key_hash, key=self._key)
        if index < self._count and self._key(index) == key_hash:
            return self._claim(index)
        return None

    @property
    def size_bytes(self) -> int:
        """Memory that the block takes."""
        return len(self.data) + len(self._filter)

    def _make_filter(self) -> bytearray:
        if self._count < MIN_FILTERED_CLAIMS:
            return bytearray()
        slots = bytearray(FILTER_SLOTS)
        for index in range(self._count):
            slots[_slot(self._key(index))] = 1
        return slots

    def _key(self, index: int) -> bytes:
        offset = self._start + index * _RECORD.size
        return self.data[offset : offset + HASH_BYTES]

    def _claim(self, index: int) -> Claim:
        offset = self._start + index * _RECORD.size
        key_hash, digest, request_id, peer, attempt = _RECORD.unpack_from(self.data, offset)
        if peer >= len(self._peers):
            raise BadClaimValue("a claim names a peer that isn't listed")
        vm, incarnation = self._peers[peer]
        placement = Placement(vm, incarnation, RequestId(request_id.hex()), attempt)
        return Claim(key_hash, digest, placement)


def _slot(key_hash: bytes) -> int:
    return (key_hash[8] << 8) | key_hash[9]


def encode_block(claims: Iterable[Claim]) -> bytes:
    """Return the block of some claims; of two with one key the later one stays."""
    by_key = {claim.key_hash: claim for claim in claims}
    peers: dict[tuple[str, str], int] = {}
    records = []
    for key_hash, claim in sorted(by_key.items()):
        placement = claim.placement
        peer = peers.setdefault((placement.vm, placement.incarnation), len(peers))
        request_id = bytes.fromhex(placement.request_id)
        records.append(
            _RECORD.pack(key_hash, claim.body_digest, request_id, peer, placement.attempt)
        )
    listed = [_encode_peer(vm, incarnation) for vm, incarnation in peers]
    return b"".join([_BLOCK.pack(_BLOCK_MAGIC, len(peers), len(records)), *listed, *records])


def encode_head(head: Head) -> bytes:
    """Return the value of a head."""
    fixed = _HEAD.pack(_HEAD_MAGIC, head.next_number, head.tail, head.tail_claims, len(head.closed))
    closed = b"".join(_CLOSED.pack(*segment) for segment in head.closed)
    return fixed + closed + encode_block(head.recent)


def decode_head(data: bytes) -> Head:
    """Return the head of a value; raises `BadClaimValue`."""
    try:
        magic, next_number, tail, tail_claims, count = _HEAD.unpack_from(data)
        start = _HEAD.size
        end = start + count * _CLOSED.size
        closed = tuple(ClosedSegment(*fields) for fields in _CLOSED.iter_unpack(data[start:end]))
    except struct.error as cause:
        raise BadClaimValue("the head of the shard is cut") from cause
    if magic != _HEAD_MAGIC or len(closed) != count:
        raise BadClaimValue("not the head of a shard")
    return Head(next_number, tail, tail_claims, closed, tuple(ClaimBlock(data[end:])))


def _encode_peer(vm: str, incarnation: str) -> bytes:
    name = vm.encode()
    return _PEER.pack(bytes.fromhex(incarnation), len(name)) + name


def _decode_peers(data: bytes, count: int) -> tuple[list[tuple[str, Incarnation]], int]:
    peers = []
    offset = _BLOCK.size
    for _ in range(count):
        incarnation, length = _PEER.unpack_from(data, offset)
        offset += _PEER.size
        peers.append((data[offset : offset + length].decode(), Incarnation(incarnation.hex())))
        offset += length
    return peers, offset
