"""An entry that starts while its settings file is being written."""

from __future__ import annotations

import trio

from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak.entry_process import EntryProcess

WRITTEN_S = 0.8
"""When the file is whole, after the port for callers has opened: later than it is first read."""

EXIT_SETTINGS = 2


class HalfWritten(EntryProcess):
    """An entry whose settings file holds only its first half when its process starts."""

    def write_settings(self) -> None:
        """Write half of the file."""
        super().write_settings()
        self.truncate_settings()

    def complete_settings(self) -> None:
        """Write the whole file."""
        super().write_settings()


class TestSettingsAtTheStart:
    """The settings of a process that has opened its port for callers."""

    async def _start(self, entry: HalfWritten) -> None:
        entry.start()
        with trio.fail_after(10.0):
            while not entry.accepts_callers():
                await trio.sleep(0.002)

    async def test_half_of_the_file_loses_no_callers(self, tmp_path, own_host):
        """Guards against a process that ends over a file that is being written in place, and resets
        the callers in its accept queue."""
        async with platform_fleet() as fleet:
            await fleet.add_replica("desk", "desk")
            entry = HalfWritten(1, own_host, tmp_path, 22_000, fleet.store_address)
            statuses: list[int] = []

            async def call() -> None:
                fields = request_fields(time_left_s=14.0)
                try:
                    answer = await fleet.call_at(entry.callers_address, "/book/x", fields)
                except ConnectionLost:
                    statuses.append(0)
                else:
                    statuses.append(answer.status if answer.is_whole else 0)

            try:
                await self._start(entry)
                with trio.fail_after(15.0):
                    async with trio.open_nursery() as callers:
                        for _ in range(8):
                            callers.start_soon(call)
                        await trio.sleep(WRITTEN_S)
                        entry.complete_settings()
                assert entry.is_running
            finally:
                entry.kill()
        assert statuses == [200] * 8

    async def test_wrong_settings_still_end_it(self, tmp_path, own_host):
        """Guards against a process that neither serves nor ends."""
        async with platform_fleet() as fleet:
            entry = HalfWritten(1, own_host, tmp_path, 22_000, fleet.store_address)
            try:
                await self._start(entry)
                with trio.fail_after(10.0):
                    while not entry.note_end():
                        await trio.sleep(0.02)
            finally:
                entry.kill()
        assert entry.exit_codes == [EXIT_SETTINGS]
