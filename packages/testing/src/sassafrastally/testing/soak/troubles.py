"""Troubles that a soak brings over its fleet; a decorator registers each by name."""

from __future__ import annotations

import math
import signal
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Sequence

    from sassafrastally.stand_ins.replica import Replica
    from sassafrastally.testing.soak.fleet import Server, SoakFleet
    from sassafrastally.testing.soak.proxying import LoopbackProxy

    Bring = Callable[[SoakFleet], Awaitable[None]]

BACK_S = 1.5
"""Entries of servers that lapsed with the store are back this long after its return."""

STARTED_S = 1.5
"""Time from the end of a process until the next one has started."""

SERVES_ON_S = 2.5
"""How long a draining server goes on serving after the store has accepted its report."""

LAPSE_SHARE = 0.4
"""Share of the store's outages in which a server's entry lapses."""

COPY_AGE_S = (0.5, 5.0)
"""Age of the copy from which the store is restored."""

LOST_CHANGES = (0, 30)
"""Changes by other users of the store that a restore loses too."""

STORE_DELAY_S = 0.5
LINK_DELAY_S = 0.3
SLOW_LINK_BYTES_PER_S = 20_000.0
SLOW_PACE = 6.0
SERVER_FAILURE = 500
BURST_RATE = 5.0
"""How harmful: answers of the store half a second late, pieces on a link 0.3 s late or at 20 KB a
second, an engine six times slower, five times as many requests."""

STOPPED = "entry-stopped"
STARTED = "entry-started"

LINK_HARMS = ("reset", "delay", "squeeze", "cut requests", "cut answers", "silence")


class NoServerFree(Exception):
    """Other troubles have all servers; this one is left out."""


class Trouble(NamedTuple):
    """One kind of trouble."""

    name: str
    bring: Bring
    """Brings it, waits, takes it away and notes its time."""


TROUBLES: Registry[Trouble] = Registry("trouble")


def trouble(name: str) -> Callable[[Bring], Bring]:
    """Register a kind of trouble."""

    def register(bring: Bring) -> Bring:
        TROUBLES.register(name)(Trouble(name, bring))
        return bring

    return register


def some_entries(fleet: SoakFleet, share: float = 0.4) -> list[int]:
    """Return some of the entries, at least one."""
    numbers = list(fleet.entries)
    return fleet.random.sample(numbers, max(1, int(share * len(numbers))))


def some_server(fleet: SoakFleet) -> Server:
    """Return a server that no other trouble is about to replace."""
    free = [server for server in fleet.servers if not server.is_claimed]
    return fleet.random.choice(free or fleet.servers)


@contextmanager
def claimed(server: Server) -> Iterator[None]:
    """Keep a server for one trouble that replaces it."""
    if server.is_claimed:
        raise NoServerFree
    server.is_claimed = True
    try:
        yield
    finally:
        server.is_claimed = False


@trouble("entry-killed")
async def kill_entry(fleet: SoakFleet) -> None:
    """Kill one entry; it is started anew."""
    await _kill(fleet, some_entries(fleet, 0.0), "entry-killed")


@trouble("many-entries-killed")
async def kill_many_entries(fleet: SoakFleet) -> None:
    """Kill most entries, or all, at the same moment."""
    await _kill(fleet, some_entries(fleet, fleet.random.choice([0.6, 1.0])), "many-entries-killed")


async def _kill(fleet: SoakFleet, numbers: list[int], name: str) -> None:
    with fleet.record.trouble(name, numbers):
        for number in numbers:
            fleet.entries[number].signal(signal.SIGCONT)
            fleet.entries[number].signal(signal.SIGKILL)
        await trio.sleep(STARTED_S)


@trouble("entry-paused")
async def pause_entry(fleet: SoakFleet) -> None:
    """Stop some entries' processes for a while and let them go on."""
    numbers = some_entries(fleet, 0.3)
    with fleet.record.trouble("entry-paused", numbers):
        for number in numbers:
            fleet.entries[number].signal(signal.SIGSTOP)
        await trio.sleep(fleet.random.choice([0.3, 1.0, 3.0]))
        for number in numbers:
            fleet.entries[number].signal(signal.SIGCONT)


