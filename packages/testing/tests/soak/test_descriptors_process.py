"""An entry as a process with few file descriptors."""

from __future__ import annotations

import resource
from contextlib import asynccontextmanager

import h11
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak.entry_process import EntryProcess

MAX_DESCRIPTORS = 400

NO_MORE = 3
"""Limit at which a process keeps what it has open and can't open anything."""

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
