"""Decides which reader is ended when too much unfinished input is held together.

Input that isn't complete can't be handed on: headers and events without their end, bodies that are
buffered as a whole. Bounds for each of them don't suffice, since many peers may reach them at once.
The largest holder is ended, so that a flood doesn't displace the input of sound peers, which is
small.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

Holder = TypeVar("Holder", bound=Hashable)

MEMORY_SHARE = 8
"""All held input together may take one part in this many of the memory."""

DEFAULT_HELD_BYTES = 64_000_000
"""Bound for all held input if the memory limit isn't known."""


def most_held_bytes(memory_mb: int) -> float:
    """Return the bound for all held input together."""
    return memory_mb * 1_000_000 / MEMORY_SHARE if memory_mb > 0 else DEFAULT_HELD_BYTES


class HeldInput(Generic[Holder]):
    """Bytes of unfinished input by holder.

    Parameters
    ----------
    most_bytes
        Bound for all holders together.
    """

    def __init__(self, most_bytes: float = math.inf) -> None:
        self.total_bytes = 0
        """Bytes of all holders that haven't been chosen to be ended."""
        self.kept_bytes = 0
        """Bytes of complete input that is in use."""
        self._most_bytes = most_bytes
        self._held_bytes: dict[Holder, int] = {}

    def hold(self, holder: Holder, held_bytes: int) -> list[Holder]:
        """Record how many bytes a holder has; return the holders to end for it.

        A returned holder no longer counts: it frees its bytes as soon as it runs.
        """
        self.total_bytes += held_bytes - self._held_bytes.get(holder, 0)
        self._held_bytes[holder] = held_bytes
        ended = []
        while self._held_bytes and self.total_bytes + self.kept_bytes > self._most_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self.release(largest)
            ended.append(largest)
        return ended

    def keep(self, holder: Holder) -> int:
        """Record that the input of a holder is complete; return its bytes.

        They still count, until `release_kept`, but the holder is no longer ended for them.
        """
        kept_bytes = self._held_bytes.get(holder, 0)
        self.release(holder)
        self.kept_bytes += kept_bytes
        return kept_bytes

    def keep_bytes(self, kept_bytes: int) -> None:
        """Record bytes of complete input that come into use without a holder."""
        self.kept_bytes += kept_bytes

    def release_kept(self, kept_bytes: int) -> None:
        """Record that bytes of complete input are no longer in use."""
        self.kept_bytes -= kept_bytes

    def release(self, holder: Holder) -> None:
        """Record that a holder has freed its bytes."""
        self.total_bytes -= self._held_bytes.pop(holder, 0)
