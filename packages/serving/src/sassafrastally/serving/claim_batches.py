"""Batched writes of claims to the KV service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import counter, event, histogram, time_limit
from sassafrastally.core.kv import KvBudgetSpent, KvConflict, KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.serving.claim_shard import (
    BadClaimValue,
    Claim,
    ClaimOperation,
    ClaimResult,
    ClaimState,
    ShardRequest,
)
from sassafrastally.serving.claim_store import ShardFull
from sassafrastally.stores.backoff import full_jitter

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core import EventLog
    from sassafrastally.serving.claim_layout import ClaimSettings
    from sassafrastally.serving.claim_store import ShardStore

MAX_BATCH_CLAIMS = 64
"""Maximum number of claims in one write; half of the capacity of a head."""

MAX_QUEUED_CLAIMS = 1_024
"""Maximum number of queued claims per shard; further claims are refused."""

IDLE_EXPIRY_S = 60.0
"""Idle time after which a shard's snapshot is dropped, so that an entry that is no longer its home
does not keep its segments in memory."""

CONFLICT_BASE_S = 0.005
CONFLICT_CAP_S = 0.2

BATCH_SIZE = histogram(
    "sassafrastally.claims.batch", "claims", "Claims in one write to the KV service."
)
CONFLICTS = counter(
    "sassafrastally.claims.conflicts", "writes", "Writes that met another entry's write."
)


MIN_FAILURE_EVENT_INTERVAL_S = 10.0
"""Minimum interval between failure events of one shard, so that an outage does not fill the event
ring."""


@event(5101, "warning")
class ClaimBatchFailed(NamedTuple):
    """Claims could not be resolved; their requests are refused."""

    claims: int
    """Number of failed claims since the previous event."""
    reason: str


class PendingClaim:
    """A shard request that is queued for its shard."""

    def __init__(self, request: ShardRequest) -> None:
        self.request = request
        self.done = trio.Event()
        self.is_abandoned = False
        """Whether the caller has stopped waiting; an abandoned claim is not written."""
        self.result = ClaimResult(ClaimState.UNAVAILABLE)

    def settle(self, result: ClaimResult) -> None:
        """Set the result and wake the caller."""
        self.result = result
        self.done.set()


def resolve_request(request: ShardRequest, existing: Claim | None) -> ClaimResult | None:
    """Return the result that an existing claim implies; ``None`` when a claim must be written.

    Notes
    -----
    A placement is random and used once, so it identifies the request. Finding it in the shard
    shows that an earlier write took effect although its response was lost.
    """
    if existing is None:
        is_lookup = request.operation is ClaimOperation.LOOKUP
        return ClaimResult(ClaimState.ABSENT) if is_lookup else None
    if existing.body_digest != request.claim.body_digest:
        return ClaimResult(ClaimState.KEY_REUSED, existing.placement)
    if request.operation is ClaimOperation.LOOKUP:
        return ClaimResult(ClaimState.HELD, existing.placement)
    if existing.placement == request.claim.placement:
        return ClaimResult(ClaimState.GRANTED, existing.placement)
    if request.operation is ClaimOperation.REPLACE and existing.placement == request.old:
        return None
    return ClaimResult(ClaimState.HELD, existing.placement)


class ShardWorker:
    """Resolves the claims of one shard in sequential batches.

    Parameters
    ----------
    store
        The shard.
    settings
        Intervals and time limits.
    random
        Source of the backoff jitter after write conflicts.
    events
        Event log of the process.
    """

    def __init__(
        self, store: ShardStore, settings: ClaimSettings, random: Random, events: EventLog
    ) -> None:
        self._store = store
        self._settings = settings
        self._random = random
        self._events = events
        self._waiting: deque[PendingClaim] = deque()
        self._arrived = trio.Event()
        self._next_write_s = 0.0
        self._next_report_s = 0.0
        self._failed_claims = 0

    @property
    def is_queue_full(self) -> bool:
        """Whether the queue is full."""
        return len(self._waiting) >= MAX_QUEUED_CLAIMS

    async def submit(self, request: ShardRequest, time_limit_s: float) -> ClaimResult:
        """Queue a request and return its result, ``UNAVAILABLE`` after the time limit."""
        pending = PendingClaim(request)
        if self.is_queue_full:
            return pending.result
        self._waiting.append(pending)
        self._arrived.set()
        async with time_limit(trio.current_time() + time_limit_s):
            try:
                await pending.done.wait()
            finally:
                pending.is_abandoned = True
        return pending.result

    async def run(self) -> None:
        """Resolve batches until cancelled."""
        while True:
            with trio.move_on_after(IDLE_EXPIRY_S) as idle:
                await self._arrived.wait()
            if idle.cancelled_caught:
                self._store.forget()
                continue
            # Limits the write rate of a shard; the first write after an idle period is not delayed.
            await trio.sleep_until(self._next_write_s)
            await self._settle(self._next_batch())
            if not self._waiting:
                self._arrived = trio.Event()

    def _next_batch(self) -> list[PendingClaim]:
        batch: list[PendingClaim] = []
        while self._waiting and len(batch) < MAX_BATCH_CLAIMS:
            pending = self._waiting.popleft()
            if not pending.is_abandoned:
                batch.append(pending)
        return batch

    async def _settle(self, batch: list[PendingClaim]) -> None:
        failure = ClaimResult(ClaimState.UNAVAILABLE, None, self._settings.retry_after_s)
        reason = "time limit"
        with trio.move_on_after(self._settings.kv_time_limit_s):
            try:
                await self._settle_all(batch)
            except ShardFull as cause:
                failure = ClaimResult(ClaimState.FULL, None, cause.retry_after_s)
                reason = cause.detail
            except (KvUnavailable, LeaseLost, BadClaimValue) as cause:
                hint_s = cause.retry_after_s if isinstance(cause, KvUnavailable) else 0.0
                failure = failure._replace(retry_after_s=hint_s or failure.retry_after_s)
                reason = cause.detail
        unsettled = [pending for pending in batch if not pending.done.is_set()]
        for pending in unsettled:
            pending.settle(failure)
        if unsettled:
            # An in-flight write may still take effect, so the snapshot is dropped. The
            # reservations of the refused requests are released: a claim that is written late
            # names a placement that is proved not run, and the next retry replaces it.
            self._store.forget()
            self._report(len(unsettled), reason)

    def _report(self, claims: int, reason: str) -> None:
        self._failed_claims += claims
        if trio.current_time() >= self._next_report_s:
            self._events.emit(ClaimBatchFailed(self._failed_claims, reason))
            self._failed_claims = 0
            self._next_report_s = trio.current_time() + MIN_FAILURE_EVENT_INTERVAL_S

    async def _settle_all(self, batch: list[PendingClaim]) -> None:
        conflicts = 0
        if any(pending.request.operation is not ClaimOperation.CLAIM for pending in batch):
            # A cached holder may have been replaced since. That is acceptable for a claim, whose
            # caller queries the returned placement next. A replacement needs the current holder,
            # otherwise two entries with stale snapshots could redirect the caller to each other
            # endlessly. A lookup that returns "absent" serves as proof that no request with the
            # key has run, which a stale snapshot cannot give.
            self._store.forget()
        await self._load()
        while claims := self._answer(batch):
            try:
                self._next_write_s = trio.current_time() + self._settings.min_write_interval_s
                await self._store.append(claims)
                BATCH_SIZE.record(len(claims))
            except KvBudgetSpent as cause:
                await trio.sleep(cause.retry_after_s)
            except (KvConflict, MaybeApplied):
                # Another entry wrote first, or the response was lost after the write. The
                # reloaded shard shows which: the loop first looks for its own placements.
                CONFLICTS.add(1)
                await trio.sleep(
                    full_jitter(conflicts, CONFLICT_BASE_S, CONFLICT_CAP_S, self._random)
                )
                conflicts += 1
                self._store.forget()
                await self._load()

    async def _load(self) -> None:
        while not self._store.is_loaded:
            try:
                await self._store.load()
            except KvBudgetSpent as cause:
                await trio.sleep(cause.retry_after_s)
            except MaybeApplied:
                await trio.sleep(CONFLICT_BASE_S)

    def _answer(self, batch: list[PendingClaim]) -> list[Claim]:
        """Settle requests that known claims answer; return the claims to write, one per key."""
        new_claims: dict[bytes, Claim] = {}
        for pending in batch:
            if pending.done.is_set():
                continue
            claim = pending.request.claim
            result = resolve_request(pending.request, self._store.find(claim.key_hash))
            if result is not None:
                pending.settle(result)
            else:
                new_claims.setdefault(claim.key_hash, claim)
        return list(new_claims.values())
