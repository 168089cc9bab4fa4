"""Tests of the encoding of claims and of the messages that carry them."""

from __future__ import annotations

from random import Random

import pytest

from sassafrastally.core import Incarnation, RequestId
from sassafrastally.serving.claim_shard import (
    BadClaimValue,
    Claim,
    ClaimBlock,
    ClaimOperation,
    ClaimResult,
    ClaimState,
    ClosedSegment,
    Head,
    Placement,
    ShardRequest,
    decode_head,
    encode_block,
    encode_head,
)
from sassafrastally.serving.claim_store import HEAD_CLAIMS, SEGMENT_CLAIMS
from sassafrastally.serving.claim_wire import (
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from sassafrastally.wire.codec import decode_frame, encode_frame
from sassafrastally.wire.messages import Frame

KV_VALUE_BYTES = 1_000_000


def make_claims(count: int) -> list[Claim]:
    random = Random(1)
    claims = []
    for _ in range(count):
        number = random.randrange(1500)
        request_id = RequestId(f"{random.getrandbits(128):032x}")
        placement = Placement(
            f"sidecar-{number}", Incarnation(f"{number:032x}"), request_id, number % 4
        )
        claims.append(Claim(random.randbytes(16), random.randbytes(16), placement))
    return claims


CLAIMS = make_claims(HEAD_CLAIMS)


class TestBlock:
    @pytest.mark.parametrize("count", [0, 1, 700])
    def test_finds_what_a_dictionary_finds(self, count):
        claims = make_claims(count)
        block = ClaimBlock(encode_block(claims))
        assert all(block.find(claim.key_hash) == claim for claim in claims)
        assert sorted(block) == sorted(claims)
        random = Random(2)
        assert all(block.find(random.randbytes(16)) is None for _ in range(300))

    def test_later_claim_of_a_key_takes_precedence(self):
        first, second = CLAIMS[0], CLAIMS[1]._replace(key_hash=CLAIMS[0].key_hash)
        block = ClaimBlock(encode_block([first, second]))
        assert (len(block), block.find(first.key_hash)) == (1, second)

    def test_largest_segment_is_far_below_the_value_limit(self):
        size_bytes = len(encode_block(make_claims(SEGMENT_CLAIMS + HEAD_CLAIMS)))
        assert size_bytes < KV_VALUE_BYTES / 3

    def test_corrupt_data_is_rejected(self):
        data = encode_head(Head(9, 8, 4, (ClosedSegment(1, 2, 3),), tuple(CLAIMS)))
        for length in range(0, len(data), 7):
            with pytest.raises(BadClaimValue):
                decode_head(data[:length])
        with pytest.raises(BadClaimValue):
            decode_head(b"xx" + data[2:])


class TestHead:
    def test_round_trip(self):
        head = Head(9, 8, 4, (ClosedSegment(1, 2, 3), ClosedSegment(5, 6, 7)), tuple(CLAIMS))
        decoded = decode_head(encode_head(head))
        assert decoded._replace(recent=()) == head._replace(recent=())
        assert sorted(decoded.recent) == sorted(CLAIMS)


class TestMessages:
    @pytest.mark.parametrize(
        "shard_request",
        [
            ShardRequest(ClaimOperation.CLAIM, CLAIMS[0]),
            ShardRequest(ClaimOperation.REPLACE, CLAIMS[0], CLAIMS[1].placement),
        ],
    )
    def test_requests_round_trip(self, shard_request):
        assert decode_request(_carried(encode_request(shard_request, 1.5))) == shard_request

    @pytest.mark.parametrize("state", list(ClaimState))
    def test_replies_round_trip(self, state):
        result = ClaimResult(state, CLAIMS[0].placement, 2.5)
        assert decode_reply(_carried(encode_reply(result))) == result

    @pytest.mark.parametrize(
        "change",
        [
            {"operation": "erase"},
            {"key_hash": b"short"},
            {"request_id": "xyz"},
            {"vm": ""},
            {"incarnation": "AB" * 16},
            {"attempt": 1 << 16},
            {"operation": "replace"},
        ],
    )
    def test_invalid_values_are_rejected(self, change):
        good = encode_request(ShardRequest(ClaimOperation.CLAIM, CLAIMS[0]), 1.0)
        assert decode_request(good) is not None
        assert decode_request(good._replace(**change)) is None

    def test_grant_without_a_placement_is_invalid(self):
        assert decode_reply(encode_reply(ClaimResult(ClaimState.GRANTED))) is None


def _carried(message):
    return decode_frame(encode_frame(Frame(1, 1, message))).message
