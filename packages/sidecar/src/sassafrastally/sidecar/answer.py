"""Answers while they grow and after: numbered chunks that any reader can follow or fetch again."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import CodedError, error
from sassafrastally.wire.messages import MAX_CHUNK_BYTES, Chunk, End

if TYPE_CHECKING:
    from sassafrastally.sidecar.attempt_key import AttemptKey
    from sassafrastally.sidecar.settings import SidecarSettings

JOINED_BYTES = MAX_CHUNK_BYTES // 2
"""Pieces are joined into one chunk up to this size while the reader lags."""


@error(7101)
class AnswerNotKept(CodedError):
    """The chunk asked for was let go at the bound of the answers' memory."""


class Answer:
    """One answer.

    Pieces that no reader has asked for yet wait unnumbered and leave joined as one chunk. A chunk
    keeps its number and its content from then on, so that every reader sees the same chunks.

    Parameters
    ----------
    key
        The attempt that it answers.
    """

    def __init__(self, key: AttemptKey) -> None:
        self.key = key
        self.size_bytes = 0
        self.sent_chunks = 0
        """Number of the first chunk that no reader has been sent."""
        self.end: End | None = None
        """The end mark, once it has come."""
        self.is_delivered = False
        """Whether a reader was sent the end mark."""
        self.readers = 0
        """Streams that follow the answer."""
        self._chunks: deque[Chunk] = deque()
        self._first = 0
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._pending_tokens = 0
        self._unsent_bytes = 0
        self._changed = trio.lowlevel.ParkingLot()
        self._taken = trio.lowlevel.ParkingLot()

    @property
    def chunk_count(self) -> int:
        """Chunks numbered so far, those let go included."""
        return self._first + len(self._chunks)

    @property
    def first_kept(self) -> int:
        """Number of the first chunk that is still here."""
        return self._first

    @property
    def unsent_bytes(self) -> int:
        """Bytes that no reader has been sent."""
        return self._unsent_bytes

    def append(self, data: bytes, tokens: int) -> None:
        """Add a piece; a long one is cut."""
        for start in range(0, len(data), JOINED_BYTES):
            piece = data[start : start + JOINED_BYTES]
            if self._pending_bytes + len(piece) > JOINED_BYTES:
                self._number_pending()
            self._pending.append(piece)
            self._pending_bytes += len(piece)
            self._pending_tokens += tokens if start == 0 else 0
        self.size_bytes += len(data)
        self._unsent_bytes += len(data)
        self._changed.unpark_all()

    def finish(self, end: End) -> None:
        """Take in the end mark and count the chunks into it."""
        self._number_pending()
        self.end = end._replace(chunks=self.chunk_count)
        self._changed.unpark_all()
        self._taken.unpark_all()

    def chunk(self, sequence: int) -> Chunk | None:
        """Return a chunk, ``None`` when it isn't there yet.

        Raises
        ------
        AnswerNotKept
            When it was let go.
        """
        if sequence < self._first:
            raise AnswerNotKept(f"chunk {sequence} of {self.key.request_id} was let go")
        if sequence == self.chunk_count:
            self._number_pending()
        place = sequence - self._first
        return self._chunks[place] if place < len(self._chunks) else None

    def mark_sent(self, chunk: Chunk) -> None:
        """Note that a reader was sent a chunk."""
        if chunk.sequence == self.sent_chunks:
            self.sent_chunks += 1
            self._unsent_bytes -= len(chunk.data)
            self._taken.unpark_all()

    async def wait_change(self) -> None:
        """Wait until a piece or the end has come."""
        await self._changed.park()

    async def wait_taken(self) -> None:
        """Wait until a reader was sent a chunk or left."""
        await self._taken.park()

    def leave(self) -> None:
        """Note that a reader has left; a run that waited for it goes on."""
        self.readers -= 1
        self._taken.unpark_all()

    def drop_front(self) -> int:
        """Let the oldest chunk go; return its bytes."""
        chunk = self._chunks.popleft()
        self._first += 1
        if chunk.sequence >= self.sent_chunks:
            self.sent_chunks = self._first
            self._unsent_bytes -= len(chunk.data)
        self.size_bytes -= len(chunk.data)
        return len(chunk.data)

    @property
    def has_sent_front(self) -> bool:
        """Whether the oldest chunk kept was sent to a reader."""
        return bool(self._chunks) and self._first < self.sent_chunks

    @property
    def has_front(self) -> bool:
        """Whether a numbered chunk is kept."""
        return bool(self._chunks)

    def _number_pending(self) -> None:
        if not self._pending:
            return
        chunk = Chunk(
            self.key.request_id,
            self.key.attempt,
            self.chunk_count,
            self._pending_tokens,
            b"".join(self._pending),
        )
        self._chunks.append(chunk)
        self._pending.clear()
        self._pending_bytes = self._pending_tokens = 0


