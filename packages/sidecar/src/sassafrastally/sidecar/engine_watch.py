"""What the sidecar knows of its engine, asked again and again, and the sweep of its memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.serving.prefix import PrefixGuess
from sassafrastally.serving.spans import handle_of
from sassafrastally.sidecar.attempts import GivenUp
from sassafrastally.sidecar.engine import EngineFailed, EngineRefused, EngineUnavailable
from sassafrastally.sidecar.events import (
    ORPHANS,
    EngineFound,
    EngineLost,
    EngineRestarted,
    OrphanFreed,
)
from sassafrastally.sidecar.segments import holds_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import Kernel
    from sassafrastally.sidecar.attempts import Attempt, AttemptTable
    from sassafrastally.sidecar.engine import Engine, EngineInfo, EngineStream, EngineUsage
    from sassafrastally.sidecar.ledger import Ledger
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.messages import Reserve

_ENGINE_ERRORS = (EngineUnavailable, EngineFailed, EngineRefused)


class EngineWatch:
    """Looks at the engine: its life, its models, its memory and its prefix cache.

    Parameters
    ----------
    kernel
        The process.
    settings
        Intervals and the models that may be served.
    engine
        Client of the engine.
    ledger
        Compared with the engine's own list.
    table
        Attempts whose runs break off when the engine's life ends.
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
        self._life = ""
        self._life_confirmed_s = float("-inf")
        self.info: EngineInfo | None = None
        """The engine's last word; ``None`` while it doesn't answer."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when the engine has come, gone or freed memory."""

    @property
    def models(self) -> tuple[str, ...]:
        """Models served here, without their versions."""
        if self.info is None:
            return ()
        names = dict.fromkeys(model.partition("@")[0] for model in self.info.models)
        allowed = self._settings.models
        return tuple(name for name in names if not allowed or name in allowed)

    def serves(self, model: str) -> bool:
        """Return whether a model, with or without version, is ready here."""
        if self.info is None or model.partition("@")[0] not in self.models:
            return False
        return "@" not in model or model in self.info.models

    def cached_tokens(self, reserve: Reserve) -> int:
        """Return the guess of a prompt's tokens in the engine's prefix cache."""
        if not reserve.prefix_hashes:
            return 0
        return self._prefixes.cached_tokens(reserve.prefix_hashes, reserve.prompt_tokens)

    def correct(self, attempt: Attempt, usage: EngineUsage) -> None:
        """Let the engine's own count correct the guess."""
        guessed = attempt.work.cached_tokens if attempt.work else 0
        self._prefixes.correct(attempt.reserve.prefix_hashes, guessed, usage.cached_tokens)

    async def look(self) -> None:
        """Ask the engine what it is and take the answer in."""
        asked_s = self._kernel.clock.now_s()
        info = await self._describe()
        if info is None:
            return
        if info.incarnation != self._life:
            await self._begin_life(info)
        self._life_confirmed_s = asked_s
        self._ledger.set_engine(info)
        if self.info is None:
            models = ", ".join(info.models)
            self._kernel.events.emit(EngineFound(info.incarnation, info.total_blocks, models))
        self.info = info
        self.on_change()

    async def sweep(self) -> None:
        """Free what the engine holds for nobody.

        Nobody else talks to the engine, so what the ledger doesn't own has lost its owner: streams
        of an earlier life of this sidecar, exports that nobody fetched, runs whose cancellation
        was not confirmed.
        """
        asked_s = self._kernel.clock.now_s()
        try:
            listed = await self._engine.list_streams()
            orphans = self._ledger.without_owner(listed, self._kernel.clock.now_s())
            for orphan in orphans:
                await self._free_orphan(orphan)
        except _ENGINE_ERRORS:
            return
        self._ledger.settle_missing(listed, asked_s)
        self._give_up_missing(listed, asked_s)
        self.on_change()

    def _give_up_missing(self, listed: list[EngineStream], asked_s: float) -> None:
        """End the exported segments that the engine no longer lists.

        An engine that died and came back between two looks, just after an export, has none of it,
        and no connection broke: a segment that is only kept has none.
        """
        present = {stream.stream_id for stream in listed}
        for attempt in self._table.live:
            hold = self._ledger.held.get(handle_of(*attempt.key))
            if hold is None or not hold.blocks or hold.since_s >= asked_s:
                continue
            if handle_of(*attempt.key) not in present:
                attempt.give_up(GivenUp("backend-failed", "the engine lost the segment"))

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Look and sweep for as long as the process runs; started after the first look."""
        await self.look()
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_looking)
            nursery.start_soon(self._keep_sweeping)

    async def _keep_looking(self) -> None:
        while True:
            await trio.sleep(self._settings.describe_interval_s)
            await self.look()
            await self._read_cache_events()

    async def _keep_sweeping(self) -> None:
        while True:
            await trio.sleep(self._settings.sweep_interval_s)
            with trio.move_on_after(self._settings.cancel_limit_s):
                await self.sweep()

    async def _describe(self) -> EngineInfo | None:
        with trio.move_on_after(self._settings.cancel_limit_s):
            try:
                return await self._engine.describe()
            except _ENGINE_ERRORS as cause:
                self._lose(cause.detail)
                return None
        self._lose("no answer in time")
        return None

    def _lose(self, detail: str) -> None:
        if self.info is not None:
            self._kernel.events.emit(EngineLost(detail))
            self.info = None
            self._give_up_exports()
            self.on_change()

    def _give_up_exports(self) -> None:
        """End the exported segments of an engine that doesn't answer.

        Their leader reads from this engine's memory and doesn't notice that it is gone. The entry
        does when the segment ends here, and ends the leader's run, whose answer would not rest on
        the whole prompt.
        """
        for attempt in self._table.live:
            if self._ledger.holds(handle_of(*attempt.key)):
                attempt.give_up(GivenUp("backend-failed", "the engine doesn't answer"))

    async def _begin_life(self, info: EngineInfo) -> None:
        """Start anew with an engine of another incarnation.

        Holds made before the old life was last confirmed were certainly on the old engine and are
        gone with it. A run that began later may already be on the new one, so its hold stays until
        its run ends or a sweep finds it gone.
        """
        if self._life:
            gone = set(self._ledger.empty_before(self._life_confirmed_s))
            self._kernel.events.emit(EngineRestarted(info.incarnation, len(gone)))
            for attempt in self._table.live:
                if not gone.isdisjoint(holds_of(attempt)):
                    attempt.give_up(GivenUp("backend-failed", "the engine restarted"))
        self._life = info.incarnation
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
