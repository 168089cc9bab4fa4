"""Which requests are run no more, because backend servers crash under them.

The load that it answers: one request that crashes whatever runs it. Sent on to a second server, and
asked again by its caller at other entries, it takes a whole fleet of engines within seconds, with
all that runs beside it. Nobody can tell from one crash which of the requests on that server was
the cause, or whether any was. So each entry notes which requests a crashed server ran, entries tell
each other, and a request is quarantined when several servers have crashed under it and it has never
brought an answer since. What ran beside it shares a crash or two with it; these no longer count
once the harmful request explains them.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from sassafrastally.proxy.crash_cases import PRESUMED_S, Crash, CrashCases
from sassafrastally.proxy.quarantine_news import NO_NEWS, QuarantineNews, VerdictNews

CRASHES_FOR_VERDICT = 3
"""Crashes after which a request is quarantined. Two are common for what runs beside a harmful
request and is sent on with it; each further one costs a server and all that runs there."""

QUARANTINE_S = 600.0
"""How long a request is quarantined. A wrong verdict ends by itself within this time; a right one
that ends costs one more server."""

SETTLED_S = 1.0
"""Time after a verdict from which it explains the crashes of other requests. Until then crashes of
the same server are still being told, and two requests that were always together can't be told
apart: both are quarantined, since the one that is let go might be the harmful one."""

UNSETTLED_COME_BACK_S = 2.0
"""When callers come back whose request was quarantined within `SETTLED_S`: by then it is known
whether other requests explain its crashes."""

FRESH_S = 0.5
"""News is told with every datagram for this long; who misses these hears it when older news is told
again."""

TOLD_S = 30.0
"""News is told again now and then for this long, for entries that start or were cut off."""

LIFTED_S = 10.0
"""How long a verdict that has ended isn't taken again from entries that haven't heard of it."""

MOST_VERDICTS = 256
"""Verdicts that are kept, each paid for by three servers; then the one that ends first is dropped.
"""

NEVER_S = float("inf")

MOST_VERDICTS_TOLD = 12
"""Verdicts in one datagram; the store has the others."""


class Verdict(NamedTuple):
    """A request that is run no more."""

    fingerprint: int
    since_s: float
    until_s: float
    crashes: int
    """Servers that crashed under it."""
    is_presumed: bool = False
    """Whether it follows from crashes that aren't certain yet."""

    def come_back_after_s(self, now_s: float) -> float:
        """Return when its caller should come back: soon while others may still explain it."""
        if now_s - self.since_s < SETTLED_S:
            return UNSETTLED_COME_BACK_S
        return self.until_s - now_s


class Lifted(NamedTuple):
    """A verdict that has ended without a request of this entry having a part in it."""

    verdict: Verdict
    reason: str


