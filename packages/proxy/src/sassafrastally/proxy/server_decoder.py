"""Decodes the records of servers ahead of their use, in short steps.

A read of the store brings the records of all servers at once, which takes tens of milliseconds for
some thousand of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.work_steps import STEP_ITEMS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.core import KvEntry, KvEvent
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import BackendServer


class ServerDecoder:
    """Decodes the records of servers.

    Parameters
    ----------
    dialect
        Decodes the documents.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._decoded: dict[tuple[str, bytes], BackendServer | DocumentInvalid] = {}
        """Servers that were decoded ahead, or why they couldn't be, by key and document."""

    async def decode_ahead(self, records: Iterable[KvEntry | KvEvent]) -> None:
        """Decode the records of servers in steps; invalid ones are rejected when they are used."""
        for number, record in enumerate(records, 1):
            if record.value is not None:
                try:
                    server = self._dialect.decode_server(record.key, record.value)
                    self._decoded[record.key, record.value] = server
                except DocumentInvalid as cause:
                    self._decoded[record.key, record.value] = cause
            if number % STEP_ITEMS == 0:
                await trio.lowlevel.checkpoint()

    def decode(self, key: str, value: bytes) -> BackendServer:
        """Return a server; raises `DocumentInvalid`."""
        decoded = self._decoded.get((key, value))
        if decoded is None:
            return self._dialect.decode_server(key, value)
        if isinstance(decoded, DocumentInvalid):
            raise decoded
        return decoded

    def forget_decoded(self) -> None:
        """Forget what was decoded ahead, used or not."""
        self._decoded.clear()
