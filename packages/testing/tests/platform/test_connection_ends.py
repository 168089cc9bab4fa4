"""Log lines about connections that are closed with unacknowledged or unread bytes."""

from __future__ import annotations

import os
import socket

import h11
import pytest
import trio

from sassafrastally.proxy import connection_end_log, lingering_close
from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.connection_end_log import ConnectionEnd, add_end
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.log_events import ConnectionsCut
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields, send_request
from sassafrastally.stand_ins.platform_fleet import wait_until

SMALL_BUFFER_BYTES = 4096


@pytest.fixture(autouse=True)
def short_interval(monkeypatch):
    """Lines come soon."""
    monkeypatch.setattr(connection_end_log, "INTERVAL_S", 0.05)


def cut_lines(kernel) -> list[dict]:
    """Return what was logged of connections that were closed with something left."""
    records = kernel.events.records()
    return [record["fields"] for record in records if record["name"] == "ConnectionsCut"]


async def open_caller(fleet, receive_buffer_bytes: int = 0) -> HttpStream:
    """Open a caller's connection."""
    sock = trio.socket.socket()
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    address = fleet.entry_settings(1).callers_address
    await sock.connect((address.host, address.port))
    return HttpStream(trio.SocketStream(sock), h11.CLIENT)


class TestLines:
    """Connections at a running entry."""

    async def test_unread_response_is_logged(self, small_fleet, monkeypatch):
        """Guards against a response that the close drops without a trace: the entry counts it as
        sent while its caller hasn't got it."""
        monkeypatch.setattr(lingering_close, "MAX_QUIET_S", 0.2)
        for name in ("engine-1", "engine-2"):
            small_fleet.replicas[name].event_bytes = 12_000
        connection = await open_caller(small_fleet, SMALL_BUFFER_BYTES)
        fields = request_fields({"Connection": "close"}, prompt="40,8", request_id="unread")
        await send_request(connection, "POST", "/note/x", fields, b"{}")
        await wait_until(lambda: bool(cut_lines(small_fleet.kernels[0])))
        (line,) = cut_lines(small_fleet.kernels[0])
        assert (line["unacknowledged"], line["unserved"]) == (1, 0)
        assert line["most_unacknowledged_bytes"] > 0
        assert line["request_ids"] == ("unread",)
        assert not line["is_stopping"]
        await connection.close()

    async def test_request_that_crosses_an_idle_close_is_logged(self, small_fleet, monkeypatch):
        """Guards against a request that arrives between the last look at an idle connection and its
        close, and is lost without a trace."""
        kernel = small_fleet.kernels[0]
        connection = await open_caller(small_fleet)
        fields = request_fields(request_id="first")
        assert (await exchange_on(connection, "GET", "/look/x", fields, b"")).status == 200
        await trio.sleep(0.05)
        # The look finds nothing, as the request comes right after it.
        monkeypatch.setattr(HttpStream, "has_unread_input", lambda _: False)
        crossing = b"GET /look/x HTTP/1.1\r\nHost: a\r\n\r\n"
        os.write(connection.stream.socket.fileno(), crossing)
        kernel.get("callers", CallerListener)._close_idle()
        await wait_until(lambda: bool(cut_lines(kernel)))
        (line,) = cut_lines(kernel)
        assert (line["unacknowledged"], line["unserved"]) == (0, 1)
        assert line["most_unserved_bytes"] == len(crossing)
        assert line["request_ids"] == ("first",)
        await connection.close()

    async def test_end_of_the_process_is_logged(self, small_fleet):
        """Guards against responses that the end of the process drops without a trace."""
        for name in ("engine-1", "engine-2"):
            small_fleet.replicas[name].event_bytes = 12_000
        kernel = small_fleet.kernels[0]
        connection = await open_caller(small_fleet, SMALL_BUFFER_BYTES)
        fields = request_fields({"Connection": "close"}, prompt="40,8", request_id="at-the-end")
        await send_request(connection, "POST", "/note/x", fields, b"{}")
        callers = kernel.get("callers", CallerListener)
        await wait_until(lambda: bool(callers._connections.lingering))
        small_fleet.kill_entry(1)
        await wait_until(lambda: bool(cut_lines(kernel)))
        assert cut_lines(kernel)[0]["request_ids"] == ("at-the-end",)
        await connection.close()

    async def test_usual_ends_arent_logged(self, small_fleet):
        """Guards against lines about connections on which everything is done, and about the rest
        of a request that was refused early."""
        kernel = small_fleet.kernels[0]
        for end in ("close", "refused", "left"):
            connection = await open_caller(small_fleet)
            if end == "refused":
                head = b"POST /look/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"
                await connection.send_bytes(head + b"x" * 50_000)
                await trio.sleep(0.1)
            else:
                fields = request_fields({"Connection": "close"} if end == "close" else {})
                assert (await exchange_on(connection, "GET", "/look/x", fields, b"")).status == 200
            await connection.close()
        callers = kernel.get("callers", CallerListener)
        await wait_until(lambda: not callers.open_connections)
        await trio.sleep(0.1)
        assert cut_lines(kernel) == []


class TestSums:
    """The sum of a second with many connections."""

    def test_end_of_a_process_with_many_connections_is_one_bounded_line(self):
        """Guards against log lines without bound when a process ends under load."""
        line = ConnectionsCut(is_stopping=True)
        for number in range(500):
            unacknowledged_bytes = number if number % 10 == 0 else 0
            end = ConnectionEnd(f"request-{number}", True, unacknowledged_bytes, 0)
            line = add_end(line, end) or line
        assert (line.connections, line.unacknowledged, line.unserved) == (49, 49, 0)
        assert line.most_unacknowledged_bytes == 490
        assert line.request_ids == ("request-10", "request-20", "request-30", "request-40")
