"""Service that quarantines harmful requests and shares verdicts with peers and the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, ClassVar

import trio

from sassafrastally.core import KvUnavailable, LeaseLost, MaybeApplied, Service
from sassafrastally.core.kv import KvConflict, KvWrite
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.fingerprint import fingerprint_text, parse_fingerprint
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    DocumentRejected,
    QuarantineLifted,
    QuarantineNotRecorded,
    RequestQuarantined,
)
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.quarantine import QUARANTINE_S, Quarantine, Verdict
from sassafrastally.proxy.quarantine_exchange import QuarantineReport, VerdictReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import KvEntry, KvEvent
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.store import Store

PEER_VERDICT_WRITE_DELAY_S = 2.0
PEER_VERDICT_WRITE_JITTER_S = 4.0
"""Delay and jitter after which an entry records a verdict received from a peer if none is recorded
yet: the entry that observed the last crash may have died. With the jitter, the first record reaches
the other entries before they write."""

RETRY_S = 2.0
"""Retry delay after a failed store call. Records only serve entries that start later, so there is
no hurry."""

CLEANUP_INTERVAL_S = 5.0
"""Time between two runs that expire verdicts and drop old crashes."""

MIN_RECORD_S = 5.0
"""Verdicts with less time left aren't recorded."""

ANY_REVISION = -1
KEY_ABSENT = 0


