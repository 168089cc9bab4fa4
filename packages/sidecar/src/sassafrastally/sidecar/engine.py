"""The interface through which the sidecar uses a model engine.

Dialects implement it for the published interfaces of engines and are registered by name.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import CodedError, Registry, error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence
    from contextlib import AbstractAsyncContextManager

    from sassafrastally.core import Address


class EngineInfo(NamedTuple):
    """An engine's identity, models and memory."""

    incarnation: str
    """Identifies one start of the engine process; a new incarnation has empty memory."""
    models: tuple[str, ...]
    """Models that are ready, as ``name`` or ``name@version``."""
    block_tokens: int
    """Tokens in one KV-cache block."""
    total_blocks: int
    free_blocks: int
    """Blocks not held by a stream or export; blocks that only cache a prefix count as free."""
    checks_fencing: bool
    role: str = "general"


class EngineRequest(NamedTuple):
    """A run on the engine."""

    stream_id: str
    """Id of the stream on the engine; chosen by the sidecar and unique across its restarts."""
    model: str
    operation: str
    """HTTP method and path, such as ``POST /v1/chat/completions``."""
    body: bytes
    """The caller's JSON body."""
    prompt_tokens: int
    max_output_tokens: int
    priority: int
    """Scheduling priority; a lower value runs first, as is usual for engines."""
    resume_from_tokens: int = 0
    """Number of answer tokens already delivered; the engine continues after them."""
    import_handles: tuple[str, ...] = ()
    """Handles of imported KV caches that the run starts from."""


class EngineChunk(NamedTuple):
    """A piece of an answer: the JSON of one server-sent event without its framing."""

    data: bytes
    tokens: int


class EngineUsage(NamedTuple):
    """Token usage that the engine reports at the end of a run."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    finish_reason: str


class EngineStream(NamedTuple):
    """A run, export or import that holds memory, as listed by the engine."""

    stream_id: str
    kind: str
    """``run``, ``export`` or ``import``."""
    blocks: int


class EngineLoad(NamedTuple):
    """Load reported by the engine; it lags behind the actual load."""

    running: int
    waiting: int
    free_blocks: int


class CacheEvent(NamedTuple):
    """Notice that the engine stored or dropped a prefix block; may be late or missing."""

    sequence: int
    """A jump by more than one means that events are missing."""
    kind: str
    """``stored``, ``removed`` or ``cleared``."""
    prefix_hash: int


class EngineOrder(NamedTuple):
    """A placement order."""

    fence: int
    """Fencing token of the placement lease holder; orders with an older one must be rejected."""
    action: str
    """``load``, ``unload``, ``load_adapter``, ``unload_adapter`` or ``set_role``."""
    model: str
    version: str = ""
    adapter: str = ""
    role: str = ""


@error(7001)
class EngineUnavailable(CodedError):
    """The engine is unreachable; the call had no effect."""


@error(7002)
class EngineFailed(CodedError):
    """The engine interrupted a run, or ended it without its end mark."""


@error(7003)
class EngineRefused(CodedError):
    """The engine rejected the call; nothing ran."""

    def __init__(self, message: str, refusal_code: str = "no-replica") -> None:
        super().__init__(message)
        self.refusal_code = refusal_code
        """Matching code of the refusal catalogue."""


class EngineRun(Protocol):
    """A started run; iterate over its chunks, then read its usage."""

    usage: EngineUsage | None
    """Set once the end mark was received; ``None`` after iteration means an incomplete answer."""

    def __aiter__(self) -> AsyncIterator[EngineChunk]:
        """Yield the chunks; raises `EngineFailed` when the run is interrupted."""
        ...


class Engine(Protocol):
    """A model engine."""

    async def describe(self) -> EngineInfo:
        """Return the engine's identity, models and memory."""
        ...

    def generate(self, request: EngineRequest) -> AbstractAsyncContextManager[EngineRun]:
        """Start a run.

        Leaving the context cancels an unfinished run and closes the connection. Its memory is
        known to be free only after `cancel` succeeds or `list_streams` no longer lists the stream.

        Raises
        ------
        EngineUnavailable, EngineRefused
            Nothing ran.
        EngineFailed
            The connection failed after the request was sent, so it may have run.
        """
        ...

    async def cancel(self, stream_id: str) -> bool:
        """Cancel a run and free its memory; return whether the engine knew the run."""
        ...

    async def list_streams(self) -> list[EngineStream]:
        """Return all runs, exports and imports that hold memory."""
        ...

    async def export_kv(self, stream_id: str, handle: str) -> int:
        """Export the KV cache of a finished prefill under a handle; return its block count."""
        ...

    async def import_kv(self, handle: str, source: Address, blocks: int) -> None:
        """Fetch an export from another engine and store it under the same handle."""
        ...

    async def free_export(self, handle: str) -> bool:
        """Free an export or import; return whether the engine knew the handle."""
        ...

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports, which lags."""
        ...

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events known so far after a sequence number."""
        ...

    async def order(self, order: EngineOrder) -> None:
        """Send a placement order; raises `EngineRefused` when the engine rejects an old fence."""
        ...


ENGINE_DIALECTS: Registry[Callable[[Address], Engine]] = Registry("engine dialect")
"""Factories of engine clients, by dialect name."""
