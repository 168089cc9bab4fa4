"""Answers that are held until they are whole, within one budget."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

from sassafrastally.core import CodedError, error
from sassafrastally.core.held_input import HeldInput

if TYPE_CHECKING:
    from collections.abc import Iterator


REDUCED_BUFFER_BYTES = 16_384
"""Size of a slow caller's buffer while there are too many of them; some seconds of words."""


@error(6001)
class AnswerBroken(CodedError):
    """The chunks of an attempt have a gap, a wrong count or no end mark, or are too large."""


class HeldBuffer:
    """What is held of the answer of one attempt.

    Parameters
    ----------
    answer
        The answers to the request.
    """

    def __init__(self, answer: HeldAnswer) -> None:
        self._answer = answer
        self._data = bytearray()
        self._is_ended = False

    def __len__(self) -> int:
        return len(self._data)

    def add(self, data: bytes, max_bytes: int) -> None:
        """Add a part; beyond the budget the largest answers give way.

        Raises
        ------
        AnswerBroken
            If the answer is too large or had to give way.
        """
        self.check()
        self._data += data
        self._answer.record()
        self.check()
        if len(self._data) > max_bytes:
            raise AnswerBroken(f"the answer is over {max_bytes} bytes")

    def take(self) -> bytes:
        """Return and empty the content, which still counts; raises `AnswerBroken` as `add`."""
        self.check()
        data = bytes(self._data)
        self._data.clear()
        return data

    def drop(self) -> None:
        """Empty the buffer, as its content isn't needed any more."""
        if self._data:
            self._data.clear()
            self._answer.record()

    def end(self) -> None:
        """Give way."""
        if self._data:
            self._data.clear()
            self._is_ended = True

    def check(self) -> None:
        """Raise `AnswerBroken` if the buffer had to give way, so that parts are missing."""
        if self._is_ended:
            raise AnswerBroken("too many bytes of unfinished answers were held")


class HeldAnswer:
    """What is held of the answers to one request; several attempts may give one.

    Parameters
    ----------
    budget
        Budget of all requests; ``None`` for no bound.
    """

    def __init__(self, budget: HeldInput[HeldAnswer] | None = None) -> None:
        self._budget: HeldInput[HeldAnswer] = budget or HeldInput()
        self._buffers: list[HeldBuffer] = []
        self._kept_bytes = 0

    def make_buffer(self) -> HeldBuffer:
        """Return an empty buffer for the answer of an attempt."""
        buffer = HeldBuffer(self)
        self._buffers.append(buffer)
        return buffer

    def record(self) -> None:
        """Record the size of the buffers; end the largest answers beyond the budget."""
        for largest in self._budget.hold(self, sum(map(len, self._buffers))):
            largest.end()

    def keep(self) -> None:
        """Record that the answer is complete; its bytes count until `release`."""
        self._kept_bytes += self._budget.keep(self)

    def end(self) -> None:
        """Give way."""
        for buffer in self._buffers:
            buffer.end()

    def release(self) -> None:
        """Record that nothing is held any more."""
        self._budget.release(self)
        self._budget.release_kept(self._kept_bytes)
        self._kept_bytes = 0


class StreamBuffers:
    """Data of streamed answers that callers haven't read yet.

    While all together are over their bound, each answer waits for its caller sooner.

    Parameters
    ----------
    max_bytes
        Bound above which each buffer is reduced.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        self.size_bytes = 0
        """Bytes of all buffers together."""
        self._max_bytes = max_bytes

    def is_full(self, buffered_bytes: int, max_buffered_bytes: int) -> bool:
        """Return whether the writer of a buffer has to wait.

        Parameters
        ----------
        buffered_bytes
            Size of the buffer.
        max_buffered_bytes
            Maximum size of a buffer while all together are below their bound.
        """
        if self.size_bytes > self._max_bytes:
            max_buffered_bytes = min(max_buffered_bytes, REDUCED_BUFFER_BYTES)
        return buffered_bytes >= max_buffered_bytes


class HeldAnswers:
    """Budget of an entry for held answers.

    When it is exceeded, the largest answer that isn't complete gives way, so that answers without
    end don't displace those of other requests.

    Parameters
    ----------
    max_bytes
        Bound for all held answers together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._budget: HeldInput[HeldAnswer] = HeldInput(max_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes of all held answers together."""
        return self._budget.total_bytes + self._budget.kept_bytes

    @contextmanager
    def open(self) -> Iterator[HeldAnswer]:
        """Count the answers to a request for the duration of the context."""
        held = HeldAnswer(self._budget)
        try:
            yield held
        finally:
            held.release()
