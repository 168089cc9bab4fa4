"""Unfinished input of an engine's runs, within one budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import trio

from sassafrastally.core.held_input import HeldInput
from sassafrastally.sidecar.engine import EngineFailed

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_HELD_BYTES = 32_000_000
"""Bound of the documents and events of all runs of an engine that aren't complete, and of the
documents being relayed. Four of the longest documents fit."""


class RunInput:
    """Input of one run.

    Over the budget, the largest unfinished input fails its run, so that answers without end don't
    displace those of sound runs.

    Parameters
    ----------
    pieces
        What the engine sends.
    budget
        Budget of all runs.
    """

    def __init__(self, pieces: AsyncIterator[bytes], budget: HeldInput[RunInput]) -> None:
        self._pieces = pieces
        self._budget = budget
        self._kept_bytes = 0
        self._is_ended = False
        self._read_scope = trio.CancelScope()

    async def next_piece(self) -> bytes | None:
        """Return the next piece, ``None`` after the last one.

        Raises
        ------
        EngineFailed
            When the connection breaks or the input has to give way.
        """
        try:
            if not self._is_ended:
                with trio.CancelScope() as self._read_scope:
                    return await anext(self._pieces, None)
        except httpx.HTTPError as cause:
            raise EngineFailed(f"the answer broke off: {cause!r}") from cause
        raise EngineFailed("too many bytes of unfinished answers were held")

    def hold(self, held_bytes: int) -> None:
        """Record the size of what isn't complete."""
        for largest in self._budget.hold(self, held_bytes):
            largest.end()

    def keep(self) -> None:
        """Record that what was held is complete; it counts until `release`."""
        self._kept_bytes += self._budget.keep(self)

    def end(self) -> None:
        """Stop reading."""
        self._is_ended = True
        self._read_scope.cancel()

    def release(self) -> None:
        """Record that nothing is held any more."""
        self._budget.release(self)
        self._budget.release_kept(self._kept_bytes)
        self._kept_bytes = 0