class Quarantine:
    """Verdicts, and the crashes that they follow from."""

    def __init__(self) -> None:
        self._cases = CrashCases()
        self._verdicts: dict[int, Verdict] = {}
        self._ended: dict[int, Verdict] = {}
        """Verdicts that have ended: of these one more crash is enough."""
        self._lifted: list[Lifted] = []
        """Not yet asked for."""
        self._lifted_s: dict[int, float] = {}
        self._verdict_count = 0
        self._review_due_s = NEVER_S
        self._next_end_s = NEVER_S
        """No verdict ends before; looked at with each request."""

    def __len__(self) -> int:
        return len(self._verdicts)

    @property
    def version(self) -> int:
        """Grows with each crash, answer and verdict that is new."""
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

    def crashes_under(self, fingerprint: int, now_s: float) -> int:
        """Return how many crashes speak against a request."""
        return self._crashes(fingerprint, now_s, is_certain=False)

    def suspects_with(self, fingerprint: int, now_s: float) -> dict[int, int]:
        """Return the crashes of a request and of those that were on the same crashed servers."""
        crashes = {
            other: self.crashes_under(other, now_s)
            for other in self._cases.beside(fingerprint)
            if other not in self._verdicts
        }
        suspects = {other: count for other, count in crashes.items() if count}
        return {fingerprint: self.crashes_under(fingerprint, now_s), **suspects}

    def note_crash(
        self,
        fingerprint: int,
        server: int,
        now_s: float,
        *,
        age_s: float = 0.0,
        is_own: bool,
        is_presumed: bool = False,
    ) -> Verdict | None:
        """Note that a server crashed while it ran a request; return the verdict if that brings one.

        Parameters
        ----------
        fingerprint
            The request.
        server
            Hash of the server's life.
        now_s
            Present time.
        age_s
            How long ago it was.
        is_own
            Whether this entry has seen it itself.
        is_presumed
            Whether the server's end isn't certain yet.
        """
        crash = Crash(now_s - age_s, now_s, is_own, is_presumed)
        if not self._cases.note_crash(fingerprint, server, crash):
            return None
        self._end_verdicts(now_s)
        self._cases.keep_few(lambda key: key == fingerprint or key in self._verdicts)
        known = self._verdicts.get(fingerprint)
        if known is not None and not known.is_presumed:
            self._lift_refuted(known, now_s)
            return None
        enough = 1 if fingerprint in self._ended else CRASHES_FOR_VERDICT
        certain = self._crashes(fingerprint, now_s, is_certain=True)
        if certain >= enough:
            return self._quarantine(fingerprint, now_s, QUARANTINE_S, certain)
        presumed = self.crashes_under(fingerprint, now_s)
        if known is not None or presumed < enough:
            return None
        return self._quarantine(fingerprint, now_s, PRESUMED_S, presumed, is_presumed=True)

    def note_answered(self, fingerprint: int, now_s: float) -> bool:
        """Note that a request brought a whole answer; return whether crashes spoke against it."""
        self._cases.note_own_answer(fingerprint, now_s)
        if fingerprint not in self._cases and fingerprint not in self._verdicts:
            return False
        self._take_answer(fingerprint, now_s, now_s)
        return True

    def take_verdict(self, told: VerdictNews, now_s: float) -> Verdict | None:
        """Take a verdict that others tell of; return it if it is new.

        Of one that is known the earlier end counts: those who learn it from the store don't know
        how long it has been in force.
        """
        left_s = min(told.left_s, QUARANTINE_S)
        known = self.verdict(told.fingerprint, now_s)
        if known is not None and not known.is_presumed:
            until_s = min(known.until_s, now_s + left_s)
            self._verdicts[told.fingerprint] = known._replace(until_s=until_s)
            self._next_end_s = min(self._next_end_s, until_s)
            return None
        lifted_s = self._lifted_s.get(told.fingerprint, float("-inf"))
        if left_s <= 0 or now_s - lifted_s < LIFTED_S:
            return None
        if self._is_refuted(told.fingerprint, told.crashes, now_s):
            return None
        return self._quarantine(told.fingerprint, now_s, left_s, told.crashes)

    def lift(self, fingerprint: int, now_s: float) -> bool:
        """End a verdict before its time; return whether there was one.

        As with one whose time is over, one more crash brings it back.
        """
        verdict = self.verdict(fingerprint, now_s)
        if verdict is not None:
            self._end(verdict, now_s)
        return verdict is not None

    def news(self, now_s: float, *, is_full: bool, is_of_all: bool = False) -> QuarantineNews:
        """Return what to tell the peers.

        Parameters
        ----------
        now_s
            Present time.
        is_full
            Whether older news is told again.
        is_of_all
            Whether to tell also what others have told, on behalf of a data centre.
        """
        told_s = TOLD_S if is_full else FRESH_S
        news = QuarantineNews(
            self._cases.crash_news(now_s, told_s, is_of_all=is_of_all),
            self._verdict_news(now_s, is_full),
            self._cases.answer_news(now_s, told_s, is_of_all=is_of_all),
        )
        return news if any(news) else NO_NEWS

    def take(self, news: QuarantineNews, now_s: float) -> list[Verdict]:
        """Take what a peer tells; return the verdicts that are new."""
        for answer in news.answers:
            self._take_answer(answer.fingerprint, now_s - answer.age_s, now_s)
        found = [
            self.note_crash(
                crash.fingerprint,
                crash.server,
                now_s,
                age_s=crash.age_s,
                is_own=False,
                is_presumed=crash.is_presumed,
            )
            for crash in news.crashes
        ]
        found += [self.take_verdict(told, now_s) for told in news.verdicts]
        return [verdict for verdict in found if verdict is not None]

    def forget_old(self, now_s: float) -> list[Lifted]:
        """Forget crashes that count no more; return the verdicts that have ended since then."""
        self._end_verdicts(now_s)
        self._cases.forget_old(now_s)
        lifted, self._lifted = self._lifted, []
        return lifted

    def _crashes(self, fingerprint: int, now_s: float, *, is_certain: bool) -> int:
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
        self._review_due_s = now_s + SETTLED_S
        self._next_end_s = min(self._next_end_s, verdict.until_s)
        if len(self._verdicts) > MOST_VERDICTS:
            del self._verdicts[min(self._verdicts.values(), key=_until_s).fingerprint]
        return verdict

    def _end_verdicts(self, now_s: float) -> None:
        if now_s >= self._next_end_s:
            ended = [verdict for verdict in self._verdicts.values() if now_s >= verdict.until_s]
            for verdict in ended:
                self._end(verdict, now_s)
                reason = "no crash was confirmed" if verdict.is_presumed else "its time is over"
                self._lifted.append(Lifted(verdict, reason))
            ends_s = (verdict.until_s for verdict in self._verdicts.values())
            self._next_end_s = min(ends_s, default=NEVER_S)
        if now_s >= self._review_due_s:
            self._review_due_s = NEVER_S
            self._review(now_s)

    def _review(self, now_s: float) -> None:
        """Lift verdicts all of whose crashes others explain.

        While several harmful requests crash servers in turn, a good one may meet three of these
        crashes before any of the causes is known. Those that alone explain some crash are causes;
        what they don't leave unexplained needs no further one.
        """
        servers = {key: self._cases.servers(key) for key in self._verdicts}
        explained_by = Counter(server for of_one in servers.values() for server in of_one)
        causes = {
            key
            for key, of_one in servers.items()
            if not self._verdicts[key].is_presumed
            and any(explained_by[server] == 1 for server in of_one)
        }
        explained = {server for key in causes for server in servers[key]}
        for key, verdict in list(self._verdicts.items()):
            if key not in causes and servers[key] and servers[key] <= explained:
                del self._verdicts[key]
                self._note_lifted(key, now_s)
                self._lifted.append(Lifted(verdict, "other requests explain its crashes"))

    def _end(self, verdict: Verdict, now_s: float) -> None:
        del self._verdicts[verdict.fingerprint]
        if verdict.is_presumed:
            return
        self._ended[verdict.fingerprint] = verdict
        if len(self._ended) > MOST_VERDICTS:
            del self._ended[next(iter(self._ended))]
        self._note_lifted(verdict.fingerprint, now_s)

    def _note_lifted(self, fingerprint: int, now_s: float) -> None:
        """Remember that a verdict has ended, for as long as others may still tell of it."""
        self._lifted_s = {
            key: at_s for key, at_s in self._lifted_s.items() if now_s - at_s < LIFTED_S
        }
        self._lifted_s[fingerprint] = now_s

    def _is_explained(self, server: int, fingerprint: int, now_s: float) -> bool:
        """Return whether a harmful request ran on a server that crashed under another one."""
        return any(
            verdict.fingerprint != fingerprint
            and not verdict.is_presumed
            and now_s - verdict.since_s >= SETTLED_S
            and self._cases.has_crashed(server, verdict.fingerprint)
            for verdicts in (self._verdicts, self._ended)
            for verdict in verdicts.values()
        )

    def _is_refuted(self, fingerprint: int, crashes: int, now_s: float) -> bool:
        """Return whether a verdict wouldn't be given by what is known here of all its crashes.

        An entry that never had an answer to a request counts the servers of a rack one by one; one
        that had knows that they count once.
        """
        if not self._cases.was_answered(fingerprint):
            return False
        is_all_known = len(self._cases.servers(fingerprint)) >= crashes
        return is_all_known and self.crashes_under(fingerprint, now_s) < CRASHES_FOR_VERDICT

    def _take_answer(self, fingerprint: int, at_s: float, now_s: float) -> None:
        """Take an answer: a request that crashes what runs it brings none."""
        if not self._cases.take_answer(fingerprint, at_s, now_s):
            return
        self._ended.pop(fingerprint, None)
        verdict = self._verdicts.get(fingerprint)
        if verdict is None:
            return
        if at_s > verdict.since_s:
            del self._verdicts[fingerprint]
            self._note_lifted(fingerprint, now_s)
        else:
            self._lift_refuted(verdict, now_s)

    def _lift_refuted(self, verdict: Verdict, now_s: float) -> None:
        if self._is_refuted(verdict.fingerprint, verdict.crashes, now_s):
            del self._verdicts[verdict.fingerprint]
            self._note_lifted(verdict.fingerprint, now_s)

    def _verdict_news(self, now_s: float, is_full: bool) -> tuple[VerdictNews, ...]:
        if not self._verdicts:
            return ()
        found = [
            verdict
            for verdict in self.verdicts(now_s)
            if not verdict.is_presumed and (is_full or now_s - verdict.since_s < FRESH_S)
        ]
        latest = sorted(found, key=lambda verdict: -verdict.since_s)[:MOST_VERDICTS_TOLD]
        return tuple(
            VerdictNews(one.fingerprint, one.until_s - now_s, one.crashes) for one in latest
        )


def _until_s(verdict: Verdict) -> float:
    return verdict.until_s
