"""Records of server crashes by what ran there, and of answers.

A subject is what may be blamed: a request, named by its fingerprint, or a part of prompts, named by
its key. The records hold this entry's own observations and those of its peers. Their size is
bounded, whatever callers send.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from sassafrastally.proxy.answered_subjects import NEVER_S, AnsweredSubjects
from sassafrastally.proxy.fingerprint import is_part
from sassafrastally.proxy.quarantine_exchange import AnswerReport, CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

CRASH_KEPT_S = 600.0
"""How long a crash counts against a subject. A harmful request is retried within seconds or
minutes; unrelated crashes over a day must not add up."""

PRESUMED_CRASH_KEPT_S = 5.0
"""How long an uncertain crash counts. If the server's process has ended, its next incarnation has
registered by then."""

SAME_EVENT_S = 1.0
"""Crashes within this time count as one for a subject that has been answered before: the servers of
a rack fail together, and a request that many callers send runs on most of them."""

SAME_PART_EVENT_S = 0.1
"""Crashes within this time count as one for a part that hasn't been answered before: a part that
many requests share runs on most servers of a rack. Its entries detect the crashes of a rack within
some ten milliseconds."""

SETTLED_S = 0.5
"""Time after which other entries have told which subjects ran on a crashed server: each datagram
repeats new records for as long."""

RECORDS_EXCHANGED_S = 0.08
"""Time after which other entries have usually told this. A busy entry sends its records some 40 ms
after it has read that its answers broke off."""

MAX_CASES = 1024
"""Maximum number of subjects whose crashes are kept; beyond it, those with the fewest crashes are
evicted, the oldest first."""

MAX_CRASHES_SENT = 16
MAX_ANSWERS_SENT = 8
"""Maximum number of records of each kind in one datagram. Together they take at most half of its
bytes; loads need the rest."""

_Report = TypeVar("_Report")


class Crash(NamedTuple):
    """A server's crash."""

    at_s: float
    received_s: float
    """When this entry learned of the crash."""
    is_own: bool
    """Whether this entry has observed it itself."""
    is_presumed: bool = False
    """Whether it isn't certain yet that the server has crashed."""

    def counts(self, now_s: float) -> bool:
        """Return whether it still counts against the subject."""
        return now_s - self.at_s < (PRESUMED_CRASH_KEPT_S if self.is_presumed else CRASH_KEPT_S)


