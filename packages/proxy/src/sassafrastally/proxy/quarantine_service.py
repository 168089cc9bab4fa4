"""Service that quarantines harmful requests and prompt parts, and shares verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import KvUnavailable, LeaseLost, MaybeApplied, Service
from sassafrastally.core.kv import KvConflict, KvWrite
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.fingerprint import (
    fingerprint_text,
    fingerprint_texts,
    is_part,
    parse_fingerprint,
)
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    DocumentRejected,
    PromptPartQuarantined,
    PromptPartTried,
    QuarantineLifted,
    QuarantineNotRecorded,
    RequestQuarantined,
)
from sassafrastally.proxy.part_trials import UNTRIED, Turn, turn_of
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.quarantine import Quarantine
from sassafrastally.proxy.quarantine_records import decode_record, encode_record, has_all_trials

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.core import KvEntry, KvEvent
    from sassafrastally.proxy.answer_progress import AnswerProgress
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.fingerprint import Subjects
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.quarantine_exchange import QuarantineReport
    from sassafrastally.proxy.store import Store
    from sassafrastally.proxy.verdicts import Verdict

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

CLAIM_TIME_S = 1.0
"""How long a trial waits until it is written to the store."""

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
        """When to write or remove the record of each subject."""
        self._news = trio.Event()
        self._next_claim_s: dict[int, float] = {}
        """When a trial may be claimed again, by part."""
        self._has_crash = trio.Event()
        self.on_verdict: Callable[[], None] | None = None
        """Called after each new verdict."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Load the records from the store and register with the peer exchange."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._peers = self.kernel.get("peers", Peers)
        self._peers.quarantine = self
        self._quarantine.parts.started_s = self._now_s
        self._cluster_state.on_quarantine_record = self._apply_record
        for record in self._cluster_state.quarantine_records():
            self._apply_record(record)
        recording = Containment(self.kernel, "records of the quarantine")
        nursery.start_soon(recording.restart, self._record)
        nursery.start_soon(recording.restart, self._clean_up)
        nursery.start_soon(recording.restart, self._judge_settled)

    @property
    def count(self) -> int:
        """Number of quarantined requests and prompt parts."""
        return len(self._quarantine)

    def verdict(self, subjects: Subjects, tried: int | None = None) -> Verdict | None:
        """Return the verdict on a request or a part of its prompt, as `Quarantine.verdict`."""
        return self._quarantine.verdict(subjects.fingerprint, self._now_s, subjects.parts, tried)

    async def claim_trial(self, subjects: Subjects) -> int | None:
        """Return the part as whose trial a request may run; ``None`` if it may not.

        The trial is written to the store first, or else told to peers: should this entry end before
        its outcome is known, it still counts.
        """
        if not len(self._quarantine):
            return None
        part = self._quarantine.due_trial(subjects, self._now_s, self._trial_turn)
        if part is None or self._now_s < self._next_claim_s.get(part, 0.0):
            return None
        now_s = self._now_s
        self._next_claim_s = {key: at_s for key, at_s in self._next_claim_s.items() if at_s > now_s}
        self._next_claim_s[part] = now_s + RETRY_S
        # The caller may leave meanwhile: what the store has by then has to be settled.
        with trio.CancelScope(shield=True):
            if not await self._claim(part):
                return None
        self.kernel.events.emit(PromptPartTried(fingerprint_text(part)))
        return part

    async def _claim(self, part: int) -> bool:
        """Begin a trial; return whether it is written to the store or told to peers."""
        key, verdict = self._key(part), self._quarantine.verdict_on(part, self._now_s)
        has_peers = len(self._peers.members()) > 0
        is_written = False
        trials = UNTRIED if verdict is None else verdict.trials.with_another()
        if verdict is not None:
            with trio.move_on_after(CLAIM_TIME_S):
                try:
                    await self._write(key, verdict._replace(trials=trials))
                    is_written = True
                except KvConflict:
                    return False  # Another entry has claimed it.
                except (KvUnavailable, MaybeApplied, LeaseLost) as cause:
                    text = fingerprint_text(part)
                    self.kernel.events.emit(QuarantineNotRecorded(text, str(cause)))
        if self._quarantine.verdict_on(part, self._now_s) is None:
            return False  # It was lifted meanwhile.
        if not is_written and not has_peers:
            return False
        self._quarantine.begin_trial(part, trials, self._now_s)
        self._peers.send_now()
        return True

    def abandon_trial(self, part: int) -> None:
        """End a trial whose request has reached no server."""
        self._quarantine.abandon_trial(part, self._now_s)
        if self._quarantine.verdict_on(part, self._now_s) is not None:
            self._due_s[part] = self._now_s
            self._news.set()
        self._peers.send_now()

    def _trial_turn(self, part: int) -> Turn:
        return turn_of(part, self._peers.own_entry.host, self._peers.members())

    def crash_count(self, subjects: Subjects) -> int:
        """Return how many crashes count against a request or a part of its prompt."""
        return self._quarantine.crash_count(subjects.fingerprint, self._now_s, subjects.parts)

    def time_to_judgement_s(self, subjects: Subjects) -> float:
        """Return the time until a crash of a server that ran a request has been judged.

        That is when nearby entries know of each other's crash records, and no part of the prompt is
        to be judged later.
        """
        now_s = self._now_s
        return max(
            self._peers.update_age_s,
            self._quarantine.parts.last_due_s(subjects.parts, now_s) - now_s,
        )

    def crash_counts_with(self, subjects: Subjects) -> dict[int, int]:
        """Return crash counts of a request and of those that ran on the same crashed servers."""
        return self._quarantine.crash_counts_with(subjects.fingerprint, self._now_s, subjects.parts)

    def record_crash(
        self,
        subjects: Subjects,
        server: BackendServer,
        *,
        age_s: float = 0.0,
        is_presumed: bool = False,
    ) -> None:
        """Record that a server crashed while it ran a request of this entry.

        Parameters
        ----------
        subjects
            The request, and the parts of its prompt that may be the cause.
        server
            The server.
        age_s
            Time since the crash.
        is_presumed
            Whether it isn't certain yet that the server has crashed.
        """
        verdicts = self._quarantine.record_crashed_run(
            subjects,
            server_hash(server.incarnation_id),
            self._now_s,
            age_s=age_s,
            is_presumed=is_presumed,
        )
        for verdict in verdicts:
            self._record_verdict(verdict, "own", self._now_s)
        if verdicts:
            self._notify_verdict()
        self._record_trial_crashes(subjects)
        self._has_crash.set()
        self._peers.send_now()

    def record_answered(
        self, subjects: Subjects, server: BackendServer, answer: AnswerProgress
    ) -> None:
        """Record that a request got a complete answer."""
        self._record_answered([subjects.fingerprint], "a server answered it")
        self._confirm(server)
        if not answer.is_going_on and subjects.parts:
            self._quarantine.record_short_answer(
                subjects.parts, server_hash(server.incarnation_id), self._now_s
            )

    def record_going_on(self, parts: Sequence[int], server: BackendServer) -> None:
        """Record that a server has gone on with an answer after its begin."""
        self._confirm(server)
        self._record_answered(parts, "a server answers a request with it")

    def _confirm(self, server: BackendServer) -> None:
        """Count earlier short answers of a server, which has answered again."""
        key = server_hash(server.incarnation_id)
        if confirmed := self._quarantine.pop_confirmed(key, self._now_s):
            self._record_answered(confirmed, "a server answered a request with it")

    def own_report(self, *, is_full: bool) -> QuarantineReport:
        """Return the records that this entry has made itself."""
        return self._quarantine.report(self._now_s, is_full=is_full)

    def combined_report(self, *, is_full: bool) -> QuarantineReport:
        """Return all records, those of peers included."""
        return self._quarantine.report(self._now_s, is_full=is_full, includes_peers=True)

    def apply(self, report: QuarantineReport) -> bool:
        """Apply a peer's records; return whether any of them is new."""
        before = self._quarantine.version
        quarantined = self._quarantined()
        verdicts = self._quarantine.apply(report, self._now_s)
        for verdict in verdicts:
            self._record_verdict(verdict, "peer", self._peer_verdict_due_s())
        if verdicts:
            self._notify_verdict()
        if report.crashes:
            self._has_crash.set()
        answered = (answer.subject for answer in report.answers)
        for subject in quarantined.intersection(answered) - self._quarantined():
            self._record_lifted(subject, "a server answered it for a peer")
        return self._quarantine.version != before

    def _record_answered(self, subjects: Sequence[int], reason: str) -> None:
        now_s = self._now_s
        quarantined = self._quarantined() if len(self._quarantine) else set()
        known = [one for one in subjects if self._quarantine.record_answered(one, now_s)]
        if not known:
            return
        self._peers.send_now()
        for subject in quarantined.intersection(known) - self._quarantined():
            self._record_lifted(subject, reason)

    def _quarantined(self) -> set[int]:
        return {verdict.subject for verdict in self._quarantine.verdicts(self._now_s)}

    @property
    def _now_s(self) -> float:
        return self.kernel.clock.now_s()

    def _peer_verdict_due_s(self) -> float:
        wait_s = (
            PEER_VERDICT_WRITE_DELAY_S + PEER_VERDICT_WRITE_JITTER_S * self.kernel.random.random()
        )
        return self._now_s + wait_s

    def _record_verdict(self, verdict: Verdict, source: str, due_s: float) -> None:
        text, crashes = fingerprint_text(verdict.subject), verdict.crashes
        for_s = round(verdict.until_s - self._now_s, 1)
        if is_part(verdict.subject):
            self.kernel.events.emit(
                PromptPartQuarantined(
                    text,
                    fingerprint_texts(verdict.companions),
                    crashes,
                    for_s,
                    source,
                    *self._basis(verdict),
                )
            )
        else:
            self.kernel.events.emit(RequestQuarantined(text, crashes, for_s, source))
        if not verdict.is_presumed:
            self._due_s[verdict.subject] = due_s
            self._news.set()

    def _record_trial_crashes(self, subjects: Subjects) -> None:
        """Record that servers have crashed at trials, unless the store has it."""
        for verdict in self._quarantine.verdicts(self._now_s):
            if verdict.trials.has_crashed and verdict.subject in subjects.parts:
                self._due_s[verdict.subject] = self._now_s
                self._news.set()

    def _is_recorded(self, verdict: Verdict) -> bool:
        """Return whether the store has the record of a verdict, with all of its trials."""
        record = self._cluster_state.record(self._key(verdict.subject))
        if record is None or record.value is None:
            return False
        return has_all_trials(verdict.subject, record.value, verdict.trials)

    def _notify_verdict(self) -> None:
        """Tell that there are new verdicts, once for all of a step."""
        if self.on_verdict is not None:
            self.on_verdict()

    def _basis(self, verdict: Verdict) -> tuple[tuple[str, ...], float]:
        """Return the logged basis of a verdict on a part."""
        basis = self._quarantine.parts.basis(verdict.subject, self._now_s)
        return fingerprint_texts(basis.beside), round(basis.latest_record_age_s, 3)

    def _record_lifted(self, subject: int, reason: str) -> None:
        self._due_s.pop(subject, None)
        self.kernel.events.emit(QuarantineLifted(fingerprint_text(subject), reason))
        if self._cluster_state.has_key(self._key(subject)):
            self._due_s[subject] = self._peer_verdict_due_s()
            self._news.set()

    def _key(self, subject: int) -> str:
        return self._prefix + fingerprint_text(subject)

    def _apply_record(self, record: KvEntry | KvEvent) -> None:
        """Apply a verdict record, or its removal by lease expiry or by an operator."""
        try:
            subject = parse_fingerprint(record.key.removeprefix(self._prefix))
            received = None if record.value is None else decode_record(subject, record.value)
        except ValueError as cause:
            event = DocumentRejected(record.key, record.mod_revision, "store", f"{cause!r:.200}")
            self._cluster_state.rejected_documents.record(self.kernel, event)
            return
        if received is None:
            if self._quarantine.lift(subject, self._now_s):
                self._due_s.pop(subject, None)
                reason = "its record in the store was removed"
                self.kernel.events.emit(QuarantineLifted(fingerprint_text(subject), reason))
            if self._cluster_state.has_key(record.key):
                # The store was restored from a copy that has the record again.
                self._due_s[subject] = self._peer_verdict_due_s()
                self._news.set()
            return
        verdict = self._quarantine.apply_verdict(received, self._now_s)
        if verdict is not None:
            self._record_verdict(verdict, "store", self._now_s)
            self._notify_verdict()

    async def _record(self) -> None:
        """Write verdict records to the store when due, and remove those of lifted verdicts."""
        while True:
            self._news = trio.Event()
            if not self._due_s:
                await self._news.wait()
                continue  # The due record may have been cancelled in the meantime.
            subject, due_s = min(self._due_s.items(), key=lambda item: item[1])
            with trio.move_on_after(max(0.0, due_s - self._now_s)):
                await self._news.wait()
                continue
            if self._due_s.pop(subject, None) is not None:
                await self._sync_record(subject)

    async def _sync_record(self, subject: int) -> None:
        key = self._key(subject)
        verdict = self._quarantine.verdict_on(subject, self._now_s)
        if verdict is None and not self._cluster_state.has_key(key):
            return
        if verdict is not None and self._is_recorded(verdict):
            return
        try:
            if verdict is None:
                await self._store.write([KvWrite(key, None, ANY_REVISION)])
            else:
                await self._write(key, verdict)
        except KvConflict:
            return  # Another entry has already written it.
        except (KvUnavailable, MaybeApplied, LeaseLost) as cause:
            self.kernel.events.emit(QuarantineNotRecorded(fingerprint_text(subject), str(cause)))
            pause_s = RETRY_S * self.kernel.random.uniform(0.7, 1.3)
            self._due_s.setdefault(subject, self._now_s + pause_s)

    async def _write(self, key: str, verdict: Verdict) -> None:
        left_s = verdict.until_s - self._now_s
        if left_s < MIN_RECORD_S:
            return
        lease = await self._store.grant_lease(left_s)
        value = encode_record(verdict, self.kernel.vm, left_s)
        known = self._cluster_state.record(key)
        revision = KEY_ABSENT if known is None else known.mod_revision
        await self._store.write([KvWrite(key, value, revision, lease.lease_id)], lease)

    async def _judge_settled(self) -> None:
        """Judge parts as soon as other entries have told about their crashes."""
        while True:
            self._has_crash = trio.Event()
            late = self._quarantine.judge_settled(self._now_s)
            if late:
                self._notify_verdict()
                self._peers.send_now()
            for verdict, is_own in late:
                source = "own" if is_own else "peer"
                record_due_s = self._now_s if is_own else self._peer_verdict_due_s()
                self._record_verdict(verdict, source, record_due_s)
                await trio.lowlevel.checkpoint()
            due_s = self._quarantine.parts.due_s
            with trio.move_on_after(max(0.0, due_s - self._now_s)):
                await self._has_crash.wait()

    async def _clean_up(self) -> None:
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            for lifted in self._quarantine.forget_old(self._now_s):
                self._record_lifted(lifted.verdict.subject, lifted.reason)
            for verdict in self._quarantine.verdicts(self._now_s):
                # The record's lease may have expired early during a store outage.
                # Or a copy of the store lacks the latest trial.
                if not verdict.is_presumed and not self._is_recorded(verdict):
                    self._due_s.setdefault(verdict.subject, self._peer_verdict_due_s())
                    self._news.set()
