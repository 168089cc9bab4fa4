"""Servers that ask for fewer requests, a pause or none any more: troubles, and what is promised."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.backpressure_fleet import SETTLED_S, WINDOW_S, allowed, most_in_window
from sassafrastally.testing.soak.record import LimitedSpan
from sassafrastally.testing.soak.troubles import SERVES_ON_S, claimed, some_server, trouble

if TYPE_CHECKING:
    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.stand_ins.replica import Replica
    from sassafrastally.testing.soak.fleet import SoakFleet

LIMITED = "server-limited"
LEAVES = "server-leaves"
RESTS = "server-rests"

NOT_OF_ENTRIES = (LIMITED, LEAVES, RESTS, "harmful-request", "burst", "server-misbehaves")
"""Troubles that harm no entry, nor its way to the servers: they excuse nothing here."""

LIMITS_PER_S = (0.0, 0.5, 1.0, 3.0, 8.0)

TOLD_S = 0.5
"""Time from an answer that asks for something until the entry must keep it."""

DRAIN_S = 2.3
"""Time from an answer that tells of leaving until no newer request may come; two seconds and the
time that a busy machine takes."""

MOST_IN_REST = 2
"""Requests of an entry within the rest that it was asked for, beyond which a promise is broken."""


@trouble(LIMITED)
async def limit_servers(fleet: SoakFleet) -> None:
    """Let one server name a limit, or all of its service."""
    first = some_server(fleet).replica
    of_service = [one.replica for one in fleet.servers if one.replica.service == first.service]
    chosen = of_service if fleet.random.random() < 0.3 else [first]
    most_per_s = fleet.random.choice(LIMITS_PER_S)
    begin_s = trio.current_time()
    with fleet.record.trouble(LIMITED):
        for replica in chosen:
            replica.most_per_s = most_per_s
        await trio.sleep(fleet.random.uniform(3.0, 9.0))
        for replica in chosen:
            if replica.most_per_s == most_per_s:
                replica.most_per_s = None
    end_s = trio.current_time()
    fleet.limited += [LimitedSpan(replica, most_per_s, begin_s, end_s) for replica in chosen]


@trouble(LEAVES)
async def leave(fleet: SoakFleet) -> None:
    """Let a server leave that tells only its callers, and a new life begin at its address."""
    server = some_server(fleet)
    with claimed(server):
        with fleet.record.trouble(LEAVES):
            server.replica.is_leaving = True
            await trio.sleep(2 * SERVES_ON_S)
        with fleet.record.trouble("server-replaced"):
            fleet.unregister(server)
            fleet.end_life(server)
            await fleet.begin_life(server)
            fleet.register(server)


@trouble(RESTS)
async def rest(fleet: SoakFleet) -> None:
    """Let a server turn requests away and say for how long it wants none."""
    replica = some_server(fleet).replica
    with fleet.record.trouble(RESTS):
        replica.cool_down_s = fleet.random.uniform(1.0, 4.0)
        replica.refuses = True
        await trio.sleep(fleet.random.uniform(0.5, 4.0))
        replica.refuses = False
        replica.cool_down_s = None


def judge_asking(fleet: SoakFleet) -> None:
    """Judge whether entries did what servers asked of them in their answers."""
    for replica in fleet.all_replicas:
        by_entry: dict[int, list[ReceivedRequest]] = defaultdict(list)
        for arrival in replica.received_requests:
            if (attempt := fleet.record.attempts.get(arrival.request_id)) is not None:
                by_entry[attempt.entry].append(arrival)
        for entry, arrivals in by_entry.items():
            _judge_rests(fleet, replica, entry, arrivals)
            _judge_leaving(fleet, replica, entry, arrivals)
        for span in fleet.limited:
            if span.replica is replica:
                _judge_limit(fleet, span, by_entry)


def _judge_limit(
    fleet: SoakFleet, span: LimitedSpan, by_entry: dict[int, list[ReceivedRequest]]
) -> None:
    """Judge the sum over entries that had been told, as far as nothing excuses them."""
    others = [one for one in fleet.limited if one.replica is span.replica and one is not span]
    if any(one.begin_s < span.end_s and span.begin_s < one.end_s for one in others):
        return  # Its limit changed meanwhile.
    counted: list[float] = []
    for entry, arrivals in by_entry.items():
        told_s = _told_s(arrivals, span)
        if told_s is not None and _is_calm(fleet, entry, told_s - WINDOW_S, span.end_s):
            counted += [arrival.at_s for arrival in arrivals if arrival.at_s <= span.end_s]
    most = most_in_window(counted, span.begin_s + SETTLED_S + TOLD_S)
    if most > allowed(span.most_per_s):
        detail = f"{span.replica.server_id}: {most} in {WINDOW_S:g} s, {span.most_per_s:g} a second"
        fleet.record.note_broken("limits of servers are kept", detail)


def _told_s(arrivals: list[ReceivedRequest], span: LimitedSpan) -> float | None:
    """Return when an entry was first told of a limit, ``None`` if it wasn't."""
    told = (one.finished_s for one in arrivals if one.at_s >= span.begin_s and one.finished_s)
    return min((told_s for told_s in told if told_s <= span.end_s), default=None)


def _judge_leaving(
    fleet: SoakFleet, replica: Replica, entry: int, arrivals: list[ReceivedRequest]
) -> None:
    told = [one.finished_s for one in arrivals if one.announced_leaving and one.finished_s]
    if not told:
        return
    told_s = min(told)
    late = [
        arrival
        for arrival in arrivals
        if fleet.record.attempts[arrival.request_id].sent_s > told_s + DRAIN_S
        and _is_calm(fleet, entry, told_s, arrival.at_s)
    ]
    if late:
        detail = f"{replica.server_id}: {len(late)} of entry {entry}, told at {told_s:.2f}"
        fleet.record.note_broken("servers that say they leave are left alone", detail)


def _judge_rests(
    fleet: SoakFleet, replica: Replica, entry: int, arrivals: list[ReceivedRequest]
) -> None:
    for asking in arrivals:
        if asking.cool_down_s is None:
            continue
        begin_s, end_s = asking.at_s + TOLD_S, asking.at_s + asking.cool_down_s
        met = [one for one in arrivals if begin_s < one.at_s < end_s]
        if len(met) > MOST_IN_REST and _is_calm(fleet, entry, asking.at_s, end_s):
            detail = (
                f"{replica.server_id}: {len(met)} of entry {entry} in {asking.cool_down_s:.1f} s"
            )
            fleet.record.note_broken("servers get the rest that they ask for", detail)


def _is_calm(fleet: SoakFleet, entry: int, begin_s: float, end_s: float) -> bool:
    return fleet.record.is_calm(entry, begin_s, end_s, with_planned=True, but_for=NOT_OF_ENTRIES)
