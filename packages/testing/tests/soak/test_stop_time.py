"""Stop times of entries that run as processes."""

from __future__ import annotations

import signal

import pytest
import trio

from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.listening_clock import LATE_S
from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak.entry_process import STOP_TIME_S, EntryProcess

CALLERS = 8

TIME_LEFT_S = 14.0

WORK_S = 10.0
"""More than any stop time."""

SHORTER_S = 3.0

PAUSE_S = 1.0

NOTICE_S = 0.2
"""How long an entry takes to handle a signal on a busy machine."""


async def change_and_signal(entry: EntryProcess) -> None:
    """Change the settings as they are usually changed."""
    entry.write_settings()
    entry.signal(signal.SIGHUP)
    await trio.sleep(NOTICE_S)


async def change_only(entry: EntryProcess) -> None:
    """Change the settings without a signal."""
    entry.write_settings()


async def signal_right_before(entry: EntryProcess) -> None:
    """Change the settings right before the stop signal."""
    entry.write_settings()
    entry.signal(signal.SIGHUP)


async def change_while_paused(entry: EntryProcess) -> None:
    """Change the settings while the process doesn't run, so that it gets both signals at once."""
    entry.signal(signal.SIGSTOP)
    entry.write_settings()
    entry.signal(signal.SIGHUP)
    entry.signal(signal.SIGTERM)
    await trio.sleep(NOTICE_S)
    entry.signal(signal.SIGCONT)


async def truncate_afterwards(entry: EntryProcess) -> None:
    """Leave an invalid file after a valid one."""
    await change_and_signal(entry)
    entry.truncate_settings()
    entry.signal(signal.SIGHUP)
    await trio.sleep(NOTICE_S)


async def answers_at_stop(folder, host, stop, stop_time_s=STOP_TIME_S) -> list[int]:
    """Return the statuses of requests that outlast an entry, 0 for those without an answer.

    Parameters
    ----------
    folder, host
        Where the entry runs.
    stop
        Asks it to stop.
    stop_time_s
        Its stop time in the settings of its start. It is killed `SHORTER_S` after the stop signal.
    """
    answers: list[int] = []
    async with platform_fleet() as fleet, trio.open_nursery() as nursery:
        route = make_route("book", "non_idempotent", "desk", maxAttempts=1, timeoutMs=15_000)
        fleet.configure(make_configuration(2, routes=[route]))
        for number in range(2):
            (await fleet.add_replica(f"desk-{number}", "desk")).work_s = WORK_S
        entry = EntryProcess(1, host, folder, 22_000, fleet.store_address, stop_time_s)

        async def call() -> None:
            fields = request_fields(time_left_s=TIME_LEFT_S)
            try:
                answer = await fleet.call_at(entry.callers_address, "/book/x", fields)
                answers.append(answer.status if answer.is_whole else 0)
            except ConnectionLost:
                answers.append(0)

        entry.start()
        try:
            with trio.fail_after(20.0):
                while "ConfigurationInForce" not in entry.log_file.read_text():
                    await trio.sleep(0.05)
                async with trio.open_nursery() as callers:
                    for _ in range(CALLERS):
                        callers.start_soon(call)
                    while len(fleet.received_requests()) < CALLERS:
                        await trio.sleep(0.01)
                    killed_s = await stop(entry) + SHORTER_S
                    await trio.sleep_until(killed_s)
                    # As the platform does.
                    entry.signal(signal.SIGKILL)
        finally:
            entry.kill()
        nursery.cancel_scope.cancel()
    return answers


class TestStopTime:
    """The time until a process is killed."""

    @pytest.mark.parametrize(
        "change",
        [
            change_and_signal,
            change_only,
            signal_right_before,
            change_while_paused,
            truncate_afterwards,
        ],
    )
    async def test_that_has_become_shorter_is_kept(self, tmp_path, own_host, change):
        """Guards against a drain by the stop time of the start, which the kill cuts off."""

        async def stop(entry: EntryProcess) -> float:
            entry.stop_time_s = SHORTER_S
            await change(entry)
            entry.signal(signal.SIGTERM)
            return trio.current_time()

        assert await answers_at_stop(tmp_path, own_host, stop) == [502] * CALLERS

    async def test_counts_from_a_signal_during_a_pause(self, tmp_path, own_host):
        """Guards against a drain that counts from when the process runs again after a signal, by
        which time a part of its stop time is over."""

        async def stop(entry: EntryProcess) -> float:
            await trio.sleep(LATE_S)
            entry.signal(signal.SIGSTOP)
            signalled_s = trio.current_time()
            entry.signal(signal.SIGTERM)
            await trio.sleep(PAUSE_S)
            entry.signal(signal.SIGCONT)
            return signalled_s

        assert await answers_at_stop(tmp_path, own_host, stop, SHORTER_S) == [502] * CALLERS
