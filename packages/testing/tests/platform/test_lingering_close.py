"""Callers that go on sending while an entry answers them for the last time, on real sockets."""

from __future__ import annotations

import socket

import h11
import pytest
import trio

from sassafrastally.proxy import lingering_close
from sassafrastally.proxy.caller_connections import CallerConnections
from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.http_stream import RECEIVE_BYTES, ConnectionLost, HttpStream
from sassafrastally.proxy.input_limits import InputBudget
from sassafrastally.proxy.lingering_close import MAX_DISCARDED_BYTES, MAX_QUIET_S
from sassafrastally.stand_ins.caller_requests import exchange_on, read_response, request_fields
from sassafrastally.stand_ins.documents import HOST_NAME
from sassafrastally.stand_ins.platform_fleet import BOUNDS, wait_until

BODY_BYTES = 3_000_000
"""More than the socket buffers of both ends hold."""

SMALL_BUFFER_BYTES = 4096

EVENT_BYTES = 12_000
EVENTS = 8
"""Together more than the caller's receive buffer and less than the entry's send buffer."""

HEAD = f"POST /look/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"

CHUNK = b"8000\r\n" + bytes(0x8000) + b"\r\n"


async def open_caller(fleet, receive_buffer_bytes: int = 0) -> HttpStream:
    """Open a caller's connection."""
    sock = trio.socket.socket()
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    address = fleet.entry_settings(1).callers_address
    await sock.connect((address.host, address.port))
    return HttpStream(trio.SocketStream(sock), h11.CLIENT)


async def read_answer(connection: HttpStream):
    """Read the answer to a request that was sent as raw bytes."""
    connection.http.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    connection.http.send(h11.EndOfMessage())
    return await read_response(connection)


class TestEarlyRefusal:
    """A request that is refused before all of it has arrived.

    Closing a socket with unread input resets the connection: a caller that sends its whole request
    before it reads gets an error in place of the refusal, and sends the request again.
    """

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (f"{HEAD}Content-Length: {BODY_BYTES}\r\n\r\n".encode() + bytes(BODY_BYTES), 413),
            (
                f"{HEAD}Expect: 100-continue\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
                + bytes(BODY_BYTES),
                413,
            ),
            (f"{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode() + CHUNK * 90, 413),
            (f"{HEAD}X: {'a' * BODY_BYTES}".encode(), 431),
            (
                f"{HEAD}Host: b\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
                + bytes(BODY_BYTES),
                400,
            ),
            (b"\x00\r\n\r\n" + bytes(BODY_BYTES), 400),
        ],
        ids=["length", "expect", "chunks", "header", "host", "no-http"],
    )
    async def test_reaches_a_caller_that_sends_everything_first(self, small_fleet, data, status):
        connection = await open_caller(small_fleet)
        with trio.fail_after(5.0):
            await connection.send_bytes(data)
            assert (await read_answer(connection)).status == status
        await connection.close()

    async def test_for_lack_of_memory_reaches_a_caller_that_sends_everything_first(
        self, small_fleet
    ):
        callers = small_fleet.kernels[0].get("callers", CallerListener)
        callers._requests = InputBudget(1000)
        connection = await open_caller(small_fleet)
        chunked = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode()
        with trio.fail_after(5.0):
            await connection.send_bytes(chunked + CHUNK * 90)
            assert (await read_answer(connection)).status == 503
        await connection.close()

    async def test_for_slowness_reaches_a_caller_that_sends_the_rest_first(self, small_fleet):
        connection = await open_caller(small_fleet)
        with trio.fail_after(8.0):
            await connection.send_bytes(f"{HEAD}Content-Length: 9\r\n\r\nab".encode())
            await trio.lowlevel.wait_readable(connection.stream.socket)
            await connection.send_bytes(b"cd")
            await trio.sleep(0.1)
            await connection.send_bytes(b"efghi")
            assert (await read_answer(connection)).status == 408
        await connection.close()


