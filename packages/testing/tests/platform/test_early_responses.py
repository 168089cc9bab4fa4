"""Responses that a backend server sends before it has read a long request, and then breaks off."""

from __future__ import annotations

import json
import sys
from functools import partial

import h11
import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.documents import make_configuration
from sassafrastally.stand_ins.platform_fleet import SERVERS_HOST, attempt_failure_causes
from sassafrastally.stand_ins.scripted_server import REQUEST_ID, Script, ScriptedServer

LONG_BODY = b"x" * 4_000_000
"""Longer than the buffers of a connection."""

SHORT_BODY = b"x" * 20_000
"""Fits into them, but not into the receive buffer of a server that reads nothing."""

UNREAD_BYTES = 1000
"""Fit into that buffer."""

LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 2 * len(LONG_BODY),
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 5000,
}
TIME_LIMIT_S = 1.0
"""Much shorter than the time after which the system gives up a server that reads nothing."""

HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: " + REQUEST_ID + b"\r\nreplica-seal: s\r\n"
EVENT = b"id: 0\ndata: x\n\n"

RESPONSES = {
    BodyFraming.LENGTH: HEAD + b"content-length: %d\r\n\r\n%s" % (len(EVENT), EVENT),
    BodyFraming.CHUNKS: HEAD + b"transfer-encoding: chunked\r\n\r\nf\r\n%s\r\n0\r\n\r\n" % EVENT,
    BodyFraming.CLOSE: HEAD + b"\r\n" + EVENT,
}

REJECTION = (
    b"HTTP/1.1 503 No\r\nattempt-id: " + REQUEST_ID + b"\r\nnot-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)

CUT = {framing: response[:-8] for framing, response in RESPONSES.items()}
"""Without their ends; without length and chunks, within an event."""


@pytest.fixture
async def serve(fleet, nursery):
    """Start an entry whose only servers, a plain one and an engine, follow a script."""

    async def serve(script: Script) -> ScriptedServer:
        fleet.configure(make_configuration(2, limits=LIMITS))
        server = ScriptedServer(script)
        for service in ("desk", "engines"):
            entry = await server.start(SERVERS_HOST, nursery, service)
            fleet.store.put(f"servers/{service}-1", entry)
        await fleet.add_entry()
        return server

    yield serve
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("path", "prompt"), [("/look/x", None), ("/book/x", None), ("/note/x", "1000,34")]
)
class TestEarlyResponses:
    """Responses that come while their request is still being sent."""

    @pytest.mark.parametrize("end", [ConnectionEnd.CLOSE, ConnectionEnd.RESET])
    async def test_without_length_is_not_complete_after_a_reset(
        self, fleet, serve, path, prompt, end
    ):
        """Guards against taking a reset for the end of a body without length and chunks.

        The failed write takes the reset from the operating system, and the next read returns the
        end of the stream. A server that closes with unread input resets its connection.
        """
        server = await serve(Script(RESPONSES[BodyFraming.CLOSE], end, reads_body=False))
        answer = await fleet.call(path, body=LONG_BODY, prompt=prompt)
        assert answer.status == 502 or not answer.is_whole
        assert server.requests == 1
        assert len(attempt_failure_causes(fleet.kernels[0])) == 1

    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKS])
    async def test_with_an_end_of_its_own_is_complete(self, fleet, serve, path, prompt, framing):
        """Guards against the loss of a response that is whole before its connection is reset."""
        await serve(Script(RESPONSES[framing], ConnectionEnd.RESET, reads_body=False))
        answer = await fleet.call(path, body=LONG_BODY, prompt=prompt)
        assert (answer.status, answer.body, answer.is_whole) == (200, EVENT, True)


