"""Segments of spans on this engine: memory promises, KV imports and exports."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import Address
from sassafrastally.serving.forecast import blocks_needed, service_s
from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.serving.spans import (
    SegmentDone,
    blocks_of,
    encode_done,
    handle_of,
    import_blocks,
    span_blocks,
)
from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.sidecar.engine import EngineFailed, EngineRefused, EngineUnavailable
from sassafrastally.sidecar.events import CancelUnconfirmed, SegmentExported
from sassafrastally.sidecar.segment import Import, Segment

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.core import Kernel
    from sassafrastally.serving.scheduling import CostModel, EngineState, Work
    from sassafrastally.sidecar.attempts import Attempt, AttemptTable
    from sassafrastally.sidecar.engine import Engine
    from sassafrastally.sidecar.ledger import Ledger
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.messages import Reserve

SEGMENT_LAPSE_FACTOR = 3.0
"""Multiple of the expected wait for preceding segments by which a reservation's lapse is extended.

Engine costs are learned, so early estimates of the wait may be far off."""

MIN_RETRY_S = 0.5
"""Minimum retry-after time for an engine whose memory is promised."""


class Promise(NamedTuple):
    """Blocks reserved for a segment that doesn't hold them yet."""

    key: AttemptKey
    blocks: int
    made_s: float
    starts_at_s: float


def own_tokens(reserve: Reserve) -> int:
    """Return the number of prompt tokens that this engine computes itself."""
    return reserve.segment_tokens or reserve.prompt_tokens


def imports_of(reserve: Reserve) -> tuple[Import, ...]:
    """Return the imports of a segment; raises `Refusal` when the lists differ in length."""
    lengths = {
        len(reserve.import_handles),
        len(reserve.import_sources),
        len(reserve.import_tokens),
    }
    if len(lengths) > 1:
        raise Refusal("bad-request", Figures(detail="imports without source or size"))
    parts = zip(reserve.import_handles, reserve.import_sources, reserve.import_tokens, strict=True)
    return tuple(Import(*part) for part in parts)


class Promises:
    """Memory promised to segments.

    Promises are derived from the live attempts, so that none outlives its owner.

    Parameters
    ----------
    table
        All attempts.
    ledger
        The engine's memory.
    """

    def __init__(self, table: AttemptTable, ledger: Ledger) -> None:
        self._table = table
        self._ledger = ledger

    def open(self) -> list[Promise]:
        """Return the promises of segments that hold no memory yet."""
        return [
            Promise(a.key, a.segment.blocks, a.segment.made_s, a.segment.starts_at_s)
            for a in self._table.live
            if a.segment is not None and not a.has_started and not self._ledger.holds(a.stream_id)
        ]

    def all_segments(self) -> list[Segment]:
        """Return all segments on this engine, including those that already hold their memory."""
        return [a.segment for a in self._table.live if a.segment is not None]

    def check_room(self, blocks: int, now_s: float) -> None:
        """Refuse a segment that doesn't fit in the memory available to spans.

        The total over all spans stays within the engine's memory. A segment therefore waits only
        for other work, which ends on its own, and never for another span, so spans can't deadlock.
        """
        capacity_blocks = span_blocks(self._ledger.total_blocks)
        segments = self.all_segments()
        used_blocks = sum(segment.blocks for segment in segments)
        if blocks > capacity_blocks:
            raise Refusal(
                "no-span", _token_figures(capacity_blocks, blocks, self._ledger.block_tokens)
            )
        if used_blocks + blocks > capacity_blocks:
            soonest_s = min(segment.done_at_s for segment in segments) - now_s
            detail = "promised to other spans"
            raise Refusal(
                "memory-full",
                Figures(capacity_blocks, used_blocks + blocks, max(MIN_RETRY_S, soonest_s), detail),
            )

    def check_backfill(self, work: Work, ends_in_s: float, now_s: float) -> None:
        """Refuse work that needs memory promised to or held by segments.

        Work that ends before the first segment is expected to start may use its memory until then
        (backfill), unless a segment already holds its memory.
        """
        segments = self.all_segments()
        if not segments:
            return
        need = blocks_needed(work, self._ledger.block_tokens)
        available_blocks = self._ledger.total_blocks - sum(segment.blocks for segment in segments)
        if need <= available_blocks:
            return
        promises = self.open()
        if len(promises) == len(segments):
            start_s = min(promise.starts_at_s for promise in promises) - now_s
            if ends_in_s <= start_s:
                return
        retry_s = max(MIN_RETRY_S, min(segment.done_at_s for segment in segments) - now_s)
        raise Refusal(
            "memory-full", Figures(available_blocks, need, retry_s, "a span has the rest")
        )


def backfill_candidates(
    ready: Sequence[Work], state: EngineState, promises: Iterable[Promise], cost: CostModel
) -> list[Work]:
    """Return the work that may start without delaying a segment that is due.

    This is work that fits beside the promised memory, work that ends before the segments start
    (backfill), and work admitted before the promise was made, which the segment's prediction
    includes and whose duration is bounded by its time limit. Work that doesn't fit in the free
    memory at all stays in the list, so that the scheduler can keep memory free for it.
    """
    open_promises = list(promises)
    token_s = cost.token_s(len(state.running) + 1)
    allowed = []
    for work in ready:
        binding = [
            promise
            for promise in open_promises
            if promise.made_s <= work.arrived_s and promise.key != _key(work)
        ]
        need = blocks_needed(work, state.block_tokens)
        fits = need <= state.free_blocks - sum(promise.blocks for promise in binding)
        start_s = min((promise.starts_at_s for promise in binding), default=float("inf"))
        ends_s = state.now_s + service_s(work, cost) + work.output_tokens * token_s
        if fits or need > state.free_blocks or ends_s <= start_s:
            allowed.append(work)
    return allowed


