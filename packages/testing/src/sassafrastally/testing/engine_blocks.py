"""KV-cache blocks of the model engine: holdings, shared prefix blocks and their eviction."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

HASH_BYTES = 8


def prefix_hashes(text: bytes, block_bytes: int, limit: int | None = None) -> list[int]:
    """Return the rolling hashes of a text's full blocks, shortest prefix first.

    Parameters
    ----------
    text
        The prompt.
    block_bytes
        Bytes in one block.
    limit
        Most hashes; all full blocks by default.
    """
    count = len(text) // block_bytes
    if limit is not None:
        count = min(count, limit)
    rolling = blake2b(digest_size=HASH_BYTES)
    hashes = []
    for start in range(0, count * block_bytes, block_bytes):
        rolling.update(text[start : start + block_bytes])
        hashes.append(int.from_bytes(rolling.digest(), "big"))
    return hashes


class Holding:
    """Blocks that one run, export or import holds."""

    __slots__ = ("private", "shared")

    def __init__(self, shared: list[int], private: int) -> None:
        self.shared = shared
        """Hashes of blocks that others may hold too."""
        self.private = private
        """Blocks that are this holder's alone."""

    @property
    def blocks(self) -> int:
        """All blocks of the holding."""
        return len(self.shared) + self.private


class BlockMemory:
    """Block memory of one life of an engine.

    A block that only caches a prefix is free: it is evicted, least recently used first, when
    room is needed.

    Parameters
    ----------
    total_blocks
        Size of the memory.
    on_change
        Is told ``stored`` or ``removed`` with the hash of a prefix block.
    """

    def __init__(self, total_blocks: int, on_change: Callable[[str, int], None]) -> None:
        self.total_blocks = total_blocks
        self._on_change = on_change
        self._private = 0
        self._references: dict[int, int] = {}
        self._idle: OrderedDict[int, None] = OrderedDict()

    @property
    def free_blocks(self) -> int:
        """Blocks that no holding has."""
        return self.total_blocks - self._private - len(self._references)

    @property
    def cached_blocks(self) -> int:
        """Free blocks that cache a prefix."""
        return len(self._idle)

    def hits(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are in memory."""
        for count, value in enumerate(hashes):
            if value not in self._references and value not in self._idle:
                return count
        return len(hashes)

    def hold(self, hashes: Sequence[int], blocks: int) -> Holding | None:
        """Take blocks, the leading ones shared where they are in memory.

        Returns
        -------
        Holding or None
            ``None`` when there is no room; nothing is taken then.
        """
        shared = list(hashes[: min(self.hits(hashes), blocks)])
        idle_hits = sum(value in self._idle for value in shared)
        private = blocks - len(shared)
        if private + idle_hits > self.free_blocks:
            return None
        for value in shared:
            self._idle.pop(value, None)
            self._references[value] = self._references.get(value, 0) + 1
        self._private += private
        self._evict()
        return Holding(shared, private)

    def publish(self, holding: Holding, hashes: Sequence[int]) -> None:
        """Make a holding's prefilled blocks known to the prefix cache."""
        for value in hashes[len(holding.shared) :]:
            if value in self._references or value in self._idle or not holding.private:
                return  # Another run computed the same blocks meanwhile; these stay private.
            self._references[value] = 1
            self._private -= 1
            holding.private -= 1
            holding.shared.append(value)
            self._on_change("stored", value)

    def release(self, holding: Holding) -> None:
        """Give a holding's blocks back; its prefix blocks stay as cache."""
        for value in reversed(holding.shared):
            count = self._references[value] - 1
            if count:
                self._references[value] = count
            else:
                del self._references[value]
                self._idle[value] = None
        self._private -= holding.private
        holding.shared = []
        holding.private = 0

    def _evict(self) -> None:
        while self._private + len(self._references) + len(self._idle) > self.total_blocks:
            value, _ = self._idle.popitem(last=False)
            self._on_change("removed", value)
