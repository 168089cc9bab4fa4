"""Quarantine of requests that crash backend servers.

A harmful request (a "query of death") crashes every server that runs it. Through failover to a
second server and its caller's retries at other entries, it can crash a whole fleet of engines
within seconds, with all requests that run there. One crash doesn't show which of the requests on
the server caused it, or whether any did. So each entry records which requests a crashed server ran
and exchanges these records with the others. A request is quarantined when several servers have
crashed while running it and it has not been answered since. Requests that ran on the same servers
share a crash or two with it; these crashes no longer count against them once the harmful request
explains them.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from sassafrastally.proxy.crash_records import PRESUMED_CRASH_KEPT_S, Crash, CrashRecords
from sassafrastally.proxy.quarantine_exchange import EMPTY_REPORT, QuarantineReport, VerdictReport

CRASHES_FOR_VERDICT = 3
"""Crashes after which a request is quarantined. Two are common for requests that run beside a
harmful one and fail over together with it; each further one costs a server and all requests
there."""

QUARANTINE_S = 600.0
"""How long a request is quarantined. A wrong verdict expires within this time; when a right one
expires, one more server crashes."""

VERDICT_SETTLED_S = 1.0
"""Time after which a verdict explains the crashes of other requests. Before, records of the same
crashes may still be arriving. Two requests that always ran together can't be distinguished, so both
are quarantined: releasing one of them might release the harmful one."""

UNSETTLED_RETRY_AFTER_S = 2.0
"""Retry delay for callers whose request was quarantined less than `VERDICT_SETTLED_S` ago; after
it, it is known whether other requests explain the crashes."""

REPORTS_FRESH_S = 0.5
"""How long new records are sent with every datagram; an entry that misses these receives them when
older records are repeated."""

REPORTS_REPEATED_S = 30.0
"""How long records are repeated periodically, for entries that start or were cut off."""

LIFTED_VERDICT_KEPT_S = 10.0
"""How long a lifted verdict isn't accepted again from entries that don't know yet that it ended."""

MAX_VERDICTS = 256
"""Maximum number of verdicts, each of which took three crashed servers; beyond it, the one that
expires first is dropped."""

NEVER_S = float("inf")

MAX_VERDICTS_SENT = 12
"""Maximum number of verdicts in one datagram; the store holds the others."""


class Verdict(NamedTuple):
    """Decision to quarantine a request."""

    fingerprint: int
    since_s: float
    until_s: float
    crashes: int
    """Servers that crashed while running it."""
    is_presumed: bool = False
    """Whether it is based on crashes that aren't certain yet."""

    def retry_delay_s(self, now_s: float) -> float:
        """Return when its caller should retry: soon while other requests may still explain it."""
        if now_s - self.since_s < VERDICT_SETTLED_S:
            return UNSETTLED_RETRY_AFTER_S
        return self.until_s - now_s


class Lifted(NamedTuple):
    """A verdict that ended by expiry or review, not by an answer that this entry received."""

    verdict: Verdict
    reason: str


