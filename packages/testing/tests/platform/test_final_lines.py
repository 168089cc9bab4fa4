"""The line in the log with which each request ends, on real sockets."""

from __future__ import annotations

import trio

from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.reply import Reply
from sassafrastally.stand_ins.caller_requests import request_fields, send_request
from sassafrastally.stand_ins.platform_fleet import wait_until

FINAL_LINES = {
    "RequestAnswered",
    "RequestRefused",
    "RequestFailed",
    "StreamBroken",
    "CallerLeft",
    "CallerDisconnected",
    "RequestCut",
}


def final_lines(kernel, request_id: str) -> list[str]:
    """Return the names of the lines with which a request has ended."""
    return [
        record["name"]
        for record in kernel.events.records()
        if record["name"] in FINAL_LINES and record["fields"]["request_id"] == request_id
    ]


class TestCallersWhoLeave:
    """Requests whose callers leave, at any moment."""

    async def _begin(self, fleet, path: str, request_id: str, **options) -> HttpStream:
        connection = await fleet.connect()
        fields = request_fields(request_id=request_id, **options)
        await send_request(connection, "POST", path, fields, b"{}")
        return connection

    async def test_limit_acts_while_its_caller_leaves(self, small_fleet, monkeypatch):
        """Guards against a request without a final line, which looks like a lost one."""
        watches = []

        async def watch(_listener, _connection, reply, answer_scope):
            watches.append((reply, answer_scope))
            await trio.sleep_forever()

        monkeypatch.setattr(CallerListener, "_watch_disconnect", watch)
        for name in ("desk-1", "desk-2"):
            small_fleet.replicas[name].is_unresponsive = True
        connection = await self._begin(small_fleet, "/look/x", "both-at-once")
        await wait_until(lambda: bool(small_fleet.received_requests()))
        (limit,) = small_fleet.kernels[0].get("path", RequestPath).services.drain._limits
        ((reply, answer_scope),) = watches
        limit.scope.cancel()
        reply.has_caller_left = True
        answer_scope.cancel()
        await wait_until(lambda: bool(final_lines(small_fleet.kernels[0], "both-at-once")))
        assert final_lines(small_fleet.kernels[0], "both-at-once") == ["CallerLeft"]
        await connection.close()

    async def test_reset_is_noticed_by_a_write(self, small_fleet):
        """Guards against a stream without a final line whose caller has sent its next request, so
        that nothing but a write notices that it has left."""
        for name in ("engine-1", "engine-2"):
            small_fleet.replicas[name].event_bytes = 12_000
        connection = await self._begin(small_fleet, "/note/x", "written-to", prompt="40,200")
        await connection.send_bytes(b"GET /look/x HTTP/1.1\r\nHost: a\r\n\r\n")
        await wait_until(lambda: bool(small_fleet.received_requests()))
        await trio.sleep(0.1)
        await connection.reset()
        await wait_until(lambda: bool(final_lines(small_fleet.kernels[0], "written-to")))
        assert final_lines(small_fleet.kernels[0], "written-to") == ["CallerLeft"]

    async def test_caller_leaves_before_there_is_a_configuration(self, fleet):
        """Guards against a request without a final line right after the start of an entry."""
        fleet.store.is_unresponsive = True
        await fleet.add_entry()
        connection = await self._begin(fleet, "/look/x", "too-soon")
        await trio.sleep(0.05)
        await connection.close()
        await wait_until(lambda: bool(final_lines(fleet.kernels[0], "too-soon")))
        assert final_lines(fleet.kernels[0], "too-soon") == ["CallerLeft"]


class TestEnds:
    """Requests that end otherwise."""

    async def test_each_has_one_line(self, small_fleet):
        """Guards against requests with several final lines, of which a count would be wrong."""
        expected = {
            "answered": ("/look/x", "RequestAnswered"),
            "streamed": ("/note/x", "RequestAnswered"),
            "unknown": ("/nowhere", "RequestRefused"),
        }
        for request_id, (path, _) in expected.items():
            prompt = "40,3" if path == "/note/x" else None
            fields = request_fields(prompt=prompt, request_id=request_id)
            address = small_fleet.entry_settings(1).callers_address
            await small_fleet.call_at(address, path, fields)
        lines = {
            request_id: final_lines(small_fleet.kernels[0], request_id) for request_id in expected
        }
        assert lines == {request_id: [name] for request_id, (_, name) in expected.items()}

    async def test_unexpected_error_after_the_begin_of_a_response(self, small_fleet, monkeypatch):
        """Guards against a request without a final line whose connection a fault of the entry
        ends."""
        small_fleet.expects_errors = True

        async def fail(_reply):
            raise RuntimeError("a fault")

        monkeypatch.setattr(Reply, "end", fail)
        connection = await small_fleet.connect()
        fields = request_fields(prompt="40,3", request_id="faulty")
        await send_request(connection, "POST", "/note/x", fields, b"{}")
        kernel = small_fleet.kernels[0]
        await wait_until(lambda: bool(final_lines(kernel, "faulty")))
        assert final_lines(kernel, "faulty") == ["StreamBroken"]
        await connection.close()

    async def test_request_that_the_end_of_the_process_cuts(self, small_fleet):
        """Guards against logging that its caller has left, where the entry hasn't answered it."""
        for name in ("desk-1", "desk-2"):
            small_fleet.replicas[name].is_unresponsive = True
        connection = await small_fleet.connect()
        await send_request(connection, "POST", "/look/x", request_fields(request_id="cut"), b"{}")
        await wait_until(lambda: bool(small_fleet.received_requests()))
        kernel = small_fleet.kernels[0]
        small_fleet.kill_entry(1)
        await wait_until(lambda: bool(final_lines(kernel, "cut")))
        assert final_lines(kernel, "cut") == ["RequestCut"]
        await connection.close()
