"""Requests that crash each server that runs them: the trouble, and the promise about it."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.soak.callers import Caller
from sassafrastally.testing.soak.record import CALM_AFTER_S, Kind
from sassafrastally.testing.soak.troubles import trouble

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.stand_ins.replica import ReceivedRequest
    from sassafrastally.testing.soak.fleet import SoakFleet

NAME = "harmful-request"

ASKED_FOR_S = 8.0
"""How long its caller goes on asking: well beyond the time within which entries must know."""

PAUSE_S = 0.3
"""Mean pause between two attempts."""

NOT_OF_ENTRIES = (NAME, "server-", "burst")
"""Troubles that harm no entry, nor its way to the others: they excuse nothing here."""

FREE_CRASHES = 3
FREE_SENDS = 3
"""Servers that may crash under one request, and how often it may be sent on later than
`CALM_AFTER_S` after the last of these; what operators allow."""


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


def judge_harmful(fleet: SoakFleet, arrivals: Mapping[str, Sequence[ReceivedRequest]]) -> None:
    """Judge how often such requests were sent on after three servers had crashed under them."""
    by_content: dict[bytes, list[ReceivedRequest]] = defaultdict(list)
    for of_one in arrivals.values():
        for arrival in of_one:
            if arrival.request.body in fleet.harmful_bodies:
                by_content[arrival.request.body].append(arrival)
    for content, sent in by_content.items():
        sent.sort(key=lambda arrival: arrival.at_s)
        crashes_s = [arrival.at_s for arrival in sent if arrival.has_run]
        if len(crashes_s) < FREE_CRASHES:
            continue
        known_s = crashes_s[FREE_CRASHES - 1] + CALM_AFTER_S
        late = [arrival for arrival in sent if _is_late(fleet, arrival, known_s)]
        if len(late) > FREE_SENDS:
            detail = f"{content.decode()}: {len(late)} times more, {len(crashes_s)} crashes"
            fleet.record.note_broken("harmful requests are run by few", detail)


def _is_late(fleet: SoakFleet, arrival: ReceivedRequest, known_s: float) -> bool:
    attempt = fleet.record.attempts.get(arrival.request_id)
    if attempt is None or arrival.at_s <= known_s:
        return False
    return fleet.record.is_calm(attempt.entry, arrival.at_s, arrival.at_s, but_for=NOT_OF_ENTRIES)
