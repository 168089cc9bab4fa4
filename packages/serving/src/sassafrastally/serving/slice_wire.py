"""Conversion of slice demands and grants to and from messages between entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.serving.slices import SLICE_TTL_S, SliceDemand, SliceGrant
from sassafrastally.wire.messages import SliceReply, SliceRequest

if TYPE_CHECKING:
    from collections.abc import Sequence


def encode_demands(demands: Sequence[SliceDemand]) -> SliceRequest:
    """Return the message of some demands."""
    return SliceRequest(
        customers=tuple(demand.customer for demand in demands),
        open_requests=tuple(demand.open_requests for demand in demands),
        want_requests=tuple(demand.want_requests for demand in demands),
        want_tokens=tuple(demand.want_tokens for demand in demands),
        returned_tokens=tuple(demand.returned_tokens for demand in demands),
    )


def decode_demands(request: SliceRequest) -> list[SliceDemand]:
    """Return the demands of a message; lists of unequal length are truncated to the shortest."""
    rows = zip(
        request.customers,
        request.open_requests,
        request.want_requests,
        request.want_tokens,
        request.returned_tokens,
        strict=False,
    )
    return [SliceDemand(*row) for row in rows]


def encode_grants(grants: Sequence[SliceGrant]) -> SliceReply:
    """Return the message of some grants."""
    return SliceReply(
        customers=tuple(grant.customer for grant in grants),
        requests=tuple(grant.requests for grant in grants),
        tokens=tuple(grant.tokens for grant in grants),
        held_requests=tuple(grant.held_requests for grant in grants),
        retry_after_s=tuple(grant.retry_after_s for grant in grants),
        lapse_s=SLICE_TTL_S,
    )


def decode_grants(reply: SliceReply) -> list[SliceGrant]:
    """Return the grants of a message; lists of unequal length are truncated to the shortest."""
    rows = zip(
        reply.customers,
        reply.requests,
        reply.tokens,
        reply.held_requests,
        reply.retry_after_s,
        strict=False,
    )
    return [SliceGrant(*row) for row in rows]
