"""Responses that a backend server sends before it has read a long request, and then breaks off."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.documents import make_configuration
from sassafrastally.stand_ins.platform_fleet import SERVERS_HOST, attempt_failure_causes
from sassafrastally.stand_ins.scripted_server import REQUEST_ID, Script, ScriptedServer

LONG_BODY = b"x" * 4_000_000
"""Longer than the buffers of a connection."""

LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 2 * len(LONG_BODY),
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 5000,
}
HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: " + REQUEST_ID + b"\r\nreplica-seal: s\r\n"
EVENT = b"id: 0\ndata: x\n\n"

RESPONSES = {
    BodyFraming.LENGTH: HEAD + b"content-length: %d\r\n\r\n%s" % (len(EVENT), EVENT),
    BodyFraming.CHUNKS: HEAD + b"transfer-encoding: chunked\r\n\r\nf\r\n%s\r\n0\r\n\r\n" % EVENT,
    BodyFraming.CLOSE: HEAD + b"\r\n" + EVENT,
}


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
