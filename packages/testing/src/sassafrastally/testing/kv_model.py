"""A model of the KV service: revisions, transactions, leases, watches and faults.

`sassafrastally.testing.kv_fake` offers it in process, `sassafrastally.testing.kv_server` over HTTP.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import trio

from sassafrastally.stores import (
    ANY_REVISION,
    KvConflict,
    KvEntry,
    KvEvent,
    KvUnavailable,
    LeaseLost,
    MaybeApplied,
    TokenBucket,
)
from sassafrastally.stores.gateway import NO_LEADER, REQUEST_TIMED_OUT, TOO_MANY_REQUESTS

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable, Sequence
    from random import Random

    from sassafrastally.stores import KvWrite

T = TypeVar("T")

HISTORY_EVENTS = 10_000
"""Changes kept for watches; an older revision is compacted."""

RATE_BURST_S = 1.0
"""The rate limits let through the calls of so many seconds at once."""


class KvFaults(NamedTuple):
    """Switches of the faults; all are off by default."""

    down: bool = False
    """Every call is refused before it has an effect, and watches are cut."""
    delay_s: float = 0.0
    """Time that each call takes; a write takes effect after half of it."""
    lose_answers: int = 0
    """So many of the next writes take effect and their answers are lost."""
    lose_probability: float = 0.0
    """Probability with which the answer to a write is lost after the write."""
    drop_writes: int = 0
    """So many of the next writes are lost before they take effect."""
    drop_probability: float = 0.0
    """Probability with which a write is lost before it takes effect."""


class KvRates(NamedTuple):
    """Calls a second that the service takes; 0 is no limit."""

    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


class _Lease(NamedTuple):
    time_to_live_s: int
    lapses_s: float


class KvModel:
    """The state of the service.

    Parameters
    ----------
    random
        Source of the faults that come by probability.
    rates
        Calls that the service takes; those over the rate are refused.
    """

    def __init__(self, random: Random, rates: KvRates = KvRates()) -> None:  # noqa: B008
        self.faults = KvFaults()
        self.counts: Counter[str] = Counter()
        """Calls by method since the start; a waiting watch counts as one."""
        self.revision = 1
        self._random = random
        self._entries: dict[str, KvEntry] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = 1
        self._history: deque[KvEvent] = deque()
        self._compacted_revision = 0
        self._changed = trio.Event()
        self._read_rate = _bucket(rates.reads_per_s)
        self._write_rate = _bucket(rates.writes_per_s)

    def set_faults(self, faults: KvFaults) -> None:
        """Set the fault switches; a service that goes down cuts its watches."""
        self.faults = faults
        self._wake_watches()

    async def read(self, method: str, operation: Callable[[], T]) -> T:
        """Run an operation as a call that reads, with the faults that are switched on.

        Raises
        ------
        KvUnavailable
            When a fault keeps the answer back.
        """
        self._begin(method, self._read_rate)
        await trio.sleep(self.faults.delay_s)
        return operation()

    async def mutate(self, method: str, operation: Callable[[], T]) -> T:
        """Run an operation as a call that writes, with the faults that are switched on.

        Raises
        ------
        KvUnavailable
            When it was refused.
        MaybeApplied
            When the call was dropped before, or its answer lost after it took effect.
        """
        self._begin(method, self._write_rate)
        delay_s = self.faults.delay_s
        await trio.sleep(delay_s / 2)
        if self._drops():
            raise MaybeApplied(REQUEST_TIMED_OUT)
        result = operation()
        await trio.sleep(delay_s / 2)
        if self._loses():
            raise MaybeApplied(REQUEST_TIMED_OUT)
        return result

    def range(self, key: str) -> KvEntry | None:
        """Return an entry."""
        self._lapse_leases()
        return self._entries.get(key)

    def range_prefix(self, prefix: str, limit: int = 0) -> list[KvEntry]:
        """Return the entries whose key starts with a prefix, by key."""
        self._lapse_leases()
        found = sorted(entry for key, entry in self._entries.items() if key.startswith(prefix))
        return found[:limit] if limit else found

    def transact(self, writes: Sequence[KvWrite]) -> int:
        """Do all writes or none; return the revision.

        Raises
        ------
        KvConflict
            When a key isn't as expected.
        LeaseLost
            When a write hangs on a lease that doesn't exist.
        """
        self._lapse_leases()
        for write in writes:
            found = self._entries.get(write.key)
            revision = found.mod_revision if found else 0
            if write.expected_revision not in (ANY_REVISION, revision):
                raise KvConflict(f"{write.key}: another revision than expected")
        for write in writes:
            is_put = write.value is not None
            if is_put and write.lease_id and write.lease_id not in self._leases:
                raise LeaseLost(f"lease {write.lease_id} has lapsed")
        changes = [
            write for write in writes if write.value is not None or write.key in self._entries
        ]
        self._apply([(write.key, write.value, write.lease_id) for write in changes])
        return self.revision

    def grant(self, time_to_live_s: int) -> int:
        """Return the id of a new lease."""
        self._lapse_leases()
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = _Lease(time_to_live_s, trio.current_time() + time_to_live_s)
        self._wake_watches()
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 when there is none."""
        self._lapse_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lapses_s = trio.current_time() + lease.time_to_live_s
        self._leases[lease_id] = lease._replace(lapses_s=lapses_s)
        return lease.time_to_live_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys.

        Raises
        ------
        LeaseLost
            When there is none.
        """
        self._lapse_leases()
        if lease_id not in self._leases:
            raise LeaseLost(f"lease {lease_id} has lapsed")
        self._end_lease(lease_id)

    def compact(self) -> None:
        """Forget the history; a watch from an older revision is cut."""
        self._history.clear()
        self._compacted_revision = self.revision

    def begin_watch(self, from_revision: int) -> int:
        """Count a watch and return the first revision that it reports.

        Raises
        ------
        KvUnavailable
            When the service is down or the history doesn't reach back so far.
        """
        self._begin("watch", self._read_rate)
        self._lapse_leases()
        first = from_revision if from_revision > 0 else self.revision + 1
        self._check_history(first)
        return first

    async def changes(
        self, prefix: str, first_revision: int
    ) -> AsyncGenerator[list[KvEvent], None]:
        """Yield the changes under a prefix, those of one moment together.

        Raises
        ------
        KvUnavailable
            When the watch is cut.
        """
        next_revision = first_revision
        while True:
            self._lapse_leases()
            self._refuse_when_down()
            self._check_history(next_revision)
            changes = [
                change
                for change in self._history
                if change.mod_revision >= next_revision and change.key.startswith(prefix)
            ]
            next_revision = max(next_revision, self.revision + 1)
            if changes:
                yield changes
            else:
                await self._wait_for_change()

    def _begin(self, method: str, rate: TokenBucket | None) -> None:
        self.counts[method] += 1
        self._refuse_when_down()
        if rate is not None and (wait_s := rate.take()) > 0.0:
            refused = KvUnavailable(TOO_MANY_REQUESTS)
            refused.retry_after_s = wait_s
            raise refused

    def _refuse_when_down(self) -> None:
        if self.faults.down:
            raise KvUnavailable(NO_LEADER)

    def _drops(self) -> bool:
        if self.faults.drop_writes > 0:
            self.faults = self.faults._replace(drop_writes=self.faults.drop_writes - 1)
            return True
        probability = self.faults.drop_probability
        return probability > 0.0 and self._random.random() < probability

    def _loses(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
            return True
        probability = self.faults.lose_probability
        return probability > 0.0 and self._random.random() < probability

    def _apply(self, changes: Sequence[tuple[str, bytes | None, int]]) -> None:
        if not changes:
            return
        self.revision += 1
        for key, value, lease_id in changes:
            if value is None:
                del self._entries[key]
            else:
                self._entries[key] = KvEntry(key, value, self.revision, lease_id)
            self._history.append(KvEvent(key, value, self.revision))
        while len(self._history) > HISTORY_EVENTS:
            self._compacted_revision = self._history.popleft().mod_revision
        self._wake_watches()

    def _lapse_leases(self) -> None:
        now_s = trio.current_time()
        for lease_id in [key for key, lease in self._leases.items() if lease.lapses_s <= now_s]:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        del self._leases[lease_id]
        keys = [key for key, entry in self._entries.items() if entry.lease_id == lease_id]
        self._apply([(key, None, 0) for key in sorted(keys)])

    def _check_history(self, revision: int) -> None:
        if revision <= self._compacted_revision:
            raise KvUnavailable(f"history is compacted up to {self._compacted_revision}")

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _wait_for_change(self) -> None:
        lapses_s = min((lease.lapses_s for lease in self._leases.values()), default=float("inf"))
        with trio.move_on_at(lapses_s):
            await self._changed.wait()


def _bucket(rate_per_s: float) -> TokenBucket | None:
    burst = max(1, int(rate_per_s * RATE_BURST_S))
    return TokenBucket(rate_per_s, burst) if rate_per_s else None
