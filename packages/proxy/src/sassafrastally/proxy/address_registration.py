"""Registers an entry's address in the store, so that starting entries can discover their peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core import KvUnavailable, LeaseLost, MaybeApplied, is_ip_address
from sassafrastally.core.kv import KvConflict, KvWrite
from sassafrastally.proxy.log_events import DocumentRejected, StoreLost
from sassafrastally.proxy.store import Lease

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.core import Kernel, KvEntry, KvEvent
    from sassafrastally.proxy.cluster_state import ClusterState
    from sassafrastally.proxy.peer_table import PeerTable
    from sassafrastally.proxy.settings import ProxySettings
    from sassafrastally.proxy.store import Store

ADDRESS_LEASE_S = 60.0
"""Lease of an entry's address in the store. The address only serves discovery at start; liveness is
determined by datagrams, so the lease can be long."""


class AddressRegistration:
    """Keeps an entry's address in the store and reads those of the others.

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
    cluster_state
        Local view of the store, for the log.
    table
        Receives the addresses.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: ProxySettings,
        store: Store,
        prefix: str,
        cluster_state: ClusterState,
        table: PeerTable,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._store = store
        self._prefix = prefix
        self._key = prefix + settings.host
        self._cluster_state = cluster_state
        self._table = table
        self._snapshot_read = trio.Event()
        self._lease: Lease | None = None

    def record_entries(self, entries: Iterable[KvEntry | KvEvent]) -> None:
        """Add the addresses found in store entries to the peer table."""
        now_s = self._kernel.clock.now_s()
        for entry in entries:
            if entry.key.startswith(self._prefix) and entry.value is not None:
                host = entry.key.removeprefix(self._prefix)
                if not is_ip_address(host):
                    # Other writers can put entries under the same prefix.
                    problem = "its name is not an IP address"
                    event = DocumentRejected(entry.key, entry.mod_revision, "store", problem)
                    self._cluster_state.rejected_documents.record(self._kernel, event)
                    continue
                self._table.add_address(host, entry.value.decode(errors="replace"), now_s)

    def record_snapshot(self, entries: Sequence[KvEntry], epoch: int) -> None:
        """Read the addresses from a full snapshot of an epoch, this entry's own included.

        A process that restarts within a minute finds its earlier address and renews that lease.
        This takes one call that costs as much as a read, instead of a new lease and a write.
        """
        self.record_entries(entries)
        for entry in entries:
            if entry.key == self._key and entry.lease_id and not self._snapshot_read.is_set():
                self._lease = Lease(entry.lease_id, epoch)
        self._snapshot_read.set()

    async def run(self) -> None:
        """Keep the address in the store until cancelled.

        If two entries start together and both read before either has written, they discover each
        other through the watch, which starts after the read.
        """
        await self._snapshot_read.wait()
        pause_s = 0.1
        while True:
            try:
                if self._lease is None or self._lease.epoch < self._cluster_state.position.epoch:
                    self._lease = await self._write_address()
                else:
                    await self._store.keep_lease(self._lease)
                pause_s = ADDRESS_LEASE_S / 3
            except (LeaseLost, KvConflict):
                self._lease, pause_s = None, 0.1
            except (KvUnavailable, MaybeApplied) as cause:
                self._record_store_lost(cause)
                pause_s = min(ADDRESS_LEASE_S / 6, 2 * pause_s)
            await trio.sleep(pause_s * self._kernel.random.uniform(0.7, 1.0))

    async def _write_address(self) -> Lease:
        lease = await self._store.grant_lease(ADDRESS_LEASE_S)
        any_revision = -1
        value = self._settings.data_centre.encode()
        await self._store.write([KvWrite(self._key, value, any_revision, lease.lease_id)], lease)
        return lease

    def _record_store_lost(self, cause: Exception) -> None:
        age_s = self._kernel.clock.now_s() - self._cluster_state.confirmed_s
        self._kernel.events.emit(
            StoreLost(
                "announce",
                str(cause),
                self._cluster_state.position.revision,
                round(min(age_s, 1e6), 3),
            )
        )
