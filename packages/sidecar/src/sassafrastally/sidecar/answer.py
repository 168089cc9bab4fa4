"""Answer buffers: numbered chunks that readers can follow live or fetch again later."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import CodedError, error
from sassafrastally.wire.messages import MAX_CHUNK_BYTES, Chunk, End

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.sidecar.attempt_key import AttemptKey
    from sassafrastally.sidecar.settings import SidecarSettings

JOINED_BYTES = MAX_CHUNK_BYTES // 2
"""Maximum size of a chunk that is joined from pieces while the reader lags behind."""


@error(7101)
class AnswerNotKept(CodedError):
    """The requested chunk was evicted because the memory limit for answers was reached."""


class Answer:
    """The buffered answer of one attempt.

    Pieces that no reader has requested yet stay unnumbered and are later joined into one chunk.
    Once numbered, a chunk keeps its number and content, so that all readers see the same chunks.

    Parameters
    ----------
    key
        The attempt that the answer belongs to.
    """

    def __init__(self, key: AttemptKey) -> None:
        self.key = key
        self.size_bytes = 0
        self.sent_chunks = 0
        """Number of the first chunk that was not sent to any reader."""
        self.end: End | None = None
        """The end mark, once it was received."""
        self.is_delivered = False
        """Whether a reader has closed its stream after the end mark was sent to it."""
        self.readers = 0
        """Number of streams that follow the answer."""
        self.on_chunks: Callable[[int], None] = lambda _: None
        """Called with each change of the number of chunks that are kept."""
        self._chunks: deque[Chunk] = deque()
        self._first_sequence = 0
        self._pending = bytearray()
        self._pending_tokens = 0
        self._unsent_bytes = 0
        self._changed = trio.lowlevel.ParkingLot()
        self._consumed = trio.lowlevel.ParkingLot()

    @property
    def chunk_count(self) -> int:
        """Number of chunks numbered so far, including evicted ones."""
        return self._first_sequence + len(self._chunks)

    @property
    def first_kept_sequence(self) -> int:
        """Number of the first chunk that is still kept."""
        return self._first_sequence

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that were not sent to any reader."""
        return self._unsent_bytes

    def append(self, data: bytes, tokens: int) -> None:
        """Add a piece, splitting it when it is longer than a chunk may be."""
        for start in range(0, len(data), JOINED_BYTES):
            piece = data[start : start + JOINED_BYTES]
            if len(self._pending) + len(piece) > JOINED_BYTES:
                self._number_pending()
            self._pending += piece
            self._pending_tokens += tokens if start == 0 else 0
        self.size_bytes += len(data)
        self._unsent_bytes += len(data)
        self._changed.unpark_all()

    def finish(self, end: End) -> None:
        """Store the end mark with the number of chunks filled in."""
        self._number_pending()
        self.end = end._replace(chunks=self.chunk_count)
        self._changed.unpark_all()
        self._consumed.unpark_all()

    def chunk(self, sequence: int) -> Chunk | None:
        """Return a chunk, or ``None`` when it doesn't exist yet.

        Raises
        ------
        AnswerNotKept
            When the chunk was evicted.
        """
        if sequence < self._first_sequence:
            raise AnswerNotKept(f"chunk {sequence} of {self.key.request_id} was let go")
        if sequence == self.chunk_count:
            self._number_pending()
        index = sequence - self._first_sequence
        return self._chunks[index] if index < len(self._chunks) else None

    def mark_sent(self, chunk: Chunk) -> None:
        """Record that a chunk was sent to a reader."""
        if chunk.sequence == self.sent_chunks:
            self.sent_chunks += 1
            self._unsent_bytes -= len(chunk.data)
            self._consumed.unpark_all()

    async def wait_change(self) -> None:
        """Wait until a piece or the end mark is added."""
        await self._changed.park()

    async def wait_consumed(self) -> None:
        """Wait until a chunk is sent to a reader, a reader detaches or the answer ends."""
        await self._consumed.park()

    def remove_reader(self) -> None:
        """Record that a reader has detached and wake a run that waits for it."""
        self.readers -= 1
        self._consumed.unpark_all()

    def drop_oldest_chunk(self) -> int:
        """Evict the oldest chunk and return its size in bytes."""
        chunk = self._chunks.popleft()
        self._first_sequence += 1
        if chunk.sequence >= self.sent_chunks:
            self.sent_chunks = self._first_sequence
            self._unsent_bytes -= len(chunk.data)
        self.size_bytes -= len(chunk.data)
        self.on_chunks(-1)
        return len(chunk.data)

    @property
    def kept_chunks(self) -> int:
        """Number of numbered chunks that are kept."""
        return len(self._chunks)

    @property
    def is_oldest_chunk_sent(self) -> bool:
        """Whether the oldest kept chunk was sent to a reader."""
        return bool(self._chunks) and self._first_sequence < self.sent_chunks

    @property
    def has_chunks(self) -> bool:
        """Whether any numbered chunk is kept."""
        return bool(self._chunks)

    def _number_pending(self) -> None:
        if not self._pending:
            return
        chunk = Chunk(
            self.key.request_id,
            self.key.attempt,
            self.chunk_count,
            self._pending_tokens,
            bytes(self._pending),
        )
        self._chunks.append(chunk)
        self._pending.clear()
        self._pending_tokens = 0
        self.on_chunks(1)


