"""KV exports and imports of the model engine."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.sidecar.engine import EngineRefused, EngineStream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.testing.engine_blocks import BlockMemory, Holding

REMOTE_BLOCKS_PER_BLOCK = 64
"""Blocks of an import that cost the importing engine one block: the rest stays with the source."""


class Export(NamedTuple):
    """A KV cache under a handle."""

    kind: str
    """``export`` or ``import``."""
    holding: Holding
    tokens: int


class Exports:
    """The handles of one life of an engine.

    Parameters
    ----------
    memory
        The engine's blocks.
    """

    def __init__(self, memory: BlockMemory) -> None:
        self._memory = memory
        self._exports: dict[str, Export] = {}

    def add(self, handle: str, kind: str, holding: Holding, tokens: int) -> None:
        """Keep a holding under a handle.

        Raises
        ------
        EngineRefused
            When the handle is in use; the holding is released then.
        """
        if handle in self._exports:
            self._memory.release(holding)
            raise EngineRefused(f"handle {handle} is in use")
        self._exports[handle] = Export(kind, holding, tokens)

    def add_import(self, handle: str, blocks: int, tokens: int) -> None:
        """Hold another engine's export under its handle.

        Raises
        ------
        EngineRefused
            When the handle is in use or there is no room.
        """
        holding = self._memory.hold((), math.ceil(blocks / REMOTE_BLOCKS_PER_BLOCK))
        if holding is None:
            raise EngineRefused(f"no room for the import of {handle}")
        self.add(handle, "import", holding, tokens)

    def get(self, handle: str) -> Export | None:
        """Return the export of a handle."""
        return self._exports.get(handle)

    def free(self, handle: str) -> bool:
        """Free a handle's blocks; return whether it was known."""
        export = self._exports.pop(handle, None)
        if export is None:
            return False
        self._memory.release(export.holding)
        return True

    def tokens_of(self, handles: Iterable[str]) -> int:
        """Return the tokens that handles cover together.

        Raises
        ------
        EngineRefused
            When one is unknown.
        """
        total = 0
        for handle in handles:
            export = self._exports.get(handle)
            if export is None:
                raise EngineRefused(f"no export or import under the handle {handle}")
            total += export.tokens
        return total

    def streams(self) -> list[EngineStream]:
        """Return the handles as holders of memory."""
        return [
            EngineStream(handle, export.kind, export.holding.blocks)
            for handle, export in self._exports.items()
        ]