class CrashRecords:
    """Crashes by the subjects that ran on the crashed servers."""

    def __init__(self) -> None:
        self.version = 0
        """Incremented with each new crash and answer."""
        self.crash_changes = 0
        """Incremented with each new or forgotten crash."""
        self.changes = 0
        """Incremented with each new or forgotten crash or answer."""
        self.answered = AnsweredSubjects()
        """Latest answers, with or without earlier crashes."""
        self._crashes: dict[int, dict[int, Crash]] = {}
        self._has_presumed = False
        self._presumed_at = 0
        """Value of `crash_changes` at which `_has_presumed` was determined."""
        self._requests_by_server: dict[int, set[int]] = {}
        self._request_order: dict[int, int] = {}
        """Number of each request in the order of their first crashes."""
        self._requests_at = 0
        """Value of `crash_changes` at which `_requests_by_server` was collected."""
        self._latest_change_s = NEVER_S
        self._turns = {True: 0, False: 0}
        """How many reports have been passed over, so that each gets its turn; by whether they are
        reports of crashes."""

    def __len__(self) -> int:
        return len(self._crashes)

    def __contains__(self, subject: int) -> bool:
        return subject in self._crashes

    def servers(self, subject: int) -> set[int]:
        """Return the hashes of the servers that crashed while they ran a subject."""
        return set(self._crashes.get(subject, ()))

    def server_count(self, subject: int) -> int:
        """Return the number of `servers`."""
        return len(self._crashes.get(subject, ()))

    def settled_servers(self, subject: int, now_s: float) -> set[int]:
        """Return those of `servers` for which the records of other subjects have arrived, too."""
        return {
            server
            for server, crash in self._crashes.get(subject, {}).items()
            if now_s - crash.received_s >= SETTLED_S
        }

    def learned_s(
        self,
        subject: int,
        now_s: float,
        crashes: int,
        is_explained: Callable[[int], bool],
        *,
        is_certain: bool,
    ) -> float:
        """Return when this entry had learned of some number of crashes; infinity if it hasn't.

        Crashes are counted as in `count`.
        """
        counted = self.counted(subject, now_s, is_explained, is_certain=is_certain)
        received_s = {server: self._crashes[subject][server].received_s for server in counted}
        ordered_s = sorted(set(received_s.values()))

        def is_known_at(latest_s: float) -> bool:
            known = [at_s for server, at_s in counted.items() if received_s[server] <= latest_s]
            return self._count(subject, known) >= crashes

        first = bisect_left(ordered_s, True, key=is_known_at)
        return ordered_s[first] if first < len(ordered_s) else float("inf")

    def is_latest_own(self, subject: int) -> bool:
        """Return whether this entry has observed the crash of which it learned last."""
        crashes = self._crashes.get(subject, {}).values()
        latest = max(crashes, key=lambda crash: crash.received_s, default=None)
        return latest is not None and latest.is_own

    def latest_record_age_s(self, subject: int, now_s: float) -> float:
        """Return the time since this entry learned of a subject's last crash; 0 without any."""
        crashes = self._crashes.get(subject, {}).values()
        return now_s - max((crash.received_s for crash in crashes), default=now_s)

    def has_crashed(self, server: int, subject: int) -> bool:
        """Return whether a server crashed while it ran a subject."""
        return server in self._crashes.get(subject, ())

    def has_presumed(self) -> bool:
        """Return whether any crash isn't certain."""
        if self._presumed_at != self.crash_changes:
            self._presumed_at = self.crash_changes
            self._has_presumed = any(
                crash.is_presumed for known in self._crashes.values() for crash in known.values()
            )
        return self._has_presumed

    def requests_beside(self, subject: int) -> list[int]:
        """Return the other requests on servers that crashed while running a subject, latest first.

        Parts aren't included.
        """
        servers = self._crashes.get(subject, {}).keys()
        latest_s = {
            other: max(known[server].at_s for server in known.keys() & servers)
            for other in self.requests_on(servers)
            if other != subject and (known := self._crashes[other])
        }
        return sorted(latest_s, key=lambda other: (-latest_s[other], self._request_order[other]))

    def parts_on(self, servers: Collection[int], min_crashes: int) -> list[int]:
        """Return the parts that ran on at least some number of some crashed servers."""
        return [
            subject
            for subject, known in self._crashes.items()
            if len(known) >= min_crashes
            and is_part(subject)
            and len(known.keys() & servers) >= min_crashes
        ]

    def parts_with(self, min_crashes: int) -> list[int]:
        """Return the parts with at least some number of crashes."""
        return [
            subject
            for subject, known in self._crashes.items()
            if len(known) >= min_crashes and is_part(subject)
        ]

    def is_covered_by_request(self, servers: frozenset[int]) -> bool:
        """Return whether one and the same request ran on all of some crashed servers."""
        requests = self._requests()
        if not servers:
            return bool(requests)
        on_each = [requests.get(server, set()) for server in servers]
        return bool(set.intersection(*sorted(on_each, key=len)))

    def requests_on(self, servers: Collection[int]) -> set[int]:
        """Return the requests that ran on any of some crashed servers."""
        requests = self._requests()
        return set().union(*(requests.get(server, ()) for server in servers))

    def _requests(self) -> dict[int, set[int]]:
        """Return the requests by the crashed servers that ran them."""
        if self._requests_at != self.crash_changes:
            self._requests_at = self.crash_changes
            self._requests_by_server = {}
            requests = [subject for subject in self._crashes if not is_part(subject)]
            self._request_order = {subject: number for number, subject in enumerate(requests)}
            for subject in requests:
                for server in self._crashes[subject]:
                    self._requests_by_server.setdefault(server, set()).add(subject)
        return self._requests_by_server

    def counted(
        self,
        subject: int,
        now_s: float,
        is_explained: Callable[[int], bool] = lambda _server: False,
        *,
        is_certain: bool = False,
    ) -> dict[int, float]:
        """Return the times of the crashes that count against a subject, by server.

        Parameters
        ----------
        subject
            The subject.
        now_s
            Present time.
        is_explained
            Returns whether another subject explains a server's crash; by default, none does.
        is_certain
            Whether to count only certain crashes.
        """
        answered_s = self.answered.latest_s(subject)
        return {
            server: crash.at_s
            for server, crash in self._crashes.get(subject, {}).items()
            if crash.at_s > answered_s
            and crash.counts(now_s)
            and not (is_certain and crash.is_presumed)
            and not is_explained(server)
        }

    def count(
        self,
        subject: int,
        now_s: float,
        is_explained: Callable[[int], bool] = lambda _server: False,
        *,
        is_certain: bool = False,
    ) -> int:
        """Return how many crashes count against a subject; parameters as for `counted`."""
        counted = self.counted(subject, now_s, is_explained, is_certain=is_certain)
        return self._count(subject, counted.values())

    def count_times(self, subject: int, times_s: Collection[float]) -> int:
        """Return how many crashes at some times count against a subject."""
        return self._count(subject, times_s)

    def record_crash(self, subject: int, server: int, crash: Crash) -> bool:
        """Record that a server crashed while it ran a subject; return whether this is new.

        A crash reported by several entries counts once. Confirming a presumed crash counts as new.
        """
        known = self._crashes.setdefault(subject, {})
        if server in known and (crash.is_presumed or not known[server].is_presumed):
            return False
        earlier_s = known[server].at_s if server in known else crash.at_s
        known[server] = crash if crash.at_s <= earlier_s else crash._replace(at_s=earlier_s)
        self.crash_changes += 1
        self._record_change(crash.received_s)
        own_answered_s = self.answered.own_s(subject)
        if crash.received_s - own_answered_s < CRASH_KEPT_S:
            self.apply_answer(subject, own_answered_s, crash.received_s)
        return True

    def apply_answer(self, subject: int, at_s: float, received_s: float) -> bool:
        """Record an answer to a subject with crashes; return whether it is the latest known."""
        if not self.answered.apply(subject, at_s):
            return False
        self._record_change(received_s)
        return True

    def evict_excess(self, is_protected: Callable[[int], bool]) -> None:
        """Evict the subjects with the fewest crashes if there are too many, the oldest first.

        Parameters
        ----------
        is_protected
            Returns whether a subject must be kept.
        """
        excess = len(self._crashes) - MAX_CASES
        if excess <= 0:
            return
        evictable = [key for key in self._crashes if not is_protected(key)]
        evictable.sort(key=lambda key: len(self._crashes[key]))
        for subject in evictable[:excess]:
            self._forget(subject)

    def forget_old(self, now_s: float) -> None:
        """Remove subjects whose crashes no longer count."""
        for subject, known in list(self._crashes.items()):
            if not any(crash.counts(now_s) for crash in known.values()):
                self._forget(subject)

    def crashes_to_send(
        self, now_s: float, max_age_s: float, *, includes_peers: bool
    ) -> tuple[CrashReport, ...]:
        """Return the crashes to send: subjects with the most crashes first, then the latest.

        If there are too many, half of them are sent in turn.

        Parameters
        ----------
        now_s
            Present time.
        max_age_s
            Maximum time since this entry learned of them.
        includes_peers
            Whether to include crashes received from peers.
        """
        if now_s - self._latest_change_s >= max_age_s:
            return ()
        found = [
            (
                len(known),
                crash.at_s,
                CrashReport(subject, server, now_s - crash.at_s, crash.is_presumed),
            )
            for subject, known in self._crashes.items()
            for server, crash in known.items()
            if now_s - crash.received_s < max_age_s and (crash.is_own or includes_peers)
        ]
        ranked = [report for _, _, report in sorted(found, reverse=True)]
        return self._first_and_turns(ranked, MAX_CRASHES_SENT, is_crash=True)

    def answers_to_send(
        self, now_s: float, max_age_s: float, *, includes_peers: bool
    ) -> tuple[AnswerReport, ...]:
        """Return the answers to send, the latest first; parameters as for `crashes_to_send`."""
        if now_s - self._latest_change_s >= max_age_s:
            return ()
        found = [
            AnswerReport(subject, now_s - at_s)
            for subject, at_s in self.answered.applied()
            if (includes_peers or self.answered.is_own(subject))
            and now_s - self._latest_s(subject, at_s) < max_age_s
        ]
        ranked = sorted(found, key=lambda report: report.age_s)
        return self._first_and_turns(ranked, MAX_ANSWERS_SENT, is_crash=False)

    def _count(self, subject: int, times_s: Collection[float]) -> int:
        """Count crashes of a subject, those of the same event once."""
        if self.answered.was_answered(subject):
            return _count_separate(times_s, SAME_EVENT_S)
        if is_part(subject):
            return _count_separate(times_s, SAME_PART_EVENT_S)
        return len(times_s)

    def _first_and_turns(
        self, ranked: list[_Report], most: int, *, is_crash: bool
    ) -> tuple[_Report, ...]:
        """Return the first reports, and of the others as many in turn."""
        if len(ranked) <= most:
            return tuple(ranked)
        first, others = ranked[: most // 2], ranked[most // 2 :]
        begin = self._turns[is_crash] % len(others)
        self._turns[is_crash] = begin + most - len(first)
        return (*first, *(others[begin:] + others[:begin])[: most - len(first)])

    def _latest_s(self, subject: int, answered_s: float) -> float:
        """Return the time of the latest answer, or when a crash was last learned of."""
        crashes = self._crashes.get(subject, {}).values()
        return max([answered_s, *(crash.received_s for crash in crashes)])

    def _record_change(self, received_s: float) -> None:
        self.version += 1
        self.changes += 1
        self._latest_change_s = max(self._latest_change_s, received_s)

    def _forget(self, subject: int) -> None:
        del self._crashes[subject]
        self.crash_changes += 1
        self.changes += 1
        self.answered.forget(subject)


def _count_separate(times_s: Iterable[float], gap_s: float) -> int:
    """Count the given times, those within a gap of a counted one only once."""
    count, latest_s = 0, NEVER_S
    for time_s in sorted(times_s):
        if time_s - latest_s >= gap_s:
            count, latest_s = count + 1, time_s
    return count
