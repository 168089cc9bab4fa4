"""An entry as a process with few file descriptors, and callers that keep connections open."""

from __future__ import annotations

import resource
from collections import Counter
from contextlib import asynccontextmanager

import h11
import pytest
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak.entry_process import EntryProcess

MAX_DESCRIPTORS = 400

NO_MORE = 3
"""Limit at which a process keeps what it has open and can't open anything."""

IDLE_CALLERS = 500

AT_ONCE = 20

NEW_CALLERS = 40

ANSWERED_S = 1.0
"""Time in which callers must be answered: they allow a second for a new connection."""


class ShortEntry(EntryProcess):
    """An entry with few descriptors."""

    def __init__(self, *arguments, named: int | None) -> None:
        super().__init__(*arguments)
        self._named = named

    def limit_descriptors(self, most: int = MAX_DESCRIPTORS) -> None:
        """Change the limit that the operating system enforces."""
        assert self._process is not None
        _, hard = resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (most, hard))

    def _settings(self):
        settings = super()._settings()
        if self._named is not None:
            settings["limits"]["maxFds"] = self._named
        return settings


@asynccontextmanager
async def short_entry(folder, host, named: int | None):
    """Run an entry with few descriptors and two servers."""
    async with platform_fleet() as fleet:
        for number in range(2):
            replica = await fleet.add_replica(f"desk-{number}", "desk")
            replica.work_s = 0.02
        entry = ShortEntry(1, host, folder, 22_000, fleet.store_address, named=named)
        try:
            entry.start()
            entry.limit_descriptors()
            with trio.fail_after(20.0):
                while await status_of(entry) != 200:
                    await trio.sleep(0.1)
            yield entry
        finally:
            entry.kill()


async def status_of(entry: EntryProcess, opened: list[HttpStream] | None = None) -> int:
    """Return the status of a request on a new connection; 0 without an answer."""
    try:
        connection = HttpStream(await connect(entry.callers_address, ANSWERED_S), h11.CLIENT)
    except ConnectionLost:
        return 0
    status = 0
    try:
        with trio.move_on_after(ANSWERED_S):
            answer = await exchange_on(connection, "POST", "/look/x", request_fields(), b"{}")
            status = answer.status
    except ConnectionLost:
        pass
    if opened is not None:
        opened.append(connection)
    else:
        await connection.close()
    return status


async def statuses_of(
    entry: EntryProcess, count: int, opened: list[HttpStream] | None = None
) -> list[int]:
    """Return the statuses of requests on new connections at the same time."""
    statuses: list[int] = []

    async def call() -> None:
        statuses.append(await status_of(entry, opened))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(call)
    return statuses


class TestIdleCallers:
    """More callers with idle connections than the entry has descriptors."""

    async def _statuses(self, folder, host, named: int | None) -> tuple[list[int], list[int]]:
        """Return the statuses of callers that keep their connections, then those of others."""
        opened: list[HttpStream] = []
        async with short_entry(folder, host, named) as entry:
            statuses: list[int] = []
            for _ in range(IDLE_CALLERS // AT_ONCE):
                statuses += await statuses_of(entry, AT_ONCE, opened)
            new = await statuses_of(entry, NEW_CALLERS)
            assert entry.is_running
            for connection in opened:
                await connection.close()
        return statuses, new

    @pytest.mark.parametrize("named", [MAX_DESCRIPTORS, None], ids=["settings", "system"])
    async def test_do_not_keep_out_others(self, tmp_path, own_host, named):
        """Guards against an entry whose descriptors idle callers use up: nobody else is accepted
        until they leave, and no attempt reaches a server."""
        statuses, new = await self._statuses(tmp_path, own_host, named)
        assert Counter(statuses) == {200: IDLE_CALLERS}
        assert Counter(new) == {200: NEW_CALLERS}

    async def test_make_room_if_the_limit_is_lower_than_the_settings_name(self, tmp_path, own_host):
        """As above; attempts may lack descriptors until some idle connections are closed, which
        callers are told."""
        statuses, new = await self._statuses(tmp_path, own_host, 50 * MAX_DESCRIPTORS)
        answered = Counter(statuses + new)
        assert answered[200] + answered[503] == IDLE_CALLERS + NEW_CALLERS, answered
        assert answered[200] > MAX_DESCRIPTORS, answered


class TestNoDescriptors:
    """A process that can't open anything for a while."""

    SHORTAGE_S = 4.0

    async def test_does_not_end_while_it_loads(self, tmp_path, own_host):
        """Guards against an entry that ends with all its requests: it loads modules in its first
        seconds, in which callers that have waited for it take up its descriptors."""
        async with short_entry(tmp_path, own_host, None) as entry:
            entry.limit_descriptors(NO_MORE)
            await trio.sleep(self.SHORTAGE_S)
            entry.limit_descriptors()
            assert entry.is_running, entry.log_file.read_text()[-2000:]
            with trio.fail_after(5.0):
                while await status_of(entry) != 200:
                    await trio.sleep(0.1)
                while "ProcessStarted" not in entry.log_file.read_text():
                    await trio.sleep(0.1)