class Segments:
    """Imports, exports and frees the KV caches of segments on the engine.

    Parameters
    ----------
    kernel
        The process.
    settings
        Timeouts.
    engine
        Client of the engine.
    ledger
        Ledger of the engine's memory. Each handle is recorded here before it exists on the engine,
        so that a concurrent sweep doesn't take it for an orphan.
    """

    def __init__(
        self, kernel: Kernel, settings: SidecarSettings, engine: Engine, ledger: Ledger
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._engine = engine
        self._ledger = ledger

    def describe(
        self, reserve: Reserve, now_s: float, prefill_s: float, done_in_s: float
    ) -> Segment | None:
        """Return the segment of a reservation; ``None`` when it doesn't belong to a span."""
        if not reserve.segment_tokens:
            return None
        imports = imports_of(reserve)
        return Segment(
            self.blocks(reserve),
            imports,
            reserve.max_output_tokens > 0,
            now_s,
            now_s + max(reserve.starts_in_s, done_in_s - prefill_s),
            now_s + done_in_s,
        )

    def blocks(self, reserve: Reserve) -> int:
        """Return the number of blocks that a segment takes on this engine."""
        size = self._ledger.block_tokens
        own = self._ledger.blocks_for(reserve.segment_tokens + reserve.max_output_tokens)
        return own + sum(import_blocks(blocks_of(n, size)) for n in reserve.import_tokens)

    async def fetch(self, attempt: Attempt) -> None:
        """Import the preceding segments concurrently.

        Raises
        ------
        EngineUnavailable, EngineRefused, EngineFailed
            When an import failed; nothing ran.
        """
        assert attempt.segment is not None
        failures: list[EngineUnavailable | EngineRefused | EngineFailed] = []

        async def fetch_one(kv_import: Import) -> None:
            blocks = blocks_of(kv_import.tokens, self._ledger.block_tokens)
            # The blocks are already included in the hold of the run.
            self._ledger.hold(kv_import.handle, 0, self._kernel.clock.now_s())
            try:
                await self._engine.import_kv(kv_import.handle, _address(kv_import.source), blocks)
            except (EngineUnavailable, EngineRefused, EngineFailed) as cause:
                failures.append(cause)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for kv_import in attempt.segment.imports:
                nursery.start_soon(fetch_one, kv_import)
        if failures:
            raise EngineRefused(f"import: {failures[0].detail}") from failures[0]

    async def export(self, attempt: Attempt) -> bytes:
        """Export the finished prefill under the attempt's handle; return its announcement."""
        handle, now_s = handle_of(*attempt.key), self._kernel.clock.now_s
        self._ledger.hold_export(handle, 0, now_s(), float("inf"))
        blocks = await self._engine.export_kv(attempt.stream_id, handle)
        self._ledger.free(attempt.stream_id)
        self._ledger.hold_export(handle, blocks, now_s(), float("inf"))
        tokens = attempt.reserve.segment_tokens
        self._kernel.events.emit(SegmentExported(*attempt.key, tokens, blocks))
        return encode_done(SegmentDone(handle, tokens, blocks))

    async def free_imports(self, attempt: Attempt) -> None:
        """Free the attempt's imports."""
        for name in _import_handles(attempt):
            await self._free(name)

    async def free_all(self, attempt: Attempt) -> None:
        """Free the attempt's imports and export."""
        await self.free_imports(attempt)
        await self._free(handle_of(*attempt.key))

    async def _free(self, handle: str) -> None:
        if not self._ledger.holds(handle):
            return
        # The sweep retries until the engine confirms that the memory is free.
        self._ledger.mark_orphaned(handle, self._kernel.clock.now_s())
        with trio.move_on_after(self._settings.cancel_limit_s):
            try:
                await self._engine.free_export(handle)
            except (EngineUnavailable, EngineFailed, EngineRefused):
                self._kernel.events.emit(CancelUnconfirmed(handle))
                return
            self._ledger.free(handle)


def hold_names(attempt: Attempt) -> set[str]:
    """Return the stream id and handles under which an attempt may hold memory."""
    if attempt.segment is None:
        return {attempt.stream_id}
    return {attempt.stream_id, handle_of(*attempt.key), *_import_handles(attempt)}


def _import_handles(attempt: Attempt) -> list[str]:
    return [kv_import.handle for kv_import in attempt.segment.imports] if attempt.segment else []


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        return Address(host.strip("[]"), int(port))
    except ValueError as cause:
        raise EngineRefused(f"no address of an engine: {text!r}") from cause


def _key(work: Work) -> AttemptKey:
    return AttemptKey(work.request_id, work.attempt)


def _token_figures(limit_blocks: int, measured_blocks: int, block_tokens: int) -> Figures:
    return Figures(limit_blocks * block_tokens, measured_blocks * block_tokens)
