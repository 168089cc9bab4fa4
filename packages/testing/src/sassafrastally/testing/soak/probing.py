"""Questions of the soak's own: which configuration is in force, and whether the fleet is well."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.stand_ins.documents import HOST_NAME, KEY
from sassafrastally.testing.soak.callers import Caller
from sassafrastally.testing.soak.entry_process import MEMORY_MB
from sassafrastally.testing.soak.record import Kind

if TYPE_CHECKING:
    from sassafrastally.testing.soak.entry_process import EntryProcess
    from sassafrastally.testing.soak.fleet import SoakFleet

PROBE_S = 0.5
"""How often each entry is asked which version it has in force."""

IN_FORCE_S = 2.5
"""How long after the store's word a version must be in force: two seconds and the time that a busy
machine takes."""

STORE_WINDOW_S = 3.0
MOST_STORE_CALLS_PER_S = 6.0
"""Calls of an entry, on average: 2,000 reads a second, which the users' store allows, over 340
entries."""

OTHER_STORE_CALLS_PER_S = 2.0
"""Calls of an entry beside the one with which it waits again after each change of the store: its
own address, a lost connection, a full read."""

RECOVER_S = 12.0
"""How long after the last trouble the fleet must serve again."""

FREE_S = 5.0
"""How long after the last request all memory of the engines must be free."""

MOST_MEMORY_MB = 128.0
MOST_FILES = 600
"""What an entry may take at the end of a soak; descriptors grow with callers and servers. After
long requests the allocator keeps what their bodies took, so that the platform's limit applies."""

UNRELATED_TO_UPDATES = ("server-", "burst", "callers-links")
"""Beginnings of the names of troubles that don't keep an entry from learning of a version."""

ASKED_TO_END = frozenset({0, -signal.SIGTERM, -signal.SIGKILL})
"""Exit codes of processes that the soak itself ended: in order, by a signal that met the
interpreter before the program's first statement, or by force. `SoakFleet.stop_entry` judges the
second where the port is open."""

CRASH_SIGNS = ("Traceback (most recent call last)", "ConnectionCrashed")

NO_ROUTE = 404
OK = 200


async def watch_versions(fleet: SoakFleet) -> None:
    """Ask each entry which configuration it has in force, until cancelled."""
    async with trio.open_nursery() as nursery:
        for number in fleet.entries:
            nursery.start_soon(_watch_entry, fleet, number)


async def watch_store_calls(fleet: SoakFleet) -> None:
    """Check that entries don't call the store in a loop, until cancelled."""
    while True:
        calls_before, changes_before = len(fleet.store.calls), fleet.store.changes
        await trio.sleep(STORE_WINDOW_S)
        calls = len(fleet.store.calls) - calls_before
        changes = fleet.store.changes - changes_before
        most = most_store_calls(len(fleet.entries), changes)
        if calls > most:
            detail = (
                f"{calls} calls in {STORE_WINDOW_S:.0f} s, {changes} changes, {most:.0f} at most"
            )
            fleet.record.note_broken("the store is not called in a loop", detail)


def most_store_calls(entries: int, changes: int) -> float:
    """Return how many calls entries may make in a window in which the store changes so often."""
    after_changes = changes + OTHER_STORE_CALLS_PER_S * STORE_WINDOW_S
    return entries * max(MOST_STORE_CALLS_PER_S * STORE_WINDOW_S, after_changes)


async def _watch_entry(fleet: SoakFleet, number: int) -> None:
    entry = fleet.entries[number]
    seen: dict[int, int] = {}
    while True:
        await trio.sleep(PROBE_S)
        life, version, sent_s = entry.ends, fleet.version, trio.current_time()
        status = await _ask(entry, fleet.route_of(version))
        if status not in (OK, NO_ROUTE) or version != fleet.version or life != entry.ends:
            continue  # It couldn't tell, or what it was asked for has changed meanwhile.
        if status == OK:
            seen[life] = version
            await _check_dropped(fleet, number, version, sent_s)
        elif seen.get(life) == version:
            fleet.record.note_broken("never reverts", f"entry {number}, version {version}")
        elif _is_due(fleet, number, version, sent_s):
            fleet.record.note_broken("in force in time", f"entry {number}, version {version}")


