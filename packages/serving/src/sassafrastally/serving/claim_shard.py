"""Claims of idempotency keys and their encoding in the KV service.

A shard consists of one *head* value and a list of *segments*. The head holds the newest claims and
is updated by compare-and-swap. Segments are sorted, immutable blocks. The head lists its segments,
so a head identifies all claims of the shard.
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
"""Length of a key hash and of a body digest.

With 58 million claims (one day at the target load) the probability that any two keys share a hash
is 5e-24. With eight bytes it would be 1e-4, and a caller could search for a colliding body."""

FILTER_SLOTS = 1 << 16
"""Size of a block's filter: one byte for each value of two bytes of a hash. A new key is looked up
in all segments of its shard; the filter skips the search in 13 of 14 segments."""

MIN_FILTERED_CLAIMS = 512
"""Minimum number of claims in a block that has a filter."""

_RECORD = struct.Struct("<16s16s16sHH")
_BLOCK = struct.Struct("<2sHI")
_PEER = struct.Struct("<16sB")
_HEAD = struct.Struct("<2sIIIH")
_CLOSED = struct.Struct("<III")
_BLOCK_MAGIC = b"c1"
_HEAD_MAGIC = b"h1"


@error(5101)
class BadClaimValue(CodedError):
    """A stored claim value cannot be decoded; no claim of its shard is granted."""


class ClaimOperation(StrEnum):
    """Operation of a shard request."""

    CLAIM = "claim"
    REPLACE = "replace"
    LOOKUP = "lookup"


class ClaimState(StrEnum):
    """State of a claim, as returned to the caller."""

    GRANTED = "granted"
    """The requested placement holds the key."""
    HELD = "held"
    """Another placement holds the key, for the same body."""
    KEY_REUSED = "key_reused"
    """The key is held for a different body."""
    ABSENT = "absent"
    """No holder of the key is known; only a claim gives a definite answer."""
    UNAVAILABLE = "unavailable"
    """The shard could not be read or written in time; the key may or may not have been claimed."""
    FULL = "full"
    """The shard has reached its maximum size; the key was not claimed."""


class Placement(NamedTuple):
    """Location of a request: one attempt on one incarnation of a sidecar."""

    vm: str
    incarnation: Incarnation
    request_id: RequestId
    attempt: int


class Claim(NamedTuple):
    """An idempotency key and the placement that holds it."""

    key_hash: bytes
    """Keyed hash of customer and idempotency key, `HASH_BYTES` long."""
    body_digest: bytes
    """Digest of the request body, `HASH_BYTES` long."""
    placement: Placement


class ShardRequest(NamedTuple):
    """One operation on a shard."""

    operation: ClaimOperation
    claim: Claim
    """The requested claim; a lookup uses only its key hash and body digest."""
    old: Placement | None = None
    """Placement to be replaced; only for ``REPLACE``."""


class ClaimResult(NamedTuple):
    """Result of a `ShardRequest`."""

    state: ClaimState
    placement: Placement | None = None
    """Holder of the key; ``None`` when there is none."""
    retry_after_s: float = 0.0

    @property
    def is_granted(self) -> bool:
        """Whether the requested placement holds the key."""
        return self.state is ClaimState.GRANTED


class ClosedSegment(NamedTuple):
    """A segment that accepts no more claims."""

    number: int
    closed_wall_s: int
    """Wall time at which the writer closed it; only an estimate of when its lease expires."""
    claims: int


class Head(NamedTuple):
    """The mutable value of a shard."""

    next_number: int = 1
    """Number of the next segment; numbers are never reused."""
    tail: int = 0
    """Open segment that the next full head is merged into; 0 for none."""
    tail_claims: int = 0
    closed: tuple[ClosedSegment, ...] = ()
    """Oldest first."""
    recent: tuple[Claim, ...] = ()
    """Claims that are not in a segment yet."""


class ClaimBlock:
    """A sorted block of claims, searched in its encoded form.

    An encoded claim takes 52 bytes; as Python objects it would take over 400.

    Parameters
    ----------
    data
        The encoded block.

    Raises
    ------
    BadClaimValue
        When the data is not a valid block.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        try:
            magic, peers, count = _BLOCK.unpack_from(data)
            self._peers, self._start = _decode_peers(data, peers)
        except (struct.error, UnicodeDecodeError) as cause:
            raise BadClaimValue("claim block is truncated") from cause
        self._count: int = count
        if magic != _BLOCK_MAGIC or len(data) != self._start + self._count * _RECORD.size:
            raise BadClaimValue("claim block has a wrong magic number or length")
        self._filter = self._make_filter()

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Claim]:
        return (self._claim(index) for index in range(self._count))

    def find(self, key_hash: bytes) -> Claim | None:
        """Return the claim of a key; ``None`` when the block has none."""
        if self._filter and not self._filter[_slot(key_hash)]:
            return None
        index = bisect_left(range(self._count), key_hash, key=self._key)
        if index < self._count and self._key(index) == key_hash:
            return self._claim(index)
        return None

    @property
    def size_bytes(self) -> int:
        """Memory used by the data and the filter."""
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
            raise BadClaimValue("claim refers to a peer index outside the peer list")
        vm, incarnation = self._peers[peer]
        placement = Placement(vm, incarnation, RequestId(request_id.hex()), attempt)
        return Claim(key_hash, digest, placement)


def _slot(key_hash: bytes) -> int:
    return (key_hash[8] << 8) | key_hash[9]


def encode_block(claims: Iterable[Claim]) -> bytes:
    """Encode claims as a sorted block; the last claim of a key takes precedence."""
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
    """Encode a head as a stored value."""
    fixed = _HEAD.pack(_HEAD_MAGIC, head.next_number, head.tail, head.tail_claims, len(head.closed))
    closed = b"".join(_CLOSED.pack(*segment) for segment in head.closed)
    return fixed + closed + encode_block(head.recent)


def decode_head(data: bytes) -> Head:
    """Decode a stored head; raises `BadClaimValue`."""
    try:
        magic, next_number, tail, tail_claims, count = _HEAD.unpack_from(data)
        start = _HEAD.size
        end = start + count * _CLOSED.size
        closed = tuple(ClosedSegment(*fields) for fields in _CLOSED.iter_unpack(data[start:end]))
    except struct.error as cause:
        raise BadClaimValue("shard head is truncated") from cause
    if magic != _HEAD_MAGIC or len(closed) != count:
        raise BadClaimValue("shard head has a wrong magic number or length")
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
