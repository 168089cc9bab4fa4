"""The ledger of the engine's memory: KV-cache blocks by holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.sidecar.engine import EngineInfo, EngineStream


class Hold(NamedTuple):
    """Blocks held by one stream, export or import."""

    blocks: int
    since_s: float
    orphaned_s: float | None = None
    """When it lost its owner; it stays counted until the engine confirms that it is freed."""
    lapses_at_s: float = float("inf")
    """When an export that was not fetched lapses."""


class Ledger:
    """Blocks of the engine's memory held by each stream id or handle.

    Notes
    -----
    An interrupted run has certainly left the engine only when the engine has confirmed the
    cancellation or no longer lists the stream. Until then its blocks stay counted: allocating
    them again would start work for which the engine has no memory.
    """

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}
        self.block_tokens = 1
        self.total_blocks = 0
        self.held_blocks = 0

    @property
    def free_blocks(self) -> int:
        """Number of blocks that are not held."""
        return max(0, self.total_blocks - self.held_blocks)

    def holds(self, stream_id: str) -> bool:
        """Return whether a stream holds blocks."""
        return stream_id in self._holds

    @property
    def held(self) -> dict[str, Hold]:
        """A copy of the holds, by stream id or handle."""
        return dict(self._holds)

    def blocks_for(self, tokens: int) -> int:
        """Return the number of blocks that a number of tokens takes."""
        return -(-tokens // self.block_tokens)

    def set_engine(self, info: EngineInfo) -> None:
        """Set the block size and memory size that the engine reports."""
        self.block_tokens = max(1, info.block_tokens)
        self.total_blocks = info.total_blocks

    def hold(self, stream_id: str, blocks: int, now_s: float) -> bool:
        """Hold blocks for a run; return whether they were free and the stream held none yet."""
        if blocks > self.free_blocks or stream_id in self._holds:
            return False
        self._put(stream_id, Hold(blocks, now_s))
        return True

    def hold_export(self, handle: str, blocks: int, now_s: float, lapse_s: float) -> None:
        """Hold the blocks of an export until it is freed or lapses."""
        self.free(handle)
        self._put(handle, Hold(blocks, now_s, lapses_at_s=now_s + lapse_s))

    def free(self, stream_id: str) -> None:
        """Remove a hold whose memory is certainly free on the engine."""
        if (hold := self._holds.pop(stream_id, None)) is not None:
            self.held_blocks -= hold.blocks

    def mark_orphaned(self, stream_id: str, now_s: float) -> None:
        """Mark a hold as ownerless; it stays counted until the engine has freed it."""
        if (hold := self._holds.get(stream_id)) is not None:
            self._holds[stream_id] = hold._replace(orphaned_s=now_s)

    def drop_held_before(self, since_s: float) -> list[str]:
        """Drop all holds made before a time, when the engine has restarted; return their names."""
        dropped = [name for name, hold in self._holds.items() if hold.since_s < since_s]
        for name in dropped:
            self.free(name)
        return dropped

    def find_orphans(self, listed: Iterable[EngineStream], now_s: float) -> list[EngineStream]:
        """Return the listed streams without an owner; the sidecar is the engine's only client."""
        return [stream for stream in listed if not self._is_owned(stream.stream_id, now_s)]

    def free_missing(self, listed: Iterable[EngineStream], requested_s: float) -> None:
        """Free the orphaned holds that the engine no longer lists.

        Only holds orphaned before the list was requested are freed: a run that was started and
        interrupted while the list was in transit is missing from it but may still hold memory.
        """
        present = {stream.stream_id for stream in listed}
        for name, hold in self.held.items():
            if _is_before(hold.orphaned_s, requested_s) and name not in present:
                self.free(name)

    def _put(self, stream_id: str, hold: Hold) -> None:
        self._holds[stream_id] = hold
        self.held_blocks += hold.blocks

    def _is_owned(self, stream_id: str, now_s: float) -> bool:
        hold = self._holds.get(stream_id)
        return hold is not None and hold.orphaned_s is None and now_s < hold.lapses_at_s


def _is_before(moment_s: float | None, limit_s: float) -> bool:
    return moment_s is not None and moment_s < limit_s
