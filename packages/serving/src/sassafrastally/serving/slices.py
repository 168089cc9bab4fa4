"""Slices of a customer's limits that its home grants to the entries.

The home of a customer counts the permitted open requests and keeps the customer's token bucket.
Entries hold slices of both. A slice expires on the clock of the entry that uses it. The home counts
it for longer, so that one home never grants the same slice twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.control.bundle import Customer

SLICE_TTL_S = 15.0
"""How long a slice of the open requests may be used after it was requested."""

HOME_MARGIN_S = 1.0
"""How much longer the home counts a slice; covers the message latency."""

PREFETCH_LIMIT_SHARE = 0.5
"""Share of a limit up to which entries are granted more than they currently need. This saves
messages while usage is far below the limit, and no request is refused because of slices that other
entries hold unused."""

PREFETCH_FACTOR = 8
"""Maximum extra grant beyond an entry's needs, as a multiple of these needs."""


class SliceDemand(NamedTuple):
    """Usage that one entry reports and demands for one customer."""

    customer: str
    open_requests: int
    want_requests: int
    """Number of requests that are open or waiting for admission."""
    want_tokens: int
    """Tokens needed in addition to those that the entry holds."""
    returned_tokens: int
    """Granted tokens that expired unused."""


class SliceGrant(NamedTuple):
    """Slice that the home grants an entry for one customer."""

    customer: str
    requests: int
    """Maximum number of open requests at the entry until the slice expires."""
    tokens: int
    """Tokens granted in addition to those that the entry holds."""
    held_requests: int
    """Number of requests granted to all entries, including this one."""
    retry_after_s: float
    """Seconds until the demanded tokens would be available; 0 when they were granted."""


class TokenBucket:
    """Token bucket that admits a request larger than the burst when it is full.

    The balance then becomes negative, and nothing else is admitted until it has recovered. Without
    this, a burst of 100,000 tokens would permanently refuse a prompt of a million tokens.

    Parameters
    ----------
    rate_per_s
        Refill rate in tokens per second.
    burst_tokens
        Capacity of the bucket, which starts full.
    now_s
        Monotonic time.
    """

    def __init__(self, rate_per_s: float, burst_tokens: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst_tokens = burst_tokens
        self.balance = burst_tokens
        self._updated_s = now_s

    def resize(self, rate_per_s: float, burst_tokens: float, now_s: float) -> None:
        """Apply changed limits."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst_tokens = burst_tokens
        self.balance = min(self.balance, burst_tokens)

    def take(self, tokens: float, now_s: float) -> float:
        """Take tokens and return 0; if too few, return the seconds until they are available."""
        self._refill(now_s)
        needed = min(tokens, self.burst_tokens)
        if self.balance >= needed:
            self.balance -= tokens
            return 0.0
        return (needed - self.balance) / self.rate_per_s

    def is_full(self, now_s: float) -> bool:
        """Return whether the bucket is full."""
        self._refill(now_s)
        return self.balance >= self.burst_tokens

    def give_back(self, tokens: float) -> None:
        """Return unused tokens to the bucket."""
        self.balance = min(self.balance + tokens, self.burst_tokens)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = now_s
        self.balance = min(self.balance + elapsed_s * self.rate_per_s, self.burst_tokens)


def bucket_capacity(customer: Customer) -> float:
    """Return the capacity of a customer's bucket, at least the tokens of one second."""
    return max(float(customer.burst_tokens), customer.rate_tokens_per_s)


class _HeldSlice(NamedTuple):
    requests: int
    until_s: float


class CustomerSlices:
    """Slices granted by the home of one customer.

    Parameters
    ----------
    customer
        The customer with its limits.
    now_s
        Monotonic time.
    """

    def __init__(self, customer: Customer, now_s: float) -> None:
        self._held: dict[str, _HeldSlice] = {}
        self._bucket = TokenBucket(customer.rate_tokens_per_s, bucket_capacity(customer), now_s)
        self._customer = customer

    def is_idle(self, now_s: float) -> bool:
        """Return whether this object can be dropped: no slice is held and the bucket is full."""
        self._drop_expired(now_s)
        return not self._held and self._bucket.is_full(now_s)

    def update(self, customer: Customer, now_s: float) -> None:
        """Apply the limits of a new bundle."""
        if customer != self._customer:
            self._customer = customer
            self._bucket.resize(customer.rate_tokens_per_s, bucket_capacity(customer), now_s)

    def grant(self, entry: str, demand: SliceDemand, now_s: float) -> SliceGrant:
        """Grant a slice to an entry and record it as held."""
        self._drop_expired(now_s)
        requests = self._grant_requests(entry, demand)
        # Open requests count as held even beyond the grant, as they run to completion.
        held = max(requests, demand.open_requests)
        self._held.pop(entry, None)
        if held:
            self._held[entry] = _HeldSlice(held, now_s + SLICE_TTL_S + HOME_MARGIN_S)
        tokens, retry_after_s = self._grant_tokens(demand, now_s)
        total = sum(held_slice.requests for held_slice in self._held.values())
        return SliceGrant(demand.customer, requests, tokens, total, retry_after_s)

    def _grant_requests(self, entry: str, demand: SliceDemand) -> int:
        limit = self._customer.max_concurrent
        if not limit:
            return demand.want_requests
        others = sum(
            held_slice.requests for name, held_slice in self._held.items() if name != entry
        )
        headroom = max(int(limit * PREFETCH_LIMIT_SHARE) - others - demand.want_requests, 0)
        extra = min(demand.want_requests * PREFETCH_FACTOR, headroom)
        return min(demand.want_requests + extra, max(limit - others, 0))

    def _grant_tokens(self, demand: SliceDemand, now_s: float) -> tuple[int, float]:
        self._bucket.give_back(demand.returned_tokens)
        if not self._customer.rate_tokens_per_s or not demand.want_tokens:
            return demand.want_tokens, 0.0
        wait_s = self._bucket.take(demand.want_tokens, now_s)
        if wait_s:
            return 0, wait_s
        headroom = max(self._bucket.balance - self._bucket.burst_tokens * PREFETCH_LIMIT_SHARE, 0.0)
        extra = min(demand.want_tokens * PREFETCH_FACTOR, int(headroom))
        self._bucket.take(extra, now_s)
        return demand.want_tokens + extra, 0.0

    def _drop_expired(self, now_s: float) -> None:
        expired = [name for name, held_slice in self._held.items() if held_slice.until_s <= now_s]
        for name in expired:
            del self._held[name]
