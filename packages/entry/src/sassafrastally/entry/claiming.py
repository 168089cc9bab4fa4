"""Claims on idempotency keys: a request claims its key between reservation and commit."""

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
"""How many owners whose attempts were voided one claim may replace, one after another."""


class Claims(Protocol):
    """The methods of `sassafrastally.serving.claims.ClaimService` that the request path uses."""

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
        """Transfer a key from a placement that will never run to a new one."""
        ...

    async def lookup(self, customer: str, key: str, body_digest: bytes) -> ClaimResult:
        """Return the owner of a key; raise `Refusal` if it can't be determined."""
        ...


class KeyClaim:
    """Claims the idempotency key of one request for its successive attempts.

    Parameters
    ----------
    claims
        The service that stores the claims.
    request
        The request; it must have a key.
    """

    def __init__(self, claims: Claims, request: CallerRequest) -> None:
        self._claims = claims
        self._request = request
        self._digest = sha256(request.operation.encode() + b"\0" + request.body).digest()
        self._replaceable: set[Placement] = set()

    def release(self, site: Site) -> None:
        """Mark a site as replaceable in its role as owner of the key.

        Either the attempt is proved not to run, or the request is idempotent and has abandoned
        the site.
        """
        self._replaceable.add(_placement(site))

    async def earlier_may_have_run(self, request_id: str) -> bool:
        """Return whether another request with the key may have run; ``True`` if unknown."""
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
        """Return whether an owner's stream starts at the position of this request's reader.

        A retry resumes after the tokens that its own reader has received. A reader that has
        received fewer would get only the tail as a complete answer, and one that has received more
        would get tokens twice. Such a request is idempotent, so it takes over the key and runs
        itself.
        """
        if not (self._request.is_idempotent and self._request.is_streamed):
            return True
        return owner.attempt == 1 and shown_tokens == 0

    async def acquire(self, site: Site, limit_s: float, shown_tokens: int = 0) -> Placement | None:
        """Claim the key for a site.

        Returns
        -------
        Placement | None
            The owner if it is another one; ``None`` if the site now owns the key.

        Raises
        ------
        Refusal
            If the key was used with another body, or can't be claimed now.
        """
        own = _placement(site)
        request = self._request
        customer, key = request.customer.name, request.key
        deadline_s = trio.current_time() + limit_s
        result = await self._claims.claim(customer, key, self._digest, own, limit_s)
        for _ in range(MAX_REPLACEMENTS):
            if result.state is ClaimState.KEY_REUSED:
                raise Refusal("key-reused")
            if result.is_granted or result.placement in (None, own):
                return None
            owner = result.placement
            if owner not in self._replaceable and self._can_join(owner, shown_tokens):
                return owner
            left_s = max(0.0, deadline_s - trio.current_time())
            result = await self._claims.replace(customer, key, owner, own, self._digest, left_s)
        raise Refusal("claims-unavailable", Figures(detail="The key changes hands too often."))


def with_unknown_outcome(refusal: Refusal) -> Refusal:
    """Return the refusal with outcome unknown: an earlier request with the key may have run."""
    detail = f"{refusal.figures.detail} {EARLIER_MAY_HAVE_RUN}".strip()
    return Refusal(refusal.kind.code, refusal.figures._replace(detail=detail), Outcome.UNKNOWN)


@contextmanager
def covering_unread_key(key: str | None) -> Iterator[None]:
    """Change "not run" to "unknown" for requests with a key that are refused before its lookup.

    An entry that is stopping or overloaded doesn't look up the key, so it can't rule out that an
    earlier request with the same key has run.
    """
    try:
        yield
    except Refusal as refusal:
        if key and refusal.outcome == Outcome.NOT_RUN:
            raise with_unknown_outcome(refusal) from refusal
        raise


def _placement(site: Site) -> Placement:
    return Placement(
        site.vm, Incarnation(site.incarnation), RequestId(site.request_id), site.attempt
    )
