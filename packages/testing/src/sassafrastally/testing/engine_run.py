"""One run on the model engine and what its reader gets."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.sidecar.engine import EngineFailed, EngineUsage

if TYPE_CHECKING:
    from sassafrastally.testing.engine_blocks import Holding
    from sassafrastally.testing.engine_prompt import Prompt


class RunState(Enum):
    """Phase of a run."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    HELD = "held"
    """A finished prefill without output; it holds its blocks until exported or cancelled."""
    ENDED = "ended"


class Tokens(NamedTuple):
    """Tokens that came out of one step."""

    first: int
    """Number of the first one in the whole answer, from 0."""
    tokens: int


class RunRequest(NamedTuple):
    """A run as the model engine takes it."""

    stream_id: str
    model: str
    prompt: Prompt
    priority: int
    resume_from_tokens: int = 0
    import_handles: tuple[str, ...] = ()
    prefill_tokens: int | None = None
    """With no output: how many of the prompt's leading tokens to prefill."""


class Run:
    """State of one run; its reader calls `receive`."""

    __slots__ = (
        "_changed",
        "_failure",
        "_is_closed",
        "_ready",
        "cached_tokens",
        "emitted",
        "goal_tokens",
        "hashes",
        "holding",
        "imported_tokens",
        "order",
        "output_limit",
        "prefilled_tokens",
        "prompt_tokens",
        "request",
        "state",
        "usage",
    )

    def __init__(self, request: RunRequest, order: int, imported_tokens: int) -> None:
        prompt = request.prompt
        self.request = request
        self.order = order
        self.imported_tokens = imported_tokens
        self.state = RunState.WAITING
        self.output_limit = prompt.max_output_tokens
        """Tokens of the whole answer, those shown before a resume included."""
        if prompt.answer_tokens is not None:
            self.output_limit = min(prompt.answer_tokens, prompt.max_output_tokens)
        self.prompt_tokens = prompt.tokens
        if prompt.max_output_tokens == 0 and request.prefill_tokens is not None:
            self.prompt_tokens = min(request.prefill_tokens, prompt.tokens)
        self.goal_tokens = self.prompt_tokens + request.resume_from_tokens
        """Context that must be in memory before the next token."""
        self.prefilled_tokens = min(imported_tokens, self.goal_tokens)
        self.cached_tokens = 0
        self.emitted = request.resume_from_tokens
        """Number of the next token in the whole answer."""
        self.hashes: list[int] = []
        self.holding: Holding | None = None
        self.usage: EngineUsage | None = None
        self._ready: deque[Tokens] = deque()
        self._changed = trio.Event()
        self._is_closed = False
        self._failure: EngineFailed | None = None

    @property
    def is_held(self) -> bool:
        """Whether it is a finished prefill that waits to be exported."""
        return self.state is RunState.HELD

    @property
    def rank(self) -> tuple[int, int]:
        """Order among runs: priority, then arrival."""
        return (self.request.priority, self.order)

    @property
    def own_tokens(self) -> int:
        """Tokens that need blocks on this engine for the run's whole length."""
        own_prompt = max(0, self.prompt_tokens - self.imported_tokens)
        return own_prompt + max(self.output_limit, self.request.resume_from_tokens)

    @property
    def shown_tokens(self) -> int:
        """Tokens that this run itself emitted."""
        return self.emitted - self.request.resume_from_tokens

    @property
    def wasted_tokens(self) -> int:
        """Tokens computed for nothing if the run is broken off now."""
        computed = self.prefilled_tokens - max(self.cached_tokens, self.imported_tokens)
        return max(0, computed) + self.shown_tokens

    def usage_after(self, tokens: Tokens) -> EngineUsage | None:
        """Return the usage if these tokens are the run's last ones."""
        return self.usage if tokens.first + tokens.tokens == self.emitted else None

    def emit(self, count: int) -> None:
        """Hand tokens to the reader."""
        if self.request.prompt.is_streamed:
            self._ready.append(Tokens(self.emitted, count))
            self._changed.set()
        self.emitted += count

    def close(self) -> None:
        """Tell the reader that nothing more comes."""
        self._is_closed = True
        self._changed.set()

    def fail(self, reason: str) -> None:
        """Break the run off."""
        self._failure = EngineFailed(f"{self.request.stream_id}: {reason}")
        self.close()

    async def receive(self) -> Tokens | None:
        """Return the next tokens of a streamed run, ``None`` at its end.

        Raises
        ------
        EngineFailed
            When the run was broken off.
        """
        while not self._ready:
            if self._is_closed:
                self._raise_failure()
                return None
            await self._wait_change()
        return self._ready.popleft()

    def receive_ready(self) -> Tokens | None:
        """Return further tokens that are there already, ``None`` when there are none."""
        return self._ready.popleft() if self._ready else None

    async def receive_whole(self) -> Tokens:
        """Wait for the end and return all tokens of the run; wakes up only once.

        Raises
        ------
        EngineFailed
            When the run was broken off.
        """
        while not self._is_closed:
            await self._wait_change()
        self._raise_failure()
        return Tokens(self.request.resume_from_tokens, self.shown_tokens)

    async def _wait_change(self) -> None:
        self._changed = trio.Event()
        await self._changed.wait()

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise self._failure
