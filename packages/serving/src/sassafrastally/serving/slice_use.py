"""What one entry uses of a customer's limits, and what it holds of them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.serving.slices import LAPSE_S, SliceAsk, TokenBucket, burst_of

if TYPE_CHECKING:
    from sassafrastally.control.bundle import Customer
    from sassafrastally.serving.slices import SliceGrant

STOCK_S = 5.0
"""How long tokens that were granted may be used before they go back to the home."""

DURATION_WEIGHT = 0.2
"""Weight of the last request in the mean time that requests stay open."""

MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


class Share(NamedTuple):
    """An entry's equal part of a customer's limits, for when the home can't be reached."""

    requests: int
    fraction: float
    """Part of the token rate and of the burst."""


class CustomerUse:
    """One customer's use at this entry.

    Parameters
    ----------
    customer
        The customer with its limits.
    """

    def __init__(self, customer: Customer) -> None:
        self.customer = customer
        self.open_requests = 0
        self.waiting_requests = 0
        """Requests that ask to be admitted at the moment."""
        self.home = ""
        """VM that granted the slice."""
        self.asking = trio.Lock()
        """Held while the home is asked."""
        self.asks = 0
        """Questions sent so far."""
        self.asked_s = -math.inf
        """When it was last asked for."""
        self.has_answer = False
        """Whether the home answered the last question."""
        self.held_requests = 0
        """Requests granted to all entries, by the last answer."""
        self._granted_requests = 0
        self._granted_until_s = -math.inf
        self._stock_tokens = 0
        """Tokens that were granted and not used; below zero after a request used more than it
        was admitted for."""
        self._stock_until_s = -math.inf
        self._returned_tokens = 0
        self._duration_s = 0.0
        self._share_bucket: TokenBucket | None = None

    def is_idle(self, now_s: float) -> bool:
        """Whether nothing is open, held or owed, so that it can be forgotten."""
        self._lapse(now_s)
        # A bucket that was forgotten would come back full: an entry that is cut off would admit a
        # burst on each return of the customer.
        is_owing = self._share_bucket is not None and not self._share_bucket.is_full(now_s)
        used = self.open_requests or self.waiting_requests or self._granted_requests
        return not (used or self._stock_tokens or self._returned_tokens or is_owing)

    def covers(self, tokens: int, now_s: float) -> bool:
        """Return whether the slices held suffice for one more request."""
        self._lapse(now_s)
        has_room = not self.customer.max_concurrent or self.open_requests < self._granted_requests
        has_tokens = not self.customer.rate_tokens_per_s or self._stock_tokens >= tokens
        return has_room and has_tokens

    def is_refused_room(self, now_s: float) -> bool:
        """Return whether the home's last answer leaves no room for one more open request."""
        self._lapse(now_s)
        limit = self.customer.max_concurrent
        return self.has_answer and limit > 0 and self.open_requests >= self._granted_requests

    def ask(self, tokens: int, now_s: float) -> SliceAsk:
        """Return what is to be reported and asked for; what is returned counts as sent."""
        self._lapse(now_s)
        self.asked_s = now_s
        self.asks += 1
        returned, self._returned_tokens = self._returned_tokens, 0
        wanted = max(tokens - self._stock_tokens, 0) if self.customer.rate_tokens_per_s else 0
        return SliceAsk(
            self.customer.name,
            self.open_requests,
            self.open_requests + self.waiting_requests,
            wanted,
            returned,
        )

    def take_over(self, home: str, grant: SliceGrant | None, asked_s: float) -> None:
        """Hold what the home has granted; ``None`` when it didn't answer."""
        self.has_answer = grant is not None
        if grant is None:
            return
        self.home = home
        self.held_requests = grant.held_requests
        self._granted_requests = grant.requests
        # Counted from before the question was sent, so that it lapses here before the home
        # grants the same to another entry, however long the answer took.
        self._granted_until_s = asked_s + LAPSE_S
        if grant.tokens:
            self._stock_tokens += grant.tokens
            self._stock_until_s = asked_s + STOCK_S

    def take(self, tokens: int, retry_after_s: float) -> None:
        """Admit a request on the slices held; raises `Refusal` when they don't suffice."""
        limit = self.customer.max_concurrent
        if limit and self.open_requests >= self._granted_requests:
            raise self._too_many(limit, max(self.held_requests, self.open_requests), "")
        if self.customer.rate_tokens_per_s and self._stock_tokens < tokens:
            raise self._too_fast(self.customer.rate_tokens_per_s, retry_after_s, "")
        if self.customer.rate_tokens_per_s:
            self._stock_tokens -= tokens
        self.open_requests += 1

    def take_share(self, tokens: int, share: Share, now_s: float) -> None:
        """Admit a request on the entry's equal share; raises `Refusal`."""
        self._lapse(now_s)
        detail = "The customer's home can't be reached; the entry acts on its equal share."
        limit = self.customer.max_concurrent
        room = max(share.requests, self._granted_requests)
        if limit and self.open_requests >= room:
            raise self._too_many(room, self.open_requests, detail)
        rate = self.customer.rate_tokens_per_s
        if rate and self._stock_tokens >= tokens:
            self._stock_tokens -= tokens
        elif rate:
            bucket = self._bucket_of(share, now_s)
            if wait_s := bucket.take(tokens, now_s):
                raise self._too_fast(bucket.rate_per_s, wait_s, detail)
        self.open_requests += 1

    def close(self, tokens: int, actual_tokens: int, duration_s: float) -> None:
        """Count a request as ended; what it didn't use may be used again."""
        self.open_requests -= 1
        if self.customer.rate_tokens_per_s:
            self._stock_tokens += tokens - actual_tokens
        previous_s = self._duration_s or duration_s
        self._duration_s = previous_s + DURATION_WEIGHT * (duration_s - previous_s)

    def _lapse(self, now_s: float) -> None:
        if now_s >= self._granted_until_s:
            self._granted_requests = 0
        if now_s >= self._stock_until_s and self._stock_tokens > 0:
            self._returned_tokens += self._stock_tokens
            self._stock_tokens = 0

    def _bucket_of(self, share: Share, now_s: float) -> TokenBucket:
        rate = self.customer.rate_tokens_per_s * share.fraction
        burst = burst_of(self.customer) * share.fraction
        if self._share_bucket is None:
            self._share_bucket = TokenBucket(rate, burst, now_s)
        self._share_bucket.resize(rate, burst, now_s)
        return self._share_bucket

    def _too_many(self, limit: int, measured: int, detail: str) -> Refusal:
        # On average one of the open requests ends after the mean duration over their number.
        expected_s = self._duration_s / max(measured, 1)
        retry_after_s = min(max(expected_s, MIN_RETRY_S), MAX_RETRY_S)
        return Refusal("concurrency-limit", Figures(limit, measured, retry_after_s, detail))

    def _too_fast(self, rate: float, wait_s: float, detail: str) -> Refusal:
        # What isn't paid off yet, this request included, over the time in which a whole burst
        # comes back: above the rate exactly when the bucket doesn't hold enough.
        burst = burst_of(self.customer) * rate / self.customer.rate_tokens_per_s
        measured = rate * (1 + wait_s * rate / burst)
        return Refusal("rate-limit", Figures(rate, measured, wait_s, detail))
