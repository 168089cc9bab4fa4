"""Watching the KV service for a data centre: few processes do, by lease.

A waiting watch counts as a call, so not every process can have one. The lease only saves calls: a
holder that was frozen and watches beside its successor does no harm, since whatever it hears is
verified and only a higher generation is taken.
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
    """Who is told what the KV service says."""

    def on_kv_head(self, data: bytes | None) -> None:
        """Take the head's bytes; ``None`` when there is none."""
        ...

    def on_kv_signature(self, digest: str, data: bytes) -> None:
        """Take a new signature over a digest."""
        ...


class _Claim(NamedTuple):
    """A watcher's place in its data centre."""

    place: int
    lease_id: int
    revision: int


class Watcher:
    """Claims one of the data centre's places and watches while it holds it.

    Parameters
    ----------
    kernel
        The process.
    kv
        The KV service.
    settings
        Number of places and times.
    listener
        Who is told.
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
        """Look for a free place again and again, and watch while there is one."""
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
            await self._hold(claim)
            wait_s = FIRST_ATTEMPT_S

    async def read_head(self) -> None:
        """Read the head once and tell the listener; raises `KvUnavailable`."""
        entry = await self._kv.get(HEAD, purpose=PURPOSE_SPREAD)
        self._listener.on_kv_head(entry.value if entry else None)

    async def _claim(self) -> _Claim | None:
        """Take a free place; ``None`` when all are taken, after a look at the head.

        The look bounds how long a process stays behind whose every peer holds the news back.
        """
        data_centre = self._kernel.data_centre
        places = await self._kv.get_prefix(watcher_prefix(data_centre), purpose=PURPOSE_SPREAD)
        taken = {entry.key for entry in places}
        free = [
            index
            for index in range(self._settings.watchers_per_data_centre)
            if watcher_key(data_centre, index) not in taken
        ]
        if not free:
            await self.read_head()
            return None
        index = free[0]
        lease_id = await self._kv.grant_lease(
            self._settings.watcher_lease_s, purpose=PURPOSE_SPREAD
        )
        write = KvWrite(
            watcher_key(data_centre, index),
            self._kernel.vm.encode(),
            expected_revision=0,
            lease_id=lease_id,
        )
        revision = await self._kv.write([write], purpose=PURPOSE_SPREAD)
        return _Claim(index, lease_id, revision)

    async def _hold(self, claim: _Claim) -> None:
        data_centre = self._kernel.data_centre
        self._kernel.events.emit(BundleWatchStarted(data_centre, claim.place))
        self.is_watching = True
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, claim)
                reason = await self._keep(claim)
                nursery.cancel_scope.cancel()
        finally:
            self.is_watching = False
        self._kernel.events.emit(BundleWatchEnded(data_centre, reason))

    async def _keep(self, claim: _Claim) -> str:
        """Renew the lease until it is lost; return why it ended."""
        interval_s = self._settings.watcher_lease_s / RENEWALS_PER_LEASE
        renewed_s = trio.current_time()
        while True:
            await trio.sleep(interval_s)
            asked_s = trio.current_time()
            try:
                await self._kv.keep_lease(claim.lease_id, purpose=PURPOSE_SPREAD)
                renewed_s = asked_s
            except LeaseLost as lost:
                return lost.detail
            except (KvUnavailable, MaybeApplied) as failed:
                if trio.current_time() - renewed_s > self._settings.watcher_lease_s:
                    return failed.detail

    async def _watch(self, claim: _Claim) -> None:
        """Watch head and signatures; after a cut read the head again and watch anew."""
        revision = claim.revision
        while True:
            try:
                async with self._kv.watch(
                    LIVE, from_revision=revision + 1, purpose=PURPOSE_SPREAD
                ) as events:
                    # The head is read after the watch stands: nothing falls between the two.
                    await self.read_head()
                    async for event in events:
                        revision = max(revision, event.mod_revision)
                        self._tell(event)
            except KvUnavailable:
                await trio.sleep(self._kernel.random.uniform(0.0, REOPEN_S))

    def _tell(self, event: KvEvent) -> None:
        if event.value is None:
            return
        if event.key == HEAD:
            self._listener.on_kv_head(event.value)
        elif event.key.startswith(SIGNATURES):
            digest = event.key.removeprefix(SIGNATURES).partition("/")[0]
            self._listener.on_kv_signature(digest, event.value)
