"""Entries that are restarted one after another while a harmful prompt part keeps coming."""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.soak.callers import Caller
from sassafrastally.testing.soak.harmful import (
    FREE_PART_CRASHES,
    MAX_PARTS_AT_ONCE,
    PART_NAME,
    PAUSE_S,
)
from sassafrastally.testing.soak.record import Kind
from sassafrastally.testing.soak.troubles import STARTED_S, trouble

if TYPE_CHECKING:
    from sassafrastally.testing.soak.fleet import SoakFleet

RESTARTED = "entries-restarted"

SERIES_S = 60.0
"""How long the part keeps coming: an entry tries a quarantined part about each ten seconds."""

FIRST_REQUESTS = 4
"""Requests with the part that come at the same moment, before any entry can know of it."""

KILLED_AFTER_S = 1.0
"""Time from a request with the part that reached a server to the end of the entry that sent it."""

LOOK_S = 0.1


@trouble(RESTARTED)
async def restart_in_series(fleet: SoakFleet) -> None:
    """Kill one entry after another, each after it has sent a harmful part to a server.

    What an entry knows of the part and of its own tries is lost with it.
    """
    if fleet.record.count_active(PART_NAME) >= MAX_PARTS_AT_ONCE:
        return
    part = f"bad{fleet.random.getrandbits(48):012x}"
    fleet.harmful_parts.add(part)
    with fleet.record.trouble(PART_NAME), trio.move_on_after(SERIES_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_ask, fleet, part)
            nursery.start_soon(_restart_senders, fleet, part)


async def _ask(fleet: SoakFleet, part: str) -> None:
    async with trio.open_nursery() as nursery:
        for entry in fleet.random.choices(fleet.ready_entries(), k=FIRST_REQUESTS):
            call = partial(Caller(fleet).call, harmful_part=part)
            nursery.start_soon(call, Kind.NOTE, entry)
    caller = Caller(fleet)
    while True:
        entry = fleet.random.choice(fleet.ready_entries())
        await caller.call(Kind.NOTE, entry, harmful_part=part)
        await trio.sleep(fleet.random.expovariate(1 / PAUSE_S))


async def _restart_senders(fleet: SoakFleet, part: str) -> None:
    """Restart the entry that has sent the latest request with the part, each time there is one."""
    handled = 0
    while True:
        await trio.sleep(LOOK_S)
        sent = _sent(fleet, part)
        if len(sent) < FREE_PART_CRASHES or len(sent) == handled:
            continue
        at_s, request_id = sent[-1]
        if trio.current_time() - at_s < KILLED_AFTER_S:
            continue
        handled = len(sent)
        number = fleet.record.attempts[request_id].entry
        with fleet.record.trouble(RESTARTED, [number]):
            fleet.entries[number].signal(signal.SIGKILL)
            await trio.sleep(STARTED_S)


def _sent(fleet: SoakFleet, part: str) -> list[tuple[float, str]]:
    """Return when requests with a part were run by servers, and their IDs, in order."""
    return sorted(
        (arrival.at_s, arrival.request_id)
        for replica in fleet.all_replicas
        for arrival in replica.received_requests
        if arrival.has_run and part in arrival.parts
    )
