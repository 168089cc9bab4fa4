"""The layout of the claims: what all entries must share for a key to have one shard.

Two entries that counted shards differently, or hashed keys differently, would grant one key
twice. So the layout lives in the KV service: the first entry writes it once, all others read it,
and the settings only propose it.
"""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core.kv import KvConflict, KvWrite, MaybeApplied
from sassafrastally.core.settings import section
from sassafrastally.serving.claim_shard import HASH_BYTES, BadClaimValue

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core.kv import Kv

PURPOSE = "claims"
"""Purpose under which the KV service's calls are budgeted."""

LAYOUT_KEY = "claims/layout"

SALT_BITS = 256

READ_ATTEMPTS = 4


@section("claims", "entry")
class ClaimSettings(NamedTuple):
    """Claims of idempotency keys."""

    shards: int = 8
    """Shards of the layout that the first entry of a fleet writes; later ones take the written."""
    retention_s: float = 86_400.0
    """How long a claim is kept at least, in the layout that the first entry writes."""
    max_closed_segments: int = 80
    """Closed segments of one shard at most, in the layout that the first entry writes; a full
    shard refuses new claims until its oldest segment lapses."""
    min_write_interval_s: float = 0.05
    """Least time between two writes of one shard by this entry."""
    kv_time_limit_s: float = 3.0
    """Longest time that a batch of claims tries to get into the KV service."""
    forward_time_limit_s: float = 1.0
    """Longest wait for the home of a shard before the entry writes by itself."""
    retry_after_s: float = 2.0
    """When to come back after a refusal, if the KV service doesn't say."""
    cache_bytes: int = 32_000_000
    """Segments that the entry keeps in memory at most."""


class ClaimLayout(NamedTuple):
    """What every entry of a fleet shares."""

    salt: bytes
    """Secret of the fleet: no customer can choose keys that all fall into one shard."""
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
    """Return the fleet's layout, writing the proposed one when there is none.

    Raises
    ------
    KvUnavailable, MaybeApplied
        When the KV service doesn't answer.
    BadClaimValue
        When the layout can't be read.
    """
    for _ in range(READ_ATTEMPTS):
        entry = await kv.get(LAYOUT_KEY, purpose=PURPOSE)
        if entry is not None:
            return _decode(entry.value)
        salt = random.getrandbits(SALT_BITS).to_bytes(SALT_BITS // 8, "big")
        proposed = ClaimLayout(
            salt, settings.shards, settings.retention_s, settings.max_closed_segments
        )
        # The answer may be lost or another entry may have been first: the next read tells which
        # layout stands, and that one is taken whoever wrote it.
        try:
            await kv.write([KvWrite(LAYOUT_KEY, _encode(proposed), 0)], purpose=PURPOSE)
        except (KvConflict, MaybeApplied):
            continue
        return proposed
    raise MaybeApplied(f"{LAYOUT_KEY}: not settled in {READ_ATTEMPTS} reads")


def _encode(layout: ClaimLayout) -> bytes:
    fields = layout._asdict()
    fields["salt"] = layout.salt.hex()
    return json.dumps(fields, sort_keys=True).encode()


def _decode(value: bytes) -> ClaimLayout:
    try:
        fields = json.loads(value)
        return ClaimLayout(
            bytes.fromhex(fields["salt"]),
            int(fields["shards"]),
            float(fields["retention_s"]),
            int(fields["max_closed_segments"]),
        )
    except (ValueError, KeyError, TypeError) as cause:
        raise BadClaimValue("the layout of the claims can't be read") from cause
