"""Servers that leave where the entries may have missed what the store said of them before."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.soak.callers import Caller
from sassafrastally.testing.soak.record import CALM_AFTER_S, Kind
from sassafrastally.testing.soak.troubles import NoServerFree, claimed, trouble

if TYPE_CHECKING:
    from sassafrastally.testing.soak.fleet import Server, SoakFleet

TAKEOVER = "leaves-beside-takeover"
CLOCK_BACK = "server-clock-back"
REPLACED = "server-replaced"

KNOWN_BESIDE = (CLOCK_BACK, REPLACED)
"""Troubles of a server that keep no entry from learning that a server leaves."""

ENGINES = "engines"

CALLERS = 8
PAUSE_S = 0.1
"""Callers of plain servers, beside the usual ones, and their mean pause: each server gets requests
within tenths of a second."""

WATCHED_S = 1.5
"""An entry that watches the store calls it at least once a second."""

DARK_S = 3.5
"""How long the entries that watched the store have no power."""

LEAVES_AFTER_S = (0.0, 0.3)
"""Time from the loss of power to the removal of the server's entry; other entries take over 0.6 s
or more after the loss."""

STAYS_S = (3.0, 5.0)
"""How long a server that has left serves on before it exits: longer than it has to, so that what
reaches it late is seen."""

AHEAD_MS = (1000, 5000)
"""How far the clock of a server is ahead in its first life."""

CRASHES_AFTER_S = (0.5, 1.5)
DOWN_S = (0.3, 1.5)
"""How long that life lasts, and how long the server is gone then. Both together may be less than
the clock was ahead, so that the second life seems to have begun before the first."""


def watching_entries(fleet: SoakFleet) -> list[int]:
    """Return the entries that watch the store for the others."""
    since_s = trio.current_time() - WATCHED_S
    return [number for number, one in fleet.store_proxies.items() if one.watched_s > since_s]


@trouble(TAKEOVER)
async def leave_beside_takeover(fleet: SoakFleet) -> None:
    """Kill the entries that watch the store; a server leaves before others have taken over.

    Its entry is removed without a word that it drains, while it serves on.
    """
    watching = watching_entries(fleet)
    if not 0 < len(watching) < len(fleet.entries) or fleet.dark_entries:
        return
    server = _some_plain_server(fleet)
    with claimed(server):
        fleet.dark_entries |= set(watching)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_darken, fleet, watching)
            nursery.start_soon(_press, fleet, [one for one in fleet.entries if one not in watching])
            await trio.sleep(fleet.random.uniform(*LEAVES_AFTER_S))
            await _leave(fleet, server)
        await _replace(fleet, server)


async def _darken(fleet: SoakFleet, numbers: list[int]) -> None:
    with fleet.record.trouble(TAKEOVER, numbers):
        for number in numbers:
            fleet.entries[number].kill()
        await trio.sleep(DARK_S)
        fleet.dark_entries -= set(numbers)
        await trio.sleep(CALM_AFTER_S)


async def _leave(fleet: SoakFleet, server: Server) -> None:
    fleet.unregister(server)
    fleet.drained[server.replica.server_id] = trio.current_time()
    await trio.sleep(fleet.random.uniform(*STAYS_S))


def _some_plain_server(fleet: SoakFleet) -> Server:
    """Return a server that is no engine; it runs requests that may run only once."""
    free = [one for one in fleet.servers if one.replica.service != ENGINES and not one.is_claimed]
    if not free:
        raise NoServerFree
    return fleet.random.choice(free)


async def _press(fleet: SoakFleet, numbers: list[int]) -> None:
    """Let callers ask plain servers at some entries while a server that has left serves on."""
    with trio.move_on_after(STAYS_S[1]):
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(_ask, fleet, numbers)


async def _ask(fleet: SoakFleet, numbers: list[int]) -> None:
    caller = Caller(fleet)
    while True:
        await caller.call(Kind.BOOK, fleet.random.choice(numbers))
        await trio.sleep(fleet.random.expovariate(1 / PAUSE_S))


async def _replace(fleet: SoakFleet, server: Server) -> None:
    with fleet.record.trouble(REPLACED):
        fleet.end_life(server)
        await fleet.begin_life(server)
        fleet.register(server)


@trouble(CLOCK_BACK)
async def set_clock_back(fleet: SoakFleet) -> None:
    """Restart a server under its ID after its clock has gone back; later, it drains and leaves."""
    server = _some_plain_server(fleet)
    with claimed(server):
        with fleet.record.trouble(CLOCK_BACK):
            ahead_ms = fleet.random.randint(*AHEAD_MS)
            fleet.end_life(server)
            fleet.unregister(server)
            await fleet.begin_life(server, born_ms=_clock_ms() + ahead_ms)
            fleet.register(server)
            await trio.sleep(fleet.random.uniform(*CRASHES_AFTER_S))
            fleet.end_life(server)
            await trio.sleep(fleet.random.uniform(*DOWN_S))
            await fleet.begin_life(server, born_ms=_clock_ms(), keeps_id=True)
            fleet.register(server)
        await trio.sleep(CALM_AFTER_S + 1.0)
        with fleet.record.trouble("server-drained", planned=True):
            fleet.register(server, is_draining=True)
            fleet.drained[server.replica.server_id] = trio.current_time()
            await _press(fleet, list(fleet.entries))
        fleet.unregister(server)
        await _replace(fleet, server)


def _clock_ms() -> int:
    return int(time.time() * 1000)