@trouble(STOPPED)
async def stop_entry(fleet: SoakFleet) -> None:
    """Ask an entry to stop, as a roll does; callers go on using its connections."""
    (number,) = some_entries(fleet, 0.0)
    await stop_one(fleet, number)


async def stop_one(fleet: SoakFleet, number: int) -> None:
    """Ask an entry to stop; the next process starts soon after its end."""
    with fleet.record.trouble(STOPPED, [number], planned=True):
        await fleet.stop_entry(number)
    # The next process begins from nothing; that isn't part of the planned stop.
    with fleet.record.trouble(STARTED, [number]):
        await trio.sleep(STARTED_S)


@trouble("settings-changed")
async def change_settings(fleet: SoakFleet) -> None:
    """Rewrite the settings file of some entries and signal it.

    Only those whose program runs: before its first statement the interpreter itself is what the
    signal meets, and it ends.
    """
    numbers = [n for n in some_entries(fleet) if fleet.entries[n].accepts_callers()]
    with fleet.record.trouble("settings-changed", numbers, planned=True):
        for number in numbers:
            fleet.entries[number].write_settings()
            fleet.entries[number].signal(signal.SIGHUP)
        await trio.sleep(0.5)


@trouble("callers-links")
async def harm_callers_links(fleet: SoakFleet) -> None:
    """Reset, delay, cut one way or silence the connections of callers to an entry."""
    (number,) = some_entries(fleet, 0.0)
    await _harm_links(fleet, [fleet.callers_proxies[number]], "callers-links", [number])


@trouble("store-links")
async def harm_store_links(fleet: SoakFleet) -> None:
    """Harm the way of some entries to the store, while the others reach it."""
    numbers = some_entries(fleet)
    proxies = [fleet.store_proxies[number] for number in numbers]
    await _harm_links(fleet, proxies, "store-links", numbers, at_store=True)


@trouble("server-links")
async def harm_server_links(fleet: SoakFleet) -> None:
    """Harm the way of all entries to a backend server."""
    await _harm_links(fleet, [some_server(fleet).proxy], "server-links", None)


async def _harm_links(
    fleet: SoakFleet,
    proxies: Sequence[LoopbackProxy],
    name: str,
    entries: list[int] | None,
    *,
    at_store: bool = False,
) -> None:
    how = fleet.random.choice(LINK_HARMS)
    with fleet.record.trouble(f"{name}: {how}", entries, at_store=at_store):
        for proxy in proxies:
            _harm_link(proxy, how)
        if how not in ("reset", "silence"):
            await trio.sleep(fleet.random.uniform(0.5, 4.0))
        for proxy in proxies:
            proxy.heal()


def _harm_link(proxy: LoopbackProxy, how: str) -> None:
    if how == "reset":
        proxy.reset_all()
    elif how == "silence":
        proxy.silence_open()
    proxy.delay_s = LINK_DELAY_S if how == "delay" else 0.0
    proxy.bytes_per_s = SLOW_LINK_BYTES_PER_S if how == "squeeze" else math.inf
    proxy.cuts_requests = how == "cut requests"
    proxy.cuts_answers = how == "cut answers"


@trouble("store-away")
async def take_store_away(fleet: SoakFleet) -> None:
    """Let the store refuse, fall silent or be slow; entries of servers may lapse meanwhile."""
    how = fleet.random.choice(["refuses", "silent", "slow", "loses answers"])
    lapsed = some_server(fleet) if fleet.random.random() < LAPSE_SHARE else None
    store = fleet.store
    with fleet.record.trouble(f"store-away: {how}", at_store=True):
        store.error_status = fleet.random.choice([429, 503]) if how == "refuses" else 0
        store.is_unresponsive = how == "silent"
        store.delay_s = STORE_DELAY_S if how == "slow" else 0.0
        store.loses_responses = how == "loses answers"
        await trio.sleep(fleet.random.uniform(0.5, 6.0))
        if lapsed is not None:
            fleet.unregister(lapsed)
        store.error_status = 0
        store.is_unresponsive = store.loses_responses = False
        store.delay_s = 0.0
        for proxy in fleet.store_proxies.values():
            proxy.reset_all()
    if lapsed is not None:
        await trio.sleep(BACK_S)
        fleet.register(lapsed)


