"""Watches the KV service on behalf of a data centre: a few processes do so, each under a lease.

An open watch counts as a call, so not every process can have one. The lease only saves calls: a
holder that was suspended and watches at the same time as its successor is harmless, because every
head is verified and only a higher generation is accepted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from sassafrastally.control.bundle_events import BundleWatchEnded, BundleWatchStarted
from sassafrastally.control.keys import (
    HEAD,
    LIVE,
    PURPOSE_SPREAD,
    SIGNATURES,
    watcher_key,
    watcher_prefix,
)
from sassafrastally.core.kv import KvConflict, KvUnavailable, KvWrite, LeaseLost, MaybeApplied

if TYPE_CHECKING:
    from sassafrastally.control.signing import BundleSettings
    from sassafrastally.core import Kernel
    from sassafrastally.core.kv import Kv, KvEvent

FIRST_ATTEMPT_S = 1.0
RETRY_CAP_S = 5.0
REOPEN_S = 0.5
RENEWALS_PER_LEASE = 3


class Listener(Protocol):
    """Receiver of the watched values."""

    def on_kv_head(self, data: bytes | None, revision: int) -> None:
        """Handle the head's bytes and revision; ``None`` if there is no head."""
        ...

    def on_kv_signature(self, digest: str, data: bytes) -> None:
        """Handle a new signature over a digest."""
        ...


class _Claim(NamedTuple):
    """A watcher slot of a data centre, held under a lease."""

    place: int
    lease_id: int
    revision: int


class Watcher:
    """Claims one of the data centre's watcher slots and watches the KV service while it holds it.

    Parameters
    ----------
    kernel
        The process.
    kv
        The KV service.
    settings
        Number of slots, and times.
    listener
        Receives the head and new signatures.
    """

    def __init__(
        self, kernel: Kernel, kv: Kv, settings: BundleSettings, listener: Listener
    ) -> None:
        self.is_watching = False
        self._kernel = kernel
        self._kv = kv
        self._settings = settings
        self._listener = listener

    async def run(self) -> None:
        """Try periodically to claim a free slot, and watch while holding one."""
        wait_s = FIRST_ATTEMPT_S
        while True:
            await trio.sleep(self._kernel.random.uniform(0.0, wait_s))
            try:
                claim = await self._claim()
            except (KvUnavailable, MaybeApplied, KvConflict, LeaseLost):
                wait_s = min(wait_s * 2, RETRY_CAP_S)
                continue
            if claim is None:
                wait_s = 2 * self._settings.watch_attempt_s
                continue
            await self._watch_under_lease(claim)
            wait_s = FIRST_ATTEMPT_S

    async def read_head(self) -> None:
        """Read the head once and pass it to the listener; raises `KvUnavailable`."""
        entry = await self._kv.get(HEAD, purpose=PURPOSE_SPREAD)
        if entry is None:
            self._listener.on_kv_head(None, 0)
        else:
            self._listener.on_kv_head(entry.value, entry.mod_revision)

    async def _claim(self) -> _Claim | None:
        """Claim a free slot; if there is none, read the head and return ``None``.

        Reading the head bounds how long a process stays outdated when all its peers withhold new
        heads.
        """
        data_centre = self._kernel.data_centre
        entries = await self._kv.get_prefix(watcher_prefix(data_centre), purpose=PURPOSE_SPREAD)
        # A claim always has a lease; an entry without one is of another writer and never expires.
        taken = {entry.key for entry in entries if entry.lease_id}
        revisions = {entry.key: entry.mod_revision for entry in entries}
        free_slots = [
            index
            for index in range(self._settings.watchers_per_data_centre)
            if watcher_key(data_centre, index) not in taken
        ]
        if not free_slots:
            await self.read_head()
            return None
        index = free_slots[0]
        lease_id = await self._kv.grant_lease(
            self._settings.watcher_lease_s, purpose=PURPOSE_SPREAD
        )
        key = watcher_key(data_centre, index)
        write = KvWrite(key, self._kernel.vm.encode(), revisions.get(key, 0), lease_id)
        revision = await self._kv.write([write], purpose=PURPOSE_SPREAD)
        return _Claim(index, lease_id, revision)

    async def _watch_under_lease(self, claim: _Claim) -> None:
        data_centre = self._kernel.data_centre
        self._kernel.events.emit(BundleWatchStarted(data_centre, claim.place))
        self.is_watching = True
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, claim)
                reason = await self._renew_lease(claim)
                nursery.cancel_scope.cancel()
        finally:
            self.is_watching = False
        self._kernel.events.emit(BundleWatchEnded(data_centre, reason))

    async def _renew_lease(self, claim: _Claim) -> str:
        """Renew the lease until it is lost; return the reason."""
        interval_s = self._settings.watcher_lease_s / RENEWALS_PER_LEASE
        renewed_s = trio.current_time()
        while True:
            await trio.sleep(interval_s)
            sent_s = trio.current_time()
            try:
                await self._kv.keep_lease(claim.lease_id, purpose=PURPOSE_SPREAD)
                renewed_s = sent_s
            except LeaseLost as lost:
                return lost.detail
            except (KvUnavailable, MaybeApplied) as failed:
                if trio.current_time() - renewed_s > self._settings.watcher_lease_s:
                    return failed.detail

    async def _watch(self, claim: _Claim) -> None:
        """Watch the head and signatures; when the watch fails, reopen it and reread the head."""
        revision = claim.revision
        while True:
            try:
                async with self._kv.watch(
                    LIVE, from_revision=revision + 1, purpose=PURPOSE_SPREAD
                ) as events:
                    # Reading the head after the watch is open ensures that no change is missed.
                    await self.read_head()
                    async for event in events:
                        revision = max(revision, event.mod_revision)
                        self._dispatch(event)
            except KvUnavailable:
                await trio.sleep(self._kernel.random.uniform(0.0, REOPEN_S))

    def _dispatch(self, event: KvEvent) -> None:
        if event.value is None:
            return
        if event.key == HEAD:
            self._listener.on_kv_head(event.value, event.mod_revision)
        elif event.key.startswith(SIGNATURES):
            digest = event.key.removeprefix(SIGNATURES).partition("/")[0]
            self._listener.on_kv_signature(digest, event.value)
