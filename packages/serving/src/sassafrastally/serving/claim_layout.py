"""Claim layout: the parameters that map an idempotency key to its shard.

Entries with a different number of shards or a different key hash would grant the same key twice.
The layout is therefore stored in the KV service: the first entry writes it once from its settings,
and all other entries read it.
"""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

from sassafrastally.core.json_documents import load_json
from sassafrastally.core.kv import KvConflict, KvWrite, MaybeApplied
from sassafrastally.core.settings import section
from sassafrastally.serving.claim_shard import HASH_BYTES, BadClaimValue

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core.kv import Kv

PURPOSE = "claims"
"""Purpose label under which calls to the KV service are budgeted."""

LAYOUT_KEY = "claims/layout"

SALT_BITS = 256

READ_ATTEMPTS = 4


@section("claims", "entry")
class ClaimSettings(NamedTuple):
    """Claims of idempotency keys."""

    shards: int = 8
    """Number of shards in the layout that the first entry of a fleet writes; later entries use the
    stored layout."""
    retention_s: float = 86_400.0
    """Minimum time that a claim is kept, in the layout that the first entry writes."""
    max_closed_segments: int = 80
    """Maximum number of closed segments per shard, in the layout that the first entry writes; a
    full shard refuses new claims until its oldest segment expires."""
    min_write_interval_s: float = 0.05
    """Minimum interval between two writes to one shard by this entry."""
    kv_time_limit_s: float = 3.0
    """Time limit for writing a batch of claims to the KV service."""
    forward_time_limit_s: float = 1.0
    """Time limit for the home of a shard to answer before the entry writes the claim itself."""
    retry_after_s: float = 2.0
    """Retry delay sent with a refusal when the KV service gives none."""
    cache_bytes: int = 32_000_000
    """Maximum size of the segments cached in memory."""


class ClaimLayout(NamedTuple):
    """Claim parameters shared by all entries of a fleet."""

    salt: bytes
    """Secret of the fleet, so that no customer can choose keys that all map to one shard."""
    shards: int
    retention_s: float
    max_closed_segments: int

    def key_hash(self, customer: str, key: str) -> bytes:
        """Return the hash of a customer's idempotency key."""
        name = customer.encode()
        data = len(name).to_bytes(4, "big") + name + key.encode()
        return blake2b(data, digest_size=HASH_BYTES, key=self.salt).digest()

    def shard_of(self, key_hash: bytes) -> int:
        """Return the shard of a key."""
        return int.from_bytes(key_hash[:8], "big") % self.shards


async def read_or_create_layout(kv: Kv, settings: ClaimSettings, random: Random) -> ClaimLayout:
    """Return the stored layout; write one from the settings when there is none.

    Raises
    ------
    KvUnavailable, MaybeApplied
        When the KV service does not answer.
    BadClaimValue
        When the stored layout cannot be decoded.
    """
    for _ in range(READ_ATTEMPTS):
        entry = await kv.get(LAYOUT_KEY, purpose=PURPOSE)
        if entry is not None:
            return _decode(entry.value)
        salt = random.getrandbits(SALT_BITS).to_bytes(SALT_BITS // 8, "big")
        proposed = ClaimLayout(
            salt, settings.shards, settings.retention_s, settings.max_closed_segments
        )
        # The response may be lost, or another entry may have written first. The next read returns
        # the stored layout, which is used regardless of its writer.
        try:
            await kv.write([KvWrite(LAYOUT_KEY, _encode(proposed), 0)], purpose=PURPOSE)
        except (KvConflict, MaybeApplied):
            continue
        return proposed
    raise MaybeApplied(f"{LAYOUT_KEY}: no stored layout found in {READ_ATTEMPTS} reads")


MAX_SHARDS = 1_000_000
MAX_RETENTION_S = 1e9
MAX_CLOSED_SEGMENTS = 1_000_000
"""Largest values of a stored layout; another writer's may be of any size."""


def _encode(layout: ClaimLayout) -> bytes:
    fields = layout._asdict()
    fields["salt"] = layout.salt.hex()
    return json.dumps(fields, sort_keys=True).encode()


def _decode(value: bytes) -> ClaimLayout:
    try:
        fields = load_json(value)
        layout = ClaimLayout(
            bytes.fromhex(fields["salt"]),
            _number(fields["shards"], MAX_SHARDS, int),
            float(_number(fields["retention_s"], MAX_RETENTION_S, int, float)),
            _number(fields["max_closed_segments"], MAX_CLOSED_SEGMENTS, int),
        )
    except (ValueError, KeyError, TypeError) as cause:
        raise BadClaimValue("cannot decode the claim layout") from cause
    if not 0 < len(layout.salt) <= blake2b.MAX_KEY_SIZE:
        raise BadClaimValue("the claim layout has an invalid salt")
    return layout


def _number(value: Any, most: float, *kinds: type) -> Any:
    if type(value) not in kinds or not 0 < value <= most:
        raise ValueError("out of range")
    return value