@trouble("store-restored")
async def restore_store(fleet: SoakFleet) -> None:
    """Let the store come back from a copy some seconds old, once or several times in a row."""
    copy = fleet.store.copy()
    await trio.sleep(fleet.random.uniform(*COPY_AGE_S))
    for _ in range(fleet.random.randint(*LOST_CHANGES)):
        fleet.store.put("others/counter", b"")
    with fleet.record.trouble("store-restored", at_store=True):
        for _ in range(fleet.random.choice([1, 1, 3])):
            fleet.store.error_status = 503
            await trio.sleep(fleet.random.uniform(0.0, 2.5))
            fleet.store.restore(copy)
            fleet.store.error_status = 0
            for proxy in fleet.store_proxies.values():
                proxy.reset_all()
            await trio.sleep(fleet.random.uniform(0.0, BACK_S))
        fleet.write_again()


@trouble("store-forgets")
async def forget_history(fleet: SoakFleet) -> None:
    """Let the store drop its history while the watches on it are cut."""
    with fleet.record.trouble("store-forgets", at_store=True):
        for proxy in fleet.store_proxies.values():
            proxy.reset_all()
        fleet.store.forget_history()


@trouble("configured")
async def configure(fleet: SoakFleet) -> None:
    """Put one new version of the configuration into the store, or several in a row."""
    with fleet.record.trouble("configured", planned=True):
        for _ in range(fleet.random.choice([1, 1, 5])):
            fleet.version += fleet.random.randint(1, 3)
            fleet.configure()
            await trio.sleep(fleet.random.choice([0.02, 0.3]))


@trouble("server-crashed")
async def crash_server(fleet: SoakFleet) -> None:
    """Let a server die and a new life begin at its address."""
    server = some_server(fleet)
    with fleet.record.trouble("server-crashed"), claimed(server):
        fleet.end_life(server)
        await trio.sleep(fleet.random.uniform(0.1, 3.0))
        fleet.unregister(server)
        await fleet.begin_life(server)
        fleet.register(server)


@trouble("server-drained")
async def drain_server(fleet: SoakFleet) -> None:
    """Drain a server, let it leave, and let a new life begin at its address."""
    server = some_server(fleet)
    with claimed(server):
        with fleet.record.trouble("server-drained", planned=True):
            fleet.register(server, is_draining=True)
            fleet.drained[server.replica.server_id] = trio.current_time()
            await trio.sleep(SERVES_ON_S)
            fleet.unregister(server)
            await trio.sleep(SERVES_ON_S)
        with fleet.record.trouble("server-replaced"):
            fleet.end_life(server)
            await fleet.begin_life(server)
            fleet.register(server)


@trouble("server-misbehaves")
async def misbehave(fleet: SoakFleet) -> None:
    """Let a server refuse, fail, lose, break off, double its answers, fall silent or be slow."""
    server = some_server(fleet)
    replica = server.replica
    how = fleet.random.choice(["refuses", "fails", "loses", "breaks", "doubles", "mute", "slow"])
    with fleet.record.trouble(f"server-misbehaves: {how}"):
        replica.refuses = how == "refuses"
        replica.response_status = SERVER_FAILURE if how == "fails" else 0
        replica.loses_responses = how == "loses"
        replica.breaks_after_events = fleet.random.randint(0, 6) if how == "breaks" else -1
        replica.sends_extra_response = how == "doubles"
        replica.is_unresponsive = how == "mute"
        _set_pace(replica, SLOW_PACE if how == "slow" else 1.0)
        await trio.sleep(fleet.random.uniform(1.0, 6.0))
        replica.refuses = replica.loses_responses = False
        replica.sends_extra_response = replica.is_unresponsive = False
        replica.response_status = 0
        replica.breaks_after_events = -1
        _set_pace(replica, 1.0)


def _set_pace(replica: Replica, pace: float) -> None:
    if replica.engine is not None:
        replica.engine.pace = pace


@trouble("burst")
async def burst(fleet: SoakFleet) -> None:
    """Let callers press several times as much."""
    with fleet.record.trouble("burst"):
        fleet.rate = BURST_RATE
        await trio.sleep(fleet.random.uniform(1.0, 4.0))
        fleet.rate = 1.0
