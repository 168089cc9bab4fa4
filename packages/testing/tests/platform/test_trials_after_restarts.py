"""Trials of requests with a quarantined prompt part while entries are killed and started again."""

from __future__ import annotations

import json

import pytest
import trio

from sassafrastally.proxy.quarantine import TRIAL_AFTER_S
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.testing.harmful_fleet import (
    HARMFUL_PART,
    arrivals_with_part,
    harmful_prompt,
    start_fleet,
)

ENTRIES = 3
MAX_LATE_REQUESTS = 3
"""Requests with a harmful part that may reach servers later than three seconds after the fifth
crash."""


class Restarts:
    """Callers of harmful requests, and entries that are killed after each that reaches a server."""

    def __init__(self, fleet, *, kills_all: bool, kill_after_s: float) -> None:
        self._fleet = fleet
        self._kills_all = kills_all
        self._kill_after_s = kill_after_s
        self._number = 0

    async def ask(self) -> None:
        """Send a harmful request to the next entry."""
        self._number += 1
        body, parts = harmful_prompt(self._number)
        entry = 1 + self._number % ENTRIES
        await self._fleet.call("/note/x", entry=entry, body=body, prompt="1000,340", parts=parts)

    async def quarantine(self) -> None:
        """Let the part crash servers until it is quarantined, and recorded."""
        self._fleet.harmful_parts.add(HARMFUL_PART)
        for _ in range(6):
            await self.ask()
            await trio.sleep(0.5)
        await wait_until(lambda: "quarantine/" in " ".join(self._fleet.store.keys()), 8.0)

    async def run(self, duration_s: float) -> int:
        """Ask and kill for some time; return how many requests reached servers."""
        before = len(arrivals_with_part(self._fleet))
        seen, end_s = before, trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await self.ask()
            arrivals = arrivals_with_part(self._fleet)
            if len(arrivals) > seen:
                seen = len(arrivals)
                await trio.sleep(self._kill_after_s)
                entry = 1 + self._number % ENTRIES
                await self._restart(range(1, ENTRIES + 1) if self._kills_all else [entry])
            await trio.sleep(0.4)
        return len(arrivals_with_part(self._fleet)) - before

    async def _restart(self, entries) -> None:
        for entry in entries:
            self._fleet.kill_entry(entry)
        await trio.sleep(1.0)
        for entry in entries:
            await self._fleet.add_entry(entry)


class TestHarmfulPart:
    """Guards against a server lost to a harmful part at each start of an entry."""

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("kills_all", [False, True], ids=["one", "all"])
    async def test_reaches_few_servers(self, autojump_clock, seeded_fleet, kills_all):
        await start_fleet(seeded_fleet, ENTRIES)
        restarts = Restarts(seeded_fleet, kills_all=kills_all, kill_after_s=1.0)
        await restarts.quarantine()
        assert await restarts.run(120.0) <= MAX_LATE_REQUESTS

    @pytest.mark.parametrize("seed", [1])
    async def test_outcome_is_recorded_once_the_store_is_back(self, autojump_clock, seeded_fleet):
        """Guards against trials in an outage of the store that no later process knows of."""
        fleet = seeded_fleet
        await start_fleet(fleet, ENTRIES)
        restarts = Restarts(fleet, kills_all=False, kill_after_s=1.0)
        await restarts.quarantine()
        fleet.store.error_status = 503
        before = len(arrivals_with_part(fleet))
        for _ in range(40):
            await restarts.ask()
            await trio.sleep(1.0)
        in_outage = len(arrivals_with_part(fleet)) - before
        fleet.store.error_status = 0
        await trio.sleep(20.0)
        later = Restarts(fleet, kills_all=True, kill_after_s=0.0)
        await later._restart(range(1, ENTRIES + 1))
        assert in_outage + await later.run(60.0) <= 1


class TestCalls:
    """Guards against a call to the store for each request with a quarantined part."""

    @pytest.mark.parametrize("seed", [1])
    async def test_store_is_written_for_trials_only(self, autojump_clock, seeded_fleet):
        fleet = seeded_fleet
        await start_fleet(fleet, ENTRIES)
        restarts = Restarts(fleet, kills_all=False, kill_after_s=0.0)
        await restarts.quarantine()
        await trio.sleep(TRIAL_AFTER_S)
        before = fleet.store.revision
        for _ in range(200):
            await restarts.ask()
            await trio.sleep(0.02)
        assert fleet.store.revision - before <= 8


def trials_begun(store) -> int:
    """Return how many trials the records of the quarantine count."""
    keys = [key for key in sorted(store.keys()) if key.startswith("quarantine/")]
    records = [json.loads(store.value(key)) for key in keys]
    return sum(record.get("trials", [0])[0] for record in records)


class TestCountedTrials:
    """Guards against a part that no entry may try any more, as trials were counted that were none:
    a sound part would be refused until its verdict ends."""

    @pytest.mark.parametrize("seed", range(1, 7))
    async def test_one_trial_counts_once(self, autojump_clock, seeded_fleet):
        """The record of a trial comes back from the store while it is being written."""
        fleet = seeded_fleet
        await start_fleet(fleet, ENTRIES)
        restarts = Restarts(fleet, kills_all=False, kill_after_s=0.0)
        await restarts.quarantine()
        before = len(arrivals_with_part(fleet))
        for _ in range(60):
            await restarts.ask()
            await trio.sleep(0.5)
        assert trials_begun(fleet.store) == len(arrivals_with_part(fleet)) - before == 1

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_request_that_reaches_no_server_is_no_trial(self, autojump_clock, seeded_fleet):
        """No server is there when the first trials are due."""
        fleet = seeded_fleet
        await start_fleet(fleet, ENTRIES)
        restarts = Restarts(fleet, kills_all=False, kill_after_s=0.0)
        await restarts.quarantine()
        records = {
            key: fleet.store.value(key)
            for key in sorted(fleet.store.keys())
            if key.startswith("servers/") and "engine" in key
        }
        for key in records:
            fleet.store.remove(key)
        for _ in range(100):
            await restarts.ask()
            await trio.sleep(0.5)
        for key, value in records.items():
            fleet.store.put(key, value)
        before = len(arrivals_with_part(fleet))
        for _ in range(60):
            await restarts.ask()
            await trio.sleep(0.5)
        assert len(arrivals_with_part(fleet)) == before + 1
