"""Monitors the engine by polling and sweeps memory that no attempt owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core import time_limit
from sassafrastally.serving.prefix import PrefixGuess
from sassafrastally.serving.spans import handle_of
from sassafrastally.sidecar.attempts import CancelReason
from sassafrastally.sidecar.engine import EngineFailed, EngineRefused, EngineUnavailable
from sassafrastally.sidecar.events import (
    ORPHANS,
    EngineFound,
    EngineLost,
    EngineRestarted,
    OrphanFreed,
)
from sassafrastally.sidecar.segments import hold_names

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import Kernel
    from sassafrastally.sidecar.attempts import Attempt, AttemptTable
    from sassafrastally.sidecar.engine import Engine, EngineInfo, EngineStream, EngineUsage
    from sassafrastally.sidecar.ledger import Ledger
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.messages import Reserve

MAX_MODELS = 1_000
MAX_NAME_CHARS = 100
"""Bounds of an engine's description, which must fit in a load report of one frame."""

_ENGINE_ERRORS = (EngineUnavailable, EngineFailed, EngineRefused)


class EngineWatch:
    """Tracks the engine's incarnation, models, memory and prefix cache.

    Parameters
    ----------
    kernel
        The process.
    settings
        Polling intervals and the models that may be served.
    engine
        Client of the engine.
    ledger
        Ledger of the engine's memory, reconciled with the engine's own list.
    table
        Attempts whose runs fail when the engine restarts.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: SidecarSettings,
        engine: Engine,
        ledger: Ledger,
        table: AttemptTable,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._engine = engine
        self._ledger = ledger
        self._table = table
        self._prefixes = PrefixGuess()
        self._incarnation = ""
        self._incarnation_confirmed_s = float("-inf")
        self.info: EngineInfo | None = None
        """The latest description of the engine; ``None`` while it is unreachable."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when the engine becomes reachable or unreachable, or has freed memory."""

    @property
    def models(self) -> tuple[str, ...]:
        """Names of the models served here, without versions."""
        if self.info is None:
            return ()
        names = dict.fromkeys(model.partition("@")[0] for model in self.info.models)
        allowed = self._settings.models
        return tuple(name for name in names if not allowed or name in allowed)

    def serves(self, model: str) -> bool:
        """Return whether a model, given with or without version, is ready here."""
        if self.info is None or model.partition("@")[0] not in self.models:
            return False
        return "@" not in model or model in self.info.models

    def cached_tokens(self, reserve: Reserve) -> int:
        """Return the estimated number of prompt tokens in the engine's prefix cache."""
        if not reserve.prefix_hashes:
            return 0
        return self._prefixes.cached_tokens(reserve.prefix_hashes, reserve.prompt_tokens)

    def correct(self, attempt: Attempt, usage: EngineUsage) -> None:
        """Correct the prefix cache estimate with the usage that the engine reported."""
        guessed = attempt.work.cached_tokens if attempt.work else 0
        self._prefixes.correct(attempt.reserve.prefix_hashes, guessed, usage.cached_tokens)

    async def look(self) -> None:
        """Poll the engine's description and update the state from it."""
        requested_s = self._kernel.clock.now_s()
        info = await self._describe()
        if info is None:
            return
        if info.incarnation != self._incarnation:
            await self._begin_incarnation(info)
        self._incarnation_confirmed_s = requested_s
        self._ledger.set_engine(info)
        if self.info is None:
            models = ", ".join(info.models)
            self._kernel.events.emit(EngineFound(info.incarnation, info.total_blocks, models))
        self.info = info
        self.on_change()

    async def sweep(self) -> None:
        """Free memory on the engine that has no owner.

        This sidecar is the engine's only client, so any stream without an owner in the ledger is
        an orphan: a stream of an earlier incarnation of the sidecar, an export that was not
        fetched in time, or a run whose cancellation was not confirmed.
        """
        requested_s = self._kernel.clock.now_s()
        try:
            listed = await self._engine.list_streams()
            orphans = self._ledger.find_orphans(listed, self._kernel.clock.now_s())
            for orphan in orphans:
                await self._free_orphan(orphan)
        except _ENGINE_ERRORS:
            return
        self._ledger.free_missing(listed, requested_s)
        self._give_up_missing(listed, requested_s)
        self.on_change()

    def _give_up_missing(self, listed: list[EngineStream], requested_s: float) -> None:
        """Cancel exported segments that the engine no longer lists.

        An engine that crashed and restarted between two polls, just after an export, has lost the
        segment. No connection failure reveals this, because a held segment has no connection.
        """
        present = {stream.stream_id for stream in listed}
        for attempt in self._table.live:
            hold = self._ledger.held.get(handle_of(*attempt.key))
            if hold is None or not hold.blocks or hold.since_s >= requested_s:
                continue
            if handle_of(*attempt.key) not in present:
                attempt.give_up(CancelReason("backend-failed", "the engine lost the segment"))

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Poll and sweep until cancelled; reports as started after the first poll."""
        await self.look()
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._refresh_periodically)
            nursery.start_soon(self._sweep_periodically)

    async def _refresh_periodically(self) -> None:
        while True:
            await trio.sleep(self._settings.describe_interval_s)
            await self.look()
            await self._read_cache_events()

    async def _sweep_periodically(self) -> None:
        while True:
            await trio.sleep(self._settings.sweep_interval_s)
            with trio.move_on_after(self._settings.cancel_limit_s):
                await self.sweep()

    async def _describe(self) -> EngineInfo | None:
        async with time_limit(trio.current_time() + self._settings.cancel_limit_s):
            try:
                return await self._describe_or_repeat()
            except _ENGINE_ERRORS as cause:
                self._mark_unreachable(cause.detail)
                return None
        self._mark_unreachable("no answer in time")
        return None

    async def _describe_or_repeat(self) -> EngineInfo:
        """Poll again at once after a failed call.

        A single call to a sound engine may fail. Given up for that, it would lose the segments that
        it holds, and requests would be refused until the next poll. A dead engine fails again.
        """
        try:
            return await self._describe_once()
        except _ENGINE_ERRORS:
            return await self._describe_once()

    async def _describe_once(self) -> EngineInfo:
        info = await self._engine.describe()
        names = (info.incarnation, *info.models)
        if len(names) > MAX_MODELS + 1 or any(len(name) > MAX_NAME_CHARS for name in names):
            raise EngineFailed(f"the description is too long: {len(info.models)} models")
        return info

    def _mark_unreachable(self, detail: str) -> None:
        if self.info is not None:
            self._kernel.events.emit(EngineLost(detail))
            self.info = None
            self._give_up_exports()
            self.on_change()

    def _give_up_exports(self) -> None:
        """Cancel the exported segments of an unreachable engine.

        The leader reads from this engine's memory and can't detect the loss. Ending the segment
        here informs the entry, which then cancels the leader's run; otherwise the answer would not
        be based on the whole prompt.
        """
        for attempt in self._table.live:
            if self._ledger.holds(handle_of(*attempt.key)):
                attempt.give_up(CancelReason("backend-failed", "the engine doesn't answer"))

    async def _begin_incarnation(self, info: EngineInfo) -> None:
        """Reset the state for a new incarnation of the engine.

        Holds made before the old incarnation was last confirmed were certainly on the old engine
        and are lost with it. A later run may already be on the new engine, so its hold is kept
        until the run ends or a sweep no longer finds it.
        """
        if self._incarnation:
            dropped = set(self._ledger.drop_held_before(self._incarnation_confirmed_s))
            self._kernel.events.emit(EngineRestarted(info.incarnation, len(dropped)))
            for attempt in self._table.live:
                if not dropped.isdisjoint(hold_names(attempt)):
                    attempt.give_up(CancelReason("backend-failed", "the engine restarted"))
        self._incarnation = info.incarnation
        self._prefixes.restart()
        with trio.move_on_after(self._settings.cancel_limit_s):
            await self.sweep()

    async def _free_orphan(self, orphan: EngineStream) -> None:
        if orphan.kind == "run":
            await self._engine.cancel(orphan.stream_id)
        else:
            await self._engine.free_export(orphan.stream_id)
        self._ledger.free(orphan.stream_id)
        ORPHANS.add(1, {"kind": orphan.kind})
        self._kernel.events.emit(OrphanFreed(orphan.stream_id, orphan.kind, orphan.blocks))

    async def _read_cache_events(self) -> None:
        with trio.move_on_after(self._settings.cancel_limit_s):
            try:
                events = await self._engine.cache_events(self._prefixes.sequence)
            except _ENGINE_ERRORS:
                return
            for event in events:
                self._prefixes.apply(event.sequence, event.kind, event.prefix_hash)
