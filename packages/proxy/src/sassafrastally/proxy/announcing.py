"""An entry's address in the store, by which those that start find the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core import KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.core.kv import KvConflict, KvWrite
from sassafrastally.proxy.log_events import StoreLost

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.core import Kernel, KvEntry, KvEvent
    from sassafrastally.proxy.beliefs import Beliefs
    from sassafrastally.proxy.peer_table import PeerTable
    from sassafrastally.proxy.settings import ProxySettings
    from sassafrastally.proxy.store import Store

ANNOUNCED_S = 60.0
"""Lease of an entry's address in the store. It only serves those that start; liveness shows by
datagrams, so it need not be short."""


class Announcing:
    """Keeps an entry's address in the store, and takes those of the others from there.

    Parameters
    ----------
    kernel
        Clock, random source and log.
    settings
        The entry's own address.
    store
        The store.
    prefix
        Prefix of the entries' keys.
    beliefs
        What is known of the store, for the log.
    table
        Where the addresses go.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: ProxySettings,
        store: Store,
        prefix: str,
        beliefs: Beliefs,
        table: PeerTable,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._store = store
        self._prefix = prefix
        self._key = prefix + settings.host
        self._beliefs = beliefs
        self._table = table
        self._has_read = trio.Event()
        self._lease_id = 0

    def note_entries(self, entries: Iterable[KvEntry | KvEvent]) -> None:
        """Take addresses from what was read of the store."""
        now_s = self._kernel.clock.now_s()
        for entry in entries:
            if entry.key.startswith(self._prefix) and entry.value is not None:
                host = entry.key.removeprefix(self._prefix)
                self._table.know(host, entry.value.decode(errors="replace"), now_s)

    def note_snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Take everything that stands in the store, this entry's own address too.

        A process that starts again within a minute finds the one that it wrote before, and renews
        its lease: one call at the price of a read, where a new lease and a write are two.
        """
        self.note_entries(entries)
        for entry in entries:
            if entry.key == self._key and not self._has_read.is_set():
                self._lease_id = entry.lease_id
        self._has_read.set()

    async def run(self) -> None:
        """Keep the address in the store, until cancelled.

        Of two entries that start together and both read before either wrote, each finds the other
        by the watch, which they begin only after their reading.
        """
        await self._has_read.wait()
        pause_s = 0.1
        while True:
            try:
                if self._lease_id == 0:
                    self._lease_id = await self._write_address()
                else:
                    await self._store.keep_lease(self._lease_id)
                pause_s = ANNOUNCED_S / 3
            except (LeaseLost, KvConflict):
                self._lease_id, pause_s = 0, 0.1
            except (KvUnavailable, MaybeApplied) as cause:
                self._note_store_lost(cause)
                pause_s = min(ANNOUNCED_S / 6, 2 * pause_s)
            await trio.sleep(pause_s * self._kernel.random.uniform(0.7, 1.0))

    async def _write_address(self) -> int:
        lease_id = await self._store.grant_lease(ANNOUNCED_S)
        any_revision = -1
        value = self._settings.data_centre.encode()
        await self._store.write([KvWrite(self._key, value, any_revision, lease_id)])
        return lease_id

    def _note_store_lost(self, cause: Exception) -> None:
        age_s = self._kernel.clock.now_s() - self._beliefs.confirmed_s
        self._kernel.events.emit(
            StoreLost("announce", str(cause), self._beliefs.revision, round(min(age_s, 1e6), 3))
        )
