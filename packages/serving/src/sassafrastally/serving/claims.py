"""Claims of idempotency keys: each key is held by at most one placement.

An entry claims a key after a sidecar has reserved capacity and before it commits. A retry of the
request through any entry finds the claim and is attached to the first run.

Safety depends only on the compare-and-swap of the shard's head. Each shard has a home entry, which
batches the claims of many entries into one write to reduce contention. Two homes at once, or a home
that resumes after a pause, are harmless: the later write fails with a conflict and reads again.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, ClassVar, cast

import trio

from sassafrastally.core import Service, counter, histogram, time_limit
from sassafrastally.core.kv import KvUnavailable, MaybeApplied
from sassafrastally.serving.claim_batches import ShardWorker
from sassafrastally.serving.claim_layout import ClaimSettings, read_or_create_layout
from sassafrastally.serving.claim_shard import (
    HASH_BYTES,
    BadClaimValue,
    Claim,
    ClaimOperation,
    ClaimResult,
    ClaimState,
    Placement,
    ShardRequest,
)
from sassafrastally.serving.claim_store import SegmentCache, ShardStore
from sassafrastally.serving.claim_wire import (
    NO_PLACEMENT,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
    is_placement,
)
from sassafrastally.serving.home_calls import HomeClient
from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.serving.rendezvous import home_of
from sassafrastally.stores.service import PlatformService
from sassafrastally.wire.messages import ClaimReply, ClaimRequest

if TYPE_CHECKING:
    from sassafrastally.control.interfaces import Membership
    from sassafrastally.serving.claim_layout import ClaimLayout
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.link import Peers, Stream
    from sassafrastally.wire.messages import Message

__all__ = ["ClaimResult", "ClaimService", "ClaimState", "Placement"]

LOOKUP_TIME_LIMIT_S = 0.25
"""Time limit of a lookup, which only serves to avoid a needless reservation."""

MAX_RETRY_AFTER_S = 3_600.0

SETTLED = counter(
    "sassafrastally.claims.settled", "claims", "Answers to claims of this entry, by state."
)
CLAIM_TIME = histogram("sassafrastally.claims.time", "s", "Time from a claim to its answer.")


class ClaimService(Service):
    """Claims idempotency keys for this entry and, as a shard's home, for other entries.

    Parameters
    ----------
    settings
        Claim settings of the entry.
    """

    name: ClassVar[str] = "claims"
    needs: ClassVar[tuple[str, ...]] = ("peers", "platform", "membership")

    def __init__(self, settings: ClaimSettings | None = None) -> None:
        self._settings = settings or ClaimSettings()
        self._cache = SegmentCache(self._settings.cache_bytes)
        self._workers: dict[int, ShardWorker] = {}
        self._layout: ClaimLayout | None = None
        self._reading_layout = trio.Lock()
        self._nursery: trio.Nursery
        self._homes: HomeClient

    @property
    def layout(self) -> ClaimLayout | None:
        """Claim layout of the fleet; ``None`` until this entry has read it."""
        return self._layout

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to serve claims of other entries."""
        self._nursery = nursery
        self._homes = HomeClient(self._peers)
        self._peers.on_stream(ClaimRequest, self._on_request)

    async def claim(
        self, customer: str, key: str, body_digest: bytes, placement: Placement, time_limit_s: float
    ) -> ClaimResult:
        """Claim a key for a placement.

        Parameters
        ----------
        customer
            Name of the customer.
        key
            The caller's idempotency key.
        body_digest
            Digest of the operation and the body that the caller sent.
        placement
            Where the request is reserved; must not have been used by another claim.
        time_limit_s
            Maximum time to wait for the result.

        Returns
        -------
        ClaimResult
            ``GRANTED``: the placement holds the key; commit. ``HELD``: another placement holds
            it; attach there, or call `replace` with that placement if it proves to be void.
            ``KEY_REUSED``: the key was used with a different body.

        Raises
        ------
        Refusal
            ``claims-unavailable``: it is unknown whether the key was claimed. Release the
            reservation, after which the request is proved not run. A claim that is written late
            names a void placement, which a retry replaces.
        """
        return await self._settle(
            ClaimOperation.CLAIM, customer, key, body_digest, placement, None, time_limit_s
        )

    async def replace(
        self,
        customer: str,
        key: str,
        old: Placement,
        new: Placement,
        body_digest: bytes,
        time_limit_s: float,
    ) -> ClaimResult:
        """Claim a key for a new placement if it is held by an old one that is proved not run.

        Parameters and exceptions are those of `claim`. The caller must have proof that `old` has
        not run and never will: its sidecar answered a voiding `Query`.

        Returns
        -------
        ClaimResult
            ``GRANTED``: `new` holds the key. ``HELD``: a third placement holds it.
        """
        return await self._settle(
            ClaimOperation.REPLACE, customer, key, body_digest, new, old, time_limit_s
        )

    async def lookup(
        self, customer: str, key: str, body_digest: bytes, time_limit_s: float = LOOKUP_TIME_LIMIT_S
    ) -> ClaimResult:
        """Return the current holder of a key.

        Raises
        ------
        Refusal
            ``claims-unavailable``: the shard cannot be read, so the holder is unknown.
        """
        return await self._settle(
            ClaimOperation.LOOKUP, customer, key, body_digest, NO_PLACEMENT, None, time_limit_s
        )

    async def _settle(
        self,
        operation: ClaimOperation,
        customer: str,
        key: str,
        body_digest: bytes,
        placement: Placement,
        old: Placement | None,
        time_limit_s: float,
    ) -> ClaimResult:
        if operation is not ClaimOperation.LOOKUP and not is_placement(placement):
            raise ValueError(f"not a placement: {placement}")
        started_s = trio.current_time()
        result = ClaimResult(ClaimState.UNAVAILABLE)
        async with time_limit(started_s + max(time_limit_s, 0.0)):
            layout = await self._load_layout()
            digest = blake2b(body_digest, digest_size=HASH_BYTES).digest()
            claim = Claim(layout.key_hash(customer, key), digest, placement)
            result = await self._submit(layout, ShardRequest(operation, claim, old), time_limit_s)
        CLAIM_TIME.record(trio.current_time() - started_s)
        SETTLED.add(1, {"state": result.state})
        if result.state in (ClaimState.UNAVAILABLE, ClaimState.FULL):
            raise self._refusal(result)
        return result

    def _refusal(self, result: ClaimResult) -> Refusal:
        retry_after_s = result.retry_after_s or self._settings.retry_after_s
        detail = (
            "The key's shard is full."
            if result.state is ClaimState.FULL
            else "The key-value service did not settle the claim in time."
        )
        figures = Figures(retry_after_s=min(retry_after_s, MAX_RETRY_AFTER_S), detail=detail)
        return Refusal("claims-unavailable", figures)

    async def _load_layout(self) -> ClaimLayout:
        async with self._reading_layout:
            if self._layout is None:
                kv = self._platform.kv
                try:
                    self._layout = await read_or_create_layout(
                        kv, self._settings, self.kernel.random
                    )
                except (KvUnavailable, MaybeApplied, BadClaimValue) as cause:
                    hint_s = cause.retry_after_s if isinstance(cause, KvUnavailable) else 0.0
                    raise self._refusal(
                        ClaimResult(ClaimState.UNAVAILABLE, None, hint_s)
                    ) from cause
            return self._layout

    async def _submit(
        self, layout: ClaimLayout, request: ShardRequest, time_limit_s: float
    ) -> ClaimResult:
        shard = layout.shard_of(request.claim.key_hash)
        home = home_of(f"claims/{shard}", self._membership)
        if home is not None and home.vm != self.kernel.vm:
            # The home gets at most half of the time limit, so that time is left to write directly.
            limit_s = min(self._settings.forward_time_limit_s, time_limit_s / 2)
            result = await self._call_home(home, request, limit_s)
            if result is not None and result.state is not ClaimState.UNAVAILABLE:
                return result
        # The home may have written the claim although its reply was lost. In that case the write
        # below conflicts, reloads the shard and finds this entry's own placement in it.
        return await self._worker(layout, shard).submit(request, time_limit_s)

    async def _call_home(
        self, home: VmState, request: ShardRequest, time_limit_s: float
    ) -> ClaimResult | None:
        reply = await self._homes.call(home, encode_request(request, time_limit_s), time_limit_s)
        return decode_reply(reply) if isinstance(reply, ClaimReply) else None

    async def _on_request(self, stream: Stream, message: Message) -> None:
        if not isinstance(message, ClaimRequest):
            return
        result = ClaimResult(ClaimState.UNAVAILABLE)
        request = decode_request(message)
        if request is not None:
            try:
                with trio.move_on_after(message.time_limit_s):
                    layout = await self._load_layout()
                    worker = self._worker(layout, layout.shard_of(request.claim.key_hash))
                    result = await worker.submit(request, message.time_limit_s)
            except Refusal as refusal:
                result = result._replace(retry_after_s=refusal.figures.retry_after_s)
        await stream.send(encode_reply(result))

    def _worker(self, layout: ClaimLayout, shard: int) -> ShardWorker:
        if shard not in self._workers:
            store = ShardStore(self._platform.kv, shard, layout, self._cache, self.kernel.clock)
            worker = ShardWorker(store, self._settings, self.kernel.random, self.kernel.events)
            self._workers[shard] = worker
            self._nursery.start_soon(worker.run)
        return self._workers[shard]

    @property
    def _peers(self) -> Peers:
        return cast("Peers", self.kernel.get("peers", Service))

    @property
    def _platform(self) -> PlatformService:
        return self.kernel.get("platform", PlatformService)

    @property
    def _membership(self) -> Membership:
        return cast("Membership", self.kernel.get("membership", Service))