class AnswerStore:
    """All answers of the process, within a shared memory limit.

    Parameters
    ----------
    settings
        The limits.

    Notes
    -----
    When a limit is exceeded, the oldest finished answers are evicted first, then the oldest
    chunks already sent of unfinished answers, then the oldest chunks of unfinished answers
    without readers; larger answers come first. What remains are unsent bytes of answers that are
    being read; backpressure makes their runs wait for the readers.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._growing: dict[AttemptKey, Answer] = {}
        self._finished: OrderedDict[AttemptKey, tuple[Answer, float]] = OrderedDict()
        self.size_bytes = 0
        self.chunk_count = 0
        """Number of chunks that are kept."""

    def begin(self, key: AttemptKey) -> Answer:
        """Create the answer of an attempt."""
        answer = self._growing[key] = Answer(key)
        answer.on_chunks = self._count_chunks
        return answer

    def find(self, key: AttemptKey) -> Answer | None:
        """Return the unfinished or kept answer of an attempt."""
        if key in self._growing:
            return self._growing[key]
        kept = self._finished.get(key)
        return kept[0] if kept else None

    @property
    def has_readers(self) -> bool:
        """Whether any answer has a reader attached."""
        kept = (answer for answer, _ in self._finished.values())
        return any(answer.readers for answer in (*self._growing.values(), *kept))

    def has_undelivered_since(self, since_s: float) -> bool:
        """Return whether an answer that finished after the given time is still undelivered."""
        return any(
            finished_s > since_s and not answer.is_delivered
            for answer, finished_s in self._finished.values()
        )

    def append(self, answer: Answer, data: bytes, tokens: int) -> None:
        """Add a piece to an answer, evicting chunks when the memory limit is exceeded."""
        answer.append(data, tokens)
        self.size_bytes += len(data)
        if self._is_over_limit:
            self._make_room()

    async def wait_room(self, answer: Answer) -> None:
        """Wait while too many bytes of an answer are unsent (backpressure on its run).

        Unsent bytes that have a reader aren't evicted. So each answer has little of them while all
        answers together are over their limit.
        """
        while answer.readers and answer.unsent_bytes > self._max_unsent_bytes:
            await answer.wait_consumed()

    def keep(self, answer: Answer, now_s: float) -> None:
        """Keep a finished answer until it expires or is evicted."""
        if self._growing.pop(answer.key, None) is not None:
            self._finished[answer.key] = (answer, now_s)

    def drop(self, key: AttemptKey) -> None:
        """Remove an answer."""
        answer = self.find(key)
        if answer is None:
            return
        self._growing.pop(key, None)
        self._finished.pop(key, None)
        self.size_bytes -= answer.size_bytes
        self.chunk_count -= answer.kept_chunks
        answer.on_chunks = lambda _: None

    def expire(self, now_s: float) -> None:
        """Remove finished answers that have reached their maximum age."""
        oldest_s = now_s - self._settings.answer_age_s
        while self._finished:
            key, (_, finished_s) = next(iter(self._finished.items()))
            if finished_s >= oldest_s:
                return
            self.drop(key)

    @property
    def _max_unsent_bytes(self) -> int:
        if self.size_bytes <= self._settings.max_answer_bytes:
            return self._settings.max_unsent_bytes
        return min(JOINED_BYTES, self._settings.max_unsent_bytes)

    @property
    def _is_over_limit(self) -> bool:
        settings = self._settings
        return (
            self.size_bytes > settings.max_answer_bytes
            or self.chunk_count > settings.max_answer_chunks
        )

    def _count_chunks(self, change: int) -> None:
        self.chunk_count += change

    def _make_room(self) -> None:
        while self._is_over_limit and self._finished:
            self.drop(next(iter(self._finished)))
        largest_first = sorted(self._growing.values(), key=lambda each: -each.size_bytes)
        for answer in largest_first:
            while self._is_over_limit and answer.is_oldest_chunk_sent:
                self.size_bytes -= answer.drop_oldest_chunk()
        for answer in largest_first:
            while self._is_over_limit and not answer.readers and answer.has_chunks:
                self.size_bytes -= answer.drop_oldest_chunk()
