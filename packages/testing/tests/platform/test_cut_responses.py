"""What callers get when a backend server breaks off its response at any byte."""

from __future__ import annotations

from itertools import product

import pytest
import trio

from sassafrastally.stand_ins.caller_requests import request_fields, send_request
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import SERVERS_HOST
from sassafrastally.stand_ins.scripted_server import REQUEST_ID, Script, ScriptedServer

HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: " + REQUEST_ID + b"\r\nreplica-seal: s\r\n"
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(2)]
BODY = b"".join(EVENTS)
BOUNDARIES = [len(EVENTS[0]), len(BODY)]
"""Numbers of bytes after which the body isn't inside an event."""

UNFRAMED_HEAD = HEAD + b"\r\n"
LENGTH_HEAD = HEAD + b"content-length: %d\r\n\r\n"
WHOLE = LENGTH_HEAD % len(BODY) + BODY
REST = LENGTH_HEAD % len(EVENTS[1]) + EVENTS[1]
HEAD_BYTES = len(WHOLE) - len(BODY)
CUTS = sorted(
    {*range(0, HEAD_BYTES, 20), *(WHOLE[:end].rfind(b"\n") + 1 for end in range(HEAD_BYTES))}
)
"""Some bytes of a header, and the begin of each of its lines."""

ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250, maxAttempts=3),
    make_route("once", "streaming", "engines", gapGoalMs=250, resumable=False),
    make_route("look", "idempotent", "desk"),
    make_route("book", "non_idempotent", "desk", maxAttempts=1),
]
PATHS = {"/note/x": "1000,102", "/once/x": "1000,102", "/look/x": None, "/book/x": None}
SERVICES = {"desk": 1, "engines": 3}
VERSIONS = ["1.1", "1.0"]
ENDS = [ConnectionEnd.CLOSE, ConnectionEnd.RESET]


@pytest.fixture
async def server(fleet, nursery):
    """What an entry's servers send: all follow the same scripts."""
    fleet.configure(make_configuration(2, routes=ROUTES))
    server = ScriptedServer(Script(WHOLE, None))
    for service, servers in SERVICES.items():
        for number in range(servers):
            entry = await server.start(SERVERS_HOST, nursery, service)
            fleet.store.put(f"servers/{service}-{number}", entry)
    await fleet.add_entry()
    yield server
    nursery.cancel_scope.cancel()


async def call(fleet, path: str, version: str = "1.1") -> tuple[int, bytes, bool]:
    """Return the status and body that a caller gets, and whether they look complete to it."""
    fields = request_fields({"Connection": "close"}, PATHS[path], time_left_s=1.5)
    connection = await fleet.connect()
    received, is_reset = b"", False
    try:
        await send_request(connection, "POST", path, fields, b"{}", version)
        while data := await connection.stream.receive_some():
            received += data
    except trio.BrokenResourceError:
        is_reset = True
    finally:
        await connection.close()
    head, _, body = received.partition(b"\r\n\r\n")
    status, head = int(head.split()[1]) if head else 0, head.lower()
    if b"transfer-encoding: chunked" in head:
        return status, b"".join(one for one in EVENTS if one in body), body.endswith(b"0\r\n\r\n")
    if b"content-length: " in head:
        length = int(head.partition(b"content-length: ")[2].split()[0])
        return status, body, len(body) == length
    return status, body, bool(head) and not is_reset


async def call_broken(
    fleet, server: ScriptedServer, path: str, script: Script, version: str = "1.1"
) -> tuple[int, bytes, bool]:
    """Make a call that is broken off, and then others until the servers are in use again."""
    server.follow(script)
    answer = await call(fleet, path, version)
    server.follow(Script(WHOLE, None))
    with trio.fail_after(20):
        while await call(fleet, path) != (200, BODY, True):
            await trio.sleep(0.05)
    return answer


class TestCutHeads:
    """Headers that end with their connection."""

    @pytest.mark.parametrize("path", PATHS)
    async def test_are_never_a_success(self, fleet, server, path):
        """Guards against an empty or short success after a part of a header, on a new connection
        and on one that has carried a response before."""
        for end, how in product(CUTS, ENDS):
            status, _, _ = await call_broken(fleet, server, path, Script(WHOLE[:end], how))
            assert status == 502

    async def test_within_a_stream_that_goes_on_are_skipped(self, fleet, server):
        """Guards against a stream that ends as complete with the cut header of its second run."""
        for end in CUTS:
            begun = Script(UNFRAMED_HEAD + EVENTS[0], ConnectionEnd.RESET)
            server.follow(begun, Script(WHOLE[:end]), Script(REST, None))
            assert await call(fleet, "/note/x") == (200, BODY, True)
            server.follow(begun, Script(WHOLE[:end]))
            assert await call(fleet, "/note/x") == (200, EVENTS[0], False)
            await call_broken(fleet, server, "/note/x", Script(WHOLE, None))


@pytest.mark.parametrize("version", VERSIONS)
class TestBodiesWithoutLength:
    """Bodies that end with their connection, and callers with and without chunks."""

    async def test_of_streams_are_complete_only_after_a_close(self, fleet, server, version):
        """Guards against the end of a server's connection, inside an event or by a reset, that
        looks to the caller like the end of the stream."""
        for end, how in product(range(len(BODY) + 1), ENDS):
            script = Script(UNFRAMED_HEAD + BODY[:end], how)
            status, body, is_whole = await call_broken(fleet, server, "/once/x", script, version)
            if status == 502:
                assert end < BOUNDARIES[0]
                continue
            assert body == BODY[: max(one for one in BOUNDARIES if one <= end)]
            assert is_whole == (how is ConnectionEnd.CLOSE and end in BOUNDARIES)

    async def test_of_plain_services_are_not_forwarded_after_a_reset(self, fleet, server, version):
        """Guards against a part of a body that is forwarded with its own length."""
        for end in range(len(BODY) + 1):
            script = Script(UNFRAMED_HEAD + BODY[:end], ConnectionEnd.RESET)
            status, _, is_whole = await call_broken(fleet, server, "/book/x", script, version)
            assert (status, is_whole) == (502, True)

    async def test_are_not_complete_in_silence(self, fleet, server, version):
        """Guards against a limit that ends the caller's connection as if the body were whole."""
        answers = {}

        async def call_silent(path: str) -> None:
            answers[path] = await call(fleet, path, version)

        server.follow(Script(UNFRAMED_HEAD + EVENTS[0], ConnectionEnd.SILENCE))
        async with trio.open_nursery() as nursery:
            for path in PATHS:
                nursery.start_soon(call_silent, path)
        for path, (status, body, is_whole) in answers.items():
            if PATHS[path] is None:
                assert status in (502, 504)
            else:
                assert (body, is_whole) == (EVENTS[0], False)
