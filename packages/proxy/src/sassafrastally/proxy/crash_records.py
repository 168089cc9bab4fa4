"""Records of server crashes by the requests that ran there, and of answers to these requests.

Holds this entry's own observations and those of its peers. Its size is bounded, whatever callers
send.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.quarantine_exchange import AnswerReport, CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

CRASH_KEPT_S = 600.0
"""How long a crash counts against a request. A harmful request is retried within seconds or
minutes; unrelated crashes over a day must not add up."""

PRESUMED_CRASH_KEPT_S = 5.0
"""How long an uncertain crash counts. If the server's process has ended, its next incarnation has
registered by then."""

SAME_EVENT_S = 1.0
"""Crashes within this time count as one for a request that has been answered before: the servers of
a rack fail together, and a request that many callers send runs on most of them."""

MAX_CASES = 512
"""Maximum number of requests whose crashes are kept; beyond it, those with the fewest crashes are
evicted, the oldest first."""

MAX_ANSWERED = 2048
"""Maximum number of answered requests that are remembered."""

MAX_CRASHES_SENT = 16
MAX_ANSWERS_SENT = 8
"""Maximum number of records of each kind in one datagram. Together they take at most half of its
bytes; loads need the rest."""

NEVER_S = float("-inf")


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
        """Return whether it still counts against the request."""
        return now_s - self.at_s < (PRESUMED_CRASH_KEPT_S if self.is_presumed else CRASH_KEPT_S)


class CrashRecords:
    """Crashes by the fingerprints of the requests that ran on the crashed servers."""

    def __init__(self) -> None:
        self.version = 0
        """Incremented with each new crash and answer."""
        self._crashes: dict[int, dict[int, Crash]] = {}
        self._own_answered_s: dict[int, float] = {}
        """Latest answer received by this entry, by fingerprint, also for requests without
        crashes."""
        self._answered_s: dict[int, float] = {}
        """Latest answer received by any entry to requests with crashes, by fingerprint."""
        self._latest_change_s = NEVER_S

    def __contains__(self, fingerprint: int) -> bool:
        return fingerprint in self._crashes

    def servers(self, fingerprint: int) -> set[int]:
        """Return the hashes of the servers that crashed while they ran a request."""
        return set(self._crashes.get(fingerprint, ()))

    def has_crashed(self, server: int, fingerprint: int) -> bool:
        """Return whether a server crashed while it ran a request."""
        return server in self._crashes.get(fingerprint, ())

    def requests_beside(self, fingerprint: int) -> list[int]:
        """Return the other requests on servers that crashed while running one, latest first."""
        servers = self._crashes.get(fingerprint, {}).keys()
        latest_s = {
            other: max(known[server].at_s for server in common)
            for other, known in self._crashes.items()
            if other != fingerprint and (common := known.keys() & servers)
        }
        return sorted(latest_s, key=lambda other: -latest_s[other])

    def was_answered(self, fingerprint: int) -> bool:
        """Return whether a request with crashes was answered, before or after them."""
        return fingerprint in self._answered_s

    def count(
        self,
        fingerprint: int,
        now_s: float,
        is_explained: Callable[[int], bool],
        *,
        is_certain: bool = False,
    ) -> int:
        """Return how many crashes count against a request.

        Parameters
        ----------
        fingerprint
            The request.
        now_s
            Present time.
        is_explained
            Returns whether another request explains a server's crash.
        is_certain
            Whether to count only certain crashes.
        """
        known = self._crashes.get(fingerprint)
        if not known:
            return 0
        answered_s = self._answered_s.get(fingerprint, NEVER_S)
        times_s = sorted(
            crash.at_s
            for server, crash in known.items()
            if crash.at_s > answered_s
            and crash.counts(now_s)
            and not (is_certain and crash.is_presumed)
            and not is_explained(server)
        )
        return _count_separate(times_s) if self.was_answered(fingerprint) else len(times_s)

    def record_crash(self, fingerprint: int, server: int, crash: Crash) -> bool:
        """Record that a server crashed while it ran a request; return whether this is new.

        A crash reported by several entries counts once. Confirming a presumed crash counts as new.
        """
        known = self._crashes.setdefault(fingerprint, {})
        if server in known and (crash.is_presumed or not known[server].is_presumed):
            return False
        earlier_s = known[server].at_s if server in known else crash.at_s
        known[server] = crash._replace(at_s=min(earlier_s, crash.at_s))
        self._record_change(crash.received_s)
        own_answered_s = self._own_answered_s.get(fingerprint, NEVER_S)
        if crash.received_s - own_answered_s < CRASH_KEPT_S:
            self.apply_answer(fingerprint, own_answered_s, crash.received_s)
        return True

    def record_own_answer(self, fingerprint: int, now_s: float) -> None:
        """Record an answer to a request of this entry, with or without earlier crashes."""
        self._own_answered_s.pop(fingerprint, None)
        self._own_answered_s[fingerprint] = now_s
        if len(self._own_answered_s) > MAX_ANSWERED:
            del self._own_answered_s[next(iter(self._own_answered_s))]

    def apply_answer(self, fingerprint: int, at_s: float, received_s: float) -> bool:
        """Record an answer to a request with crashes; return whether it is the latest known."""
        if at_s <= self._answered_s.get(fingerprint, NEVER_S):
            return False
        self._answered_s[fingerprint] = at_s
        if len(self._answered_s) > MAX_CASES:
            del self._answered_s[next(iter(self._answered_s))]
        self._record_change(received_s)
        return True

    def evict_excess(self, is_protected: Callable[[int], bool]) -> None:
        """Evict a request with the fewest crashes if there are too many.

        Parameters
        ----------
        is_protected
            Returns whether a request must be kept.
        """
        if len(self._crashes) <= MAX_CASES:
            return
        others = (key for key in self._crashes if not is_protected(key))
        fewest = min(others, key=lambda key: len(self._crashes[key]), default=None)
        if fewest is not None:
            self._forget(fewest)

    def forget_old(self, now_s: float) -> None:
        """Remove requests whose crashes no longer count."""
        for fingerprint, known in list(self._crashes.items()):
            if not any(crash.counts(now_s) for crash in known.values()):
                self._forget(fingerprint)

    def crashes_to_send(
        self, now_s: float, max_age_s: float, *, includes_peers: bool
    ) -> tuple[CrashReport, ...]:
        """Return the crashes to send: requests with the most crashes first, then the latest.

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
                CrashReport(fingerprint, server, now_s - crash.at_s, crash.is_presumed),
            )
            for fingerprint, known in self._crashes.items()
            for server, crash in known.items()
            if now_s - crash.received_s < max_age_s and (crash.is_own or includes_peers)
        ]
        return tuple(report for _, _, report in sorted(found, reverse=True)[:MAX_CRASHES_SENT])

    def answers_to_send(
        self, now_s: float, max_age_s: float, *, includes_peers: bool
    ) -> tuple[AnswerReport, ...]:
        """Return the answers to send, the latest first; parameters as for `crashes_to_send`."""
        if now_s - self._latest_change_s >= max_age_s:
            return ()
        found = [
            AnswerReport(fingerprint, now_s - at_s)
            for fingerprint, at_s in self._answered_s.items()
            if (includes_peers or fingerprint in self._own_answered_s)
            and now_s - self._latest_s(fingerprint, at_s) < max_age_s
        ]
        return tuple(sorted(found, key=lambda report: report.age_s)[:MAX_ANSWERS_SENT])

    def _latest_s(self, fingerprint: int, answered_s: float) -> float:
        """Return the time of the latest answer, or when a crash was last learned of."""
        crashes = self._crashes.get(fingerprint, {}).values()
        return max([answered_s, *(crash.received_s for crash in crashes)])

    def _record_change(self, received_s: float) -> None:
        self.version += 1
        self._latest_change_s = max(self._latest_change_s, received_s)

    def _forget(self, fingerprint: int) -> None:
        del self._crashes[fingerprint]
        self._answered_s.pop(fingerprint, None)


def _count_separate(times_s: Iterable[float]) -> int:
    """Count the given sorted times, those within `SAME_EVENT_S` of a counted one only once."""
    count, latest_s = 0, NEVER_S
    for time_s in times_s:
        if time_s - latest_s >= SAME_EVENT_S:
            count, latest_s = count + 1, time_s
    return count
