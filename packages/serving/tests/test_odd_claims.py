"""Odd records of another writer among those of claims in the KV service."""

from __future__ import annotations

import contextlib
import json
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.core import Incarnation, RequestId
from sassafrastally.serving.claim_layout import (
    LAYOUT_KEY,
    ClaimSettings,
    read_or_create_layout,
)
from sassafrastally.serving.claim_shard import (
    HASH_BYTES,
    BadClaimValue,
    Claim,
    ClaimBlock,
    Placement,
    decode_head,
    encode_block,
)
from sassafrastally.stores import KvWrite
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvModel

KEY_HASH = bytes(HASH_BYTES)
SOUND_LAYOUT = {"salt": "00", "shards": 8, "retention_s": 60.0, "max_closed_segments": 4}
ODD_LAYOUTS = [
    b"",
    b"\xff",
    b"[]",
    b"[" * 30_000,
    b"9" * 5_000,
    *(
        json.dumps({**SOUND_LAYOUT, name: value}).encode()
        for name in SOUND_LAYOUT
        for value in (
            None,
            True,
            0,
            -1,
            2**70,
            10**400,
            1e400,
            float("nan"),
            "x",
            "\ud800",
            [],
            "8",
        )
    ),
]


def block() -> bytes:
    """Return a block with one claim."""
    identity = "ab" * HASH_BYTES
    placement = Placement("vm-1", Incarnation(identity), RequestId(identity), 1)
    return encode_block([Claim(KEY_HASH, KEY_HASH, placement)])


class TestOddLayout:
    @pytest.mark.parametrize("odd", ODD_LAYOUTS, ids=range(len(ODD_LAYOUTS)))
    async def test_is_refused(self, odd: bytes) -> None:
        """Guards against an error in each request with a key by a layout of another writer.

        Without any shards the number of a key's shard raised ZeroDivisionError.
        """
        model = KvModel(Random(1))
        model.transact([KvWrite(LAYOUT_KEY, odd, 0)])
        with pytest.raises(BadClaimValue):
            await read_or_create_layout(FakeKv(model), ClaimSettings(), Random(1))


class TestOddShards:
    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 200), st.binary(max_size=8), st.integers(0, 200))
    def test_altered_blocks_are_refused_or_read(self, at: int, other: bytes, length: int) -> None:
        """Guards against processes that end by a block that was cut or overwritten."""
        data = block()
        altered = (data[:at] + other + data[at + len(other) :])[:length]
        with contextlib.suppress(BadClaimValue):
            ClaimBlock(altered).find(KEY_HASH)
        with contextlib.suppress(BadClaimValue):
            decode_head(altered)