@pytest.mark.parametrize(
    ("path", "prompt"), [("/look/x", None), ("/book/x", None), ("/note/x", "1000,34")]
)
class TestServersThatDoNotReadOn:
    """Responses to a request of which the server reads nothing more, on an open connection."""

    async def _call(self, fleet, path, prompt, body=LONG_BODY):
        fields = request_fields(prompt=prompt, time_left_s=TIME_LIMIT_S)
        connection = await fleet.connect()
        with trio.fail_after(TIME_LIMIT_S):
            answer = await exchange_on(connection, "POST", path, fields, body)
        await connection.close()
        return answer

    @pytest.mark.parametrize("ends_sending", [False, True])
    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKS])
    async def test_whole_response_is_forwarded_at_once(
        self, fleet, serve, path, prompt, framing, ends_sending
    ):
        """Guards against 504 for a response that lies in the socket while the entry waits for its
        server to read the rest of the request."""
        script = Script(RESPONSES[framing], ConnectionEnd.SILENCE, False, ends_sending=ends_sending)
        await serve(script)
        answer = await self._call(fleet, path, prompt)
        assert (answer.status, answer.body, answer.is_whole) == (200, EVENT, True)

    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKS])
    async def test_broken_response_is_noticed_at_once(self, fleet, serve, path, prompt, framing):
        """Guards against callers who leave without an answer, since the end of the server's bytes
        is read only after the request was sent."""
        await serve(Script(CUT[framing], ConnectionEnd.SILENCE, False, ends_sending=True))
        answer = await self._call(fleet, path, prompt)
        assert answer.status == 502 or not answer.is_whole

    async def test_rejection_is_noticed_at_once(self, fleet, serve, path, prompt):
        """Guards against 504, which doesn't allow a repeat, for a request that a server has
        rejected unread."""
        await serve(Script(REJECTION, ConnectionEnd.SILENCE, False))
        answer = await self._call(fleet, path, prompt)
        assert (answer.status, answer.is_whole) == (503, True)

    async def test_end_without_framing_counts_only_once_the_request_is_sent(
        self, fleet, serve, path, prompt
    ):
        """Guards against taking the end of a server's bytes for the end of the response when the
        reset that follows shows that it has broken off."""
        script = Script(RESPONSES[BodyFraming.CLOSE], ConnectionEnd.RESET, False, 0.3, True)
        await serve(script)
        answer = await self._call(fleet, path, prompt)
        assert answer.status == 502 or not answer.is_whole

    @pytest.mark.parametrize("lag_s", [0.0, 0.3])
    async def test_end_without_framing_does_not_count_after_a_reset(
        self, fleet, serve, monkeypatch, path, prompt, lag_s
    ):
        """Guards against the same where the rest of the request lies in the buffer of the socket,
        and where the entry reads the end only after the reset."""
        read = HttpStream.receive_bytes

        async def read_late(connection: HttpStream) -> bool:
            if connection.http.our_role is h11.CLIENT and connection.received_bytes:
                await trio.sleep(lag_s)
            return await read(connection)

        monkeypatch.setattr(HttpStream, "receive_bytes", read_late)
        script = Script(RESPONSES[BodyFraming.CLOSE], ConnectionEnd.RESET, False, 0.1, True)
        await serve(script)
        answer = await self._call(fleet, path, prompt, SHORT_BODY)
        assert answer.status == 502 or not answer.is_whole

    @pytest.mark.parametrize("pause_s", [0.06, 0.1])
    async def test_end_without_framing_does_not_count_right_before_a_reset(
        self, fleet, serve, path, prompt, pause_s
    ):
        """Guards against taking a part for the whole when the server's host has just acknowledged
        the request, of which the server reads no more: its reset is still to come."""
        script = Script(
            RESPONSES[BodyFraming.CLOSE], ConnectionEnd.RESET, False, pause_s, True, UNREAD_BYTES
        )
        await serve(script)
        answer = await self._call(fleet, path, prompt)
        assert answer.status == 502 or not answer.is_whole

    async def test_end_without_framing_counts_if_the_server_reads_on(
        self, fleet, serve, path, prompt
    ):
        """Guards against a failure for a whole response that its server sends before it has read
        the request, as it then reads the rest."""
        response = RESPONSES[BodyFraming.CLOSE]
        await serve(Script(response, ConnectionEnd.SILENCE, False, 0.0, True, 0))
        answer = await self._call(fleet, path, prompt)
        assert (answer.status, answer.body, answer.is_whole) == (200, EVENT, True)

    async def test_end_without_framing_counts_once_the_server_has_the_request(
        self, fleet, serve, path, prompt
    ):
        """Guards against a failure for a whole response of a server that ends its sending side."""
        script = Script(RESPONSES[BodyFraming.CLOSE], ConnectionEnd.SILENCE, ends_sending=True)
        await serve(script)
        answer = await self._call(fleet, path, prompt, SHORT_BODY)
        assert (answer.status, answer.body, answer.is_whole) == (200, EVENT, True)

    async def test_connection_is_not_used_again(self, fleet, serve, path, prompt):
        """Guards against a request whose bytes the server takes for the rest of another one."""
        first = Script(RESPONSES[BodyFraming.LENGTH], ConnectionEnd.SILENCE, False)
        server = await serve(first)
        await self._call(fleet, path, prompt)
        server.follow(Script(RESPONSES[BodyFraming.LENGTH], None))
        assert (await fleet.call(path, prompt=prompt)).body == EVENT
        assert server.requests == 2


