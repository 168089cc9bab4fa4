"""An entry that gets CPU time in turns only, beside callers who reconnect and a planned change."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.soak.reconnecting import UNREAD_S, ReconnectingCaller
from sassafrastally.testing.soak.record import Kind
from sassafrastally.testing.soak.troubles import configure, some_entries, trouble

if TYPE_CHECKING:
    from sassafrastally.testing.soak.fleet import SoakFleet
    from sassafrastally.testing.soak.record import Attempt

STARVED = "entry-starved"

RESTS_S = (0.1, 0.3)
"""How long the entry doesn't run in each turn."""

RUNS_S = (0.03, 0.08)
"""How long it runs."""

DURATION_S = (3.0, 5.0)

CALLERS = (20, 40)

WEIGHTS = {Kind.NOTE: 5, Kind.LOOK: 1, Kind.BOOK: 1}
"""Mostly streams, which an entry without CPU time leaves to others."""

CHANGES = (("signal",), ("configuration",), ("signal", "configuration"))


@trouble(STARVED)
async def starve_entry(fleet: SoakFleet) -> None:
    """Let an entry run in turns while callers open connections and its settings change."""
    (number,) = some_entries(fleet, 0.0)
    if number in fleet.stalled_entries:
        return
    fleet.stalled_entries.add(number)
    duration_s = fleet.random.uniform(*DURATION_S)
    with fleet.record.trouble(STARVED, [number]), trio.move_on_after(duration_s):
        async with trio.open_nursery() as nursery:
            for _ in range(fleet.random.randint(*CALLERS)):
                caller = ReconnectingCaller(fleet, number, WEIGHTS)
                nursery.start_soon(caller.press_until_refused)
            nursery.start_soon(run_in_turns, fleet, number)
            while True:
                await trio.sleep(fleet.random.uniform(0.5, 1.5))
                await change(fleet, number)
    fleet.stalled_entries.discard(number)


async def run_in_turns(fleet: SoakFleet, number: int) -> None:
    """Let an entry run in turns until cancelled."""
    entry = fleet.entries[number]
    try:
        while True:
            entry.signal(signal.SIGSTOP)
            await trio.sleep(fleet.random.uniform(*RESTS_S))
            entry.signal(signal.SIGCONT)
            await trio.sleep(fleet.random.uniform(*RUNS_S))
    finally:
        entry.signal(signal.SIGCONT)


async def change(fleet: SoakFleet, number: int) -> None:
    """Change the entry's settings, the configuration or both."""
    changes = fleet.random.choice(CHANGES)
    # Before the program's first statement the interpreter itself is what the signal meets.
    if "signal" in changes and fleet.entries[number].accepts_callers():
        fleet.entries[number].write_settings()
        fleet.entries[number].signal(signal.SIGHUP)
    if "configuration" in changes:
        await configure(fleet)


def judge_starving(fleet: SoakFleet, attempt: Attempt) -> None:
    """Judge the end of an attempt on a connection of its own at an entry short of CPU time.

    A whole request gets an answer or a refusal, or is cut off so soon that it counts as unread. The
    time in which this process was late to notice that isn't counted.
    """
    assert attempt.ended_s is not None
    after_s = attempt.ended_s - attempt.last_byte_s
    if not attempt.is_direct or not attempt.is_sent or attempt.status:
        return
    if after_s - fleet.record.own_lag_s(attempt.last_byte_s, attempt.ended_s) <= UNREAD_S:
        return
    times = [
        span
        for span in fleet.record.spans
        if span.name == STARVED
        and attempt.entry in (span.entries or ())
        and span.begin_s <= attempt.ended_s
        and span.end_s >= attempt.sent_s
    ]
    calm = fleet.record.is_calm(attempt.entry, attempt.sent_s, attempt.ended_s, but_for=(STARVED,))
    if times and calm:
        fleet.record.note_broken(
            "who could connect to an entry short of CPU time is answered",
            f"{attempt.kind.value} {attempt.attempt_id} at entry {attempt.entry}: cut "
            f"{after_s:.3f} s after its last byte",
        )