class AnswerStore:
    """All answers of the process, within one bound.

    Parameters
    ----------
    settings
        The bounds.

    Notes
    -----
    At the bound the oldest finished answers leave first, then the sent front of the largest
    growing one, then the front of one that nobody reads. What is left are unsent bytes of
    answers that are being read; their runs wait for their readers.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._growing: dict[AttemptKey, Answer] = {}
        self._finished: OrderedDict[AttemptKey, tuple[Answer, float]] = OrderedDict()
        self.size_bytes = 0

    def begin(self, key: AttemptKey) -> Answer:
        """Return a new answer."""
        answer = self._growing[key] = Answer(key)
        return answer

    def find(self, key: AttemptKey) -> Answer | None:
        """Return an answer that grows or is kept."""
        if key in self._growing:
            return self._growing[key]
        kept = self._finished.get(key)
        return kept[0] if kept else None

    @property
    def has_readers(self) -> bool:
        """Whether an answer is on its way to a reader."""
        kept = (answer for answer, _ in self._finished.values())
        return any(answer.readers for answer in (*self._growing.values(), *kept))

    def awaits_reader(self, since_s: float) -> bool:
        """Return whether an answer that ended after a time was not delivered yet."""
        return any(
            finished_s > since_s and not answer.is_delivered
            for answer, finished_s in self._finished.values()
        )

    def append(self, answer: Answer, data: bytes, tokens: int) -> None:
        """Add a piece to an answer and keep to the bound."""
        answer.append(data, tokens)
        self.size_bytes += len(data)
        if self.size_bytes > self._settings.max_answer_bytes:
            self._make_room()

    async def wait_room(self, answer: Answer) -> None:
        """Wait while too much of an answer is unsent."""
        while answer.readers and answer.unsent_bytes > self._settings.max_unsent_bytes:
            await answer.wait_taken()

    def keep(self, answer: Answer, now_s: float) -> None:
        """Keep a finished answer for a while."""
        if self._growing.pop(answer.key, None) is not None:
            self._finished[answer.key] = (answer, now_s)

    def drop(self, key: AttemptKey) -> None:
        """Let an answer go."""
        answer = self.find(key)
        if answer is None:
            return
        self._growing.pop(key, None)
        self._finished.pop(key, None)
        self.size_bytes -= answer.size_bytes

    def expire(self, now_s: float) -> None:
        """Let finished answers go that are old enough."""
        oldest_s = now_s - self._settings.answer_age_s
        while self._finished:
            key, (_, finished_s) = next(iter(self._finished.items()))
            if finished_s >= oldest_s:
                return
            self.drop(key)

    def _make_room(self) -> None:
        bound_bytes = self._settings.max_answer_bytes
        while self.size_bytes > bound_bytes and self._finished:
            self.drop(next(iter(self._finished)))
        largest_first = sorted(self._growing.values(), key=lambda each: -each.size_bytes)
        for answer in largest_first:
            while self.size_bytes > bound_bytes and answer.has_sent_front:
                self.size_bytes -= answer.drop_front()
        for answer in largest_first:
            while self.size_bytes > bound_bytes and not answer.readers and answer.has_front:
                self.size_bytes -= answer.drop_front()
