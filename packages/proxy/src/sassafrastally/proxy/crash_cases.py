"""Which servers crashed while they ran which requests, and which of these were answered.

What this entry has seen itself and what its peers tell; bounded, whatever callers send.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.quarantine_news import AnswerNews, CrashNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

REMEMBERED_S = 600.0
"""How long a crash is held against a request. The same request comes back within seconds or
minutes; what happens to one within a day by chance must not add up."""

PRESUMED_S = 5.0
"""How long a crash counts that isn't certain: by then the server's next life has been announced, if
its process has ended."""

TOGETHER_S = 1.0
"""Crashes within this time count as one for a request that has been answered before: servers of a
rack are lost together, and a request that many callers ask for runs on most of them."""

MOST_CASES = 512
"""Requests whose crashes are kept; then those with the fewest crashes are forgotten, the oldest
first."""

MOST_ANSWERED = 2048
"""Requests with an answer that are remembered."""

MOST_CRASHES_TOLD = 16
MOST_ANSWERS_TOLD = 8
"""Items of each kind in one datagram, half of its bytes at most; loads need the rest."""

NEVER_S = float("-inf")


class Crash(NamedTuple):
    """A server's crash."""

    at_s: float
    heard_s: float
    """When this entry learned of it."""
    is_own: bool
    """Whether this entry has seen it itself."""
    is_presumed: bool = False
    """Whether the server's end isn't certain yet."""

    def counts(self, now_s: float) -> bool:
        """Return whether it is held against the request."""
        return now_s - self.at_s < (PRESUMED_S if self.is_presumed else REMEMBERED_S)


