"""Slices of a customer's limits: what its home has granted to each entry.

The home of a customer counts the requests that may be open and holds the customer's token bucket.
Entries hold slices of both. A slice lapses on the clock of the entry that uses it; the home
counts it for longer, so a slice is never granted twice by one home.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.control.bundle import Customer

SLICE_TTL_S = 15.0
"""How long a slice of the open requests may be used after it was asked for."""

HOME_MARGIN_S = 1.0
"""How much longer the home counts it; covers the time of the messages."""

PREFETCH_LIMIT_SHARE = 0.5
"""Part of a limit up to which entries get more than they need at the moment: it saves messages
while the limit is far away, and refuses nobody on account of what others only set aside."""

PREFETCH_FACTOR = 8
"""How many times what an entry needs it gets on top, where there is enough to spare."""


class SliceDemand(NamedTuple):
    """What one entry reports and asks for one customer."""

    customer: str
    open_requests: int
    want_requests: int
    """Requests open or waiting to be admitted."""
    want_tokens: int
    """Tokens needed beyond those that the entry has."""
    returned_tokens: int
    """Granted tokens that were not used in time."""


class SliceGrant(NamedTuple):
    """What the home grants an entry for one customer."""

    customer: str
    requests: int
    """Requests that the entry may have open until the slice lapses."""
    tokens: int
    """Tokens that it may use beyond those it has."""
    held_requests: int
    """Requests granted to all entries, this one included."""
    retry_after_s: float
    """After how many seconds the tokens asked for would be there; 0 when they were granted."""


class TokenBucket:
    """Token bucket that lets a request larger than the burst pass when it is full.

    It then goes below zero and pays the rest off before anything else passes: a prompt of a
    million tokens isn't turned away for good by a burst of a hundred thousand.

    Parameters
    ----------
    rate_per_s
        Tokens that come back each second.
    burst_tokens
        Tokens that it holds at most; it starts full.
    now_s
        Monotonic time.
    """

    def __init__(self, rate_per_s: float, burst_tokens: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst_tokens = burst_tokens
        self.balance = burst_tokens
        self._updated_s = now_s

    def resize(self, rate_per_s: float, burst_tokens: float, now_s: float) -> None:
        """Take over changed limits."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst_tokens = burst_tokens
        self.balance = min(self.balance, burst_tokens)

    def take(self, tokens: float, now_s: float) -> float:
        """Take tokens; return 0, or the seconds until they could be taken when they weren't."""
        self._refill(now_s)
        needed = min(tokens, self.burst_tokens)
        if self.balance >= needed:
            self.balance -= tokens
            return 0.0
        return (needed - self.balance) / self.rate_per_s

    def is_full(self, now_s: float) -> bool:
        """Return whether it is as full as a new one."""
        self._refill(now_s)
        return self.balance >= self.burst_tokens

    def give_back(self, tokens: float) -> None:
        """Put unused tokens back."""
        self.balance = min(self.balance + tokens, self.burst_tokens)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = now_s
        self.balance = min(self.balance + elapsed_s * self.rate_per_s, self.burst_tokens)


def bucket_capacity(customer: Customer) -> float:
    """Return how many tokens a customer's bucket holds: a second's worth at least."""
    return max(float(customer.burst_tokens), customer.rate_tokens_per_s)


class _HeldSlice(NamedTuple):
    requests: int
    until_s: float


class CustomerSlices:
    """What the home of one customer has granted.

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
        """Whether no entry holds a slice and the bucket is full, so that it can be forgotten."""
        self._drop_expired(now_s)
        return not self._held and self._bucket.is_full(now_s)

    def update(self, customer: Customer, now_s: float) -> None:
        """Take over the limits of a new bundle."""
        if customer != self._customer:
            self._customer = customer
            self._bucket.resize(customer.rate_tokens_per_s, bucket_capacity(customer), now_s)

    def grant(self, entry: str, demand: SliceDemand, now_s: float) -> SliceGrant:
        """Return what an entry gets, and count it as held."""
        self._drop_expired(now_s)
        requests = self._grant_requests(entry, demand)
        # Open requests count as held even beyond what was granted: they run to their end.
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
        lapsed = [name for name, held_slice in self._held.items() if held_slice.until_s <= now_s]
        for name in lapsed:
            del self._held[name]
