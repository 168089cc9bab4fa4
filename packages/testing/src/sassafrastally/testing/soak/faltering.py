"""Servers that fall silent for a while, and bytes that come without end from servers and store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.stand_ins.endless_bytes import (
    CALL_PLACES,
    EndlessBytes,
    EndlessPace,
    EndlessPlace,
)
from sassafrastally.testing.soak.record import TIME_LEFT_S
from sassafrastally.testing.soak.troubles import trouble

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.testing.soak.fleet import Server, SoakFleet
    from sassafrastally.testing.soak.record import Attempt

SILENT = "server-silent-for-a-while"
ENDLESS = "endless-bytes"

KINDS = (SILENT, ENDLESS)
"""Names of the troubles of this module."""

SILENCE_S = (0.5, 1.5)
"""How long a server that is no trouble may be silent."""

PAUSE_S = (0.1, 1.5)
"""Time between two silences."""

MOST_SILENCES = 4
SILENT_SHARES = (0.0, 0.3, 0.6, 1.0)
"""Shares of the servers that fall silent at the same moment; 0 stands for one server."""

TIMES_LEFT_S = (2.0, 2.0, TIME_LEFT_S)
"""How long callers wait meanwhile: a silence takes most of it, or a small part."""

CUT_SHARES = (0.0, 0.5, 0.9)
"""Shares of a piece that is sent before a silence."""

MOST_EVENTS = 6
"""Proper events before bytes without end, at most."""

STORE_SHARE = 0.25
"""Share of the troubles with bytes without end that are the store's."""

REPORT_SHARE = 0.3
"""Share of the other ones in which reports have them too."""

MOST_SERVERS = 3

BOUNDED = "memory is bounded beside bytes without end"
"""Promise about the entries' memory."""

MEMORY_LOOK_S = 0.1
MOST_MEMORY_MB = 128.0
"""Resident memory of an entry while bytes come without end; as at the end of a soak."""

FAILURES = frozenset({500, 502, 504})
"""Statuses of an entry's own with which a request ends that was passed on."""

AT_LIMIT_S = 0.1
"""A request can only be ended when its time is over."""


@trouble(SILENT)
async def fall_silent(fleet: SoakFleet) -> None:
    """Let servers send nothing for a while, several times in a row, and go on.

    A sound server may do so: nothing is excused, as beside planned work.
    """
    share = fleet.random.choice(SILENT_SHARES)
    servers = _some_servers(fleet, max(1, round(share * len(fleet.servers))))
    one_in = fleet.random.choice((1, 1, 1, 3))
    with_reports = fleet.random.random() < 0.5
    with fleet.record.trouble(SILENT, planned=True):
        fleet.time_left_s = fleet.random.choice(TIMES_LEFT_S)
        for _ in range(fleet.random.randint(1, MOST_SILENCES)):
            duration_s = fleet.random.uniform(*SILENCE_S)
            cut_share = fleet.random.choice(CUT_SHARES)
            for server in servers:
                silence = server.replica.silence
                silence.includes_reports = with_reports
                silence.begin(duration_s, cut_share=cut_share, one_in=one_in)
            await trio.sleep(duration_s + fleet.random.uniform(*PAUSE_S))
        fleet.time_left_s = TIME_LEFT_S


@trouble(ENDLESS)
async def send_endlessly(fleet: SoakFleet) -> None:
    """Let servers, or the store, send bytes without end."""
    pace = fleet.random.choice(list(EndlessPace))
    if fleet.random.random() < STORE_SHARE:
        await _let_store_send(fleet, pace)
    else:
        await _let_servers_send(fleet, pace)


async def _let_store_send(fleet: SoakFleet, pace: EndlessPace) -> None:
    place = fleet.random.choice([None, *CALL_PLACES])
    name = f"{ENDLESS}: store, {place.value if place else 'pages'}, {pace.value}"
    with fleet.record.trouble(name, at_store=True):
        fleet.store.has_endless_pages = place is None
        fleet.store.endless = EndlessBytes(place, pace) if place else None
        if place is None:
            # Entries read ranges only once they have lost their watch.
            fleet.store.forget_history()
            for proxy in fleet.store_proxies.values():
                proxy.reset_all()
        await _watch_memory(fleet, fleet.random.uniform(1.0, 5.0))
        fleet.store.has_endless_pages, fleet.store.endless = False, None


async def _let_servers_send(fleet: SoakFleet, pace: EndlessPace) -> None:
    """Nothing is excused but that requests at these servers are broken off."""
    place = fleet.random.choice(list(EndlessPlace))
    endless = EndlessBytes(place, pace, fleet.random.randint(0, MOST_EVENTS))
    servers = _some_servers(fleet, fleet.random.randint(1, MOST_SERVERS))
    has_reports = place in CALL_PLACES and fleet.random.random() < REPORT_SHARE
    with fleet.record.trouble(f"{ENDLESS}: {place.value}, {pace.value}", planned=True):
        replicas = [server.replica for server in servers]
        for replica in replicas:
            replica.endless = endless
            replica.endless_reports = endless if has_reports else None
        await _watch_memory(fleet, fleet.random.uniform(1.0, 5.0))
        for replica in replicas:
            replica.endless = replica.endless_reports = None


def _some_servers(fleet: SoakFleet, count: int) -> list[Server]:
    return fleet.random.sample(fleet.servers, min(count, len(fleet.servers)))


async def _watch_memory(fleet: SoakFleet, duration_s: float) -> None:
    """Check the entries' memory for a while."""
    most_mb: dict[int, float] = {}
    with trio.move_on_after(duration_s):
        while True:
            for number, entry in fleet.entries.items():
                if entry.is_running:
                    most_mb[number] = max(most_mb.get(number, 0.0), entry.resident_mb())
            await trio.sleep(MEMORY_LOOK_S)
    over = {number: f"{mb:.0f} MB" for number, mb in most_mb.items() if mb > MOST_MEMORY_MB}
    # Memory that an entry doesn't give back would be noted by each later trouble.
    if over and not any(one.promise == BOUNDED for one in fleet.record.broken):
        fleet.record.note_broken(BOUNDED, f"entries {over}")


def may_break_off(attempt: Attempt, arrivals: Sequence[ReceivedRequest]) -> bool:
    """Return whether an answer may break off: it has begun, and a server's bytes didn't end."""
    return attempt.status != 0 and any(arrival.is_endless for arrival in arrivals)


def judge_silences(fleet: SoakFleet, attempt: Attempt, arrivals: Sequence[ReceivedRequest]) -> None:
    """Judge whether an entry gave up a request because of a sound server's silence."""
    assert attempt.ended_s is not None
    took_s = attempt.ended_s - attempt.sent_s
    is_given_up = attempt.status in FAILURES and took_s < attempt.time_left_s - AT_LIMIT_S
    if not is_given_up or not arrivals or any(arrival.is_endless for arrival in arrivals):
        return
    if not fleet.record.is_calm(attempt.entry, attempt.sent_s, attempt.ended_s):
        return
    if SILENT in fleet.record.names_during(attempt.sent_s, attempt.ended_s):
        detail = (
            f"{attempt.kind.value} {attempt.attempt_id} at entry {attempt.entry}: "
            f"status {attempt.status} after {took_s:.2f} s, {len(arrivals)} arrivals"
        )
        fleet.record.note_broken("a silence for a while ends no request", detail)
