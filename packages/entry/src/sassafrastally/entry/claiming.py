"""The idempotency key of one request: claimed between reservation and commit."""

from __future__ import annotations

from contextlib import contextmanager
from hashlib import sha256
from typing import TYPE_CHECKING, Protocol

import trio

from sassafrastally.core import Incarnation, RequestId
from sassafrastally.serving.claims import ClaimState, Placement
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import Figures, Refusal

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.site import Site
    from sassafrastally.serving.claims import ClaimResult

EARLIER_MAY_HAVE_RUN = "This request has not run; an earlier one with its idempotency key may have."

MAX_REPLACEMENTS = 8
"""Owners proved void that one claim takes the key from, one after the other."""


class Claims(Protocol):
    """What the request path uses of `sassafrastally.serving.claims.ClaimService`."""

    async def claim(
        self, customer: str, key: str, body_digest: bytes, placement: Placement, time_limit_s: float
    ) -> ClaimResult:
        """Claim a key for a placement."""
        ...

    async def replace(
        self,
        customer: str,
        key: str,
        old: Placement,
        new: Placement,
        body_digest: bytes,
        time_limit_s: float,
    ) -> ClaimResult:
        """Take a key from a placement that never runs."""
        ...

    async def lookup(self, customer: str, key: str, body_digest: bytes) -> ClaimResult:
        """Return who holds a key; raises `Refusal` when that isn't known."""
        ...


class KeyClaim:
    """Claims the key of one request for one attempt after the other.

    Parameters
    ----------
    claims
        The service that keeps the claims.
    request
        The request; it has a key.
    """

    def __init__(self, claims: Claims, request: CallerRequest) -> None:
        self._claims = claims
        self._request = request
        self._digest = sha256(request.operation.encode() + b"\0" + request.body).digest()
        self._replaceable: set[Placement] = set()

    def release(self, site: Site) -> None:
        """Note that a site may be replaced as owner: it is proved that it doesn't run, or the
        request may be repeated and this one gave the site up."""
        self._replaceable.add(_placement(site))

    async def earlier_may_have_run(self, request_id: str) -> bool:
        """Return whether another request of the key may have run; not known counts as yes."""
        request = self._request
        try:
            result = await self._claims.lookup(request.customer.name, request.key, self._digest)
        except Refusal:
            return True
        if result.state is not ClaimState.HELD or result.placement is None:
            return False
        is_own = result.placement.request_id == request_id
        return not is_own and result.placement not in self._replaceable

    def _can_join(self, owner: Placement, shown_tokens: int) -> bool:
        """Return whether an owner's stream begins where this request's reader stands.

        A later attempt goes on after the words that its own reader has seen. Joined by a reader
        who has seen fewer, its tail would pass as a whole answer; by one who has seen more, words
        would come twice. Such a request may be repeated, so it takes the key and runs by itself.
        """
        if not (self._request.is_idempotent and self._request.is_streamed):
            return True
        return owner.attempt == 1 and shown_tokens == 0

    async def take(self, site: Site, limit_s: float, shown_tokens: int = 0) -> Placement | None:
        """Claim the key for a site.

        Returns
        -------
        Placement | None
            The owner when it is another one; ``None`` when the site has the key.

        Raises
        ------
        Refusal
            When the key was used with another body, or can't be claimed now.
        """
        own = _placement(site)
        request = self._request
        customer, key = request.customer.name, request.key
        until_s = trio.current_time() + limit_s
        result = await self._claims.claim(customer, key, self._digest, own, limit_s)
        for _ in range(MAX_REPLACEMENTS):
            if result.state is ClaimState.KEY_REUSED:
                raise Refusal("key-reused")
            if result.is_granted or result.placement in (None, own):
                return None
            owner = result.placement
            if owner not in self._replaceable and self._can_join(owner, shown_tokens):
                return owner
            left_s = max(0.0, until_s - trio.current_time())
            result = await self._claims.replace(customer, key, owner, own, self._digest, left_s)
        raise Refusal("claims-unavailable", Figures(detail="The key changes hands too often."))


def uncertain_of_key(refusal: Refusal) -> Refusal:
    """Return a refusal that says what is known when an earlier request of the key may have run."""
    detail = f"{refusal.figures.detail} {EARLIER_MAY_HAVE_RUN}".strip()
    return Refusal(refusal.kind.code, refusal.figures._replace(detail=detail), Outcome.UNKNOWN)


@contextmanager
def covering_unread_key(key: str | None) -> Iterator[None]:
    """Turn "not run" into "unknown" for a request with a key that is refused unread.

    The entry that stops or is full has no time to look its key up, and so can't rule out that an
    earlier request of the key has run.
    """
    try:
        yield
    except Refusal as refusal:
        if key and refusal.outcome == Outcome.NOT_RUN:
            raise uncertain_of_key(refusal) from refusal
        raise


def _placement(site: Site) -> Placement:
    return Placement(
        site.vm, Incarnation(site.incarnation), RequestId(site.request_id), site.attempt
    )
