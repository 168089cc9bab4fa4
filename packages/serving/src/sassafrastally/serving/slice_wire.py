"""Slices as messages between entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.serving.slices import LAPSE_S, SliceAsk, SliceGrant
from sassafrastally.wire.messages import SliceReply, SliceRequest

if TYPE_CHECKING:
    from collections.abc import Sequence


def request_of(asks: Sequence[SliceAsk]) -> SliceRequest:
    """Return the message of some questions."""
    return SliceRequest(
        customers=tuple(ask.customer for ask in asks),
        open_requests=tuple(ask.open_requests for ask in asks),
        want_requests=tuple(ask.want_requests for ask in asks),
        want_tokens=tuple(ask.want_tokens for ask in asks),
        returned_tokens=tuple(ask.returned_tokens for ask in asks),
    )


def asks_of(request: SliceRequest) -> list[SliceAsk]:
    """Return the questions of a message; lists of unequal length are cut to the shortest."""
    rows = zip(
        request.customers,
        request.open_requests,
        request.want_requests,
        request.want_tokens,
        request.returned_tokens,
        strict=False,
    )
    return [SliceAsk(*row) for row in rows]


def reply_of(grants: Sequence[SliceGrant]) -> SliceReply:
    """Return the message of some grants."""
    return SliceReply(
        customers=tuple(grant.customer for grant in grants),
        requests=tuple(grant.requests for grant in grants),
        tokens=tuple(grant.tokens for grant in grants),
        held_requests=tuple(grant.held_requests for grant in grants),
        retry_after_s=tuple(grant.retry_after_s for grant in grants),
        lapse_s=LAPSE_S,
    )


def grants_of(reply: SliceReply) -> list[SliceGrant]:
    """Return the grants of a message; lists of unequal length are cut to the shortest."""
    rows = zip(
        reply.customers,
        reply.requests,
        reply.tokens,
        reply.held_requests,
        reply.retry_after_s,
        strict=False,
    )
    return [SliceGrant(*row) for row in rows]