class Quarantine:
    """Verdicts and the crashes on which they are based."""

    def __init__(self) -> None:
        self._cases = CrashRecords()
        self._verdicts: dict[int, Verdict] = {}
        self._ended: dict[int, Verdict] = {}
        """Ended verdicts, by fingerprint; one more crash quarantines these requests again."""
        self._lifted: list[Lifted] = []
        """Ended verdicts not yet returned by `forget_old`."""
        self._lifted_s: dict[int, float] = {}
        self._verdict_count = 0
        self._review_due_s = NEVER_S
        self._next_end_s = NEVER_S
        """No verdict expires before this time; checked with each request."""

    def __len__(self) -> int:
        return len(self._verdicts)

    @property
    def version(self) -> int:
        """Counter, incremented with each new crash, answer and verdict."""
        return self._cases.version + self._verdict_count

    def verdict(self, fingerprint: int, now_s: float) -> Verdict | None:
        """Return the verdict on a request, if one is in force."""
        if not self._verdicts:
            return None
        self._end_verdicts(now_s)
        return self._verdicts.get(fingerprint)

    def verdicts(self, now_s: float) -> list[Verdict]:
        """Return the verdicts in force."""
        self._end_verdicts(now_s)
        return list(self._verdicts.values())

    def crash_count(self, fingerprint: int, now_s: float) -> int:
        """Return how many crashes count against a request."""
        return self._count_crashes(fingerprint, now_s, is_certain=False)

    def crash_counts_with(self, fingerprint: int, now_s: float) -> dict[int, int]:
        """Return crash counts of a request and of those that ran on the same crashed servers."""
        crashes = {
            other: self.crash_count(other, now_s)
            for other in self._cases.requests_beside(fingerprint)
            if other not in self._verdicts
        }
        suspects = {other: count for other, count in crashes.items() if count}
        return {fingerprint: self.crash_count(fingerprint, now_s), **suspects}

    def record_crash(
        self,
        fingerprint: int,
        server: int,
        now_s: float,
        *,
        age_s: float = 0.0,
        is_own: bool,
        is_presumed: bool = False,
    ) -> Verdict | None:
        """Record that a server crashed while it ran a request; return a new verdict, if any.

        Parameters
        ----------
        fingerprint
            The request.
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
        crash = Crash(now_s - age_s, now_s, is_own, is_presumed)
        if not self._cases.record_crash(fingerprint, server, crash):
            return None
        self._end_verdicts(now_s)
        self._cases.evict_excess(lambda key: key == fingerprint or key in self._verdicts)
        known = self._verdicts.get(fingerprint)
        if known is not None and not known.is_presumed:
            self._lift_refuted(known, now_s)
            return None
        enough = 1 if fingerprint in self._ended else CRASHES_FOR_VERDICT
        certain = self._count_crashes(fingerprint, now_s, is_certain=True)
        if certain >= enough:
            return self._quarantine(fingerprint, now_s, QUARANTINE_S, certain)
        presumed = self.crash_count(fingerprint, now_s)
        if known is not None or presumed < enough:
            return None
        return self._quarantine(
            fingerprint, now_s, PRESUMED_CRASH_KEPT_S, presumed, is_presumed=True
        )

    def record_answered(self, fingerprint: int, now_s: float) -> bool:
        """Record a complete answer to a request; return whether it had crashes or a verdict."""
        self._cases.record_own_answer(fingerprint, now_s)
        if fingerprint not in self._cases and fingerprint not in self._verdicts:
            return False
        self._apply_answer(fingerprint, now_s, now_s)
        return True

    def apply_verdict(self, received: VerdictReport, now_s: float) -> Verdict | None:
        """Apply a verdict received from another entry; return it if it is new.

        For a known verdict the earlier expiry counts: an entry that read it from the store doesn't
        know how long it has been in force.
        """
        left_s = min(received.left_s, QUARANTINE_S)
        known = self.verdict(received.fingerprint, now_s)
        if known is not None and not known.is_presumed:
            until_s = min(known.until_s, now_s + left_s)
            self._verdicts[received.fingerprint] = known._replace(until_s=until_s)
            self._next_end_s = min(self._next_end_s, until_s)
            return None
        lifted_s = self._lifted_s.get(received.fingerprint, float("-inf"))
        if left_s <= 0 or now_s - lifted_s < LIFTED_VERDICT_KEPT_S:
            return None
        if self._is_refuted(received.fingerprint, received.crashes, now_s):
            return None
        return self._quarantine(received.fingerprint, now_s, left_s, received.crashes)

    def lift(self, fingerprint: int, now_s: float) -> bool:
        """End a verdict before it expires; return whether there was one.

        As after expiry, one more crash quarantines the request again.
        """
        verdict = self.verdict(fingerprint, now_s)
        if verdict is not None:
            self._end(verdict, now_s)
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
        max_age_s = REPORTS_REPEATED_S if is_full else REPORTS_FRESH_S
        report = QuarantineReport(
            self._cases.crashes_to_send(now_s, max_age_s, includes_peers=includes_peers),
            self._verdict_news(now_s, is_full),
            self._cases.answers_to_send(now_s, max_age_s, includes_peers=includes_peers),
        )
        return report if any(report) else EMPTY_REPORT

    def apply(self, report: QuarantineReport, now_s: float) -> list[Verdict]:
        """Apply the records received from a peer; return the new verdicts."""
        for answer in report.answers:
            self._apply_answer(answer.fingerprint, now_s - answer.age_s, now_s)
        found = [
            self.record_crash(
                crash.fingerprint,
                crash.server,
                now_s,
                age_s=crash.age_s,
                is_own=False,
                is_presumed=crash.is_presumed,
            )
            for crash in report.crashes
        ]
        found += [self.apply_verdict(received, now_s) for received in report.verdicts]
        return [verdict for verdict in found if verdict is not None]

    def forget_old(self, now_s: float) -> list[Lifted]:
        """Drop crashes that no longer count; return the verdicts ended since the last call."""
        self._end_verdicts(now_s)
        self._cases.forget_old(now_s)
        lifted, self._lifted = self._lifted, []
        return lifted

    def _count_crashes(self, fingerprint: int, now_s: float, *, is_certain: bool) -> int:
        if fingerprint not in self._cases:
            return 0
        return self._cases.count(
            fingerprint,
            now_s,
            lambda server: self._is_explained(server, fingerprint, now_s),
            is_certain=is_certain,
        )

    def _quarantine(
        self,
        fingerprint: int,
        now_s: float,
        for_s: float,
        crashes: int,
        *,
        is_presumed: bool = False,
    ) -> Verdict:
        verdict = Verdict(fingerprint, now_s, now_s + for_s, crashes, is_presumed)
        self._verdicts[fingerprint] = verdict
        self._verdict_count += 1
        self._review_due_s = now_s + VERDICT_SETTLED_S
        self._next_end_s = min(self._next_end_s, verdict.until_s)
        if len(self._verdicts) > MAX_VERDICTS:
            del self._verdicts[min(self._verdicts.values(), key=_until_s).fingerprint]
        return verdict

    def _end_verdicts(self, now_s: float) -> None:
        if now_s >= self._next_end_s:
            ended = [verdict for verdict in self._verdicts.values() if now_s >= verdict.until_s]
            for verdict in ended:
                self._end(verdict, now_s)
                reason = "no crash was confirmed" if verdict.is_presumed else "it expired"
                self._lifted.append(Lifted(verdict, reason))
            ends_s = (verdict.until_s for verdict in self._verdicts.values())
            self._next_end_s = min(ends_s, default=NEVER_S)
        if now_s >= self._review_due_s:
            self._review_due_s = NEVER_S
            self._review(now_s)

    def _review(self, now_s: float) -> None:
        """Lift verdicts whose crashes are all explained by other verdicts.

        While several harmful requests crash servers in turn, a good one may be involved in three of
        these crashes before any cause is known. A request that is the only quarantined one on some
        crashed server is a cause. A verdict is lifted if causes explain all of its crashes.
        """
        servers = {key: self._cases.servers(key) for key in self._verdicts}
        explained_by = Counter(server for crashed in servers.values() for server in crashed)
        causes = {
            key
            for key, crashed in servers.items()
            if not self._verdicts[key].is_presumed
            and any(explained_by[server] == 1 for server in crashed)
        }
        explained = {server for key in causes for server in servers[key]}
        for key, verdict in list(self._verdicts.items()):
            if key not in causes and servers[key] and servers[key] <= explained:
                del self._verdicts[key]
                self._record_lifted(key, now_s)
                self._lifted.append(Lifted(verdict, "other requests explain its crashes"))

    def _end(self, verdict: Verdict, now_s: float) -> None:
        del self._verdicts[verdict.fingerprint]
        if verdict.is_presumed:
            return
        self._ended[verdict.fingerprint] = verdict
        if len(self._ended) > MAX_VERDICTS:
            del self._ended[next(iter(self._ended))]
        self._record_lifted(verdict.fingerprint, now_s)

    def _record_lifted(self, fingerprint: int, now_s: float) -> None:
        """Remember that a verdict has ended while peers may still send it."""
        self._lifted_s = {
            key: at_s
            for key, at_s in self._lifted_s.items()
            if now_s - at_s < LIFTED_VERDICT_KEPT_S
        }
        self._lifted_s[fingerprint] = now_s

    def _is_explained(self, server: int, fingerprint: int, now_s: float) -> bool:
        """Return whether another, harmful request ran on a server when it crashed."""
        return any(
            verdict.fingerprint != fingerprint
            and not verdict.is_presumed
            and now_s - verdict.since_s >= VERDICT_SETTLED_S
            and self._cases.has_crashed(server, verdict.fingerprint)
            for verdicts in (self._verdicts, self._ended)
            for verdict in verdicts.values()
        )

    def _is_refuted(self, fingerprint: int, crashes: int, now_s: float) -> bool:
        """Return whether the crashes of a verdict are known here and too few to justify it.

        An entry that has no answer to the request counts each crashed server of a rack. An entry
        that has one counts them once.
        """
        if not self._cases.was_answered(fingerprint):
            return False
        is_all_known = len(self._cases.servers(fingerprint)) >= crashes
        return is_all_known and self.crash_count(fingerprint, now_s) < CRASHES_FOR_VERDICT

    def _apply_answer(self, fingerprint: int, at_s: float, now_s: float) -> None:
        """Apply an answer, which clears the request: a harmful one is never answered."""
        if not self._cases.apply_answer(fingerprint, at_s, now_s):
            return
        self._ended.pop(fingerprint, None)
        verdict = self._verdicts.get(fingerprint)
        if verdict is None:
            return
        if at_s > verdict.since_s:
            del self._verdicts[fingerprint]
            self._record_lifted(fingerprint, now_s)
        else:
            self._lift_refuted(verdict, now_s)

    def _lift_refuted(self, verdict: Verdict, now_s: float) -> None:
        if self._is_refuted(verdict.fingerprint, verdict.crashes, now_s):
            del self._verdicts[verdict.fingerprint]
            self._record_lifted(verdict.fingerprint, now_s)

    def _verdict_news(self, now_s: float, is_full: bool) -> tuple[VerdictReport, ...]:
        if not self._verdicts:
            return ()
        found = [
            verdict
            for verdict in self.verdicts(now_s)
            if not verdict.is_presumed and (is_full or now_s - verdict.since_s < REPORTS_FRESH_S)
        ]
        latest = sorted(found, key=lambda verdict: -verdict.since_s)[:MAX_VERDICTS_SENT]
        return tuple(
            VerdictReport(one.fingerprint, one.until_s - now_s, one.crashes) for one in latest
        )


def _until_s(verdict: Verdict) -> float:
    return verdict.until_s
