"""The promises, judged from what callers and backend servers have seen."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.soak.asking import judge_asking
from sassafrastally.testing.soak.breaking import judge_cut_heads
from sassafrastally.testing.soak.callers import MOST_EVENTS
from sassafrastally.testing.soak.contention import judge_contention
from sassafrastally.testing.soak.faltering import judge_silences, may_break_off
from sassafrastally.testing.soak.harmful import (
    is_refused_beside_part,
    judge_beside_parts,
    judge_harmful,
)
from sassafrastally.testing.soak.leaving import KNOWN_BESIDE
from sassafrastally.testing.soak.long_uploads import judge_uploads
from sassafrastally.testing.soak.many_parts import judge_many_parts
from sassafrastally.testing.soak.reconnecting import judge_reconnecting
from sassafrastally.testing.soak.record import Attempt, Kind
from sassafrastally.testing.soak.scheduling import describe_lags
from sassafrastally.testing.soak.stalling import judge_stalls
from sassafrastally.testing.soak.starving import judge_starving
from sassafrastally.testing.soak.succeeding import judge_successors

if TYPE_CHECKING:
    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.testing.soak.fleet import SoakFleet
    from sassafrastally.testing.soak.record import Record

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

DENIALS = frozenset({400, 401, 403, 404, 413, 431})
"""Statuses of our own that no proper request may get."""

LATE_S = 0.7
"""How much later than its time limit an answer may come; the machine of a soak is busy. Time after
the limit in which its entry was ready to run without a processor isn't counted."""

UNREAD_S = 0.5
"""Time within which an entry reads a request, or closes the connection without having read it."""

AT_LIMIT_S = 0.1
"""A stream that has begun can only be broken off when its time is over."""

DRAIN_S = 2.3
"""How long after the store's word a draining server may get requests; two seconds and the time that
a busy machine takes."""

GONE_S = 0.8
"""How long after a caller has left a request may still be worked on."""

SEVERAL = 3
"""Occurrences up to which a promise about "more than a few" is kept."""

REPEAT_RATIO = 0.2
REPEATS_FREE = 100
WINDOW_S = 10.0
"""The budget of repeats, as the entries' settings state it."""


