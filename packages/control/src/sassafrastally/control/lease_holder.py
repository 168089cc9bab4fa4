"""Leader election for a task by a lease in the KV service, with fencing numbers.

Notes
-----
The lease alone doesn't ensure mutual exclusion: a holder that was suspended past its lease may
still act for a moment. Receivers of its orders therefore compare fencing numbers, and every write
of the holder to the KV service is conditional on the fence key, which the next holder's first write
changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.control.canonical import BadEncoding, canonical_bytes, load_object
from sassafrastally.control.rules import MAX_INTEGER
from sassafrastally.core import CodedError, error, time_limit
from sassafrastally.core.kv import KvConflict, KvUnavailable, KvWrite, LeaseLost, MaybeApplied
from sassafrastally.core.settings import check_table
from sassafrastally.stores.readback import write_with_readback

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.core import Kernel
    from sassafrastally.core.kv import Kv, KvEntry

RENEWALS_PER_LEASE = 3
MAX_FENCE_BYTES = 1024
TOKEN_BITS = 64
REVOKE_TIME_LIMIT_S = 2.0

_KV_ERRORS = (KvUnavailable, MaybeApplied, KvConflict, LeaseLost)


@error(4400)
class TenureOver(CodedError):
    """The holder's lease has expired or another holder took over; it must stop acting."""


class Fence(NamedTuple):
    """Value of the fence key."""

    number: int
    """Fencing number of the last holder; increases monotonically."""
    vm: str
    """VM of the last holder, for diagnosis."""
    token: str
    """Identifies the last write, so that its writer recognizes it after a lost response."""


class HolderKeys(NamedTuple):
    """Keys and KV call budget of one task."""

    fence: str
    """Key of the fence; it is never deleted."""
    holder: str
    """Key attached to the holder's lease."""
    purpose: str
    """Purpose under which KV calls are budgeted."""


def encode_fence(fence: Fence) -> bytes:
    """Encode the value of a fence key."""
    return canonical_bytes(fence._asdict())


def decode_fence(data: bytes) -> Fence:
    """Decode the value of a fence key; raises `BadEncoding`."""
    fence, problems = check_table(load_object(data, MAX_FENCE_BYTES, "fence"), Fence)
    if fence is None:
        raise BadEncoding(f"fence: {problems[0]}")
    if not 0 <= fence.number < MAX_INTEGER:
        raise BadEncoding("the fencing number is out of range")
    return fence


