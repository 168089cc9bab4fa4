"""Interface of a model engine, as the sidecar sees it.

Dialects implement it over the published interfaces of engines and are registered by name.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import CodedError, Registry, error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence
    from contextlib import AbstractAsyncContextManager

    from sassafrastally.core import Address


class EngineInfo(NamedTuple):
    """What an engine is and holds."""

    incarnation: str
    """Life of the engine process; a new one has an empty memory."""
    models: tuple[str, ...]
    """Models ready to serve, as ``name`` or ``name@version``."""
    block_tokens: int
    """Tokens in one KV-cache block."""
    total_blocks: int
    free_blocks: int
    """Blocks held by no stream and no export; blocks that only cache a prefix count as free."""
    checks_fencing: bool
    role: str = "general"


class EngineRequest(NamedTuple):
    """A run on the engine."""

    stream_id: str
    """Name of the stream on the engine; the sidecar makes it, unique over its lives."""
    model: str
    operation: str
    """Method and path of the published interface, such as ``POST /v1/chat/completions``."""
    body: bytes
    """The caller's JSON body."""
    prompt_tokens: int
    max_output_tokens: int
    priority: int
    """Lower runs first, as engines have it."""
    resume_from_tokens: int = 0
    """Tokens of the answer already shown; the engine goes on after them."""
    import_handles: tuple[str, ...] = ()
    """Exports whose KV cache the run starts from."""


class EngineChunk(NamedTuple):
    """A piece of an answer: one server-sent event's JSON without its framing."""

    data: bytes
    tokens: int


class EngineUsage(NamedTuple):
    """The engine's own count at the end of a run."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    finish_reason: str


class EngineStream(NamedTuple):
    """One holder of memory in the engine's own list."""

    stream_id: str
    kind: str
    """``run``, ``export`` or ``import``."""
    blocks: int


class EngineLoad(NamedTuple):
    """Load as the engine reports it; lags."""

    running: int
    waiting: int
    free_blocks: int


class CacheEvent(NamedTuple):
    """The engine stored or dropped a prefix block; late and with gaps."""

    sequence: int
    """A jump by more than one is a gap."""
    kind: str
    """``stored``, ``removed`` or ``cleared``."""
    prefix_hash: int


class EngineOrder(NamedTuple):
    """An order of placement."""

    fence: int
    """Fencing number of the placement holder; an older one must not be obeyed."""
    action: str
    """``load``, ``unload``, ``load_adapter``, ``unload_adapter`` or ``set_role``."""
    model: str
    version: str = ""
    adapter: str = ""
    role: str = ""


@error(7001)
class EngineUnavailable(CodedError):
    """The engine can't be reached: the call had no effect."""


@error(7002)
class EngineFailed(CodedError):
    """The engine broke off a run, or ended it without its end mark."""


@error(7003)
class EngineRefused(CodedError):
    """The engine took no part of the call and says so: nothing ran."""

    def __init__(self, message: str, refusal_code: str = "no-replica") -> None:
        super().__init__(message)
        self.refusal_code = refusal_code
        """Code of the refusal catalogue that is true of it."""


class EngineRun(Protocol):
    """A run that has begun; iterate over its chunks, then read its usage."""

    usage: EngineUsage | None
    """Set when the end mark has come; ``None`` after iteration means an incomplete answer."""

    def __aiter__(self) -> AsyncIterator[EngineChunk]:
        """Yield the chunks; raises `EngineFailed` when the run breaks off."""
        ...


class Engine(Protocol):
    """A model engine."""

    async def describe(self) -> EngineInfo:
        """Return what the engine is and holds."""
        ...

    def generate(self, request: EngineRequest) -> AbstractAsyncContextManager[EngineRun]:
        """Begin a run.

        Leaving the context cancels what still runs and closes the connection; memory is certain
        to be free only after `cancel` or when `list_streams` no longer shows the stream.

        Raises
        ------
        EngineUnavailable, EngineRefused
            Nothing ran.
        EngineFailed
            The connection broke after the request was sent: it may have run.
        """
        ...

    async def cancel(self, stream_id: str) -> bool:
        """Cancel a run and free its memory; return whether the engine knew it."""
        ...

    async def list_streams(self) -> list[EngineStream]:
        """Return every holder of memory."""
        ...

    async def export_kv(self, stream_id: str, handle: str) -> int:
        """Keep a finished prefill's KV cache under a handle; return its blocks."""
        ...

    async def import_kv(self, handle: str, source: Address, blocks: int) -> None:
        """Fetch an export from another engine and hold it under the same handle."""
        ...

    async def free_export(self, handle: str) -> bool:
        """Free an export or import; return whether the engine knew it."""
        ...

    async def load(self) -> EngineLoad:
        """Return the engine's lagging load."""
        ...

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events after a sequence number, those that are known by now."""
        ...

    async def order(self, order: EngineOrder) -> None:
        """Carry out an order; raises `EngineRefused` when the fence is old and checked."""
        ...


ENGINE_DIALECTS: Registry[Callable[[Address], Engine]] = Registry("engine dialect")
"""Makers of engine clients by dialect name."""