@pytest.mark.parametrize("lag_s", [0.05, 0.3])
@pytest.mark.parametrize("framing", BodyFraming)
@pytest.mark.parametrize(
    ("path", "prompt"), [("/look/x", None), ("/book/x", None), ("/note/x", "1000,34")]
)
class TestLateEntries:
    """Responses that are broken off before an entry without CPU time reads them."""

    async def test_take_no_part_for_the_whole(
        self, fleet, serve, monkeypatch, path, prompt, framing, lag_s
    ):
        """Guards against a complete answer from a part, however late its end is looked at, on a new
        connection and on one that is kept."""
        begin_write, read, delayed = HttpStream.begin_write, HttpStream.receive_bytes, set()

        async def begin_delayed(connection: HttpStream, data: bytes) -> memoryview:
            delayed.add(connection)
            return await begin_write(connection, data)

        async def read_late(connection: HttpStream) -> bool:
            if connection in delayed:
                await trio.sleep(lag_s)
            return await read(connection)

        monkeypatch.setattr(HttpStream, "begin_write", begin_delayed)
        monkeypatch.setattr(HttpStream, "receive_bytes", read_late)
        whole = Script(RESPONSES[BodyFraming.LENGTH], None)
        server = await serve(whole)
        for script in (
            Script(CUT[framing], ConnectionEnd.RESET, False),
            Script(CUT[framing], ConnectionEnd.CLOSE, False),
            Script(CUT[framing], ConnectionEnd.RESET, False, 0.05, True),
            Script(CUT[framing], ConnectionEnd.RESET, False, 0.2),
        ):
            with trio.fail_after(20):
                while (await fleet.call(path, prompt=prompt)).status != 200:
                    await trio.sleep(0.05)
            server.follow(script)
            answer = await fleet.call(path, body=LONG_BODY, prompt=prompt)
            assert answer.status in (502, 503) or not answer.is_whole
            server.follow(whole)


@pytest.mark.parametrize("end", [ConnectionEnd.CLOSE, ConnectionEnd.RESET])
@pytest.mark.parametrize("is_reused", [False, True])
class TestCalls:
    """Early responses to an entry's own calls: to the store, engines and peers."""

    @pytest.mark.parametrize("framing", BodyFraming)
    async def test_broken_response_is_lost(self, nursery, framing, is_reused, end):
        """Guards against a write, an order or a report that counts as answered by a part."""
        whole = Script(RESPONSES[BodyFraming.LENGTH], None)
        server = ScriptedServer(*[whole] * is_reused, Script(CUT[framing], end, False))
        entry = json.loads(await server.start(SERVERS_HOST, nursery, "desk"))
        host, port = entry["address"].split(":")
        client = CallClient(Address(host, int(port)))
        if is_reused:
            assert (await client.exchange("POST", "/", [], b"{}", 1.0)).body == EVENT
        with pytest.raises(AnswerLost):
            await client.exchange("POST", "/", [], LONG_BODY, 2.0)
        assert server.connections == 1
        nursery.cancel_scope.cancel()


class TestLongRequests:
    """Requests that don't fit into the buffers of a connection, to a server that reads them."""

    async def test_keep_their_connection(self, fleet, serve):
        """Guards against a new connection for each long request."""
        server = await serve(Script(RESPONSES[BodyFraming.LENGTH], None))
        for _ in range(3):
            assert (await fleet.call("/look/x", body=LONG_BODY)).status == 200
        assert (server.requests, server.connections) == (3, 1)

    async def test_are_not_held_twice_while_the_server_works(
        self, autojump_clock, small_fleet, monkeypatch
    ):
        """Guards against an entry that keeps the encoded copy of each long request in progress
        until its response, beside the body itself."""
        small_fleet.configure(make_configuration(2, limits=LIMITS))
        encoded: list[bytes] = []
        encode = HttpStream.encode

        def encode_and_note(connection: HttpStream, *events: h11.Event) -> bytes:
            data = encode(connection, *events)
            if connection.http.our_role is h11.CLIENT and LONG_BODY in data:
                encoded.append(data)
            return data

        monkeypatch.setattr(HttpStream, "encode", encode_and_note)
        for replica in small_fleet.replicas.values():
            replica.work_s = 2.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(small_fleet.call, "/look/x", body=LONG_BODY))
            await trio.sleep(1.0)
            references = sys.getrefcount(encoded.pop()) - sys.getrefcount(object())
        assert references == 0
