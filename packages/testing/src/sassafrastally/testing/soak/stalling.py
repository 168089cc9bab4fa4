"""Entries that stand still for tenths of a second when the time of their requests ends."""

from __future__ import annotations

import math
import signal
from typing import TYPE_CHECKING

import trio

from sassafrastally.stand_ins.silence import SilencePlace
from sassafrastally.testing.soak.record import TIME_LEFT_S, HarmedSpan
from sassafrastally.testing.soak.troubles import configure, some_entries, trouble

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.testing.soak.fleet import SoakFleet
    from sassafrastally.testing.soak.record import Attempt

STALLED = "entry-stalled"

STALL_S = (0.1, 0.5)
"""How long an entry stands still."""

RUN_S = (0.25, 0.8)
"""Time between two stalls; what an entry has received is delivered in less."""

STALLS = (2, 4)
"""Number of stalls in a row."""

STALLED_SHARES = (0.0, 0.5, 1.0)
"""Shares of the entries that stand still at the same moment; 0 stands for one entry."""

WAIT_S = 2.0
"""How long callers wait meanwhile."""

HELD_SHARES = (0.3, 1.0)
"""Shares of the servers that send a part of each response shortly before its limit."""

BEFORE_LIMIT_S = (0.07, 0.4)
"""How long before it."""

MOST_PARTS = 3
"""Events that are sent before that part, at most."""

SOON_S = 1.0
"""A stall waits so long for a limit."""

CONFIGURED_SHARE = 0.4
"""Share of the stalls that begin with a new configuration."""

CERTAIN_S = 0.05
"""An answer that a server has sent this long before the limit of its request is ready then."""

UNREAD_S = 0.5
"""Time in which an entry that runs closes a connection without having read a request."""

LATE_S = 0.7
"""How much later than the limit, or than the entry runs again, an answer may come: 0.25 s, and the
time that a busy machine takes. Time in which the entry can't run isn't counted."""


@trouble(STALLED)
async def stall_entries(fleet: SoakFleet) -> None:
    """Let entries stand still, several times in a row, while servers answer late."""
    numbers = some_entries(fleet, fleet.random.choice(STALLED_SHARES))
    free = set(numbers) - fleet.stalled_entries
    fleet.stalled_entries |= free
    share = fleet.random.choice(HELD_SHARES)
    servers = fleet.random.sample(fleet.servers, max(1, round(share * len(fleet.servers))))
    silences = [server.replica.silence for server in servers]
    place = fleet.random.choice(list(SilencePlace))
    part_number = fleet.random.randint(0, MOST_PARTS)
    before_limit_s = fleet.random.uniform(*BEFORE_LIMIT_S)
    fleet.time_left_s = WAIT_S
    for silence in silences:
        silence.place, silence.part_number = place, part_number
        silence.before_limit_s = before_limit_s
    # Requests that are held come near their limit while the entries stand still.
    await trio.sleep(fleet.random.uniform(0.0, WAIT_S))
    async with trio.open_nursery() as nursery:
        for number in sorted(free):
            nursery.start_soon(_stall_entry, fleet, number)
    fleet.stalled_entries -= free
    fleet.time_left_s = TIME_LEFT_S
    for silence in silences:
        silence.place = silence.before_limit_s = None


async def _stall_entry(fleet: SoakFleet, number: int) -> None:
    """Let an entry stand still several times, around the limits of its requests if there are any.

    It is told of new configurations at some of these times.
    """
    with fleet.record.trouble(STALLED, [number]):
        for _ in range(fleet.random.randint(*STALLS)):
            duration_s = fleet.random.uniform(*STALL_S)
            limit_s = _next_limit_s(fleet, number)
            if limit_s is not None:
                await trio.sleep_until(limit_s - fleet.random.uniform(0.0, duration_s))
            if fleet.random.random() < CONFIGURED_SHARE:
                fleet.nursery.start_soon(configure, fleet)
            begin_s = trio.current_time()
            fleet.stalls.append(HarmedSpan(str(number), begin_s, math.inf))
            place = len(fleet.stalls) - 1
            fleet.entries[number].signal(signal.SIGSTOP)
            await trio.sleep(duration_s)
            fleet.entries[number].signal(signal.SIGCONT)
            fleet.stalls[place] = HarmedSpan(str(number), begin_s, trio.current_time())
            await trio.sleep(fleet.random.uniform(*RUN_S))


