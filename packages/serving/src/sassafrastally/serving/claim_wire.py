"""Conversion between shard requests and the messages that carry them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import Incarnation, RequestId
from sassafrastally.serving.claim_shard import (
    HASH_BYTES,
    Claim,
    ClaimOperation,
    ClaimResult,
    ClaimState,
    Placement,
    ShardRequest,
)
from sassafrastally.wire.messages import ClaimReply, ClaimRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

NO_PLACEMENT = Placement("", Incarnation(""), RequestId(""), 0)


def encode_request(shard_request: ShardRequest, time_limit_s: float) -> ClaimRequest:
    """Return the message for the home of the request's shard."""
    claim = shard_request.claim
    return ClaimRequest(
        shard_request.operation,
        claim.key_hash,
        claim.body_digest,
        *claim.placement,
        *(shard_request.old or NO_PLACEMENT),
        time_limit_s,
    )


def decode_request(request: ClaimRequest) -> ShardRequest | None:
    """Return the shard request of a message; ``None`` when its values are invalid."""
    lengths = (len(request.key_hash), len(request.body_digest))
    if request.operation not in set(ClaimOperation) or lengths != (HASH_BYTES, HASH_BYTES):
        return None
    placement = _placement(request[3:7])
    old = _placement(request[7:11])
    if request.operation != ClaimOperation.LOOKUP and placement is None:
        return None
    if request.operation == ClaimOperation.REPLACE and old is None:
        return None
    claim = Claim(request.key_hash, request.body_digest, placement or NO_PLACEMENT)
    return ShardRequest(ClaimOperation(request.operation), claim, old)


def encode_reply(result: ClaimResult) -> ClaimReply:
    """Return the reply message of a result."""
    return ClaimReply(result.state, *(result.placement or NO_PLACEMENT), result.retry_after_s)


def decode_reply(reply: ClaimReply) -> ClaimResult | None:
    """Return the result of a reply message; ``None`` when its values are invalid."""
    placement = _placement(reply[1:5])
    if reply.state not in set(ClaimState):
        return None
    state = ClaimState(reply.state)
    if placement is None and state in (ClaimState.GRANTED, ClaimState.HELD):
        return None
    return ClaimResult(state, placement, reply.retry_after_s)


def is_placement(placement: Placement) -> bool:
    """Return whether a placement can be stored in a shard."""
    return _placement(placement) is not None


def _placement(fields: Sequence[object]) -> Placement | None:
    vm, incarnation, request_id, attempt = fields
    is_valid = (
        isinstance(vm, str)
        and 0 < len(vm.encode()) < 256
        and _is_id(incarnation)
        and _is_id(request_id)
        and isinstance(attempt, int)
        and 0 <= attempt < 1 << 16
    )
    if not is_valid:
        return None
    return Placement(
        str(vm), Incarnation(str(incarnation)), RequestId(str(request_id)), int(str(attempt))
    )


def _is_id(value: object) -> bool:
    if not isinstance(value, str) or len(value) != 2 * HASH_BYTES:
        return False
    return all(digit in "0123456789abcdef" for digit in value)
