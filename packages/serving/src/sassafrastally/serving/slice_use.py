"""Usage of a customer's limits at one entry, and the slices granted to the entry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.serving.slices import SLICE_TTL_S, SliceDemand, TokenBucket, bucket_capacity

if TYPE_CHECKING:
    from sassafrastally.control.bundle import Customer
    from sassafrastally.serving.slices import SliceGrant

TOKEN_GRANT_TTL_S = 5.0
"""How long granted tokens may be used before they are returned to the home."""

DURATION_WEIGHT = 0.2
"""Smoothing factor of the mean request duration: weight of the last request."""

MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


class Share(NamedTuple):
    """An entry's equal share of a customer's limits, used when the home cannot be reached."""

    requests: int
    fraction: float
    """Share of the token rate and of the burst."""


class CustomerUse:
    """Usage of one customer at this entry.

    Parameters
    ----------
    customer
        The customer with its limits.
    """

    def __init__(self, customer: Customer) -> None:
        self.customer = customer
        self.open_requests = 0
        self.waiting_requests = 0
        """Number of requests waiting for admission."""
        self.home = ""
        """VM that granted the current slice."""
        self.home_lock = trio.Lock()
        """Held during a call to the home."""
        self.demands_sent = 0
        """Number of demands sent so far."""
        self.last_demand_s = -math.inf
        """Time of the last demand."""
        self.has_grant = False
        """Whether the home answered the last demand."""
        self.held_requests = 0
        """Number of requests granted to all entries, from the last reply."""
        self._granted_requests = 0
        self._granted_until_s = -math.inf
        self._granted_tokens = 0
        """Granted tokens that are not used yet; negative after a request used more than it was
        admitted with."""
        self._tokens_until_s = -math.inf
        self._returned_tokens = 0
        self._duration_s = 0.0
        self._share_bucket: TokenBucket | None = None

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing is open, granted or owed, so that this object can be dropped."""
        self._expire(now_s)
        # A dropped bucket would be recreated full: a partitioned entry would admit a full burst
        # each time the customer becomes active again.
        has_debt = self._share_bucket is not None and not self._share_bucket.is_full(now_s)
        used = self.open_requests or self.waiting_requests or self._granted_requests
        return not (used or self._granted_tokens or self._returned_tokens or has_debt)

    def can_admit(self, tokens: int, now_s: float) -> bool:
        """Return whether the granted slices suffice for one more request."""
        self._expire(now_s)
        has_room = not self.customer.max_concurrent or self.open_requests < self._granted_requests
        has_tokens = not self.customer.rate_tokens_per_s or self._granted_tokens >= tokens
        return has_room and has_tokens

    def has_no_room(self, now_s: float) -> bool:
        """Return whether the last grant leaves no room for one more open request."""
        self._expire(now_s)
        limit = self.customer.max_concurrent
        return self.has_grant and limit > 0 and self.open_requests >= self._granted_requests

    def make_demand(self, tokens: int, now_s: float) -> SliceDemand:
        """Return the next demand to send; the tokens that it returns count as delivered."""
        self._expire(now_s)
        self.last_demand_s = now_s
        self.demands_sent += 1
        returned, self._returned_tokens = self._returned_tokens, 0
        needed_tokens = (
            max(tokens - self._granted_tokens, 0) if self.customer.rate_tokens_per_s else 0
        )
        return SliceDemand(
            self.customer.name,
            self.open_requests,
            self.open_requests + self.waiting_requests,
            needed_tokens,
            returned,
        )

    def apply_grant(self, home: str, grant: SliceGrant | None, sent_s: float) -> None:
        """Apply a grant of the home; ``None`` when it did not respond."""
        self.has_grant = grant is not None
        if grant is None:
            return
        self.home = home
        self.held_requests = grant.held_requests
        self._granted_requests = grant.requests
        # The time to live starts before the demand was sent, so that the slice expires here before
        # the home grants it to another entry, regardless of the latency of the reply.
        self._granted_until_s = sent_s + SLICE_TTL_S
        if grant.tokens:
            self._granted_tokens += grant.tokens
            self._tokens_until_s = sent_s + TOKEN_GRANT_TTL_S

    def admit(self, tokens: int, retry_after_s: float) -> None:
        """Admit a request on the granted slices; raises `Refusal` when they do not suffice."""
        limit = self.customer.max_concurrent
        if limit and self.open_requests >= self._granted_requests:
            raise self._concurrency_refusal(limit, max(self.held_requests, self.open_requests), "")
        if self.customer.rate_tokens_per_s and self._granted_tokens < tokens:
            raise self._rate_refusal(self.customer.rate_tokens_per_s, retry_after_s, "")
        if self.customer.rate_tokens_per_s:
            self._granted_tokens -= tokens
        self.open_requests += 1

    def admit_on_share(self, tokens: int, share: Share, now_s: float) -> None:
        """Admit a request on the entry's equal share; raises `Refusal` when it does not suffice."""
        self._expire(now_s)
        detail = "The customer's home can't be reached; the entry acts on its equal share."
        limit = self.customer.max_concurrent
        room = max(share.requests, self._granted_requests)
        if limit and self.open_requests >= room:
            raise self._concurrency_refusal(room, self.open_requests, detail)
        rate = self.customer.rate_tokens_per_s
        if rate and self._granted_tokens >= tokens:
            self._granted_tokens -= tokens
        elif rate:
            bucket = self._share_bucket_at(share, now_s)
            if wait_s := bucket.take(tokens, now_s):
                raise self._rate_refusal(bucket.rate_per_s, wait_s, detail)
        self.open_requests += 1

    def close(self, tokens: int, actual_tokens: int, duration_s: float) -> None:
        """Record the end of a request and make its unused tokens available again."""
        self.open_requests -= 1
        if self.customer.rate_tokens_per_s:
            self._granted_tokens += tokens - actual_tokens
        previous_s = self._duration_s or duration_s
        self._duration_s = previous_s + DURATION_WEIGHT * (duration_s - previous_s)

    def _expire(self, now_s: float) -> None:
        if now_s >= self._granted_until_s:
            self._granted_requests = 0
        if now_s >= self._tokens_until_s and self._granted_tokens > 0:
            self._returned_tokens += self._granted_tokens
            self._granted_tokens = 0

    def _share_bucket_at(self, share: Share, now_s: float) -> TokenBucket:
        rate = self.customer.rate_tokens_per_s * share.fraction
        burst = bucket_capacity(self.customer) * share.fraction
        if self._share_bucket is None:
            self._share_bucket = TokenBucket(rate, burst, now_s)
        self._share_bucket.resize(rate, burst, now_s)
        return self._share_bucket

    def _concurrency_refusal(self, limit: int, measured: int, detail: str) -> Refusal:
        # Expected time until one of the open requests ends: mean duration divided by their number.
        expected_s = self._duration_s / max(measured, 1)
        retry_after_s = min(max(expected_s, MIN_RETRY_S), MAX_RETRY_S)
        return Refusal("concurrency-limit", Figures(limit, measured, retry_after_s, detail))

    def _rate_refusal(self, rate: float, wait_s: float, detail: str) -> Refusal:
        # The outstanding tokens, including this request, divided by the time to refill a full
        # burst. The result exceeds the rate exactly when the bucket does not hold enough tokens.
        burst = bucket_capacity(self.customer) * rate / self.customer.rate_tokens_per_s
        measured = rate * (1 + wait_s * rate / burst)
        return Refusal("rate-limit", Figures(rate, measured, wait_s, detail))
