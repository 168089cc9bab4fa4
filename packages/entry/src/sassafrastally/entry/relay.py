"""The way of an answer from a sidecar's chunks to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import CodedError, error
from sassafrastally.wire.messages import Chunk, End

if TYPE_CHECKING:
    from sassafrastally.core import RequestId
    from sassafrastally.serving.refusals import Refusal

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
STREAM_DONE = b"data: [DONE]\n\n"
"""Last event of a streamed answer whose end was proved."""

_STATUS_OK = 200


@error(6001)
class AnswerBroken(CodedError):
    """The chunks of an attempt have a gap, a wrong count or no end mark."""


class Head(NamedTuple):
    """What the caller learns before the data."""

    status: int
    """HTTP status."""
    content_type: str


class Answer:
    """The answer to one request: written by its execution, read by the caller.

    The reader takes all data that is ready as one piece, so that a busy entry makes fewer and
    larger sends.

    Parameters
    ----------
    request_id
        Name of the request.
    max_buffered_bytes
        Data that waits for the reader before the writer is held back.
    """

    def __init__(self, request_id: RequestId, max_buffered_bytes: int) -> None:
        self.request_id = request_id
        self.head = Head(_STATUS_OK, EVENT_STREAM)
        self.end: End | None = None
        """The proved end mark; ``None`` before."""
        self.refusal: Refusal | None = None
        """Why there is no whole answer."""
        self.shown_tokens = 0
        """Tokens that the caller has seen or can't be kept from seeing."""
        self._max_buffered_bytes = max_buffered_bytes
        self._parts: list[bytes] = []
        self._size_bytes = 0
        self._has_started = trio.Event()
        self._readers = trio.lowlevel.ParkingLot()
        self._writers = trio.lowlevel.ParkingLot()

    @property
    def is_over(self) -> bool:
        """Whether nothing more will be written."""
        return self.end is not None or self.refusal is not None

    async def put(self, data: bytes, tokens: int) -> None:
        """Add data for the caller; waits while a slow caller has enough to read."""
        while self._size_bytes >= self._max_buffered_bytes:
            await self._writers.park()
        self.shown_tokens += tokens
        self._parts.append(data)
        self._size_bytes += len(data)
        self._has_started.set()
        self._readers.unpark_all()

    def finish(self, end: End, head: Head, rest: bytes = b"") -> None:
        """Mark the answer as whole, with what was held back until its end was proved."""
        if not self._has_started.is_set():
            self.head = head
        if rest:
            self._parts.append(rest)
        self.end = end
        self._wake()

    def fail(self, refusal: Refusal) -> None:
        """Give the answer up; data that the reader hasn't taken yet still comes first."""
        self.refusal = refusal
        self._wake()

    async def wait_started(self) -> None:
        """Wait for the first data or the end.

        Raises
        ------
        Refusal
            When it failed before any data.
        """
        await self._has_started.wait()
        if self.refusal is not None and not self._parts:
            raise self.refusal

    def __aiter__(self) -> Answer:
        return self

    async def __anext__(self) -> bytes:
        while not self._parts:
            if self.refusal is not None:
                raise self.refusal
            if self.end is not None:
                raise StopAsyncIteration
            await self._readers.park()
        data = b"".join(self._parts)
        self._parts.clear()
        self._size_bytes = 0
        self._writers.unpark_all()
        return data

    def _wake(self) -> None:
        self._has_started.set()
        self._readers.unpark_all()


class ChunkOrder:
    """Checks that the chunks of one attempt are its own, in order and complete.

    Parameters
    ----------
    request_id
        Request that the chunks must name.
    attempt
        Attempt that they must name.
    """

    def __init__(self, request_id: str, attempt: int) -> None:
        self.next_sequence = 0
        """Number of the chunk that comes next."""
        self._request_id = request_id
        self._attempt = attempt

    def accepts(self, chunk: Chunk) -> bool:
        """Return whether a chunk is the next one; others are to be dropped.

        Chunks of another request or of an abandoned attempt can still be on their way when a
        stream is joined anew; shown to the caller they would be part of someone else's answer or
        a piece twice. So only the exact successor passes.

        Raises
        ------
        AnswerBroken
            When chunks before it are missing.
        """
        if chunk.request_id != self._request_id or chunk.attempt != self._attempt:
            return False
        if chunk.sequence < self.next_sequence:
            return False
        if chunk.sequence > self.next_sequence:
            raise AnswerBroken(f"chunk {self.next_sequence} is missing before {chunk.sequence}")
        self.next_sequence += 1
        return True

    def owns(self, end: End) -> bool:
        """Return whether an end mark is this attempt's."""
        return end.request_id == self._request_id and end.attempt == self._attempt

    def check_count(self, end: End) -> None:
        """Check that all chunks came before the end mark.

        Raises
        ------
        AnswerBroken
            When the count differs: a short answer must never pass as a whole one.
        """
        if end.chunks != self.next_sequence:
            raise AnswerBroken(f"{self.next_sequence} of {end.chunks} chunks came")
