"""Decides which callers are disconnected when too many of them don't read their responses.

While a write to a caller is blocked, nothing is read from its backend server, so that the buffers
of both connections bound what is held for the caller. On an entry with 152 MB, sixty callers that
don't read would nevertheless take an eighth of the memory, and so would five with complete
responses of four megabytes.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable
from typing import Generic, NamedTuple, TypeVar

Caller = TypeVar("Caller", bound=Hashable)

CALLER_BUFFER_BYTES = 262_144
"""Bound of what is held for one caller of a stream: the buffers of its connection and of the
server's connection, and one chunk in between. A complete response may be larger."""

MEMORY_SHARE = 8
"""What is held for all blocked callers together may take one part in this many of the memory."""

MIN_BLOCKED_S = 0.25
"""A write counts as blocked from this time on; shorter ones wait for a caller that does read."""


def most_buffered_bytes(memory_mb: int) -> float:
    """Return the bound for all blocked callers together; infinite if the memory isn't known."""
    return memory_mb * 1_000_000 / MEMORY_SHARE if memory_mb > 0 else math.inf


class _Write(NamedTuple):
    begun_s: float
    held_bytes: int
    can_go_on: Callable[[], bool]


class BlockedCallers(Generic[Caller]):
    """Callers whose writes are in progress, in the order in which these began.

    Parameters
    ----------
    most_bytes
        Bound for all blocked callers together.
    """

    def __init__(self, most_bytes: float = math.inf) -> None:
        self._most_bytes = most_bytes
        self._held_bytes = 0
        self._writes: dict[Caller, _Write] = {}

    def begin(
        self,
        caller: Caller,
        now_s: float,
        response_bytes: int = 0,
        can_go_on: Callable[[], bool] = lambda: False,
    ) -> Caller | None:
        """Record that a write begins; return the caller to disconnect for it, if any.

        Parameters
        ----------
        caller
            Identifies the write.
        now_s
            Present time.
        response_bytes
            Size of the part of the response that is held until it is written as a whole.
        can_go_on
            Returns whether the connection takes more bytes: after a pause of this process, a write
            has lasted long although its caller has read.
        """
        write = _Write(now_s, max(CALLER_BUFFER_BYTES, response_bytes), can_go_on)
        self._writes[caller] = write
        self._held_bytes += write.held_bytes
        return self._longest_blocked(now_s) if self._held_bytes > self._most_bytes else None

    def _longest_blocked(self, now_s: float) -> Caller | None:
        for caller, write in self._writes.items():
            if now_s - write.begun_s < MIN_BLOCKED_S:
                return None
            if not write.can_go_on():
                return caller
        return None

    def end(self, caller: Caller) -> None:
        """Record that a write has ended."""
        if write := self._writes.pop(caller, None):
            self._held_bytes -= write.held_bytes

    def count(self, now_s: float) -> int:
        """Return the number of blocked callers."""
        return sum(now_s - write.begun_s >= MIN_BLOCKED_S for write in self._writes.values())
