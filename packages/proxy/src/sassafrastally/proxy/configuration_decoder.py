"""Decodes configurations in short steps, between which other tasks run.

The largest configurations take tens of milliseconds of processor time, several times that on an
entry with a part of a core. Timeouts of all requests would pass meanwhile.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, TypeVar

import trio

from sassafrastally.proxy.dialect import DocumentInvalid

if TYPE_CHECKING:
    from collections.abc import Generator

    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import Configuration

T = TypeVar("T")


class ConfigurationDecoder:
    """Decodes configurations, ahead of their use where the caller can wait.

    Parameters
    ----------
    dialect
        Decodes the documents.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._decoded: dict[bytes, Configuration] = {}
        """Configurations that were decoded ahead, by their documents."""

    async def decode_ahead(self, value: bytes) -> None:
        """Decode a document in steps; one that is invalid is rejected when it is used."""
        with suppress(DocumentInvalid):
            self._decoded[value] = await run_steps(self._dialect.configuration_steps(value))

    def decode(self, value: bytes) -> Configuration:
        """Return a configuration; raises `DocumentInvalid`."""
        decoded = self._decoded.get(value)
        return self._dialect.decode_configuration(value) if decoded is None else decoded

    def forget_decoded(self) -> None:
        """Forget what was decoded ahead, used or not."""
        self._decoded.clear()


async def run_steps(steps: Generator[None, None, T]) -> T:
    """Run a generator to its end, with a checkpoint after each step; return its value."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            value: T = end.value
            return value
        await trio.lowlevel.checkpoint()
