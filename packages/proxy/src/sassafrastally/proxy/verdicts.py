"""Decisions to quarantine requests or prompt parts."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.fingerprint import is_part
from sassafrastally.proxy.part_trials import TRIAL_INTERVAL_S, UNTRIED, TrialState
from sassafrastally.proxy.quarantine_exchange import VerdictReport

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from sassafrastally.proxy.crash_records import CrashRecords

VERDICT_SETTLED_S = 1.0
"""Time after which a verdict explains the crashes of other requests. Before, records of the same
crashes may still be arriving. Two requests that always ran together can't be distinguished, so both
are quarantined: releasing one of them might release the harmful one."""

UNSETTLED_RETRY_AFTER_S = 2.0
"""Retry delay for callers whose request was quarantined less than `VERDICT_SETTLED_S` ago; after
it, it is known whether other requests explain the crashes."""

LIFTED_VERDICT_KEPT_S = 10.0
"""How long a lifted verdict isn't accepted again from entries that don't know yet that it ended."""

MAX_VERDICTS = 256
"""Maximum number of verdicts, each of which took three crashed servers; beyond it, the one that
expires first is dropped."""

REPORTS_FRESH_S = 0.5
"""How long new records are sent with every datagram; an entry that misses these receives them when
older records are repeated."""

MAX_VERDICTS_SENT = 12
"""Maximum number of verdicts in one datagram; the store holds the others."""

NEVER_S = float("inf")


class Verdict(NamedTuple):
    """Decision to quarantine a request, or requests with a part of their prompts."""

    subject: int
    """Fingerprint of the request, or key of the part."""
    since_s: float
    until_s: float
    crashes: int
    """Servers that crashed while running it."""
    is_presumed: bool = False
    """Whether it is based on crashes that aren't certain yet."""
    companions: tuple[int, ...] = ()
    """Keys of further parts that a request must have: they can't be told from the part."""
    changed_s: float = float("-inf")
    """When its companions, or what is known of its trials, last changed."""
    tried_s: float = float("-inf")
    """When this entry last tried a request to which it applies."""
    trial_known_s: float = float("-inf")
    """When this entry learned of the last trial of any entry."""
    trials: TrialState = UNTRIED
    """What has come of the trials of all entries."""

    def covers(self, parts: Collection[int]) -> bool:
        """Return whether it covers a request with its subject and these parts."""
        return all(part in parts for part in self.companions)

    def retry_delay_s(self, now_s: float) -> float:
        """Return when its caller should retry: soon while other requests may still explain it."""
        if now_s - self.since_s < VERDICT_SETTLED_S:
            return UNSETTLED_RETRY_AFTER_S
        return self.until_s - now_s


class LateVerdict(NamedTuple):
    """A verdict that was reached some time after the last crash."""

    verdict: Verdict
    is_own: bool
    """Whether this entry has observed the last crash itself."""


class Lifted(NamedTuple):
    """A verdict that ended by expiry or review, not by an answer that this entry received."""

    verdict: Verdict
    reason: str


