"""Requests, and prompt parts, that crash servers: the troubles, and the promise about them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.soak.callers import Caller
from sassafrastally.testing.soak.record import CALM_AFTER_S, Kind
from sassafrastally.testing.soak.troubles import trouble

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.testing.soak.fleet import SoakFleet
    from sassafrastally.testing.soak.record import Attempt

NAME = "harmful-request"
PART_NAME = "harmful-part"

ASKED_FOR_S = 8.0
"""How long its caller goes on asking: well beyond the time within which entries must know."""

PAUSE_S = 0.3
"""Mean pause between two attempts."""

SETTLED_S = 6.0
"""Time from the begin or the end of a harmful part after which verdicts on others are wrong."""

MIN_BESIDE = 20
MAX_REFUSED_SHARE = 0.5
"""Harmless streams from which the share that is refused counts, and its limit; what operators
allow."""

MAX_PARTS_AT_ONCE = 2
"""Harmful parts at a time. With more, a fleet of some five engines crashes faster than any answer
goes on, so that nothing clears the parts that all prompts share."""

NOT_OF_ENTRIES = (NAME, PART_NAME, "server-", "burst")
"""Troubles that harm no entry, nor its way to the others: they excuse nothing here."""

FREE_CRASHES = 3
FREE_PART_CRASHES = 5
FREE_SENDS = 3
"""Servers that may crash under one request, or under one part, and how often it may be sent on
later than `CALM_AFTER_S` after the last of these; what operators allow."""


@trouble(NAME)
async def ask_for_harm(fleet: SoakFleet) -> None:
    """Let a caller ask for the same harmful thing again and again, at changing entries."""
    content = f"harmful-{fleet.random.getrandbits(64):016x}"
    fleet.harmful_bodies.add(content.encode())
    kind = fleet.random.choice([Kind.NOTE, Kind.NOTE, Kind.DOSSIER, Kind.LOOK, Kind.BOOK])
    caller = Caller(fleet)
    with fleet.record.trouble(NAME), trio.move_on_after(ASKED_FOR_S):
        while True:
            await caller.call(kind, fleet.random.choice(list(fleet.entries)), content)
            await trio.sleep(fleet.random.expovariate(1 / PAUSE_S))


@trouble(PART_NAME)
async def ask_with_harmful_part(fleet: SoakFleet) -> None:
    """Let a caller send requests that have only a harmful part in common, at changing entries."""
    if fleet.record.count_active(PART_NAME) >= MAX_PARTS_AT_ONCE:
        return
    part = f"bad{fleet.random.getrandbits(48):012x}"
    fleet.harmful_parts.add(part)
    caller = Caller(fleet)
    with fleet.record.trouble(PART_NAME), trio.move_on_after(ASKED_FOR_S):
        while True:
            entry = fleet.random.choice(list(fleet.entries))
            await caller.call(Kind.NOTE, entry, harmful_part=part)
            await trio.sleep(fleet.random.expovariate(1 / PAUSE_S))


def is_refused_beside_part(fleet: SoakFleet, attempt: Attempt) -> bool:
    """Return whether a harmless request was refused for a part, while others are harmful.

    Until an answer has gone on, a part that prompts share can't be told from one that crashes the
    same servers. `judge_beside_parts` limits how many may be refused.
    """
    return b"with prompt part" in attempt.body and any(
        span.name == PART_NAME and span.begin_s <= attempt.sent_s <= span.end_s + SETTLED_S
        for span in fleet.record.spans
    )


def judge_beside_parts(fleet: SoakFleet) -> None:
    """Judge the share of harmless streams that were refused beside harmful parts."""
    for span in fleet.record.spans:
        if span.name != PART_NAME:
            continue
        beside = [
            attempt
            for attempt in fleet.record.attempts.values()
            if attempt.kind.is_stream
            and not attempt.is_harmful
            and span.begin_s + SETTLED_S <= attempt.sent_s <= span.end_s
        ]
        refused = [one for one in beside if b"with prompt part" in one.body]
        if len(beside) >= MIN_BESIDE and len(refused) > MAX_REFUSED_SHARE * len(beside):
            detail = f"{len(refused)} of {len(beside)} refused beside a harmful part"
            fleet.record.note_broken("harmless requests with the same parts are served", detail)


def judge_harmful(fleet: SoakFleet, arrivals: Mapping[str, Sequence[ReceivedRequest]]) -> None:
    """Judge how often requests were sent on after several servers had crashed under them."""
    by_content: dict[str, list[ReceivedRequest]] = defaultdict(list)
    by_part: dict[str, list[ReceivedRequest]] = defaultdict(list)
    for arrival in (arrival for of_one in arrivals.values() for arrival in of_one):
        if arrival.request.body in fleet.harmful_bodies:
            by_content[arrival.request.body.decode()].append(arrival)
        for part in arrival.parts & fleet.harmful_parts:
            by_part[part].append(arrival)
    for content, sent in by_content.items():
        _judge_sends(fleet, content, sent, FREE_CRASHES)
    for part, sent in by_part.items():
        _judge_sends(fleet, f"part {part}", sent, FREE_PART_CRASHES)


def _judge_sends(
    fleet: SoakFleet, subject: str, sent: list[ReceivedRequest], free_crashes: int
) -> None:
    sent.sort(key=lambda arrival: arrival.at_s)
    crashes_s = _crash_times_s(sent)
    if len(crashes_s) < free_crashes:
        return
    known_s = crashes_s[free_crashes - 1] + CALM_AFTER_S
    late = [arrival for arrival in sent if _is_late(fleet, arrival, known_s)]
    if len(late) > FREE_SENDS:
        detail = f"{subject}: {len(late)} times more, {len(crashes_s)} crashes"
        fleet.record.note_broken("harmful requests are run by few", detail)


def _crash_times_s(sent: Iterable[ReceivedRequest]) -> list[float]:
    """Return when each server that crashed had got the first of the requests that it ran."""
    first_s: dict[str, float] = {}
    for arrival in sent:
        if arrival.has_run:
            first_s.setdefault(arrival.request.headers["expect-replica"], arrival.at_s)
    return sorted(first_s.values())


def _is_late(fleet: SoakFleet, arrival: ReceivedRequest, known_s: float) -> bool:
    attempt = fleet.record.attempts.get(arrival.request_id)
    if attempt is None or arrival.at_s <= known_s:
        return False
    return fleet.record.is_calm(attempt.entry, arrival.at_s, arrival.at_s, but_for=NOT_OF_ENTRIES)
