"""A small model engine on trio time: continuous batching over limited block memory.

One task runs the engine step by step; a step serves the whole batch with one wake-up. The step
times are a model, not a measurement of any engine; `EngineTiming` says which costs it knows.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import new_incarnation
from sassafrastally.sidecar.engine import (
    EngineInfo,
    EngineLoad,
    EngineRefused,
    EngineStream,
    EngineUnavailable,
    EngineUsage,
)
from sassafrastally.testing.engine_blocks import BlockMemory, prefix_hashes
from sassafrastally.testing.engine_exports import Exports
from sassafrastally.testing.engine_placement import Placement
from sassafrastally.testing.engine_prompt import CHARACTERS_PER_TOKEN
from sassafrastally.testing.engine_reports import CacheFeed, LoadFeed
from sassafrastally.testing.engine_run import Run, RunRequest, RunState
from sassafrastally.testing.engine_step import EngineShape, EngineTiming, plan_step

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.testing.engine_blocks import Holding
    from sassafrastally.testing.engine_step import Step

__all__ = ["EngineModel", "EngineShape", "EngineTiming"]


class EngineModel:
    """The engine; `run` must be running for it to make progress.

    Parameters
    ----------
    shape
        Sizes and habits.
    seed
        Seed of incarnations and of the gaps in the cache events; ``None`` takes the system's.
    """

    def __init__(self, shape: EngineShape | None = None, seed: int | None = 0) -> None:
        self.shape = shape or EngineShape()
        self.started: Counter[str] = Counter()
        """How often a prefill began, by marker of the prompt."""
        self.started_streams: Counter[str] = Counter()
        """How often a prefill began, by stream id."""
        self.wasted_tokens = 0
        """Tokens prefilled or emitted by runs that didn't end."""
        self.steps = 0
        self.emitted_tokens = 0
        self.ends_without_mark = False
        """Whether runs end without their usage, as an engine that breaks off unnoticed."""
        self._random = Random(seed)
        self._thawed = trio.Event()
        self._thawed.set()
        self._work = trio.Event()
        self._order = 0
        self._begin_life()

    def _begin_life(self) -> None:
        shape = self.shape
        self.is_up = True
        self.incarnation = new_incarnation(self._random)
        self.cache_feed = CacheFeed(shape.event_lag_s, shape.event_gap_share, self._random)
        self.memory = BlockMemory(shape.total_blocks, self.cache_feed.add)
        self.exports = Exports(self.memory)
        load_s = shape.timing.load_model_s / shape.speed
        self.placement = Placement(shape.models, shape.checks_fencing, load_s)
        self._load_feed = LoadFeed(shape.load_lag_s, EngineLoad(0, 0, shape.total_blocks))
        self._runs: dict[str, Run] = {}
        self._active: list[Run] = []
        self._waiting: list[tuple[int, int, Run]] = []

    def describe(self) -> EngineInfo:
        """Return what the engine is and holds."""
        return EngineInfo(
            incarnation=self.incarnation,
            models=self.placement.models,
            block_tokens=self.shape.block_tokens,
            total_blocks=self.shape.total_blocks,
            free_blocks=self.memory.free_blocks,
            checks_fencing=self.shape.checks_fencing,
            role=self.placement.role,
        )

    def submit(self, request: RunRequest) -> Run:
        """Queue a run.

        Raises
        ------
        EngineUnavailable
            When the engine is down.
        EngineRefused
            When the model isn't loaded, the stream id is in use, an import is missing or the
            run needs more than the whole memory.
        """
        self.check_up()
        if request.stream_id in self._runs:
            raise EngineRefused(f"stream {request.stream_id} is in use")
        if not self.placement.serves(request.model):
            raise EngineRefused(f"model {request.model} is not loaded")
        self._order += 1
        run = Run(request, self._order, self.exports.tokens_of(request.import_handles))
        if self._blocks(run) > self.shape.total_blocks:
            raise EngineRefused(
                f"needs {self._blocks(run)} blocks of {self.shape.total_blocks} in all"
            )
        if not request.import_handles:
            block_bytes = self.shape.block_tokens * CHARACTERS_PER_TOKEN
            full_blocks = run.prompt_tokens // self.shape.block_tokens
            run.hashes = prefix_hashes(request.prompt.text, block_bytes, full_blocks)
        self._runs[request.stream_id] = run
        heapq.heappush(self._waiting, (*run.rank, run))
        self._work.set()
        self._note_load()
        return run

    def cancel(self, stream_id: str) -> bool:
        """Break a run off and free its blocks; return whether there was one."""
        run = self._runs.get(stream_id)
        if run is None:
            return False
        self.cancel_run(run)
        return True

    def cancel_run(self, run: Run) -> None:
        """Break off this very run, if it hasn't ended."""
        if run.state is RunState.ENDED:
            return
        self.wasted_tokens += run.wasted_tokens
        self._end(run)
        run.fail("cancelled")

    def streams(self) -> list[EngineStream]:
        """Return every holder of memory, runs that wait for room with no blocks."""
        runs = [
            EngineStream(stream_id, "run", run.holding.blocks if run.holding else 0)
            for stream_id, run in self._runs.items()
        ]
        return runs + self.exports.streams()

    def export(self, stream_id: str, handle: str) -> int:
        """Keep a finished prefill under a handle; return its blocks.

        A run that waits to be exported hands its blocks over and ends; one that decodes goes on.

        Raises
        ------
        EngineRefused
            When the run is unknown, still in its prefill, or there is no room.
        """
        run = self._runs.get(stream_id)
        if run is None or run.holding is None or run.state is RunState.PREFILL:
            raise EngineRefused(f"no finished prefill of stream {stream_id}")
        tokens = max(0, run.prompt_tokens - run.imported_tokens)
        if run.state is RunState.HELD:
            holding, run.holding = run.holding, None
            self._end(run)
        else:
            holding = self._hold_or_refuse(run.hashes, math.ceil(tokens / self.shape.block_tokens))
        self.exports.add(handle, "export", holding, tokens)
        return holding.blocks

    async def import_export(self, handle: str, blocks: int, tokens: int) -> None:
        """Hold another engine's export; takes the time of the transfer.

        Raises
        ------
        EngineRefused
            When the handle is in use or there is no room.
        """
        exports = self.exports
        await trio.sleep(blocks * self.shape.timing.transfer_block_s / self.shape.speed)
        exports.add_import(handle, blocks, tokens)

    def load(self) -> EngineLoad:
        """Return the load as it was a moment ago."""
        return self._load_feed.read()

    def true_load(self) -> EngineLoad:
        """Return the load of now, which no reader of the engine's interface sees."""
        waiting = len(self._runs) - len(self._active) - self._held()
        return EngineLoad(len(self._active), waiting, self.memory.free_blocks)

    def die(self) -> None:
        """Lose everything and refuse connections until `revive`."""
        runs = list(self._runs.values())
        self._begin_life()
        self.cache_feed.add("cleared", 0)
        self.is_up = False
        for run in runs:
            self.wasted_tokens += run.wasted_tokens
            run.state = RunState.ENDED
            run.fail("the engine died")

    def revive(self) -> None:
        """Come up after `die` as a new incarnation."""
        self.is_up = True

    def freeze(self) -> None:
        """Stop making steps; what is asked of the engine waits."""
        if self._thawed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Go on after `freeze`."""
        self._thawed.set()

    def check_up(self) -> None:
        """Raise `EngineUnavailable` when the engine is down."""
        if not self.is_up:
            raise EngineUnavailable("the engine is down")

    async def wait_thawed(self) -> None:
        """Wait while the engine is frozen."""
        if not self._thawed.is_set():
            await self._thawed.wait()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Make steps until cancelled."""
        task_status.started()
        while True:
            await self.wait_thawed()
            self._admit()
            if not self._active:
                self._work = trio.Event()
                await self._work.wait()
                continue
            step = plan_step(self._active, self.shape)
            await trio.sleep(step.duration_s)
            await self.wait_thawed()
            self._finish(step)

    def _held(self) -> int:
        return sum(run.state is RunState.HELD for run in self._runs.values())

    def _blocks(self, run: Run) -> int:
        return math.ceil(run.own_tokens / self.shape.block_tokens)

    def _hold_or_refuse(self, hashes: Iterable[int], blocks: int) -> Holding:
        holding = self.memory.hold(list(hashes), blocks)
        if holding is None:
            raise EngineRefused(f"no room for {blocks} blocks")
        return holding

    def _admit(self) -> None:
        while self._waiting and len(self._active) < self.shape.max_streams:
            run = self._waiting[0][-1]
            if run.state is RunState.WAITING:
                holding = self.memory.hold(run.hashes, self._blocks(run))
                if holding is None:
                    return  # Those behind it wait too, or a long run would never find room.
                self._start(run, holding)
            heapq.heappop(self._waiting)

    def _start(self, run: Run, holding: Holding) -> None:
        run.holding = holding
        run.state = RunState.PREFILL
        cached = min(len(holding.shared) * self.shape.block_tokens, run.goal_tokens - 1)
        run.cached_tokens = max(0, cached)
        run.prefilled_tokens = max(run.prefilled_tokens, run.cached_tokens)
        self._active.append(run)
        self.started[run.request.prompt.marker] += 1
        self.started_streams[run.request.stream_id] += 1

    def _finish(self, step: Step) -> None:
        self.steps += step.strides
        for run in step.decodes:
            if run.state is RunState.DECODE:
                self._decode(run, step.strides)
        for run, tokens in step.prefills:
            if run.state is RunState.PREFILL:
                self._prefill(run, tokens)
        self._note_load()

    def _prefill(self, run: Run, tokens: int) -> None:
        run.prefilled_tokens += tokens
        if run.prefilled_tokens < run.goal_tokens:
            return
        if run.holding is not None:
            self.memory.publish(run.holding, run.hashes)
        if run.output_limit == 0:
            self._hold_prefill(run)
            return
        run.state = RunState.DECODE
        self._decode(run, 1)

    def _hold_prefill(self, run: Run) -> None:
        run.state = RunState.HELD
        self._active.remove(run)
        if not self.ends_without_mark:
            run.usage = self._usage(run, "prefill")
        run.close()

    def _decode(self, run: Run, most: int) -> None:
        count = min(most, run.output_limit - run.emitted)
        if count > 0:
            run.emit(count)
            self.emitted_tokens += count
        if run.emitted >= run.output_limit:
            is_short = run.output_limit < run.request.prompt.max_output_tokens
            if not self.ends_without_mark:
                run.usage = self._usage(run, "stop" if is_short else "length")
            self._end(run)
            run.close()

    def _usage(self, run: Run, reason: str) -> EngineUsage:
        return EngineUsage(run.prompt_tokens, run.cached_tokens, run.shown_tokens, reason)

    def _end(self, run: Run) -> None:
        del self._runs[run.request.stream_id]
        if run.state in (RunState.PREFILL, RunState.DECODE):
            self._active.remove(run)
        run.state = RunState.ENDED
        if run.holding is not None:
            self.memory.release(run.holding)
            run.holding = None
        self._work.set()
        self._note_load()

    def _note_load(self) -> None:
        self._load_feed.add(self.true_load())
