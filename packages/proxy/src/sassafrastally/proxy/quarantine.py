"""Quarantine of requests, and of prompt parts, that crash backend servers.

A harmful request (a "query of death") crashes every server that runs it. Through failover to a
second server and its caller's retries at other entries, it can crash a whole fleet of engines
within seconds, with all requests that run there. One crash doesn't show which of the requests on
the server caused it, or whether any did. So each entry records which requests a crashed server ran
and exchanges these records with the others. A request is quarantined when several servers have
crashed while running it and it has not been answered since. Requests that ran on the same servers
share a crash or two with it; these crashes no longer count against them once the harmful request
explains them.

Requests that differ may crash servers because of a part that their prompts share. Such a part is
judged like a request, on the crashes of all requests that have it (`part_causes`). Both are called
subjects below.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.crash_counts import CrashCounts
from sassafrastally.proxy.crash_records import PRESUMED_CRASH_KEPT_S, Crash, CrashRecords
from sassafrastally.proxy.fingerprint import is_part
from sassafrastally.proxy.part_causes import CRASHES_FOR_VERDICT, CarriedParts
from sassafrastally.proxy.part_judge import PartJudge
from sassafrastally.proxy.part_trials import TRIAL_AFTER_S, Turn, is_trial_crash, trial_due_s
from sassafrastally.proxy.quarantine_exchange import EMPTY_REPORT, QuarantineReport, VerdictReport
from sassafrastally.proxy.verdicts import REPORTS_FRESH_S, LateVerdict, Lifted, Verdict, Verdicts

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from sassafrastally.proxy.fingerprint import Subjects
    from sassafrastally.proxy.part_trials import TrialState

QUARANTINE_S = 600.0
"""How long a request is quarantined. A wrong verdict expires within this time; when a right one
expires, one more server crashes."""

REPORTS_REPEATED_S = 30.0
"""How long records are repeated periodically, for entries that start or were cut off."""


class Quarantine:
    """Verdicts and the crashes on which they are based."""

    def __init__(self) -> None:
        self._cases = CrashRecords()
        self._carried = CarriedParts()
        self._verdicts = Verdicts(self._cases)
        self._counts = CrashCounts(self._cases, self._verdicts)
        self.parts = PartJudge(self._cases, self._carried, self._verdicts)
        """Judges parts; `judge_settled` is due when it says so."""
        self._verdicts.on_review = self.parts.drop_companions
        self._late: list[LateVerdict] = []
        """Verdicts reached when the records had settled, not yet returned by `judge_settled`."""

    def __len__(self) -> int:
        return len(self._verdicts)

    @property
    def version(self) -> int:
        """Counter, incremented with each new crash, answer and verdict."""
        return self._cases.version + self._verdicts.version

    def verdict(
        self, subject: int, now_s: float, parts: Collection[int] = (), tried: int | None = None
    ) -> Verdict | None:
        """Return the verdict in force on a request or on a part of its prompt, if any.

        Parameters
        ----------
        subject
            Fingerprint of the request.
        now_s
            Present time.
        parts
            Keys of the parts of its prompt.
        tried
            Part whose verdict doesn't apply, as the request is its trial.
        """
        if not len(self._verdicts) and self.parts.due_s > now_s:
            return None
        self._update(now_s)
        if subject not in self._verdicts and not self._verdicts.has_any(parts):
            return None
        present = frozenset(parts)
        for one in (subject, *parts):
            verdict = self._verdicts.get(one)
            if verdict is not None and one != tried and verdict.covers(present):
                return verdict
        return None

    def claim_trial(
        self, subjects: Subjects, now_s: float, turn: Callable[[int], Turn]
    ) -> int | None:
        """Begin the trial of a part for a request, and return the part, as `due_trial`."""
        part = self.due_trial(subjects, now_s, turn)
        if part is not None:
            verdict = self._verdicts.get(part)
            assert verdict is not None
            self.begin_trial(part, verdict.trials.with_another(), now_s)
        return part

    def due_trial(
        self, subjects: Subjects, now_s: float, turn: Callable[[int], Turn]
    ) -> int | None:
        """Return the part as whose trial a request may run; ``None`` if it may not.

        A request to which another verdict applies is no trial.

        Parameters
        ----------
        subjects
            The request and the parts of its prompt.
        now_s
            Present time.
        turn
            Returns this entry's place in the order of the trials of a part.
        """
        verdict = self.verdict(subjects.fingerprint, now_s, subjects.parts)
        if verdict is None or not is_part(verdict.subject) or verdict.is_presumed:
            return None
        part = verdict.subject
        if self._verdicts.is_trial_open(part) or not verdict.trials.may_try():
            return None
        if now_s < verdict.since_s + TRIAL_AFTER_S:
            return None  # Without asking for the turn, which takes longer.
        if now_s < trial_due_s(verdict.since_s, verdict.tried_s, verdict.trial_known_s, turn(part)):
            return None
        if self.verdict(subjects.fingerprint, now_s, subjects.parts, part) is not None:
            return None
        return part

    def begin_trial(self, part: int, trials: TrialState, now_s: float) -> None:
        """Record that this entry tries a request with a part, as `Verdicts.begin_trial`."""
        self._verdicts.begin_trial(part, trials, now_s)

    def abandon_trial(self, part: int, now_s: float) -> None:
        """End a trial of this entry whose request has reached no server."""
        self._verdicts.abandon_trial(part, now_s)

    def verdict_on(self, subject: int, now_s: float) -> Verdict | None:
        """Return the verdict in force on a subject, whatever else it requires."""
        self._update(now_s)
        return self._verdicts.get(subject)

    def verdicts(self, now_s: float) -> list[Verdict]:
        """Return the verdicts in force."""
        self._update(now_s)
        return list(self._verdicts)

    def crash_count(self, subject: int, now_s: float, parts: Collection[int] = ()) -> int:
        """Return how many crashes count against a request, as `CrashCounts.most`."""
        return self._counts.most(subject, now_s, parts)

    def crash_counts_with(
        self, subject: int, now_s: float, parts: Collection[int] = ()
    ) -> dict[int, int]:
        """Return the crash counts of several requests, as `CrashCounts.most_beside`."""
        return self._counts.most_beside(subject, now_s, parts)

    def record_crash(
        self,
        subject: int,
        server: int,
        now_s: float,
        *,
        age_s: float = 0.0,
        is_own: bool,
        is_presumed: bool = False,
    ) -> Verdict | None:
        """Record that a server crashed while it ran a subject; return a new verdict, if any.

        Parameters
        ----------
        subject
            The request or the part.
        server
            Hash of the server's incarnation.
        now_s
            Present time.
        age_s
            Time since the crash.
        is_own
            Whether this entry has observed it itself.
        is_presumed
            Whether it isn't certain yet that the server has crashed.
        """
        self._update(now_s)
        crash = Crash(now_s - age_s, now_s, is_own, is_presumed)
        added = [subject] if self._add(subject, server, crash) else []
        verdicts = self._judge(added, now_s)
        return verdicts[0] if verdicts else None

    def record_crashed_run(
        self,
        subjects: Subjects,
        server: int,
        now_s: float,
        *,
        age_s: float = 0.0,
        is_presumed: bool = False,
    ) -> list[Verdict]:
        """Record that a server crashed while it ran a request of this entry; return new verdicts.

        Parameters
        ----------
        subjects
            The request, and the parts that may be the cause.
        server, now_s, age_s, is_presumed
            As for `record_crash`.
        """
        self._update(now_s)
        self._carried.record(subjects)
        crash = Crash(now_s - age_s, now_s, True, is_presumed)
        suspects = (subjects.fingerprint, *subjects.parts)
        return self._judge([one for one in suspects if self._add(one, server, crash)], now_s)

    def record_answered(self, subject: int, now_s: float) -> bool:
        """Record an answer to a subject; return whether it had crashes or a verdict.

        For a request, the answer is complete. For a part, it had begun and gone on.
        """
        self._cases.answered.record_own(subject, now_s)
        if subject not in self._cases and subject not in self._verdicts:
            return False
        self._apply_answer(subject, now_s, now_s)
        return True

    def record_short_answer(self, parts: tuple[int, ...], server: int, now_s: float) -> None:
        """Record a complete answer that was too short to show that it went on.

        It counts for the parts once the server answers again: it may have crashed right after it.
        """
        self._cases.answered.record_short(parts, server, now_s)

    def pop_confirmed(self, server: int, now_s: float) -> list[int]:
        """Return the parts of short answers that are confirmed as their server answers again."""
        return self._cases.answered.pop_confirmed(server, now_s)

    def apply_verdict(self, received: VerdictReport, now_s: float) -> Verdict | None:
        """Apply a verdict received from another entry; return it if it is new.

        For a known verdict the earlier expiry counts: an entry that read it from the store doesn't
        know how long it has been in force.
        """
        left_s = min(received.left_s, QUARANTINE_S)
        self._update(now_s)
        known = self._verdicts.get(received.subject)
        if known is not None and not known.is_presumed:
            self._verdicts.shorten(received.subject, now_s + left_s)
            self._verdicts.keep_companions(received.subject, received.companions, now_s)
            self._verdicts.combine_trials(received.subject, received.trials, now_s)
            return None
        if left_s <= 0 or self._verdicts.was_just_lifted(received.subject, now_s):
            return None
        if self._counts.is_refuted(received.subject, received.crashes, now_s):
            return None
        verdict = Verdict(
            received.subject,
            now_s,
            now_s + left_s,
            received.crashes,
            companions=received.companions,
            trials=received.trials,
        )
        self._verdicts.add(verdict)
        return verdict

    def lift(self, subject: int, now_s: float) -> bool:
        """End a verdict before it expires; return whether there was one.

        As after expiry, one more crash quarantines the request again.
        """
        verdict = self.verdict_on(subject, now_s)
        if verdict is not None:
            self._verdicts.end(verdict, now_s)
        return verdict is not None

    def report(
        self, now_s: float, *, is_full: bool, includes_peers: bool = False
    ) -> QuarantineReport:
        """Return the records to send to the peers.

        Parameters
        ----------
        now_s
            Present time.
        is_full
            Whether to repeat older records.
        includes_peers
            Whether to include records received from peers, on behalf of a data centre.
        """
        self._update(now_s)
        max_age_s = REPORTS_REPEATED_S if is_full else REPORTS_FRESH_S
        report = QuarantineReport(
            self._cases.crashes_to_send(now_s, max_age_s, includes_peers=includes_peers),
            self._verdicts.news(now_s, is_full=is_full),
            self._cases.answers_to_send(now_s, max_age_s, includes_peers=includes_peers),
        )
        return report if any(report) else EMPTY_REPORT

    def apply(self, report: QuarantineReport, now_s: float) -> list[Verdict]:
        """Apply the records received from a peer; return the new verdicts."""
        self._update(now_s)
        for answer in report.answers:
            self._apply_answer(answer.subject, now_s - answer.age_s, now_s)
        crashed = [
            crash.subject
            for crash in report.crashes
            if self._add(
                crash.subject,
                crash.server,
                Crash(now_s - crash.age_s, now_s, False, crash.is_presumed),
            )
        ]
        found = [self.apply_verdict(received, now_s) for received in report.verdicts]
        return [
            *self._judge(dict.fromkeys(crashed), now_s),
            *(verdict for verdict in found if verdict is not None),
        ]

    def judge_settled(self, now_s: float) -> list[LateVerdict]:
        """Judge parts whose records have settled, within a step; return the verdicts since then."""
        self._update(now_s, is_step=True)
        late, self._late = self._late, []
        return late

    def forget_old(self, now_s: float) -> list[Lifted]:
        """Drop crashes that no longer count; return the verdicts ended since the last call."""
        self._update(now_s)
        self._cases.forget_old(now_s)
        return self._verdicts.pop_lifted()

    def _update(self, now_s: float, *, is_step: bool = False) -> None:
        """End the verdicts that expire, and judge the parts whose records have settled.

        Parameters
        ----------
        now_s
            Present time.
        is_step
            Whether this step of the event loop is for judging. Many parts are judged in these only.
        """
        may_judge = self.parts.due_s <= now_s and (is_step or self.parts.may_judge_at_once())
        for due_s, part in self.parts.pop_due(now_s) if may_judge else ():
            self._verdicts.end_due(due_s)
            if self._verdicts.ended(part) is not None:
                continue  # Only a further crash brings a verdict back.
            if (verdict := self._judge_part(part, due_s)) is not None:
                self._late.append(LateVerdict(verdict, self._cases.is_latest_own(part)))
        self._verdicts.end_due(now_s)
        self._verdicts.settle_trials(now_s)

    def _add(self, subject: int, server: int, crash: Crash) -> bool:
        """Record a crash; return whether it is new."""
        if not self._cases.record_crash(subject, server, crash):
            return False
        verdict = self._verdicts.certain(subject)
        if verdict and not crash.is_presumed and is_trial_crash(verdict.since_s, crash.at_s):
            self._verdicts.end_trials(subject, crash.received_s)
        return True

    def _judge(self, subjects: Iterable[int], now_s: float) -> list[Verdict]:
        """Return the new verdicts on subjects with new crashes, the narrowest explanation first."""
        new = list(subjects)
        if new:
            self._cases.evict_excess(lambda key: key == new[-1] or key in self._verdicts)
        ranked = sorted(new, key=lambda one: (is_part(one), self._cases.server_count(one)))
        may_judge_at_once = self.parts.may_judge_at_once()
        verdicts = []
        for one in ranked:
            if not is_part(one):
                verdicts.append(self._judge_request(one, now_s))
            elif may_judge_at_once or self._verdicts.ended(one) or self._verdicts.certain(one):
                verdicts.append(self._judge_part(one, now_s))
            elif self._cases.server_count(one) >= CRASHES_FOR_VERDICT:
                self.parts.judge_later(one, now_s)
        return [verdict for verdict in verdicts if verdict is not None]

    def _judge_request(self, subject: int, now_s: float) -> Verdict | None:
        known = self._verdicts.get(subject)
        if known is not None and not known.is_presumed:
            self._lift_refuted(known, now_s)
            return None
        enough = 1 if self._verdicts.ended(subject) else CRASHES_FOR_VERDICT
        certain = self._counts.count(subject, now_s, is_certain=True)
        if certain >= enough:
            return self._quarantine(subject, now_s, QUARANTINE_S, certain)
        presumed = self.crash_count(subject, now_s)
        if known is not None or presumed < enough:
            return None
        return self._quarantine(subject, now_s, PRESUMED_CRASH_KEPT_S, presumed, is_presumed=True)

    def _judge_part(self, part: int, now_s: float) -> Verdict | None:
        known = self._verdicts.get(part)
        if known is not None and not known.is_presumed:
            self._lift_refuted(known, now_s)
            self._verdicts.review_later(now_s)
            return None
        if ended := self._verdicts.ended(part):
            if self._verdicts.is_explained_by_parts(part):
                return None
            crashes = len(self._cases.servers(part))
            verdict = ended._replace(since_s=now_s, until_s=now_s + QUARANTINE_S, crashes=crashes)
            self._verdicts.add(verdict)
            return verdict
        finding = self.parts.find(part, now_s)
        if finding is None:
            return None
        return self._quarantine(
            part,
            now_s,
            PRESUMED_CRASH_KEPT_S if finding.is_presumed else QUARANTINE_S,
            finding.crashes,
            is_presumed=finding.is_presumed,
            companions=finding.companions,
        )

    def _quarantine(
        self,
        subject: int,
        now_s: float,
        for_s: float,
        crashes: int,
        *,
        is_presumed: bool = False,
        companions: tuple[int, ...] = (),
    ) -> Verdict:
        verdict = Verdict(subject, now_s, now_s + for_s, crashes, is_presumed, companions)
        self._verdicts.add(verdict)
        return verdict

    def _apply_answer(self, subject: int, at_s: float, now_s: float) -> None:
        """Apply an answer, which clears the request: a harmful one is never answered."""
        if not self._cases.apply_answer(subject, at_s, now_s):
            return
        self._verdicts.forget_ended(subject)
        self._verdicts.drop_companion(subject, now_s)
        verdict = self._verdicts.get(subject)
        if verdict is not None and at_s > verdict.since_s:
            self._verdicts.remove(subject, now_s)
        elif verdict is not None:
            self._lift_refuted(verdict, now_s)

    def _lift_refuted(self, verdict: Verdict, now_s: float) -> None:
        if self._counts.is_refuted(verdict.subject, verdict.crashes, now_s):
            self._verdicts.remove(verdict.subject, now_s)
