"""An entry's address in the store, by which those that start find the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core import KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.core.kv import KvConflict, KvWrite
from sassafrastally.proxy.log_events import StoreLost

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.proxy.beliefs import Beliefs
    from sassafrastally.proxy.peer_table import PeerTable
    from sassafrastally.proxy.settings import ProxySettings
    from sassafrastally.proxy.store import Store

ANNOUNCED_S = 60.0
"""Lease of an entry's address in the store. It only serves those that start; liveness shows by
datagrams, so it need not be short."""


class Announcing:
    """Writes an entry's address and learns those of the others.

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
        self._beliefs = beliefs
        self._table = table

    async def run(self) -> None:
        """Keep the address in the store, until cancelled."""
        pause_s = 0.1
        lease_id = 0
        while True:
            try:
                if lease_id == 0:
                    # Written before the others are read: of two entries that start together, the
                    # one that writes last then finds the other.
                    lease_id = await self._write_address()
                    await self._learn()
                else:
                    await self._store.keep_lease(lease_id)
                pause_s = ANNOUNCED_S / 3
            except (LeaseLost, KvConflict):
                lease_id, pause_s = 0, 0.1
            except (KvUnavailable, MaybeApplied) as cause:
                self._note_store_lost(cause)
                pause_s = min(ANNOUNCED_S / 6, 2 * pause_s)
            await trio.sleep(pause_s * self._kernel.random.uniform(0.7, 1.0))

    async def _learn(self) -> None:
        now_s = self._kernel.clock.now_s()
        for entry in (await self._store.read_prefix(self._prefix)).entries:
            data_centre = entry.value.decode(errors="replace")
            self._table.know(entry.key.removeprefix(self._prefix), data_centre, now_s)

    async def _write_address(self) -> int:
        key = self._prefix + self._settings.host
        lease_id = await self._store.grant_lease(ANNOUNCED_S)
        any_revision = -1
        await self._store.write(
            [KvWrite(key, self._settings.data_centre.encode(), any_revision, lease_id)]
        )
        return lease_id

    def _note_store_lost(self, cause: Exception) -> None:
        age_s = self._kernel.clock.now_s() - self._beliefs.confirmed_s
        self._kernel.events.emit(
            StoreLost("announce", str(cause), self._beliefs.revision, round(min(age_s, 1e6), 3))
        )