class TestLastAnswer:
    """A complete answer after which the entry closes the connection, to a caller that reads
    slowly.

    Input that the entry hasn't read, or that arrives after it has closed, makes the operating
    system drop the part of the answer that it hasn't sent.
    """

    async def _read_late(self, connection: HttpStream) -> tuple[int, bool]:
        answer = await read_response(connection)
        await connection.close()
        return answer.status, answer.is_whole

    async def _send(self, fleet, http_version: str, more: bytes) -> HttpStream:
        for name in ("engine-1", "engine-2"):
            fleet.replicas[name].event_bytes = EVENT_BYTES
        connection = await open_caller(fleet, SMALL_BUFFER_BYTES)
        fields = request_fields({"Connection": "close"}, prompt=f"40,{EVENTS}")
        data = connection.encode(
            h11.Request(
                method="POST",
                target="/note/x",
                headers=[*fields.items(), ("Content-Length", "2")],
            ),
            h11.Data(data=b"{}"),
            h11.EndOfMessage(),
        )
        version = f"HTTP/{http_version}".encode()
        await connection.send_bytes(data.replace(b"HTTP/1.1", version, 1) + more)
        return connection

    @pytest.mark.parametrize("http_version", ["1.0", "1.1"])
    @pytest.mark.parametrize("more", [b"\r\n", b"GET /look/x HTTP/1.1\r\nHost: a\r\n\r\n" * 4000])
    async def test_is_whole_although_more_was_sent_with_the_request(
        self, small_fleet, http_version, more
    ):
        connection = await self._send(small_fleet, http_version, more)
        await trio.sleep(0.5)
        assert await self._read_late(connection) == (200, True)

    @pytest.mark.parametrize("http_version", ["1.0", "1.1"])
    async def test_is_whole_although_more_is_sent_after_it(self, small_fleet, http_version):
        connection = await self._send(small_fleet, http_version, b"")
        await trio.sleep(0.5)
        await connection.send_bytes(b"\r\n")
        await trio.sleep(0.1)
        assert await self._read_late(connection) == (200, True)


class TestBounds:
    """Callers that would keep a connection open for as long as they like."""

    REFUSED = f"{HEAD}Content-Length: {BODY_BYTES}\r\n\r\n".encode()

    async def _wait_until_closed(self, fleet, limit_s: float) -> None:
        callers = fleet.kernels[0].get("callers", CallerListener)
        await wait_until(lambda: not callers.open_connections, limit_s)

    async def test_caller_that_sends_without_end_is_cut(self, small_fleet):
        connection = await open_caller(small_fleet)
        await connection.send_bytes(self.REFUSED)
        sent_bytes = 0
        with trio.fail_after(5.0), pytest.raises(ConnectionLost):
            while True:
                await connection.send_bytes(bytes(RECEIVE_BYTES))
                sent_bytes += RECEIVE_BYTES
        assert sent_bytes >= MAX_DISCARDED_BYTES
        await connection.close()

    async def test_caller_that_sends_slowly_is_cut(self, small_fleet, monkeypatch):
        monkeypatch.setattr(lingering_close, "MAX_LINGER_S", 0.5)
        connection = await open_caller(small_fleet)
        await connection.send_bytes(self.REFUSED)
        with trio.fail_after(2.0), pytest.raises(ConnectionLost):
            while True:
                await connection.send_bytes(b"a")
                await trio.sleep(0.1)
        await connection.close()

    async def test_caller_that_stays_silent_is_cut(self, small_fleet):
        connection = await open_caller(small_fleet)
        await connection.send_bytes(self.REFUSED)
        assert (await read_answer(connection)).status == 413
        await self._wait_until_closed(small_fleet, MAX_QUIET_S + 1.0)
        await connection.close()

    async def test_caller_that_has_its_answer_is_not_waited_for(self, small_fleet):
        """A stopping entry would otherwise wait for callers that keep idle connections open."""
        connection = await open_caller(small_fleet)
        fields = request_fields({"Connection": "close"})
        assert (await exchange_on(connection, "GET", "/look/x", fields, b"")).status == 200
        await self._wait_until_closed(small_fleet, MAX_QUIET_S / 4)
        await connection.close()

    async def test_caller_that_sends_slowly_does_not_hold_up_a_stop(self, small_fleet, monkeypatch):
        """Guards against a process that must be killed because it waits for such a caller."""
        monkeypatch.setattr(lingering_close, "MAX_LINGER_S", 60.0)
        connection = await open_caller(small_fleet)
        await connection.send_bytes(self.REFUSED)
        callers = small_fleet.kernels[0].get("callers", CallerListener)
        small_fleet.kernels[0].request_stop()
        with trio.fail_after(BOUNDS.stop_time_s), pytest.raises(ConnectionLost):
            while True:
                await connection.send_bytes(b"a")
                await trio.sleep(0.1)
        assert not callers.open_connections
        await connection.close()

    async def test_caller_that_is_refused_gives_way_to_others(self, small_fleet):
        """Guards against refused callers who go on sending and keep all places for connections."""
        callers = small_fleet.kernels[0].get("callers", CallerListener)
        callers._connections = CallerConnections(1)
        refused = await open_caller(small_fleet)
        await refused.send_bytes(self.REFUSED)
        assert (await read_answer(refused)).status == 413
        connection = await open_caller(small_fleet)
        fields = request_fields({"Connection": "close"})
        assert (await exchange_on(connection, "GET", "/look/x", fields, b"")).status == 200
        await connection.close()
        await refused.close()
