"""The real program as a process of its own."""

from __future__ import annotations

import fcntl
import math
import os
import select
import signal
import time

import h11
import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak.entry_process import STOP_TIME_S, EntryProcess


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
        wait_until(
            lambda: entry.log_file.read_text().count("SettingsReloaded") == 2, "it reads settings"
        )
        assert entry.is_running

    def test_stop_does_not_wait_for_its_settings_file(self, entry):
        """Guards against an entry that neither serves nor stops until it is killed, because its
        disk doesn't return the settings that it reads at the stop."""
        wait_until(lambda: "ProcessStarted" in entry.log_file.read_text(), "it starts")
        entry._settings_file.unlink()
        os.mkfifo(entry._settings_file)
        entry.signal(signal.SIGTERM)
        wait_until(lambda: not entry.is_running, "it ends", STOP_TIME_S)
        entry.note_end()
        assert entry.exit_codes == [0]


class EarlyCallers:
    """Callers who connect to an entry as soon as its port is open, and send at once."""

    AT_ONCE = 4
    INTERVAL_S = 0.02
    CONNECT_S = 0.6
    """For how long callers connect once the port is open."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry
        self._open_s = math.inf
        self.connected = 0
        self.lost: list[str] = []

    async def run(self, port_open: trio.Event) -> None:
        """Connect for a while; set the event as soon as the port is open."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < self._open_s + self.CONNECT_S:
                try:
                    stream = await connect(self._entry.callers_address, 1.0)
                except ConnectionLost:
                    await trio.sleep(0.001)
                    continue
                self._open_s = min(self._open_s, trio.current_time())
                port_open.set()
                self.connected += 1
                nursery.start_soon(self._use, HttpStream(stream, h11.CLIENT))
                await trio.sleep(0 if self.connected < self.AT_ONCE else self.INTERVAL_S)

    async def _use(self, connection: HttpStream) -> None:
        connected_s = trio.current_time()
        is_whole = False
        try:
            fields = request_fields(time_left_s=20.0)
            answer = await exchange_on(connection, "POST", "/book/x", fields, b"{}")
            is_whole = answer.is_whole
        except ConnectionLost:
            pass
        await connection.close()
        if not is_whole:
            after_ms = 1000 * (trio.current_time() - connected_s)
            at_s = connected_s - self._open_s
            self.lost.append(f"connected at {at_s:.3f} s, lost {after_ms:.0f} ms later")


class TestSignalsDuringTheStart:
    """Signals that arrive while a process loads and callers wait in its accept queue."""

    SIGNALS = (
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGINT,),
    )

    @pytest.mark.parametrize("after_s", [0.0, 0.05, 0.15, 0.4])
    async def test_stop_cuts_off_nobody_who_could_connect(self, tmp_path, own_hosts, after_s):
        """Guards against a stop signal whose default action ends the process over the connections
        in its accept queue, while the program is loaded."""
        faults: list[str] = []
        async with platform_fleet() as fleet, trio.open_nursery() as nursery:
            await fleet.add_replica("desk", "desk")
            async with trio.open_nursery() as stops:
                for number, signals in enumerate(self.SIGNALS, 1):
                    entry = EntryProcess(number, own_hosts(), tmp_path, 22_000, fleet.store_address)
                    stops.start_soon(self._stop, entry, signals, after_s, faults)
            nursery.cancel_scope.cancel()
        assert not faults, "\n".join(faults)

    async def _stop(self, entry, signals, after_s, faults) -> None:
        callers, port_open = EarlyCallers(entry), trio.Event()
        entry.start()
        try:
            with trio.fail_after(20.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(callers.run, port_open)
                    await port_open.wait()
                    await trio.sleep(after_s)
                    stop_s = trio.current_time()
                    for number in signals:
                        entry.signal(number)
                        await trio.sleep(0.01)
                while entry.is_running:
                    await trio.sleep(0.01)
            took_s = trio.current_time() - stop_s
            entry.note_end()
        finally:
            entry.kill()
        names = "+".join(number.name for number in signals)
        if callers.lost:
            of_all = f"{len(callers.lost)} of {callers.connected} lost"
            faults.append(f"{names}: {of_all}, for example {callers.lost[0]}")
        if entry.exit_codes != [0] or took_s > STOP_TIME_S:
            faults.append(f"{names}: ended with {entry.exit_codes} after {took_s:.2f} s")


class TestSlowStart:
    """A stop signal while a process loads that gets little CPU time."""

    STOP_TIME_S = 5.0

    async def test_stop_time_begins_with_the_signal(self, tmp_path, own_host):
        """Guards against a drain that counts from the end of the load, so that the process is
        killed over requests that are still open."""
        async with platform_fleet() as fleet, trio.open_nursery() as nursery:
            replica = await fleet.add_replica("desk", "desk")
            replica.work_s = 10.0
            entry = EntryProcess(
                1, own_host, tmp_path, 22_000, fleet.store_address, self.STOP_TIME_S
            )
            callers, port_open = EarlyCallers(entry), trio.Event()
            entry.start()
            try:
                with trio.move_on_after(20.0):
                    async with trio.open_nursery() as calls:
                        calls.start_soon(callers.run, port_open)
                        await port_open.wait()
                        stop_s = trio.current_time()
                        entry.signal(signal.SIGTERM)
                        await trio.sleep(0.05)
                        entry.signal(signal.SIGSTOP)
                        await trio.sleep(2.0)
                        entry.signal(signal.SIGCONT)
                        while entry.is_running and trio.current_time() < stop_s + self.STOP_TIME_S:
                            await trio.sleep(0.01)
                        # As the platform does.
                        entry.signal(signal.SIGKILL)
                while entry.is_running:
                    await trio.sleep(0.01)
                entry.note_end()
            finally:
                entry.kill()
            nursery.cancel_scope.cancel()
        assert not callers.lost, f"{len(callers.lost)} of {callers.connected}, {callers.lost[0]}"
        assert entry.exit_codes == [0]


class TestSignalsDuringTheDrain:
    """Signals that arrive while a process drains and while it ends."""

    CALLERS = 8

    async def test_further_signals_cut_off_nothing_and_end_it_in_order(self, tmp_path, own_host):
        """Guards against a signal that ends the process between the end of its drain and its exit,
        over its last log lines, and against answers that a second stop signal cuts."""
        answers = []
        async with platform_fleet() as fleet, trio.open_nursery() as nursery:
            replica = await fleet.add_replica("desk", "desk")
            replica.work_s = 3.5  # Until after idle connections are closed.
            entry = EntryProcess(1, own_host, tmp_path, 22_000, fleet.store_address)
            entry.start()
            try:
                with trio.fail_after(20.0):
                    while "ProcessStarted" not in entry.log_file.read_text():
                        await trio.sleep(0.05)

                    async def call() -> None:
                        address = entry.callers_address
                        answers.append(await fleet.call_at(address, "/book/x", request_fields()))

                    async with trio.open_nursery() as callers:
                        for _ in range(self.CALLERS):
                            callers.start_soon(call)
                        await trio.sleep(0.3)
                        while entry.is_running:
                            entry.signal(signal.SIGTERM)
                            await trio.sleep(0.001)
                            entry.signal(signal.SIGHUP)
                            await trio.sleep(0.001)
                entry.note_end()
            finally:
                entry.kill()
            nursery.cancel_scope.cancel()
        assert [answer.status for answer in answers] == [200] * self.CALLERS
        assert entry.exit_codes == [0]
        assert "ProcessStopped" in entry.log_file.read_text()


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