async def _check_dropped(fleet: SoakFleet, number: int, version: int, sent_s: float) -> None:
    """Check that what the version before allowed is no longer served."""
    older = [known for known in fleet.configured_s if known < version]
    if not older or not _is_due(fleet, number, version, sent_s):
        return
    entry = fleet.entries[number]
    if await _ask(entry, fleet.route_of(max(older))) == OK:
        detail = f"entry {number} serves a route that version {version} dropped"
        fleet.record.note_broken("in force in time", detail)
    if await _ask(entry, Kind.LOOK.value, fleet.key_of(max(older))) == OK:
        detail = f"entry {number} takes a key that version {version} dropped"
        fleet.record.note_broken("in force in time", detail)


def _is_due(fleet: SoakFleet, number: int, version: int, sent_s: float) -> bool:
    configured_s = fleet.configured_s[version]
    calm_s = fleet.record.calm_since_s(number, sent_s, but_for=UNRELATED_TO_UPDATES)
    return sent_s > max(configured_s, calm_s) + IN_FORCE_S


async def _ask(entry: EntryProcess, route: str, key: str = KEY) -> int:
    """Return the status of a request of the soak's own; 0 when the entry doesn't answer."""
    fields = request_fields({"Authorization": f"Bearer {key}"})
    del fields["Host"]  # The call client names it.
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    calls = CallClient(entry.callers_address, HOST_NAME)
    try:
        status = (await calls.exchange("GET", f"/{route}/x", headers, b"", 2.0)).status
    except AnswerLost:
        status = 0
    await calls.close()
    return status


async def check_recovered(fleet: SoakFleet) -> None:
    """Check that each entry serves again and that nothing was lost or left behind."""
    for number in fleet.entries:
        for kind in (Kind.LOOK, Kind.NOTE):
            if not await _serves(fleet, number, kind):
                fleet.record.note_broken("recovers", f"entry {number} doesn't serve {kind.value}")
    await _check_memory(fleet)
    for entry in fleet.entries.values():
        _check_process(fleet, entry)


async def _serves(fleet: SoakFleet, number: int, kind: Kind) -> bool:
    caller = Caller(fleet)
    with trio.move_on_after(RECOVER_S):
        while True:
            known = set(fleet.record.attempts)
            await caller.call(kind, number)
            await caller.hang_up()
            new = [a for key, a in fleet.record.attempts.items() if key not in known]
            if new and new[0].status == OK and new[0].is_whole:
                return True
            await trio.sleep(0.2)
    return False


async def _check_memory(fleet: SoakFleet) -> None:
    engines = [server.replica.engine for server in fleet.servers if server.replica.engine]
    with trio.move_on_after(FREE_S):
        while any(engine.used_tokens or engine.running for engine in engines):
            await trio.sleep(0.1)
        return
    left = [engine.used_tokens for engine in engines]
    fleet.record.note_broken("memory is free in the end", f"tokens in use: {left}")


def _check_process(fleet: SoakFleet, entry: EntryProcess) -> None:
    name = f"entry {entry.number}"
    if not set(entry.exit_codes) <= ASKED_TO_END:
        detail = f"{name}: exit codes {entry.exit_codes[-20:]}"
        fleet.record.note_broken("no process ends by itself", detail)
    if not entry.is_running:
        fleet.record.note_broken("recovers", f"{name} doesn't run")
        return
    has_had_uploads = any(sent.entry == entry.number for sent in fleet.uploads)
    most_mb = MEMORY_MB if has_had_uploads else MOST_MEMORY_MB
    if entry.resident_mb() > most_mb or entry.open_files() > MOST_FILES:
        detail = f"{name}: {entry.resident_mb():.0f} MB, {entry.open_files()} descriptors"
        fleet.record.note_broken("bounded", detail)
    if entry.most_resident_mb() > MEMORY_MB:
        detail = f"{name}: {entry.most_resident_mb():.0f} MB once"
        fleet.record.note_broken("bounded", detail)
    log = entry.log_file.read_text(errors="replace")
    for sign in CRASH_SIGNS:
        if sign in log:
            fleet.record.note_broken("no crash", f"{name}: {sign} in its log")
