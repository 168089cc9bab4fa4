"""Decides which callers are disconnected when too many of them don't read their responses.

While a write to a caller is blocked, nothing is read from its backend server, so that the buffers
of both connections bound what is held for the caller. On an entry with 152 MB, sixty callers that
don't read would nevertheless take an eighth of the memory.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

Caller = TypeVar("Caller", bound=Hashable)

CALLER_BUFFER_BYTES = 262_144
"""Bound of what is held for one caller: the buffers of its connection and of the server's
connection, and one chunk in between."""

MEMORY_SHARE = 8
"""What is held for all blocked callers together may take one part in this many of the memory."""

MIN_BLOCKED_S = 0.25
"""A write counts as blocked from this time on; shorter ones wait for a caller that does read."""


def most_buffered_bytes(memory_mb: int) -> float:
    """Return the bound for all blocked callers together; infinite if the memory isn't known."""
    return memory_mb * 1_000_000 / MEMORY_SHARE if memory_mb > 0 else math.inf


class BlockedCallers(Generic[Caller]):
    """Callers whose writes are in progress, in the order in which these began.

    Parameters
    ----------
    most_bytes
        Bound for all blocked callers together.
    """

    def __init__(self, most_bytes: float = math.inf) -> None:
        self._most_callers = max(1.0, most_bytes // CALLER_BUFFER_BYTES)
        self._begun_s: dict[Caller, float] = {}

    def begin(self, caller: Caller, now_s: float) -> Caller | None:
        """Record that a write begins; return the caller to disconnect for it, if any."""
        longest = next(iter(self._begun_s), None)
        self._begun_s[caller] = now_s
        if longest is None or len(self._begun_s) <= self._most_callers:
            return None
        return longest if now_s - self._begun_s[longest] >= MIN_BLOCKED_S else None

    def end(self, caller: Caller) -> None:
        """Record that a write has ended."""
        self._begun_s.pop(caller, None)

    def count(self, now_s: float) -> int:
        """Return the number of blocked callers."""
        return sum(now_s - begun_s >= MIN_BLOCKED_S for begun_s in self._begun_s.values())
