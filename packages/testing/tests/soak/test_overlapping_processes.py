"""An entry whose next process starts while the one before it still stops, with the same ports."""

from __future__ import annotations

import math
import signal
from contextlib import suppress
from typing import NamedTuple

import h11
import pytest
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.proxy.stop_plan import ACCEPT_AFTER_SIGNAL_S
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak.entry_process import EntryProcess

CALLERS = 12

WORK_S = 0.02

BEFORE_STOP_S = 0.5

HELD_S = 6.5
"""A request of this length keeps the first process open well after its port for callers."""

RESTART_S = 0.3
"""Pause after which a supervisor starts a process again that has ended."""

CLOSED_S = ACCEPT_AFTER_SIGNAL_S + 0.1
"""When the first process has closed its port for callers, after the signal."""

END_S = 9.0
"""When the callers stop, after the signal: the first process has ended, and the next one serves."""

ROUTES = [
    make_route("look", "idempotent", "desk", timeoutMs=15_000),
    make_route("book", "non_idempotent", "desk", maxAttempts=1, timeoutMs=15_000),
    make_route("slow", "non_idempotent", "archive", maxAttempts=1, timeoutMs=15_000),
]


class Call(NamedTuple):
    """A request that could be sent on an established connection."""

    sent_s: float
    """When it was sent, after the signal."""
    took_s: float
    status: int
    """0 without a whole answer."""


class Callers:
    """Callers who connect anew for each request, and go on when they are refused."""

    def __init__(self, entry: EntryProcess) -> None:
        self.calls: list[Call] = []
        self.stop_s = math.inf
        self._entry = entry

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            with suppress(ConnectionLost):
                await self.call("/book/x")
            await trio.sleep(0.02)

    async def call(self, path: str) -> None:
        """Send a request on a new connection."""
        stream = await connect(self._entry.callers_address, 1.0)
        connection = HttpStream(stream, h11.CLIENT)
        sent_s = trio.current_time()
        status = 0
        try:
            fields = request_fields(time_left_s=14.0)
            answer = await exchange_on(connection, "POST", path, fields, b"{}")
            status = answer.status if answer.is_whole else 0
        except ConnectionLost:
            pass
        finally:
            await connection.close()
        took_s = trio.current_time() - sent_s
        self.calls.append(Call(sent_s - self.stop_s, took_s, status))


class TestNextProcess:
    """A supervisor that starts the next process before the one that stops has ended."""

    @pytest.mark.parametrize("start_s", [0.5, ACCEPT_AFTER_SIGNAL_S + 0.2])
    async def test_loses_no_request_over_ports_that_are_in_use(self, tmp_path, own_host, start_s):
        """Guards against a process that opens its port for callers and then ends over its other
        ports, with whole requests unanswered: the process before it has them until its end."""
        async with platform_fleet() as fleet, trio.open_nursery() as nursery:
            services = [{"name": "desk", "maxConns": 100}, {"name": "archive", "maxConns": 100}]
            fleet.configure(make_configuration(2, routes=ROUTES, services=services))
            (await fleet.add_replica("desk", "desk")).work_s = WORK_S
            (await fleet.add_replica("archive", "archive")).work_s = HELD_S
            first = EntryProcess(1, own_host, tmp_path, 22_000, fleet.store_address)
            following = EntryProcess(1, own_host, tmp_path, 22_000, fleet.store_address)
            callers = Callers(first)
            try:
                first.start()
                with trio.fail_after(20.0):
                    while not callers.calls or callers.calls[-1].status != 200:
                        with suppress(ConnectionLost):
                            await callers.call("/look/x")
                nursery.start_soon(callers.call, "/slow/x")
                for _ in range(CALLERS):
                    nursery.start_soon(callers.run)
                await trio.sleep(BEFORE_STOP_S)
                callers.calls.clear()
                callers.stop_s = trio.current_time()
                first.signal(signal.SIGTERM)
                nursery.start_soon(self._supervise, following, start_s)
                await trio.sleep(END_S)
                assert not first.is_running
                assert following.is_running
            finally:
                first.kill()
                following.kill()
                nursery.cancel_scope.cancel()
        lost = [call for call in callers.calls if not call.status]
        assert not lost, f"{len(lost)} of {len(callers.calls)}, {max(lost, key=lambda o: o.took_s)}"
        assert not following.exit_codes
        answered = [call for call in callers.calls if call.status == 200]
        assert max(call.took_s for call in answered) > HELD_S
        # The next process doesn't wait for the end of the first one to serve callers.
        first_ends_s = HELD_S - BEFORE_STOP_S
        assert [one for one in answered if CLOSED_S < one.sent_s < first_ends_s - 0.2]
        assert [one for one in answered if one.sent_s > first_ends_s]

    async def _supervise(self, entry: EntryProcess, start_s: float) -> None:
        await trio.sleep(start_s)
        while True:
            entry.start()
            while not entry.note_end():
                await trio.sleep(0.01)
            await trio.sleep(RESTART_S)

    async def test_can_be_stopped_while_it_has_none_of_its_ports(self, tmp_path, own_host):
        """Guards against a process that waits for its ports and not for signals, so that it has to
        be killed, or that opens a port after it was asked to stop."""
        async with platform_fleet() as fleet:
            (await fleet.add_replica("desk", "desk")).work_s = HELD_S
            first = EntryProcess(1, own_host, tmp_path, 22_000, fleet.store_address)
            following = EntryProcess(1, own_host, tmp_path, 22_000, fleet.store_address)
            following.log_file = tmp_path / "following.log"
            try:
                first.start()
                with trio.fail_after(20.0):
                    while not first.accepts_callers():
                        await trio.sleep(0.05)
                    following.start()
                    while "ProcessStarted" not in following.log_file.read_text():
                        await trio.sleep(0.05)
                    following.signal(signal.SIGTERM)
                    while not following.note_end():
                        await trio.sleep(0.05)
                assert following.exit_codes == [0]
                assert first.is_running
                assert first.accepts_callers()
            finally:
                first.kill()
                following.kill()
