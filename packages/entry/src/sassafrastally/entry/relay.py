"""Relays an answer from the chunks of a sidecar to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import CodedError, error
from sassafrastally.entry.held_answers import AnswerBroken, HeldAnswer, StreamBuffers
from sassafrastally.wire.messages import Chunk, End

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import RequestId
    from sassafrastally.serving.refusals import Refusal

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
STREAM_DONE = b"data: [DONE]\n\n"
"""Last event of a streamed answer that is complete."""

_STATUS_OK = 200


@error(6003)
class AnswerUnread(CodedError):
    """The stream of an attempt is closed before its end mark was read; its answer is kept."""


class Head(NamedTuple):
    """Status and content type, sent to the caller before the data."""

    status: int
    """HTTP status."""
    content_type: str


class Answer:
    """The answer to one request: written by its execution, read by the caller.

    The reader receives all available data as one piece, so that a busy entry makes fewer and
    larger sends.

    Parameters
    ----------
    request_id
        ID of the request.
    max_buffered_bytes
        Buffer size at which the writer is blocked until the reader takes the data.
    held
        Parts that are held until the answer is whole.
    buffers
        Buffers of all answers.
    """

    def __init__(
        self,
        request_id: RequestId,
        max_buffered_bytes: int,
        held: HeldAnswer | None = None,
        buffers: StreamBuffers | None = None,
    ) -> None:
        self.request_id = request_id
        self.held = held or HeldAnswer()
        self._buffers = buffers or StreamBuffers()
        self.head = Head(_STATUS_OK, EVENT_STREAM)
        self.end: End | None = None
        """The verified end mark; ``None`` until it arrives."""
        self.refusal: Refusal | None = None
        """Why there is no complete answer; ``None`` if it hasn't failed."""
        self.shown_tokens = 0
        """Tokens already sent or buffered for sending to the caller."""
        self.pieces = 0
        """Number of pieces of data put so far."""
        self.on_part: Callable[[], None] = lambda: None
        """Called for each part that the execution has received, also while it holds it back."""
        self._max_buffered_bytes = max_buffered_bytes
        self._counted_bytes = 0
        """Bytes that count in the buffers of all answers; what was held counts elsewhere."""
        self._data = bytearray()
        """Data that the reader hasn't taken. A list of parts of a byte takes many times as much."""
        self._has_started = trio.Event()
        self._readers = trio.lowlevel.ParkingLot()
        self._writers = trio.lowlevel.ParkingLot()

    @property
    def is_over(self) -> bool:
        """Whether nothing more will be written."""
        return self.end is not None or self.refusal is not None

    async def put(self, data: bytes, tokens: int) -> None:
        """Add data for the caller; block while the buffer of a slow caller is full.

        Data after the end is dropped: another attempt has given the whole answer.
        """
        while self._buffers.is_full(len(self._data), self._max_buffered_bytes):
            await self._writers.park()
        if self.is_over:
            return
        self.pieces += 1
        self.shown_tokens += tokens
        self._data += data
        self._counted_bytes += len(data)
        self._buffers.size_bytes += len(data)
        self._has_started.set()
        self._readers.unpark_all()

    def finish(self, end: End, head: Head, rest: bytes = b"") -> None:
        """Mark the answer as complete and add the data held back until the end was verified."""
        if self.is_over:
            return
        if not self._has_started.is_set():
            self.head = head
        if rest:
            self._data += rest
            self.held.keep()
        self.end = end
        self._wake()

    def fail(self, refusal: Refusal) -> None:
        """Fail the answer; buffered data is still delivered to the reader first."""
        self.refusal = refusal
        self._wake()

    async def wait_started(self) -> None:
        """Wait for the first data or the end.

        Raises
        ------
        Refusal
            If the answer failed before any data.
        """
        await self._has_started.wait()
        if self.refusal is not None and not self._data:
            raise self.refusal

    def __aiter__(self) -> Answer:
        return self

    async def __anext__(self) -> bytes:
        while not self._data:
            if self.refusal is not None:
                raise self.refusal
            if self.end is not None:
                raise StopAsyncIteration
            await self._readers.park()
        data = bytes(self._data)
        self._release()
        self._writers.unpark_all()
        return data

    def close(self) -> None:
        """Drop the data that wasn't read."""
        self._release()

    def _release(self) -> None:
        self._buffers.size_bytes -= self._counted_bytes
        self._counted_bytes = 0
        self._data.clear()

    def _wake(self) -> None:
        self._has_started.set()
        self._readers.unpark_all()


class ChunkOrder:
    """Checks that chunks belong to one attempt and arrive in order and complete.

    Parameters
    ----------
    request_id
        Request that the chunks must belong to.
    attempt
        Attempt that the chunks must belong to.
    """

    def __init__(self, request_id: str, attempt: int) -> None:
        self.next_sequence = 0
        """Sequence number of the next expected chunk."""
        self._request_id = request_id
        self._attempt = attempt

    def accepts(self, chunk: Chunk) -> bool:
        """Return whether a chunk is the next expected one; the caller drops all others.

        After a reattach, late chunks of another request or of an abandoned attempt may still
        arrive. Relaying them would mix in another answer or duplicate data, so only the exact
        successor is accepted.

        Raises
        ------
        AnswerBroken
            If chunks before it are missing.
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
        """Return whether an end mark belongs to this attempt."""
        return end.request_id == self._request_id and end.attempt == self._attempt

    def check_count(self, end: End) -> None:
        """Check that all chunks arrived before the end mark.

        Raises
        ------
        AnswerBroken
            If the count differs: a truncated answer must never pass as a complete one.
        """
        if end.chunks != self.next_sequence:
            raise AnswerBroken(f"{self.next_sequence} of {end.chunks} chunks came")