class Judge:
    """Judges each attempt once it has ended, and everything at the end."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._record: Record = fleet.record
        self._judged: set[str] = set()
        self.counts: Counter[str] = Counter()
        """Attempts by how they ended."""

    async def watch(self) -> None:
        """Judge attempts as they end, until cancelled."""
        while True:
            await trio.sleep(1.0)
            self.judge_ended()

    def judge_ended(self) -> None:
        """Judge the attempts that ended more than a second ago."""
        before_s = trio.current_time() - 1.0
        arrivals = self._arrivals()
        for attempt in list(self._record.attempts.values()):
            if attempt.attempt_id in self._judged:
                continue
            if attempt.ended_s is not None and attempt.ended_s < before_s:
                self._judged.add(attempt.attempt_id)
                self._judge(attempt, arrivals[attempt.attempt_id])

    def judge_all(self) -> None:
        """Judge what can only be told at the end."""
        arrivals = self._arrivals()
        for attempt in self._record.attempts.values():
            self._judge_not_run(attempt, arrivals[attempt.attempt_id])
        self._judge_drains()
        self._judge_gone(arrivals)
        self._judge_repeats(arrivals)
        judge_harmful(self._fleet, arrivals)
        judge_beside_parts(self._fleet)
        judge_asking(self._fleet)
        judge_contention(self._fleet)
        judge_uploads(self._fleet, arrivals)

    def _arrivals(self) -> dict[str, list[ReceivedRequest]]:
        by_id: dict[str, list[ReceivedRequest]] = defaultdict(list)
        for replica in self._fleet.all_replicas:
            for arrival in replica.received_requests:
                by_id[arrival.request_id].append(arrival)
        return by_id

    def _judge(self, attempt: Attempt, arrivals: list[ReceivedRequest]) -> None:
        cut = "broken off" if attempt.status else "no response"
        outcome = str(attempt.status) if attempt.is_whole else cut
        self.counts["left" if attempt.has_left else outcome] += 1
        self._judge_once(attempt, arrivals)
        self._judge_passed_on(attempt, arrivals)
        if attempt.status in DENIALS and attempt.is_whole:
            self._break("denied", attempt, f"status {attempt.status}")
        if attempt.status == 200:
            self._judge_content(attempt, arrivals)
            judge_cut_heads(self._fleet, attempt, arrivals)
        if not attempt.has_left and not attempt.is_harmful:
            self._judge_answered(attempt, arrivals)
            judge_silences(self._fleet, attempt, arrivals)
            judge_stalls(self._fleet, attempt, arrivals)
            judge_successors(self._fleet, attempt, arrivals)
            judge_reconnecting(self._fleet, attempt)
            judge_starving(self._fleet, attempt)
            judge_many_parts(self._fleet, attempt)
        is_refused = b"refusal:quarantined" in attempt.body
        if (
            not attempt.is_harmful
            and is_refused
            and not is_refused_beside_part(self._fleet, attempt)
        ):
            self._break("only harmful requests are quarantined", attempt, f"{attempt.body!r}")

    def _judge_once(self, attempt: Attempt, arrivals: list[ReceivedRequest]) -> None:
        runs = sum(arrival.has_run for arrival in arrivals)
        if attempt.kind is Kind.BOOK and runs > 1:
            self._break("at most once", attempt, f"{runs} runs")

    def _judge_not_run(self, attempt: Attempt, arrivals: list[ReceivedRequest]) -> None:
        says_not_run = attempt.status in NOT_RUN and attempt.is_whole
        has_run = any(arrival.has_run for arrival in arrivals)
        if says_not_run and has_run and (attempt.kind is Kind.BOOK or attempt.status == 503):
            self._break("not run is true", attempt, f"status {attempt.status}, and it ran")

    def _judge_passed_on(self, attempt: Attempt, arrivals: list[ReceivedRequest]) -> None:
        for arrival in arrivals:
            request = arrival.request
            is_own = request.target == attempt.target
            if not is_own or request.body != attempt.content:
                self._break("unchanged", attempt, f"{request.target}, {request.body[:40]!r}")
            if (
                request.headers.get("tenant") != attempt.customer
                or "authorization" in request.headers
            ):
                self._break("customer", attempt, f"{request.headers}")

    def _judge_content(self, attempt: Attempt, arrivals: list[ReceivedRequest]) -> None:
        """Judge what a success brought: the whole answer of a run of this very request."""
        if not any(arrival.has_run for arrival in arrivals):
            self._break("own answer", attempt, "a success that no server ran")
        if not attempt.headers.get("replica-seal"):
            self._break("own answer", attempt, "a success without a server's seal")
        if attempt.kind.is_stream:
            self._judge_events(attempt)
        elif attempt.is_whole:
            try:
                target = json.loads(attempt.body)["target"]
            except (ValueError, KeyError):
                target = attempt.body[:60]
            if target != attempt.target:
                self._break("own answer", attempt, f"{target}")

    def _judge_events(self, attempt: Attempt) -> None:
        lines = attempt.body.decode(errors="replace").splitlines()
        ids = [int(line[3:]) for line in lines if line.startswith("id:") and line[3:].strip()]
        if ids != list(range(len(ids))):
            self._break("events in order", attempt, f"{ids[:MOST_EVENTS]}")
        if attempt.is_whole and len(ids) != attempt.events:
            self._break("whole stream", attempt, f"{len(ids)} of {attempt.events} events")

    def _judge_answered(self, attempt: Attempt, arrivals: list[ReceivedRequest]) -> None:
        assert attempt.ended_s is not None
        if not self._record.is_calm(attempt.entry, attempt.sent_s, attempt.ended_s):
            return
        took_s = attempt.ended_s - attempt.sent_s
        beside = "; ".join(self._record.names_during(attempt.sent_s, attempt.ended_s))
        waited_s = self._fleet.scheduling.waited_s(attempt.entry, attempt.limit_s, attempt.ended_s)
        if took_s - waited_s > attempt.time_left_s + LATE_S:
            own_lag_s = self._record.own_lag_s(attempt.limit_s, attempt.ended_s)
            seen = describe_lags(
                self._fleet.scheduling, own_lag_s, attempt.entry, attempt.limit_s, attempt.ended_s
            )
            detail = f"{took_s:.2f} s, beside {beside or 'nothing'}; after its limit {seen}"
            self._break("in time", attempt, detail)
        elif may_break_off(attempt, arrivals):
            return
        elif not attempt.is_whole and took_s < attempt.time_left_s - AT_LIMIT_S:
            if arrivals:
                self._break(
                    "answered", attempt, f"passed on, cut after {took_s:.2f} s, beside {beside}"
                )
            elif attempt.ended_s - attempt.last_byte_s > UNREAD_S:
                self._break("answered", attempt, f"never passed on, cut after {took_s:.2f} s")

    def _judge_drains(self) -> None:
        late = []
        for replica in self._fleet.all_replicas:
            drained_s = self._fleet.drained.get(replica.server_id)
            if drained_s is None:
                continue
            for arrival in replica.received_requests:
                attempt = self._record.attempts.get(arrival.request_id)
                if attempt is None:
                    continue
                calm_s = self._record.calm_since_s(attempt.entry, arrival.at_s, KNOWN_BESIDE)
                if arrival.at_s > max(drained_s, calm_s) + DRAIN_S:
                    late.append(f"{replica.server_id} after {arrival.at_s - drained_s:.2f} s")
        if late:
            self._record.note_broken("drained servers are left alone", ", ".join(late[:5]))

    def _judge_gone(self, arrivals: dict[str, list[ReceivedRequest]]) -> None:
        late = []
        for attempt in self._record.attempts.values():
            if not attempt.has_left or attempt.kind is Kind.BOOK or attempt.ended_s is None:
                continue
            for arrival in arrivals[attempt.attempt_id]:
                end_s = max(arrival.finished_s or 0.0, arrival.at_s)
                is_late = end_s > attempt.ended_s + GONE_S
                if is_late and self._record.is_calm(attempt.entry, attempt.sent_s, end_s):
                    late.append(attempt.attempt_id)
        if len(late) > SEVERAL:
            self._record.note_broken("nothing runs for callers that left", ", ".join(late[:5]))

    def _judge_repeats(self, arrivals: dict[str, list[ReceivedRequest]]) -> None:
        """Judge the budget of repeats over sliding windows, over all services together."""
        firsts = sorted(attempt.sent_s for attempt in self._record.attempts.values())
        repeats = sorted(
            arrival.at_s
            for of_one in arrivals.values()
            for arrival in sorted(of_one, key=lambda arrival: arrival.at_s)[1:]
        )
        for begin_s in repeats:
            in_window = [at_s for at_s in repeats if begin_s <= at_s < begin_s + WINDOW_S]
            asked = [at_s for at_s in firsts if begin_s <= at_s < begin_s + WINDOW_S]
            if len(in_window) > REPEAT_RATIO * len(asked) + REPEATS_FREE:
                detail = f"{len(in_window)} repeats for {len(asked)} requests"
                self._record.note_broken("budget of repeats", detail)
                return

    def _break(self, promise: str, attempt: Attempt, detail: str) -> None:
        where = f"{attempt.kind.value} {attempt.attempt_id} at entry {attempt.entry}"
        self._record.note_broken(promise, f"{where}: {detail}")
