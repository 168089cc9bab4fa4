"""One holder at a time for a duty, by a lease in the KV service under a fencing number.

Notes
-----
The lease only chooses a holder: one that was frozen past its lease may still act for a moment.
Whoever takes its orders therefore compares fencing numbers, and every write of the holder to the
KV service is conditional on the fence key, which the next holder's first write changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.control.canonical import BadEncoding, canonical_bytes, load_object
from sassafrastally.core import CodedError, error
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
    """The holder's lease has lapsed or another holder took over: it must not act any more."""


class Fence(NamedTuple):
    """Value of the fence key."""

    number: int
    """Fencing number of the last holder; only grows."""
    vm: str
    """Last holder, for people who look."""
    token: str
    """Names the last write, so that its writer finds it after a lost answer."""


class HolderKeys(NamedTuple):
    """Keys and budget of one duty."""

    fence: str
    """Stays for ever."""
    holder: str
    """Hangs on the holder's lease."""
    purpose: str


def encode_fence(fence: Fence) -> bytes:
    """Return the value of a fence key."""
    return canonical_bytes(fence._asdict())


def decode_fence(data: bytes) -> Fence:
    """Return the fence that a value holds; raises `BadEncoding`."""
    fence, problems = check_table(load_object(data, MAX_FENCE_BYTES, "fence"), Fence)
    if fence is None:
        raise BadEncoding(f"fence: {problems[0]}")
    return fence


class Tenure:
    """One holder's time under one fencing number; made by `LeaseHolder.acquire`.

    Parameters
    ----------
    kernel
        The process.
    kv
        The KV service.
    keys
        Keys of the duty.
    fence
        The fencing number.
    lease_id
        The lease.
    lease_s
        Its time to live.
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
        """How long before the lease's end the holder stops acting."""
        return self._lease_s / (2 * RENEWALS_PER_LEASE)

    def confirm(self, asked_s: float) -> None:
        """Note that the lease was granted or renewed by a call sent at a time."""
        self._valid_until_s = asked_s + self._lease_s - self.margin_s

    def check(self) -> None:
        """Raise `TenureOver` unless the lease holds for at least the margin by the own clock.

        Guards against a holder that was frozen past its lease: it would go on with the orders of
        its last decision. The check narrows the window; the fencing number closes it.
        """
        if self._ended:
            raise TenureOver(self._ended)
        if self._kernel.clock.now_s() >= self._valid_until_s:
            self.end("the lease wasn't renewed in time")
            raise TenureOver(self._ended)

    def end(self, reason: str) -> None:
        """Note that another holder took over."""
        self._ended = self._ended or reason

    async def keep(self) -> None:
        """Renew the lease until the tenure is over; raises `TenureOver` then."""
        while True:
            await trio.sleep(self._lease_s / RENEWALS_PER_LEASE)
            self.check()
            asked_s = self._kernel.clock.now_s()
            try:
                with trio.move_on_after(self._lease_s / RENEWALS_PER_LEASE):
                    await self._kv.keep_lease(self.lease_id, purpose=self._keys.purpose)
                    self.confirm(asked_s)
            except LeaseLost as lost:
                self.end(lost.detail)
            except (KvUnavailable, MaybeApplied):
                pass  # The next renewal tries again; `check` bounds how often.
            self.check()

    async def write(self, writes: Sequence[KvWrite] = (), expected_revision: int = -1) -> None:
        """Write under the fence: nothing is written when another holder took over.

        Parameters
        ----------
        writes
            What is written beside the fence key; unconditional, since the fence key guards them.
        expected_revision
            Revision of the fence key for the write that begins the tenure.

        Raises
        ------
        TenureOver
            When another holder raised the fence.
        KvUnavailable, MaybeApplied
            When the KV service doesn't answer.
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
        """Give the lease back, so that the next holder needn't wait for its end."""
        self.end("resigned")
        with trio.move_on_after(REVOKE_TIME_LIMIT_S):
            try:
                await self._kv.revoke_lease(self.lease_id, purpose=self._keys.purpose)
            except _KV_ERRORS:
                return  # It lapses by itself.


class LeaseHolder:
    """Takes a duty's lease and raises its fence.

    Parameters
    ----------
    kernel
        The process.
    kv
        The KV service.
    keys
        Keys of the duty.
    lease_s
        Time to live of the lease.
    """

    def __init__(self, kernel: Kernel, kv: Kv, keys: HolderKeys, lease_s: float) -> None:
        self._kernel = kernel
        self._kv = kv
        self._keys = keys
        self._lease_s = lease_s

    async def acquire(self) -> Tenure | None:
        """Return a tenure under a new fencing number; ``None`` when there is a holder.

        Raises
        ------
        KvUnavailable, MaybeApplied
            When the KV service doesn't answer.
        TenureOver
            When another candidate came first.
        BadEncoding
            When the fence key holds something else.
        """
        keys, purpose = self._keys, self._keys.purpose
        if await self._kv.get(keys.holder, purpose=purpose) is not None:
            return None
        entry = await self._kv.get(keys.fence, purpose=purpose)
        last = decode_fence(entry.value).number if entry else 0
        asked_s = self._kernel.clock.now_s()
        lease_id = await self._kv.grant_lease(self._lease_s, purpose=purpose)
        tenure = Tenure(self._kernel, self._kv, keys, last + 1, lease_id, self._lease_s)
        tenure.confirm(asked_s)
        holder = KvWrite(keys.holder, self._kernel.vm.encode(), 0, lease_id)
        try:
            await tenure.write([holder], expected_revision=entry.mod_revision if entry else 0)
            tenure.check()
        except (TenureOver, KvUnavailable, MaybeApplied):
            await tenure.resign()
            raise
        return tenure
