"""The real program as a process of its own."""

from __future__ import annotations

import fcntl
import os
import select
import signal
import time

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak.entry_process import EntryProcess


def wait_until(condition, what: str, limit_s: float = 10.0) -> None:
    """Wait until a condition holds."""
    until_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < until_s, what
        time.sleep(0.002)


@pytest.fixture
def entry(tmp_path, own_host):
    """An entry whose store nobody answers at."""
    process = EntryProcess(1, own_host, tmp_path, 22_000, Address("127.0.0.1", 9))
    process.start()
    yield process
    process.kill()


class TestStart:
    """A process that still loads."""

    def test_settings_change_during_the_start_does_not_end_it(self, entry):
        """A process is restarted and the settings change while it loads. The signal's default is to
        end the process, so that callers who wait in its accept queue are cut off."""
        wait_until(entry.accepts_callers, "the callers' port opens")
        entry.signal(signal.SIGHUP)
        wait_until(lambda: "ProcessStarted" in entry.log_file.read_text(), "it starts")
        entry.signal(signal.SIGHUP)
        wait_until(lambda: "SettingsReloaded" in entry.log_file.read_text(), "it reads settings")
        assert entry.is_running


class TestBlockedOutput:
    """Standard output that nobody reads."""

    AT_ONCE = 20
    LEAST_AFTER = 200
    """Answers that must come while the pipe is full: ten times those that may be under way then."""

    async def test_no_request_waits_for_the_reader_of_the_log(self, tmp_path, own_host):
        """The collector of the logs stalls for seconds under load. A process that waited for the
        pipe would answer nobody until the collector is back."""
        async with platform_fleet() as fleet, trio.open_nursery() as nursery:
            for number in range(4):
                replica = await fleet.add_replica(f"desk-{number}", "desk")
                replica.work_s = 0.01
            reader, writer = os.pipe()
            # One page is left free: when the pipe is full, the entry itself has filled it.
            os.write(writer, bytes(fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ) - select.PIPE_BUF))
            entry = EntryProcess(1, own_host, tmp_path, 22_000, fleet.store_address)
            entry.start_with_output(writer)
            try:
                with trio.fail_after(10.0):
                    while not entry.accepts_callers():
                        await trio.sleep(0.05)
                answers_after = 0

                def note_answer() -> bool:
                    nonlocal answers_after
                    _, writable, _ = select.select([], [writer], [], 0)
                    answers_after += not writable
                    return answers_after >= self.LEAST_AFTER

                # Nobody ever reads: a process that waited for the pipe would answer none of these.
                with trio.fail_after(60.0):
                    await self._call_until(fleet, entry, note_answer)
            finally:
                entry.kill()
                os.close(writer)
                os.close(reader)
            nursery.cancel_scope.cancel()
        assert answers_after >= self.LEAST_AFTER

    async def _call_until(self, fleet, entry, note_answer) -> None:
        async def call_in_turn() -> None:
            is_enough = False
            while not is_enough:
                answer = await fleet.call_at(entry.callers_address, "/look/x", request_fields())
                assert answer.status == 200
                is_enough = note_answer()

        async with trio.open_nursery() as nursery:
            for _ in range(self.AT_ONCE):
                nursery.start_soon(call_in_turn)
