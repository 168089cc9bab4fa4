"""Engine client on an `EngineModel` in the same process, with failures of the connection."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

import trio

from sassafrastally.sidecar.engine import (
    EngineChunk,
    EngineFailed,
    EngineRefused,
    EngineUnavailable,
)
from sassafrastally.testing.engine_chunks import CHAT_PATH, AnswerForm, compact_json
from sassafrastally.testing.engine_prompt import parse_prompt
from sassafrastally.testing.engine_run import RunRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    from sassafrastally.core import Address
    from sassafrastally.sidecar.engine import (
        CacheEvent,
        EngineInfo,
        EngineLoad,
        EngineOrder,
        EngineRequest,
        EngineStream,
        EngineUsage,
    )
    from sassafrastally.testing.engine_model import EngineModel
    from sassafrastally.testing.engine_prompt import Prompt
    from sassafrastally.testing.engine_run import Run

T = TypeVar("T")


class ConnectionFaults:
    """Failures between a client and its engine; each count goes down as it is used."""

    def __init__(self) -> None:
        self.unsent = 0
        """So many next calls fail before anything is sent."""
        self.lost = 0
        """So many next calls reach the engine and lose their answer."""
        self.cut_after_chunks: int | None = None
        """The next run's connection breaks after so many chunks; the engine goes on."""
        self.delay_s = 0.0
        """Each call waits so long before it is sent."""

    def take_unsent(self) -> bool:
        """Use up one failure before sending; return whether there was one."""
        self.unsent, had = max(0, self.unsent - 1), self.unsent > 0
        return had

    def take_lost(self) -> bool:
        """Use up one lost answer; return whether there was one."""
        self.lost, had = max(0, self.lost - 1), self.lost > 0
        return had

    def take_cut(self) -> float:
        """Use up the cut; return after how many chunks it comes."""
        cut, self.cut_after_chunks = self.cut_after_chunks, None
        return math.inf if cut is None else cut


class FakeRun:
    """A run that has begun."""

    def __init__(self, run: Run, form: AnswerForm, cut_after_chunks: float) -> None:
        self.usage: EngineUsage | None = None
        self.is_cut = False
        """Whether the connection broke; the engine doesn't know and goes on."""
        self._run = run
        self._form = form
        self._cut_after_chunks = cut_after_chunks
        self._chunks = 0

    def __aiter__(self) -> AsyncIterator[EngineChunk]:
        return self

    async def __anext__(self) -> EngineChunk:
        if self._chunks >= self._cut_after_chunks:
            self.is_cut = True
            raise EngineFailed("the connection broke")
        if not self._run.request.prompt.is_streamed:
            return await self._receive_whole()
        tokens = await self._run.receive()
        if tokens is None:
            self.usage = self._run.usage
            raise StopAsyncIteration
        self._chunks += 1
        document = self._form.chunk(tokens, self._run.usage_after(tokens))
        return EngineChunk(compact_json(document), tokens.tokens)

    async def _receive_whole(self) -> EngineChunk:
        if self.usage is not None:
            raise StopAsyncIteration
        tokens = await self._run.receive_whole()
        self.usage = self._run.usage
        if self.usage is None:
            raise EngineFailed("the run ended without its end mark")
        self._chunks += 1
        document = self._form.whole(tokens, self.usage)
        return EngineChunk(compact_json(document), self.usage.output_tokens)


class FakeEngine:
    """Implements `Engine` without a network.

    Parameters
    ----------
    model
        The engine.
    directory
        Engines by address, from which KV exports are imported.
    """

    def __init__(
        self, model: EngineModel, directory: Mapping[Address, EngineModel] | None = None
    ) -> None:
        self.model = model
        self.faults = ConnectionFaults()
        self._directory = directory or {}

    async def describe(self) -> EngineInfo:
        """Return what the engine is and holds."""
        await self._send()
        return self._answer(self.model.describe())

    @asynccontextmanager
    async def generate(self, request: EngineRequest) -> AsyncIterator[FakeRun]:
        """Begin a run; leaving the context cancels it."""
        await self._send()
        prompt = _parse(request)
        run = self.model.submit(
            RunRequest(
                stream_id=request.stream_id,
                model=request.model,
                prompt=prompt._replace(max_output_tokens=request.max_output_tokens),
                priority=request.priority,
                resume_from_tokens=request.resume_from_tokens,
                import_handles=request.import_handles,
                prefill_tokens=request.prompt_tokens,
            )
        )
        is_chat = request.operation.endswith(CHAT_PATH)
        form = AnswerForm(request.stream_id, request.model, prompt.seed, is_chat)
        if self.faults.take_lost():
            raise EngineFailed("the connection broke after the request was sent")
        reader = FakeRun(run, form, self.faults.take_cut())
        try:
            yield reader
        finally:
            if not reader.is_cut:
                self.model.cancel_run(run)

    async def cancel(self, stream_id: str) -> bool:
        """Cancel a run and free its memory."""
        await self._send()
        return self._answer(self.model.cancel(stream_id))

    async def list_streams(self) -> list[EngineStream]:
        """Return every holder of memory."""
        await self._send()
        return self._answer(self.model.streams())

    async def export_kv(self, stream_id: str, handle: str) -> int:
        """Keep a finished prefill's KV cache under a handle; return its blocks."""
        await self._send()
        return self._answer(self.model.export(stream_id, handle))

    async def import_kv(self, handle: str, source: Address, blocks: int) -> None:
        """Fetch an export from another engine and hold it under the same handle."""
        await self._send()
        other = self._directory.get(source)
        export = other.exports.get(handle) if other and other.is_up else None
        if export is None:
            raise EngineRefused(f"no export {handle} on {source}")
        await self.model.import_export(handle, export.holding.blocks, export.tokens)
        self._answer(None)

    async def free_export(self, handle: str) -> bool:
        """Free an export or import."""
        await self._send()
        return self._answer(self.model.exports.free(handle))

    async def load(self) -> EngineLoad:
        """Return the engine's lagging load."""
        await self._send()
        return self._answer(self.model.load())

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events after a sequence number."""
        await self._send()
        return self._answer(self.model.cache_feed.read(after))

    async def order(self, order: EngineOrder) -> None:
        """Carry out an order."""
        await self._send()
        await self.model.placement.carry_out(order)
        self._answer(None)

    async def _send(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.take_unsent():
            raise EngineUnavailable("the connection couldn't be made")
        self.model.check_up()
        await self.model.wait_thawed()

    def _answer(self, value: T) -> T:
        if self.faults.take_lost():
            raise EngineFailed("the answer was lost")
        return value


def _parse(request: EngineRequest) -> Prompt:
    try:
        return parse_prompt(request.body)
    except ValueError as cause:
        raise EngineRefused(f"bad body: {cause}") from cause
