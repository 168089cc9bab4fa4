"""The ledger of the engine's memory: who holds which KV-cache blocks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.sidecar.engine import EngineInfo, EngineStream


class Hold(NamedTuple):
    """Blocks that one stream or export holds."""

    blocks: int
    since_s: float
    disowned_s: float | None = None
    """Since when nobody wants it and the engine's word that it is gone is awaited."""
    lapses_at_s: float = float("inf")
    """When nobody fetches an export any more."""


class Ledger:
    """Blocks by stream id, as promised to the engine's memory.

    Notes
    -----
    A run that was cut is certainly off the engine only when the engine has confirmed the
    cancellation or no longer lists the stream. Until then its blocks stay counted: handing them
    out again would start work that the engine has no memory for.
    """

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}
        self.block_tokens = 1
        self.total_blocks = 0
        self.held_blocks = 0

    @property
    def free_blocks(self) -> int:
        """Blocks that nobody holds."""
        return max(0, self.total_blocks - self.held_blocks)

    def holds(self, stream_id: str) -> bool:
        """Return whether a stream holds blocks."""
        return stream_id in self._holds

    @property
    def held(self) -> dict[str, Hold]:
        """A copy of the holds by stream id."""
        return dict(self._holds)

    def blocks_for(self, tokens: int) -> int:
        """Return the blocks that so many tokens take."""
        return -(-tokens // self.block_tokens)

    def set_engine(self, info: EngineInfo) -> None:
        """Take over the engine's sizes."""
        self.block_tokens = max(1, info.block_tokens)
        self.total_blocks = info.total_blocks

    def hold(self, stream_id: str, blocks: int, now_s: float) -> bool:
        """Hold blocks for a run; return whether they were free."""
        if blocks > self.free_blocks or stream_id in self._holds:
            return False
        self._put(stream_id, Hold(blocks, now_s))
        return True

    def hold_export(self, handle: str, blocks: int, now_s: float, lapse_s: float) -> None:
        """Hold the blocks of an export until it is freed or nobody has fetched it in time."""
        self.free(handle)
        self._put(handle, Hold(blocks, now_s, lapses_at_s=now_s + lapse_s))

    def free(self, stream_id: str) -> None:
        """Free a hold whose memory is certainly free on the engine."""
        if (hold := self._holds.pop(stream_id, None)) is not None:
            self.held_blocks -= hold.blocks

    def disown(self, stream_id: str, now_s: float) -> None:
        """Keep a hold counted that has no owner any more, until the sweep has seen it gone."""
        if (hold := self._holds.get(stream_id)) is not None:
            self._holds[stream_id] = hold._replace(disowned_s=now_s)

    def empty_before(self, since_s: float) -> list[str]:
        """Drop all holds made before a time, because that engine's life is over; return them."""
        gone = [name for name, hold in self._holds.items() if hold.since_s < since_s]
        for name in gone:
            self.free(name)
        return gone

    def without_owner(self, listed: Iterable[EngineStream], now_s: float) -> list[EngineStream]:
        """Return what the engine holds for nobody: the sidecar is the only one who talks to it."""
        return [stream for stream in listed if not self._is_owned(stream.stream_id, now_s)]

    def settle_missing(self, listed: Iterable[EngineStream], asked_s: float) -> None:
        """Free the holds without owner that the engine no longer lists.

        Only what was without owner before the list was asked for: a run that began and was cut
        while the list was on its way isn't on it and yet may hold memory.
        """
        present = {stream.stream_id for stream in listed}
        for name, hold in self.held.items():
            if _is_before(hold.disowned_s, asked_s) and name not in present:
                self.free(name)

    def _put(self, stream_id: str, hold: Hold) -> None:
        self._holds[stream_id] = hold
        self.held_blocks += hold.blocks

    def _is_owned(self, stream_id: str, now_s: float) -> bool:
        hold = self._holds.get(stream_id)
        return hold is not None and hold.disowned_s is None and now_s < hold.lapses_at_s


def _is_before(moment_s: float | None, limit_s: float) -> bool:
    return moment_s is not None and moment_s < limit_s