def _next_limit_s(fleet: SoakFleet, number: int) -> float | None:
    """Return when the time of one of an entry's requests ends, chosen from those that end soon."""
    earliest_s = trio.current_time() + STALL_S[1]
    latest_s = earliest_s + SOON_S
    limits_s = [
        attempt.limit_s
        for attempt in fleet.record.attempts.values()
        if attempt.entry == number
        and attempt.ended_s is None
        and earliest_s < attempt.limit_s < latest_s
    ]
    return fleet.random.choice(limits_s) if limits_s else None


def judge_stalls(fleet: SoakFleet, attempt: Attempt, arrivals: Sequence[ReceivedRequest]) -> None:
    """Judge the end of an attempt at an entry that nothing but stalls has harmed.

    A whole request ends with an answer or a refusal, soon after its limit or after its entry runs
    again, and with the answer of its server if that was ready before the limit.
    """
    assert attempt.ended_s is not None
    stalls = [
        stall
        for stall in fleet.stalls
        if stall.name == str(attempt.entry)
        and stall.begin_s <= attempt.ended_s
        and stall.end_s >= attempt.sent_s
    ]
    calm = fleet.record.is_calm(attempt.entry, attempt.sent_s, attempt.ended_s, but_for=(STALLED,))
    if not stalls or not calm or any(arrival.is_endless for arrival in arrivals):
        return
    took_s = attempt.ended_s - attempt.sent_s
    stalled_s = sum(min(stall.end_s, attempt.ended_s) - stall.begin_s for stall in stalls)
    runs_s = max((s.end_s for s in stalls if s.begin_s <= attempt.limit_s), default=0.0)
    is_ready = any(
        arrival.is_sent_by(min(arrival.limit_s, attempt.limit_s) - CERTAIN_S)
        for arrival in arrivals
    )
    if not attempt.status and (
        arrivals or attempt.ended_s - attempt.last_byte_s > UNREAD_S + stalled_s
    ):
        promise = "a stall ends no request without an answer"
    elif is_ready and (attempt.status != 200 or not attempt.is_whole):
        promise = "an answer that is ready before the limit is delivered after a stall"
    elif _ran_s(fleet, attempt, stalls, max(attempt.limit_s, runs_s)) > LATE_S:
        promise = "answers come soon after a stall"
    else:
        return
    whole = "whole" if attempt.is_whole else "not whole"
    scheduled = fleet.scheduling.describe(attempt.entry, attempt.limit_s, attempt.ended_s)
    fleet.record.note_broken(
        promise,
        f"{attempt.kind.value} {attempt.attempt_id} at entry {attempt.entry}: status "
        f"{attempt.status}, {whole}, after {took_s:.2f} s of {attempt.time_left_s:.2f} s, "
        f"{len(arrivals)} arrivals, {len(stalls)} stalls; {_times(attempt, stalls, arrivals)}; "
        f"since then {scheduled}",
    )


def _ran_s(
    fleet: SoakFleet, attempt: Attempt, stalls: Sequence[HarmedSpan], since_s: float
) -> float:
    """Return how much of the time until the end of an attempt its entry could run."""
    assert attempt.ended_s is not None
    stood_s = sum(
        max(0.0, min(stall.end_s, attempt.ended_s) - max(stall.begin_s, since_s))
        for stall in stalls
    )
    waited_s = fleet.scheduling.waited_s(attempt.entry, since_s, attempt.ended_s)
    return attempt.ended_s - since_s - stood_s - waited_s


def _times(
    attempt: Attempt, stalls: Sequence[HarmedSpan], arrivals: Sequence[ReceivedRequest]
) -> str:
    """Return when the entry stood still and when servers had sent everything, from the limit on."""
    stood = [
        f"{s.begin_s - attempt.limit_s:+.3f} to {s.end_s - attempt.limit_s:+.3f}" for s in stalls
    ]
    sent = [
        f"at {one.at_s - attempt.limit_s:+.3f}, limit {one.limit_s - attempt.limit_s:+.3f}, "
        + ("not sent" if one.sent_s is None else f"sent {one.sent_s - attempt.limit_s:+.3f}")
        for one in arrivals
    ]
    return f"seconds from the limit: stood still {stood}, arrivals {sent}"
