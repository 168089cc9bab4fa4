"""Timeouts of an entry that didn't run for a while, on the mock clock.

The clock jumps while other tasks wait: as for an entry on a VM that is paused, timers fire late and
what has arrived meanwhile is not yet read.
"""

from __future__ import annotations

from functools import partial

import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.cpu_overload import LAST_READ_S
from sassafrastally.proxy.http_stream import ConnectionLost, connect
from sassafrastally.proxy.plain_request import FIRST_ATTEMPT_SHARE
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields

REPORT_TIMEOUT_S = 0.4
TIME_LIMIT_S = 4.0
"""Time limit that the stand-in of a caller sends."""
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
FAILURES = {"ReportFailed", "ServerCrashed", "ServerCrashPresumed", "ServerSuspected"}


@pytest.fixture
def seed():
    """Seed of the network and of the order of tasks."""
    return 1


async def answer_slowly(stream: trio.SocketStream) -> None:
    """Answer each request in two parts, a few milliseconds apart."""
    while await stream.receive_some(65_536):
        for part in (HEAD, b"{}"):
            await trio.sleep(0.004)
            await stream.send_all(part)


async def stay_silent(stream: trio.SocketStream) -> None:
    """Accept a connection and never answer."""
    await trio.sleep_forever()


async def stall(clock: trio.testing.MockClock, after_s: float, for_s: float) -> None:
    """Let nothing run for a while, once."""
    await trio.sleep(after_s)
    clock.jump(for_s)


async def start_server(nursery: trio.Nursery, handler) -> Address:
    """Start a server on the network of the test."""
    listeners = await nursery.start(partial(trio.serve_tcp, handler, 0, host="127.0.0.1"))
    return Address(*listeners[0].socket.getsockname())


class TestCalls:
    """Reports, reservations and calls to the store and to peers."""

    @pytest.mark.parametrize("stalled_ms", range(20))
    async def test_call_survives_a_stall_at_any_moment(
        self, autojump_clock, seeded_network, nursery, stalled_ms
    ):
        """Guards against a report, or a call to the store, that fails since the entry was paused
        while it connected, before it had sent the call or before it had read the answer."""
        client = CallClient(await start_server(nursery, answer_slowly))
        nursery.start_soon(stall, autojump_clock, stalled_ms / 1000, 3.0)
        response = await client.exchange("GET", "/report", [], b"", REPORT_TIMEOUT_S)
        assert response.body == b"{}"

    async def test_calls_succeed_with_little_cpu_time(
        self, autojump_clock, seeded_network, nursery
    ):
        """Guards against calls that fail since each of their steps runs late."""

        async def throttle() -> None:
            while True:
                await trio.sleep(0.01)
                autojump_clock.jump(0.3)

        nursery.start_soon(throttle)
        address = await start_server(nursery, answer_slowly)
        for _ in range(50):
            await CallClient(address).exchange("GET", "/report", [], b"", REPORT_TIMEOUT_S)

    async def test_silence_is_detected_at_the_usual_time(
        self, autojump_clock, seeded_network, nursery
    ):
        """Guards against silent servers that are detected later since an entry might be late."""
        client = CallClient(await start_server(nursery, stay_silent))
        began_s = trio.current_time()
        with pytest.raises(AnswerLost):
            await client.exchange("GET", "/report", [], b"", REPORT_TIMEOUT_S)
        assert trio.current_time() - began_s == pytest.approx(REPORT_TIMEOUT_S)

    async def test_silence_is_detected_after_a_stall(self, autojump_clock, seeded_network, nursery):
        """Guards against an entry that waits again and again after it was paused."""
        client = CallClient(await start_server(nursery, stay_silent))
        nursery.start_soon(stall, autojump_clock, 0.05, 3.0)
        began_s = trio.current_time()
        with pytest.raises(AnswerLost):
            await client.exchange("GET", "/report", [], b"", REPORT_TIMEOUT_S)
        assert trio.current_time() - began_s == pytest.approx(3.05 + LAST_READ_S)


class TestConnections:
    """Connections to servers."""

    @pytest.mark.parametrize(("stalled_s", "lasts_s"), [(0.0, 0.5), (3.0, 3.1 + LAST_READ_S)])
    async def test_host_that_does_not_respond_is_detected(
        self, autojump_clock, seeded_network, nursery, stalled_s, lasts_s
    ):
        """Guards against a dead host that is detected later than before, or after a stall never."""
        address = await start_server(nursery, stay_silent)
        seeded_network.dark.add(address.host)
        nursery.start_soon(stall, autojump_clock, 0.1, stalled_s)
        began_s = trio.current_time()
        with pytest.raises(ConnectionLost):
            await connect(address, 0.5)
        assert trio.current_time() - began_s == pytest.approx(lasts_s)


class TestRequests:
    """Requests of callers in progress while the entry is paused."""

    @pytest.mark.parametrize(("path", "prompt"), [("/look/x", None), ("/note/x", "1000,34")])
    async def test_request_is_served_after_a_stall_at_any_moment(
        self, autojump_clock, seeded_fleet, path, prompt
    ):
        """Guards against healthy servers that are suspected by a paused entry, and against
        callers who read that their request may have run when it wasn't sent."""
        fleet = seeded_fleet
        for number in (1, 2):
            await fleet.add_replica(f"engine-{number}")
            await fleet.add_replica(f"desk-{number}", "desk")
        kernel = await fleet.add_entry()
        for stalled_ms in range(0, 120, 2):
            await trio.sleep(3.0)
            caller = await fleet.connect()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stall, autojump_clock, stalled_ms / 1000, 3.5)
                fields = request_fields(None, prompt)
                answer = await exchange_on(caller, "POST", path, fields, b"{}")
            await caller.close()
            assert (stalled_ms, answer.status) == (stalled_ms, 200)
        records = kernel.events.records()
        failed = [record["fields"] for record in records if record["name"] == "AttemptFailed"]
        assert all(fields["is_proved_not_run"] for fields in failed)
        names = {record["name"] for record in records}
        assert FAILURES.isdisjoint(names)

    async def test_silent_server_is_detected_at_the_usual_time(self, autojump_clock, seeded_fleet):
        """Guards against requests that fail over later since an entry might be late."""
        fleet = seeded_fleet
        for number in (1, 2):
            (await fleet.add_replica(f"desk-{number}", "desk")).work_s = 100.0
        kernel = await fleet.add_entry()
        await fleet.call("/look/x")
        failed = [one for one in kernel.events.records() if one["name"] == "AttemptFailed"]
        assert failed[0]["fields"]["elapsed_s"] == pytest.approx(
            FIRST_ATTEMPT_SHARE * TIME_LIMIT_S, abs=0.01
        )