class Verdicts:
    """Verdicts in force, and those that have ended.

    Parameters
    ----------
    cases
        Crashes on which the verdicts are based.
    """

    def __init__(self, cases: CrashRecords) -> None:
        self.version = 0
        """Incremented with each new verdict and each one that covers more."""
        self.on_review: Callable[[float], None] = lambda _now_s: None
        """Called with the present time when the verdicts have been reviewed."""
        self.on_change: Callable[[int], None] = lambda _subject: None
        """Called with the subject of each verdict that is new, has ended or covers more."""
        self._cases = cases
        self._verdicts: dict[int, Verdict] = {}
        self._ended: dict[int, Verdict] = {}
        """Ended verdicts, by subject; one more crash quarantines these subjects again."""
        self._lifted: list[Lifted] = []
        """Ended verdicts not yet returned by `pop_lifted`."""
        self._lifted_s: dict[int, float] = {}
        self._open_trials_s: dict[int, float] = {}
        """When this entry began trials whose outcome isn't known yet."""
        self._changes = 0
        self._required: set[int] = set()
        """Companions of all verdicts."""
        self._required_at = 0
        """Number of changes of verdicts at which they were collected."""
        self._indexed_at = (-1, -1)
        """Numbers of changes of verdicts and crashes at which the two following were collected."""
        self._blamed_on: dict[int, set[int]] = {}
        """Parts with a certain verdict, by the servers that crashed with them."""
        self._explaining_on: dict[tuple[int, bool], tuple[tuple[int, float], ...]] = {}
        """The two subjects that have a certain verdict, in force or ended, for longest, and since
        when, by the servers that crashed with them and by whether they are parts."""
        self._review_due_s = NEVER_S
        self._next_end_s = NEVER_S
        """No verdict expires before this time; checked with each request."""

    def __len__(self) -> int:
        return len(self._verdicts)

    def __contains__(self, subject: int) -> bool:
        return subject in self._verdicts

    def __iter__(self) -> Iterator[Verdict]:
        return iter(self._verdicts.values())

    def has_any(self, subjects: Collection[int]) -> bool:
        """Return whether there is a verdict on any of some subjects."""
        return not self._verdicts.keys().isdisjoint(subjects)

    def get(self, subject: int) -> Verdict | None:
        """Return the verdict on a subject, if any."""
        return self._verdicts.get(subject)

    def certain(self, subject: int) -> Verdict | None:
        """Return the verdict on a subject if it was reached from certain crashes."""
        verdict = self._verdicts.get(subject)
        return None if verdict is None or verdict.is_presumed else verdict

    def ended(self, subject: int) -> Verdict | None:
        """Return the ended verdict on a subject, if any."""
        return self._ended.get(subject)

    def forget_ended(self, subject: int) -> None:
        """Forget an ended verdict, so that one more crash doesn't bring it back."""
        if self._ended.pop(subject, None) is not None:
            self._record_change(subject)

    def was_just_lifted(self, subject: int, now_s: float) -> bool:
        """Return whether a verdict ended so recently that peers may still send it."""
        return now_s - self._lifted_s.get(subject, -NEVER_S) < LIFTED_VERDICT_KEPT_S

    def add(self, verdict: Verdict) -> None:
        """Add a verdict, which replaces an earlier one on its subject."""
        self._verdicts[verdict.subject] = verdict
        self.version += 1
        self._record_change(verdict.subject)
        self._review_due_s = verdict.since_s + VERDICT_SETTLED_S
        self._next_end_s = min(self._next_end_s, verdict.until_s)
        if len(self._verdicts) > MAX_VERDICTS:
            dropped = min(self._verdicts.values(), key=_until_s).subject
            del self._verdicts[dropped]
            self._record_change(dropped)

    def begin_trial(self, subject: int, trials: TrialState, now_s: float) -> None:
        """Record that this entry tries a request with a part.

        Parameters
        ----------
        subject
            The part.
        trials
            Its trials, including this one, which peers may have reported already.
        now_s
            Present time.
        """
        verdict = self._verdicts[subject]
        self._verdicts[subject] = verdict._replace(tried_s=now_s)
        self._open_trials_s[subject] = now_s
        self.combine_trials(subject, trials, now_s)

    def end_trials(self, subject: int, now_s: float) -> None:
        """Let no entry try a part any more: a server has crashed at a trial."""
        self._open_trials_s.pop(subject, None)
        self.combine_trials(subject, TrialState(has_crashed=True), now_s)

    def combine_trials(self, subject: int, trials: TrialState, now_s: float) -> None:
        """Add to a verdict what is known of trials."""
        verdict = self._verdicts[subject]
        combined = verdict.trials.combined(trials)
        if combined != verdict.trials:
            is_begun = combined.begun > verdict.trials.begun
            self._verdicts[subject] = verdict._replace(
                trials=combined,
                changed_s=now_s,
                trial_known_s=now_s if is_begun else verdict.trial_known_s,
            )
            self.version += 1

    def abandon_trial(self, subject: int, now_s: float) -> None:
        """End a trial of this entry whose request has reached no server."""
        if self._open_trials_s.pop(subject, None) is not None and subject in self._verdicts:
            self._settle_trial(subject, now_s)

    def is_trial_open(self, subject: int) -> bool:
        """Return whether the outcome of a trial of this entry isn't known yet."""
        return subject in self._open_trials_s

    def settle_trials(self, now_s: float) -> None:
        """End the trials of this entry at which no server has crashed for long enough."""
        for subject, tried_s in list(self._open_trials_s.items()):
            if now_s < tried_s + TRIAL_INTERVAL_S:
                continue
            del self._open_trials_s[subject]
            if subject in self._verdicts:
                self._settle_trial(subject, now_s)

    def _settle_trial(self, subject: int, now_s: float) -> None:
        trials = self._verdicts[subject].trials
        trials = trials._replace(without_crash=trials.without_crash + 1)
        self.combine_trials(subject, trials, now_s)

    def shorten(self, subject: int, until_s: float) -> None:
        """Let a verdict expire no later than at a given time."""
        verdict = self._verdicts[subject]
        self._verdicts[subject] = verdict._replace(until_s=min(verdict.until_s, until_s))
        self._next_end_s = min(self._next_end_s, until_s)

    def remove(self, subject: int, now_s: float) -> None:
        """Remove a verdict that has proved wrong."""
        del self._verdicts[subject]
        self._record_change(subject)
        self._record_lifted(subject, now_s)

    def pop_lifted(self) -> list[Lifted]:
        """Return the verdicts that have ended by expiry or review since the last call."""
        lifted, self._lifted = self._lifted, []
        return lifted

    def review_later(self, now_s: float) -> None:
        """Review the verdicts once the records of new crashes have arrived."""
        self._review_due_s = min(self._review_due_s, now_s + VERDICT_SETTLED_S)

    def drop_companion(self, part: int, now_s: float) -> None:
        """Let no verdict require a part any more, as it was answered."""
        if self._required_at != self._changes:
            self._required_at = self._changes
            self._required = {one for verdict in self for one in verdict.companions}
        if part not in self._required:
            return
        for subject in [key for key, one in self._verdicts.items() if part in one.companions]:
            kept = set(self._verdicts[subject].companions) - {part}
            self.keep_companions(subject, kept, now_s)

    def keep_companions(self, part: int, kept: Collection[int], now_s: float) -> None:
        """Drop all other companions of a verdict: a request without them crashed a server, too."""
        verdict = self._verdicts[part]
        companions = tuple(one for one in verdict.companions if one in kept)
        if companions != verdict.companions:
            self._verdicts[part] = verdict._replace(companions=companions, changed_s=now_s)
            self.version += 1
            self._record_change(part)

    def end_due(self, now_s: float) -> None:
        """End the verdicts that expire, and review the others if that is due."""
        if now_s >= self._next_end_s:
            ended = [verdict for verdict in self._verdicts.values() if now_s >= verdict.until_s]
            for verdict in ended:
                self.end(verdict, now_s)
                reason = "no crash was confirmed" if verdict.is_presumed else "it expired"
                self._lifted.append(Lifted(verdict, reason))
            ends_s = (verdict.until_s for verdict in self._verdicts.values())
            self._next_end_s = min(ends_s, default=NEVER_S)
        if now_s >= self._review_due_s:
            self._review_due_s = NEVER_S
            self._review(now_s)
            self.on_review(now_s)

    def _review(self, now_s: float) -> None:
        """Lift verdicts whose crashes are all explained by other verdicts.

        While several harmful requests crash servers in turn, a good one may be involved in three of
        these crashes before any cause is known. A request that is the only quarantined one on some
        crashed server is a cause. A verdict is lifted if causes explain all of its crashes.
        """
        if any(
            self._cases.settled_servers(key, now_s) != self._cases.servers(key)
            for key in self._verdicts
        ):
            self.review_later(now_s)
        blamed_parts = {key for key in self._verdicts if is_part(key)}
        part_causes = self._only_explanations(blamed_parts, now_s)
        self._lift_explained(blamed_parts - part_causes, part_causes, now_s)
        requests = self._verdicts.keys() - blamed_parts
        parts = self._verdicts.keys() & blamed_parts
        causes = self._only_explanations(self._verdicts.keys(), now_s)
        self._lift_explained(requests - causes, causes | parts, now_s)

    def is_explained_by_parts(self, part: int) -> bool:
        """Return whether other quarantined parts explain all crashes of a part."""
        self._index()
        return all(
            len(self._blamed_on.get(server, ())) > self._is_blamed_on(part, server)
            for server in self._cases.servers(part)
        )

    def news(self, now_s: float, *, is_full: bool) -> tuple[VerdictReport, ...]:
        """Return the verdicts to send to peers, the latest first; if `is_full`, older ones too."""
        if not self._verdicts:
            return ()
        self.end_due(now_s)
        found = [
            verdict
            for verdict in self._verdicts.values()
            if not verdict.is_presumed
            and (is_full or now_s - max(verdict.since_s, verdict.changed_s) < REPORTS_FRESH_S)
        ]
        latest = sorted(found, key=lambda verdict: -verdict.since_s)[:MAX_VERDICTS_SENT]
        return tuple(
            VerdictReport(one.subject, one.until_s - now_s, one.crashes, one.companions, one.trials)
            for one in latest
        )

    def _only_explanations(self, keys: Collection[int], now_s: float) -> set[int]:
        """Return the quarantined subjects that are the only one on some crashed server."""
        servers = {key: self._cases.settled_servers(key, now_s) for key in keys}
        explained_by = Counter(server for crashed in servers.values() for server in crashed)
        return {
            key
            for key, crashed in servers.items()
            if not self._verdicts[key].is_presumed
            and any(explained_by[server] == 1 for server in crashed)
        }

    def _lift_explained(self, keys: Collection[int], causes: Collection[int], now_s: float) -> None:
        """Lift the verdicts on subjects all of whose crashes are explained by causes."""
        certain = (key for key in causes if not self._verdicts[key].is_presumed)
        explained = {server for key in certain for server in self._cases.servers(key)}
        for key in keys:
            servers = self._cases.servers(key)
            if servers and servers <= explained:
                verdict = self._verdicts.pop(key)
                self._record_change(key)
                self._record_lifted(key, now_s)
                self._lifted.append(Lifted(verdict, "other subjects explain its crashes"))

    def end(self, verdict: Verdict, now_s: float) -> None:
        """End a verdict; one more crash brings it back, unless it was presumed."""
        del self._verdicts[verdict.subject]
        self._record_change(verdict.subject)
        if verdict.is_presumed:
            return
        self._ended[verdict.subject] = verdict
        if len(self._ended) > MAX_VERDICTS:
            del self._ended[next(iter(self._ended))]
        self._record_lifted(verdict.subject, now_s)

    def _record_lifted(self, subject: int, now_s: float) -> None:
        """Remember that a verdict has ended while peers may still send it."""
        if len(self._lifted_s) >= MAX_VERDICTS:
            kept_after_s = now_s - LIFTED_VERDICT_KEPT_S
            self._lifted_s = {
                key: at_s for key, at_s in self._lifted_s.items() if at_s > kept_after_s
            }
        self._lifted_s[subject] = now_s

    def explain(self, server: int, subject: int, now_s: float) -> bool:
        """Return whether another, harmful subject ran on a server when it crashed.

        A harmful request doesn't explain the crashes of a part: it may be harmful because of it.
        """
        self._index()
        settled_s = now_s - VERDICT_SETTLED_S
        for blames_part in (True,) if is_part(subject) else (True, False):
            for key, since_s in self._explaining_on.get((server, blames_part), ()):
                if key != subject and since_s <= settled_s:
                    return True
        return False

    def _is_blamed_on(self, part: int, server: int) -> bool:
        return part in self._blamed_on.get(server, ())

    def _record_change(self, subject: int) -> None:
        self._changes += 1
        self.on_change(subject)

    def _index(self) -> None:
        """Collect which verdicts have crashes of which servers."""
        state = (self._changes, self._cases.crash_changes)
        if state == self._indexed_at:
            return
        self._indexed_at = state
        self._blamed_on, self._explaining_on = {}, {}
        since_s: dict[tuple[int, bool], dict[int, float]] = {}
        for verdicts in (self._ended, self._verdicts):
            for subject, verdict in verdicts.items():
                for server in () if verdict.is_presumed else self._cases.servers(subject):
                    found = since_s.setdefault((server, is_part(subject)), {})
                    found[subject] = min(verdict.since_s, found.get(subject, NEVER_S))
                    if is_part(subject) and verdicts is self._verdicts:
                        self._blamed_on.setdefault(server, set()).add(subject)
        for key, found in since_s.items():
            earliest = heapq.nsmallest(2, found.items(), key=lambda item: item[1])
            self._explaining_on[key] = tuple(earliest)


def _until_s(verdict: Verdict) -> float:
    return verdict.until_s