class CrashCases:
    """Crashes by the fingerprints of the requests that ran there."""

    def __init__(self) -> None:
        self.version = 0
        """Grows with each crash and answer that is new."""
        self._crashes: dict[int, dict[int, Crash]] = {}
        self._own_answered_s: dict[int, float] = {}
        """Latest answer of this entry, also to requests without crashes."""
        self._answered_s: dict[int, float] = {}
        """Latest answer by whomever to requests with crashes."""
        self._news_s = NEVER_S

    def __contains__(self, fingerprint: int) -> bool:
        return fingerprint in self._crashes

    def servers(self, fingerprint: int) -> set[int]:
        """Return the hashes of the servers that crashed while they ran a request."""
        return set(self._crashes.get(fingerprint, ()))

    def has_crashed(self, server: int, fingerprint: int) -> bool:
        """Return whether a server crashed while it ran a request."""
        return server in self._crashes.get(fingerprint, ())

    def beside(self, fingerprint: int) -> list[int]:
        """Return the other requests that servers ran which crashed under one, latest first."""
        servers = self._crashes.get(fingerprint, {}).keys()
        latest_s = {
            other: max(known[server].at_s for server in common)
            for other, known in self._crashes.items()
            if other != fingerprint and (common := known.keys() & servers)
        }
        return sorted(latest_s, key=lambda other: -latest_s[other])

    def was_answered(self, fingerprint: int) -> bool:
        """Return whether a request with crashes is known to have been answered, before or after."""
        return fingerprint in self._answered_s

    def count(
        self,
        fingerprint: int,
        now_s: float,
        is_explained: Callable[[int], bool],
        *,
        is_certain: bool = False,
    ) -> int:
        """Return how many crashes speak against a request.

        Parameters
        ----------
        fingerprint
            The request.
        now_s
            Present time.
        is_explained
            Says of a server whether another request explains its crash.
        is_certain
            Whether only certain crashes count.
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
        return _count_apart(times_s) if self.was_answered(fingerprint) else len(times_s)

    def note_crash(self, fingerprint: int, server: int, crash: Crash) -> bool:
        """Note that a server crashed while it ran a request; return whether that is new.

        Two entries may tell of one crash: it counts once. That a presumed one is certain is new.
        """
        known = self._crashes.setdefault(fingerprint, {})
        if server in known and (crash.is_presumed or not known[server].is_presumed):
            return False
        earlier_s = known[server].at_s if server in known else crash.at_s
        known[server] = crash._replace(at_s=min(earlier_s, crash.at_s))
        self._note_news(crash.heard_s)
        own_answered_s = self._own_answered_s.get(fingerprint, NEVER_S)
        if crash.heard_s - own_answered_s < REMEMBERED_S:
            self.take_answer(fingerprint, own_answered_s, crash.heard_s)
        return True

    def note_own_answer(self, fingerprint: int, now_s: float) -> None:
        """Note that a request was answered for this entry, with or without crashes before."""
        self._own_answered_s.pop(fingerprint, None)
        self._own_answered_s[fingerprint] = now_s
        if len(self._own_answered_s) > MOST_ANSWERED:
            del self._own_answered_s[next(iter(self._own_answered_s))]

    def take_answer(self, fingerprint: int, at_s: float, heard_s: float) -> bool:
        """Note an answer to a request with crashes; return whether it is later than those known."""
        if at_s <= self._answered_s.get(fingerprint, NEVER_S):
            return False
        self._answered_s[fingerprint] = at_s
        if len(self._answered_s) > MOST_CASES:
            del self._answered_s[next(iter(self._answered_s))]
        self._note_news(heard_s)
        return True

    def keep_few(self, kept: Callable[[int], bool]) -> None:
        """Forget a request with the fewest crashes, if there are too many.

        Parameters
        ----------
        kept
            Says which are not to be forgotten.
        """
        if len(self._crashes) <= MOST_CASES:
            return
        others = (key for key in self._crashes if not kept(key))
        fewest = min(others, key=lambda key: len(self._crashes[key]), default=None)
        if fewest is not None:
            self._forget(fewest)

    def forget_old(self, now_s: float) -> None:
        """Forget requests whose crashes count no more."""
        for fingerprint, known in list(self._crashes.items()):
            if not any(crash.counts(now_s) for crash in known.values()):
                self._forget(fingerprint)

    def crash_news(self, now_s: float, told_s: float, *, is_of_all: bool) -> tuple[CrashNews, ...]:
        """Return the crashes to tell: of requests with most of them first, then the latest.

        Parameters
        ----------
        now_s
            Present time.
        told_s
            How long ago this entry learned of them at most.
        is_of_all
            Whether those that others told are among them.
        """
        if now_s - self._news_s >= told_s:
            return ()
        found = [
            (
                len(known),
                crash.at_s,
                CrashNews(fingerprint, server, now_s - crash.at_s, crash.is_presumed),
            )
            for fingerprint, known in self._crashes.items()
            for server, crash in known.items()
            if now_s - crash.heard_s < told_s and (crash.is_own or is_of_all)
        ]
        return tuple(news for _, _, news in sorted(found, reverse=True)[:MOST_CRASHES_TOLD])

    def answer_news(
        self, now_s: float, told_s: float, *, is_of_all: bool
    ) -> tuple[AnswerNews, ...]:
        """Return the answers to tell, the latest first; parameters as for `crash_news`."""
        if now_s - self._news_s >= told_s:
            return ()
        found = [
            AnswerNews(fingerprint, now_s - at_s)
            for fingerprint, at_s in self._answered_s.items()
            if (is_of_all or fingerprint in self._own_answered_s)
            and now_s - self._latest_s(fingerprint, at_s) < told_s
        ]
        return tuple(sorted(found, key=lambda news: news.age_s)[:MOST_ANSWERS_TOLD])

    def _latest_s(self, fingerprint: int, answered_s: float) -> float:
        """Return when an answer or a crash of its request was last heard of."""
        crashes = self._crashes.get(fingerprint, {}).values()
        return max([answered_s, *(crash.heard_s for crash in crashes)])

    def _note_news(self, heard_s: float) -> None:
        self.version += 1
        self._news_s = max(self._news_s, heard_s)

    def _forget(self, fingerprint: int) -> None:
        del self._crashes[fingerprint]
        self._answered_s.pop(fingerprint, None)


def _count_apart(times_s: Iterable[float]) -> int:
    """Return how many moments these are, those close together being one."""
    count, latest_s = 0, NEVER_S
    for time_s in times_s:
        if time_s - latest_s >= TOGETHER_S:
            count, latest_s = count + 1, time_s
    return count
