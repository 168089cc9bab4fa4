"""Keeps harmful requests from backend servers: told to peers, recorded in the store, logged."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, ClassVar

import trio

from sassafrastally.core import KvUnavailable, LeaseLost, MaybeApplied, Service
from sassafrastally.core.kv import KvConflict, KvWrite
from sassafrastally.proxy.beliefs import Beliefs
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
from sassafrastally.proxy.quarantine_news import QuarantineNews, VerdictNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import KvEntry, KvEvent
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.store import Store

OTHERS_WRITE_AFTER_S = 2.0
OTHERS_WRITE_OVER_S = 4.0
"""When entries that were only told of a verdict record it, if nobody has: the one that saw the last
crash may have died. Spread, so that the first one's record reaches the others before they write."""

RETRY_S = 2.0
"""Pause after a call of the store that failed; a record serves entries that start later."""

TIDY_S = 5.0
"""Time between two rounds that end verdicts and forget crashes."""

LEAST_RECORDED_S = 5.0
"""A verdict that ends sooner isn't recorded any more."""

ANY_REVISION = -1
NOT_THERE = 0


class Quarantining(Service):
    """The quarantine of one entry.

    Parameters
    ----------
    dialect
        Where records lie.
    store
        Keeps verdicts for entries that start.
    """

    name: ClassVar[str] = "quarantine"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "peers")

    def __init__(self, dialect: Dialect, store: Store) -> None:
        self._prefix = dialect.keys.quarantine_prefix
        self._store = store
        self._known = Quarantine()
        self._due_s: dict[int, float] = {}
        """When to record each verdict that isn't recorded yet."""
        self._news = trio.Event()
        self.on_verdict: Callable[[int], None] | None = None
        """Called with the fingerprint of each request that is quarantined."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Take part in the exchange with peers and the store."""
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        self._peers = self.kernel.get("peers", Peers)
        self._peers.quarantine = self
        self._beliefs.on_quarantine_record = self._take_record
        for record in self._beliefs.quarantine_records():
            self._take_record(record)
        nursery.start_soon(self._record)
        nursery.start_soon(self._tidy)

    @property
    def count(self) -> int:
        """Requests that are quarantined."""
        return len(self._known)

    def verdict(self, fingerprint: int) -> Verdict | None:
        """Return the verdict on a request, if one is in force."""
        return self._known.verdict(fingerprint, self._now_s)

    def crashes_under(self, fingerprint: int) -> int:
        """Return how many crashes speak against a request."""
        return self._known.crashes_under(fingerprint, self._now_s)

    @property
    def news_age_s(self) -> float:
        """How long it takes until the entries nearby have told each other of a crash."""
        return self._peers.news_age_s

    def suspects_with(self, fingerprint: int) -> dict[int, int]:
        """Return the crashes of a request and of those that were on the same crashed servers."""
        return self._known.suspects_with(fingerprint, self._now_s)

    def note_crash(
        self,
        fingerprint: int,
        server: BackendServer,
        *,
        age_s: float = 0.0,
        is_presumed: bool = False,
    ) -> None:
        """Note that a server crashed while it ran a request for this entry."""
        verdict = self._known.note_crash(
            fingerprint,
            server_hash(server.life_id),
            self._now_s,
            age_s=age_s,
            is_own=True,
            is_presumed=is_presumed,
        )
        if verdict is not None:
            self._note_verdict(verdict, "own", self._now_s)
        self._peers.tell_at_once()

    def note_answered(self, fingerprint: int) -> None:
        """Note that a request brought a whole answer."""
        was_quarantined = self.verdict(fingerprint) is not None
        if not self._known.note_answered(fingerprint, self._now_s):
            return
        self._peers.tell_at_once()
        if was_quarantined and self.verdict(fingerprint) is None:
            self._note_lifted(fingerprint, "a server answered it")

    def own_news(self, *, is_full: bool) -> QuarantineNews:
        """Return what this entry has seen itself."""
        return self._known.news(self._now_s, is_full=is_full)

    def all_news(self, *, is_full: bool) -> QuarantineNews:
        """Return also what others have told."""
        return self._known.news(self._now_s, is_full=is_full, is_of_all=True)

    def take(self, news: QuarantineNews) -> bool:
        """Take what a peer tells; return whether something is new."""
        before = self._known.version
        quarantined = {verdict.fingerprint for verdict in self._known.verdicts(self._now_s)}
        for verdict in self._known.take(news, self._now_s):
            self._note_verdict(verdict, "peer", self._others_due_s())
        for answer in news.answers:
            if answer.fingerprint in quarantined and self.verdict(answer.fingerprint) is None:
                self._note_lifted(answer.fingerprint, "a server answered it for a peer")
        return self._known.version != before

    @property
    def _now_s(self) -> float:
        return self.kernel.clock.now_s()

    def _others_due_s(self) -> float:
        wait_s = OTHERS_WRITE_AFTER_S + OTHERS_WRITE_OVER_S * self.kernel.random.random()
        return self._now_s + wait_s

    def _note_verdict(self, verdict: Verdict, source: str, due_s: float) -> None:
        fingerprint = fingerprint_text(verdict.fingerprint)
        for_s = round(verdict.until_s - self._now_s, 1)
        self.kernel.events.emit(RequestQuarantined(fingerprint, verdict.crashes, for_s, source))
        if not verdict.is_presumed:
            self._due_s[verdict.fingerprint] = due_s
            self._news.set()
        if self.on_verdict is not None:
            self.on_verdict(verdict.fingerprint)

    def _note_lifted(self, fingerprint: int, reason: str) -> None:
        self._due_s.pop(fingerprint, None)
        self.kernel.events.emit(QuarantineLifted(fingerprint_text(fingerprint), reason))
        if self._beliefs.is_recorded(self._key(fingerprint)):
            self._due_s[fingerprint] = self._others_due_s()
            self._news.set()

    def _key(self, fingerprint: int) -> str:
        return self._prefix + fingerprint_text(fingerprint)

    def _take_record(self, record: KvEntry | KvEvent) -> None:
        """Take a verdict from the store, or its end there by its lease or by an operator."""
        try:
            fingerprint = parse_fingerprint(record.key.removeprefix(self._prefix))
            crashes = 0 if record.value is None else _crashes(record.value)
        except ValueError as cause:
            self.kernel.events.emit(
                DocumentRejected(record.key, record.mod_revision, "store", f"{cause!r:.200}")
            )
            return
        if record.value is None:
            if self._known.lift(fingerprint, self._now_s):
                self._due_s.pop(fingerprint, None)
                reason = "its record in the store has ended"
                self.kernel.events.emit(QuarantineLifted(fingerprint_text(fingerprint), reason))
            return
        told = VerdictNews(fingerprint, QUARANTINE_S, crashes)
        verdict = self._known.take_verdict(told, self._now_s)
        if verdict is not None:
            self._note_verdict(verdict, "store", self._now_s)

    async def _record(self) -> None:
        """Write verdicts to the store, and remove those that an answer has lifted."""
        while True:
            self._news = trio.Event()
            if not self._due_s:
                await self._news.wait()
                continue  # What was due may have ended before this task had its turn.
            fingerprint, due_s = min(self._due_s.items(), key=lambda item: item[1])
            with trio.move_on_after(max(0.0, due_s - self._now_s)):
                await self._news.wait()
                continue
            if self._due_s.pop(fingerprint, None) is not None:
                await self._record_one(fingerprint)

    async def _record_one(self, fingerprint: int) -> None:
        key = self._key(fingerprint)
        verdict = self.verdict(fingerprint)
        is_wanted = verdict is not None
        if is_wanted == self._beliefs.is_recorded(key):
            return
        try:
            if verdict is None:
                await self._store.write([KvWrite(key, None, ANY_REVISION)])
            else:
                await self._write(key, verdict)
        except KvConflict:
            return  # Another entry was first.
        except (KvUnavailable, MaybeApplied, LeaseLost) as cause:
            self.kernel.events.emit(
                QuarantineNotRecorded(fingerprint_text(fingerprint), str(cause))
            )
            pause_s = RETRY_S * self.kernel.random.uniform(0.7, 1.3)
            self._due_s.setdefault(fingerprint, self._now_s + pause_s)

    async def _write(self, key: str, verdict: Verdict) -> None:
        left_s = verdict.until_s - self._now_s
        if left_s < LEAST_RECORDED_S:
            return
        lease_id = await self._store.grant_lease(left_s)
        record = {"crashes": verdict.crashes, "seen_by": self.kernel.vm}
        value = json.dumps(record).encode()
        await self._store.write([KvWrite(key, value, NOT_THERE, lease_id)])

    async def _tidy(self) -> None:
        while True:
            await trio.sleep(TIDY_S)
            for lifted in self._known.forget_old(self._now_s):
                self._note_lifted(lifted.verdict.fingerprint, lifted.reason)
            for verdict in self._known.verdicts(self._now_s):
                # An outage of the store may have ended the record's lease before its time.
                if not self._beliefs.is_recorded(self._key(verdict.fingerprint)):
                    self._due_s.setdefault(verdict.fingerprint, self._others_due_s())
                    self._news.set()


def _crashes(value: bytes) -> int:
    """Return how many servers had crashed, of a record; raises `ValueError`."""
    body: Any = json.loads(value)
    crashes = body.get("crashes") if isinstance(body, dict) else None
    if isinstance(crashes, bool) or not isinstance(crashes, int) or not 0 <= crashes < 1 << 16:
        raise ValueError("no number of crashes")
    return crashes