class QuarantineService(Service):
    """The quarantine of one entry.

    Parameters
    ----------
    dialect
        Defines the key prefix of records.
    store
        Keeps verdicts for entries that start later.
    """

    name: ClassVar[str] = "quarantine"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "peers")

    def __init__(self, dialect: Dialect, store: Store) -> None:
        self._prefix = dialect.keys.quarantine_prefix
        self._store = store
        self._quarantine = Quarantine()
        self._due_s: dict[int, float] = {}
        """When to write or remove the record of each request, by fingerprint."""
        self._news = trio.Event()
        self.on_verdict: Callable[[int], None] | None = None
        """Called with the fingerprint of each request that is quarantined."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Load the records from the store and register with the peer exchange."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._peers = self.kernel.get("peers", Peers)
        self._peers.quarantine = self
        self._cluster_state.on_quarantine_record = self._apply_record
        for record in self._cluster_state.quarantine_records():
            self._apply_record(record)
        nursery.start_soon(self._record)
        nursery.start_soon(self._clean_up)

    @property
    def count(self) -> int:
        """Number of quarantined requests."""
        return len(self._quarantine)

    def verdict(self, fingerprint: int) -> Verdict | None:
        """Return the verdict on a request, if one is in force."""
        return self._quarantine.verdict(fingerprint, self._now_s)

    def crash_count(self, fingerprint: int) -> int:
        """Return how many crashes count against a request."""
        return self._quarantine.crash_count(fingerprint, self._now_s)

    @property
    def update_age_s(self) -> float:
        """Maximum time until nearby entries know of each other's crash records."""
        return self._peers.update_age_s

    def crash_counts_with(self, fingerprint: int) -> dict[int, int]:
        """Return crash counts of a request and of those that ran on the same crashed servers."""
        return self._quarantine.crash_counts_with(fingerprint, self._now_s)

    def record_crash(
        self,
        fingerprint: int,
        server: BackendServer,
        *,
        age_s: float = 0.0,
        is_presumed: bool = False,
    ) -> None:
        """Record that a server crashed while it ran a request of this entry."""
        verdict = self._quarantine.record_crash(
            fingerprint,
            server_hash(server.incarnation_id),
            self._now_s,
            age_s=age_s,
            is_own=True,
            is_presumed=is_presumed,
        )
        if verdict is not None:
            self._record_verdict(verdict, "own", self._now_s)
        self._peers.send_now()

    def record_answered(self, fingerprint: int) -> None:
        """Record that a request got a complete answer."""
        was_quarantined = self.verdict(fingerprint) is not None
        if not self._quarantine.record_answered(fingerprint, self._now_s):
            return
        self._peers.send_now()
        if was_quarantined and self.verdict(fingerprint) is None:
            self._record_lifted(fingerprint, "a server answered it")

    def own_report(self, *, is_full: bool) -> QuarantineReport:
        """Return the records that this entry has made itself."""
        return self._quarantine.report(self._now_s, is_full=is_full)

    def combined_report(self, *, is_full: bool) -> QuarantineReport:
        """Return all records, those of peers included."""
        return self._quarantine.report(self._now_s, is_full=is_full, includes_peers=True)

    def apply(self, report: QuarantineReport) -> bool:
        """Apply a peer's records; return whether any of them is new."""
        before = self._quarantine.version
        quarantined = {verdict.fingerprint for verdict in self._quarantine.verdicts(self._now_s)}
        for verdict in self._quarantine.apply(report, self._now_s):
            self._record_verdict(verdict, "peer", self._peer_verdict_due_s())
        for answer in report.answers:
            if answer.fingerprint in quarantined and self.verdict(answer.fingerprint) is None:
                self._record_lifted(answer.fingerprint, "a server answered it for a peer")
        return self._quarantine.version != before

    @property
    def _now_s(self) -> float:
        return self.kernel.clock.now_s()

    def _peer_verdict_due_s(self) -> float:
        wait_s = (
            PEER_VERDICT_WRITE_DELAY_S + PEER_VERDICT_WRITE_JITTER_S * self.kernel.random.random()
        )
        return self._now_s + wait_s

    def _record_verdict(self, verdict: Verdict, source: str, due_s: float) -> None:
        fingerprint = fingerprint_text(verdict.fingerprint)
        for_s = round(verdict.until_s - self._now_s, 1)
        self.kernel.events.emit(RequestQuarantined(fingerprint, verdict.crashes, for_s, source))
        if not verdict.is_presumed:
            self._due_s[verdict.fingerprint] = due_s
            self._news.set()
        if self.on_verdict is not None:
            self.on_verdict(verdict.fingerprint)

    def _record_lifted(self, fingerprint: int, reason: str) -> None:
        self._due_s.pop(fingerprint, None)
        self.kernel.events.emit(QuarantineLifted(fingerprint_text(fingerprint), reason))
        if self._cluster_state.has_key(self._key(fingerprint)):
            self._due_s[fingerprint] = self._peer_verdict_due_s()
            self._news.set()

    def _key(self, fingerprint: int) -> str:
        return self._prefix + fingerprint_text(fingerprint)

    def _apply_record(self, record: KvEntry | KvEvent) -> None:
        """Apply a verdict record, or its removal by lease expiry or by an operator."""
        try:
            fingerprint = parse_fingerprint(record.key.removeprefix(self._prefix))
            crashes = 0 if record.value is None else _parse_crashes(record.value)
        except ValueError as cause:
            self.kernel.events.emit(
                DocumentRejected(record.key, record.mod_revision, "store", f"{cause!r:.200}")
            )
            return
        if record.value is None:
            if self._quarantine.lift(fingerprint, self._now_s):
                self._due_s.pop(fingerprint, None)
                reason = "its record in the store was removed"
                self.kernel.events.emit(QuarantineLifted(fingerprint_text(fingerprint), reason))
            if self._cluster_state.has_key(record.key):
                # The store was restored from a copy that has the record again.
                self._due_s[fingerprint] = self._peer_verdict_due_s()
                self._news.set()
            return
        received = VerdictReport(fingerprint, QUARANTINE_S, crashes)
        verdict = self._quarantine.apply_verdict(received, self._now_s)
        if verdict is not None:
            self._record_verdict(verdict, "store", self._now_s)

    async def _record(self) -> None:
        """Write verdict records to the store when due, and remove those of lifted verdicts."""
        while True:
            self._news = trio.Event()
            if not self._due_s:
                await self._news.wait()
                continue  # The due record may have been cancelled in the meantime.
            fingerprint, due_s = min(self._due_s.items(), key=lambda item: item[1])
            with trio.move_on_after(max(0.0, due_s - self._now_s)):
                await self._news.wait()
                continue
            if self._due_s.pop(fingerprint, None) is not None:
                await self._sync_record(fingerprint)

    async def _sync_record(self, fingerprint: int) -> None:
        key = self._key(fingerprint)
        verdict = self.verdict(fingerprint)
        should_exist = verdict is not None
        if should_exist == self._cluster_state.has_key(key):
            return
        try:
            if verdict is None:
                await self._store.write([KvWrite(key, None, ANY_REVISION)])
            else:
                await self._write(key, verdict)
        except KvConflict:
            return  # Another entry has already written it.
        except (KvUnavailable, MaybeApplied, LeaseLost) as cause:
            self.kernel.events.emit(
                QuarantineNotRecorded(fingerprint_text(fingerprint), str(cause))
            )
            pause_s = RETRY_S * self.kernel.random.uniform(0.7, 1.3)
            self._due_s.setdefault(fingerprint, self._now_s + pause_s)

    async def _write(self, key: str, verdict: Verdict) -> None:
        left_s = verdict.until_s - self._now_s
        if left_s < MIN_RECORD_S:
            return
        lease = await self._store.grant_lease(left_s)
        record = {"crashes": verdict.crashes, "seen_by": self.kernel.vm}
        value = json.dumps(record).encode()
        await self._store.write([KvWrite(key, value, KEY_ABSENT, lease.lease_id)], lease)

    async def _clean_up(self) -> None:
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            for lifted in self._quarantine.forget_old(self._now_s):
                self._record_lifted(lifted.verdict.fingerprint, lifted.reason)
            for verdict in self._quarantine.verdicts(self._now_s):
                # The record's lease may have expired early during a store outage.
                if not self._cluster_state.has_key(self._key(verdict.fingerprint)):
                    self._due_s.setdefault(verdict.fingerprint, self._peer_verdict_due_s())
                    self._news.set()


def _parse_crashes(value: bytes) -> int:
    """Return the crash count of a record; raises `ValueError`."""
    body: Any = json.loads(value)
    crashes = body.get("crashes") if isinstance(body, dict) else None
    if isinstance(crashes, bool) or not isinstance(crashes, int) or not 0 <= crashes < 1 << 16:
        raise ValueError("crashes is missing or not an integer from 0 to 65535")
    return crashes