class Tenure:
    """One holder's term under one fencing number; created by `LeaseHolder.acquire`.

    Parameters
    ----------
    kernel
        The process.
    kv
        The KV service.
    keys
        Keys of the task.
    fence
        The fencing number.
    lease_id
        ID of the lease.
    lease_s
        Time to live of the lease.
    """

    def __init__(
        self, kernel: Kernel, kv: Kv, keys: HolderKeys, fence: int, lease_id: int, lease_s: float
    ) -> None:
        self.fence = fence
        self.lease_id = lease_id
        self._kernel = kernel
        self._kv = kv
        self._keys = keys
        self._lease_s = lease_s
        self._valid_until_s = 0.0
        self._revision = 0
        self._ended = ""

    @property
    def margin_s(self) -> float:
        """Time before the lease's expiry at which the holder stops acting."""
        return self._lease_s / (2 * RENEWALS_PER_LEASE)

    def confirm(self, sent_s: float) -> None:
        """Record that the lease was granted or renewed by a call sent at the given time."""
        self._valid_until_s = sent_s + self._lease_s - self.margin_s

    def check(self) -> None:
        """Raise `TenureOver` unless the lease is valid for at least the margin by the local clock.

        Guards against a holder that was suspended past its lease and would continue to send the
        orders of its last decision. The check narrows the window; the fencing number closes it.
        """
        if self._ended:
            raise TenureOver(self._ended)
        if self._kernel.clock.now_s() >= self._valid_until_s:
            self.end("the lease was not renewed in time")
            raise TenureOver(self._ended)

    def end(self, reason: str) -> None:
        """Mark the tenure as ended; the first reason is kept."""
        self._ended = self._ended or reason

    async def keep(self) -> None:
        """Renew the lease until the tenure ends; raises `TenureOver` then."""
        while True:
            await trio.sleep(self._lease_s / RENEWALS_PER_LEASE)
            self.check()
            sent_s = self._kernel.clock.now_s()
            try:
                async with time_limit(trio.current_time() + self._lease_s / RENEWALS_PER_LEASE):
                    await self._kv.keep_lease(self.lease_id, purpose=self._keys.purpose)
                    self.confirm(sent_s)
            except LeaseLost as lost:
                self.end(lost.detail)
            except (KvUnavailable, MaybeApplied):
                pass  # The next renewal retries; `check` ends the tenure at the lease's expiry.
            self.check()

    async def write(self, writes: Sequence[KvWrite] = (), expected_revision: int = -1) -> None:
        """Write under the fence; nothing is written if another holder took over.

        Parameters
        ----------
        writes
            Writes in the same transaction as the fence key, which guards them; they need no
            condition of their own.
        expected_revision
            Revision of the fence key for the write that starts the tenure.

        Raises
        ------
        TenureOver
            When another holder raised the fence.
        KvUnavailable, MaybeApplied
            When the KV service doesn't respond.
        """
        token = f"{self._kernel.random.getrandbits(TOKEN_BITS):016x}"
        value = encode_fence(Fence(self.fence, self._kernel.vm, token))
        revision = self._revision if expected_revision < 0 else expected_revision

        def is_own(entry: KvEntry | None) -> bool:
            return entry is not None and entry.value == value

        try:
            self._revision = await write_with_readback(
                self._kv,
                [KvWrite(self._keys.fence, value, revision), *writes],
                is_own,
                purpose=self._keys.purpose,
                time_limit_s=self._lease_s,
                random=self._kernel.random,
            )
        except (KvConflict, LeaseLost) as lost:
            self.end("another holder raised the fence")
            raise TenureOver(self._ended) from lost

    async def resign(self) -> None:
        """Revoke the lease, so that the next holder doesn't have to wait until it expires."""
        self.end("resigned")
        with trio.move_on_after(REVOKE_TIME_LIMIT_S):
            try:
                await self._kv.revoke_lease(self.lease_id, purpose=self._keys.purpose)
            except _KV_ERRORS:
                return  # The lease expires by itself.


class LeaseHolder:
    """Acquires a task's lease and raises its fence.

    Parameters
    ----------
    kernel
        The process.
    kv
        The KV service.
    keys
        Keys of the task.
    lease_s
        Time to live of the lease.
    """

    def __init__(self, kernel: Kernel, kv: Kv, keys: HolderKeys, lease_s: float) -> None:
        self._kernel = kernel
        self._kv = kv
        self._keys = keys
        self._lease_s = lease_s

    async def acquire(self) -> Tenure | None:
        """Return a tenure under a new fencing number; ``None`` if there is a holder.

        Raises
        ------
        KvUnavailable, MaybeApplied
            When the KV service doesn't respond.
        TenureOver
            When another candidate acquired the lease first.
        BadEncoding
            When the value of the fence key is malformed.
        """
        keys, purpose = self._keys, self._keys.purpose
        held = await self._kv.get(keys.holder, purpose=purpose)
        if held is not None and held.lease_id:
            return None
        entry = await self._kv.get(keys.fence, purpose=purpose)
        last = decode_fence(entry.value).number if entry else 0
        sent_s = self._kernel.clock.now_s()
        lease_id = await self._kv.grant_lease(self._lease_s, purpose=purpose)
        tenure = Tenure(self._kernel, self._kv, keys, last + 1, lease_id, self._lease_s)
        tenure.confirm(sent_s)
        # An entry without a lease is of another writer and never expires; it is replaced.
        held_revision = held.mod_revision if held else 0
        holder = KvWrite(keys.holder, self._kernel.vm.encode(), held_revision, lease_id)
        try:
            await tenure.write([holder], expected_revision=entry.mod_revision if entry else 0)
            tenure.check()
        except (TenureOver, KvUnavailable, MaybeApplied):
            await tenure.resign()
            raise
        return tenure
