"""Judges what callers got from an entry that was blocked for a while."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.testing.lag.backend import Run
    from sassafrastally.testing.lag.callers import Exchange

CROSSING_S = 0.2
"""Time after its last byte within which a request may cross the close of its connection. The
operator's limit."""

LATE_S = 0.5
"""How long after its limit a request must be answered at the latest. The operator's limit."""

READY_S = 0.05
"""Time before its limit by which the whole answer was sent that must be delivered."""

HEADER_LIMIT_S = 0.5
"""How long callers may take to hand over a request."""

LAST_ANSWERS_S = 0.1
"""Time before it is killed from which a process that is blocked can't answer any more."""

LAST_SHARE = 1 / 6
"""Last part of the time of a stop, in which a server that is still at work needs no longer be
awaited. The operator's limit."""

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request hasn't run and never will."""

NO_PROMISE = frozenset({502, 504})


class Terms(NamedTuple):
    """What holds in a scene.

    Attributes
    ----------
    is_served
        Whether each request must be served: servers are sound and its time is long enough.
    breaks
        Whether servers break off answers, or close connections that may be in use.
    """

    is_served: bool = False
    breaks: bool = False


class Case(NamedTuple):
    """What happened in a scene; times on the clock of callers and servers.

    Attributes
    ----------
    lag_s
        How long the entry was blocked.
    lag_end_s
        When it ran again; minus infinity if it wasn't blocked.
    killed_s
        When the stopping entry is killed; infinite without a stop.
    stop_s
        Time from the signal to that.
    is_behind
        Whether servers of the entry were blocked, in place of the entry.
    """

    terms: Terms
    exchanges: Sequence[Exchange]
    runs: Sequence[Run]
    lag_s: float
    lag_end_s: float = -math.inf
    killed_s: float = math.inf
    stop_s: float = 0.0
    is_behind: bool = False

    @property
    def served_until_s(self) -> float:
        """Until when servers' answers are delivered by an entry that stops."""
        return self.killed_s - LAST_SHARE * self.stop_s


def judge(case: Case) -> list[str]:
    """Return what broke the promises; empty if nothing did."""
    counts = Counter(run.request_id for run in case.runs if run.has_run)
    sent_s = {run.request_id: run.sent_s for run in case.runs if run.sent_s is not None}
    got = {run.request_id for run in case.runs}
    broken = []
    for one in case.exchanges:
        name = f"{one.kind.value} {one.request_id}: status {one.status} {one.code} {one.detail}, "
        name += f"sent {one.sent_s - one.begin_s:.3f} s, ended {one.ended_s - one.begin_s:.3f} s "
        name += f"of {one.limit_s - one.begin_s:.1f} s, {counts[one.request_id]} runs: "
        broken += [
            name + problem
            for problem in (
                *_problems_of_status(case, one, counts[one.request_id]),
                *_problems_of_time(case, one),
                *_problems_of_loss(case, one, one.request_id in got),
                *_problems_of_delivery(case, one, sent_s.get(one.request_id, math.inf)),
            )
        ]
    return broken


def judge_runs(exchanges: Iterable[Exchange], runs: Iterable[Run]) -> list[str]:
    """Return which requests had run, or ran later, although their callers were told otherwise."""
    counts = Counter(run.request_id for run in runs if run.has_run)
    broken = []
    for one in exchanges:
        if one.status in NOT_RUN and counts[one.request_id]:
            broken.append(f"{one.request_id}: {one.status} {one.code} but has run")
        if not one.kind.may_repeat and counts[one.request_id] > 1:
            broken.append(f"{one.request_id}: has run {counts[one.request_id]} times")
    return broken


def _problems_of_status(case: Case, one: Exchange, runs: int) -> list[str]:
    problems = []
    if one.is_foreign:
        problems.append("its answer looks complete and isn't the server's whole answer")
    if one.status in NOT_RUN and runs:
        problems.append("refused as not run, but has run")
    if not one.kind.may_repeat and runs > 1:
        problems.append("has run more than once")
    if one.status == 408 and one.paused_s <= HEADER_LIMIT_S:
        problems.append("refused as late, but was handed over in time")
    if one.status not in (0, 200, *NOT_RUN, *NO_PROMISE):
        problems.append("a proper request is denied")
    is_over = min(one.limit_s, case.served_until_s) <= one.ended_s + READY_S
    if one.status in NO_PROMISE and not case.terms.breaks and not is_over:
        problems.append("given up although its server is sound and its time isn't over")
    if case.terms.is_served and one.status not in (0, 200):
        problems.append("not served although servers are sound and there is time")
    return problems


def _problems_of_time(case: Case, one: Exchange) -> list[str]:
    due_s = one.limit_s + case.lag_s + LATE_S
    if due_s < one.ended_s < math.inf:
        return [f"answered {one.ended_s - one.limit_s:.3f} s after its limit"]
    return []


def _problems_of_loss(case: Case, one: Exchange, is_at_server: bool) -> list[str]:
    """Return whether a request ended without an answer, or after its process was killed."""
    if one.status and one.is_whole:
        is_blocked = case.lag_end_s > case.killed_s - LAST_ANSWERS_S
        if one.ended_s > case.killed_s and not is_blocked:
            return [f"answered {one.ended_s - case.killed_s:.3f} s after the kill"]
        return []
    if one.status and one.ended_s >= min(one.limit_s, case.served_until_s) - READY_S:
        return []  # A stream that was cut at its end.
    if one.status and case.terms.breaks:
        return []
    if one.status:
        return ["its answer was broken off"]
    if one.sent_s == math.inf and one.ended_s < math.inf and not is_at_server:
        # The connection was closed while the request was being sent.
        return [] if case.lag_s + CROSSING_S > one.ended_s - one.begin_s else ["cut while sending"]
    if one.ended_s - one.sent_s <= CROSSING_S and not is_at_server:
        return []
    return [f"ended without an answer, {'at' if is_at_server else 'not at'} a server"]


def _problems_of_delivery(case: Case, one: Exchange, sent_s: float) -> list[str]:
    """Return whether an answer that was ready in time wasn't delivered."""
    if one.status == 200 and one.is_whole:
        return []
    due_s = min(one.limit_s, case.served_until_s) - READY_S
    # The entry keeps its limit, whatever becomes of an answer that is still on the way to it.
    ready_s = max(sent_s, case.lag_end_s) if case.is_behind else sent_s
    if ready_s <= due_s and one.ended_s >= sent_s:
        return ["a whole answer was ready in time and wasn't delivered"]
    return []
