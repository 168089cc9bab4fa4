"""New connections of an entry that has as many as its descriptors allow."""

from __future__ import annotations

import json
import socket
import time
from itertools import count

import pytest
import trio

from sassafrastally.core import UnreadInput, unread_input
from sassafrastally.proxy import connection_gate
from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.overload_monitor import OverloadMonitor
from sassafrastally.stand_ins.platform_fleet import wait_until

WAITED_S = 0.15
"""More than half of the time in which a request may be cut by a close."""

REQUEST = b"%b /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture
def full_fleet(small_fleet):
    """An entry that may have no connection."""
    listener = small_fleet.kernels[0].get("callers", CallerListener)
    listener._connections.most = 10
    listener._acceptor.open_connections = 10
    return small_fleet


async def answer_to(fleet, method: bytes, waits_s: float) -> bytes:
    """Return what comes for a request that waits in the accept queue for a while."""
    caller = socket.socket()
    caller.connect(fleet.entry_settings(1).callers_address)
    caller.send(REQUEST % method)
    time.sleep(waits_s)
    caller.setblocking(False)
    received = b""
    with trio.socket.from_stdlib_socket(caller) as stream, trio.fail_after(1.0):
        try:
            while data := await stream.recv(4096):
                received += data
        except ConnectionResetError:
            return received or b"reset"
    return received


class TestFullEntry:
    """An entry at its bound, without an idle connection."""

    async def test_request_that_has_waited_is_refused(self, full_fleet):
        """Guards against the reset of a request that had waited in the accept queue."""
        answer = await answer_to(full_fleet, b"POST", WAITED_S)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 0." in head.lower()
        assert b"connection: close" in head.lower()
        assert json.loads(body)["type"].endswith("connections-full")
        assert not full_fleet.received_requests()

    async def test_request_that_waits_between_the_look_and_the_close_is_refused(
        self, full_fleet, monkeypatch
    ):
        """Guards against the reset of a request that has waited since the last look at its
        connection, in which the process lost its CPU time."""
        looks = count()

        def look_and_pause(stream: trio.SocketStream) -> UnreadInput:
            if next(looks):
                return unread_input(stream)
            time.sleep(WAITED_S)
            return UnreadInput()

        monkeypatch.setattr(connection_gate, "unread_input", look_and_pause)
        assert (await answer_to(full_fleet, b"POST", 0.0)).startswith(b"HTTP/1.1 503")

    async def test_refusal_of_a_head_request_has_no_body(self, full_fleet):
        """Guards against bytes after a response that has none."""
        answer = await answer_to(full_fleet, b"HEAD", WAITED_S)
        assert answer.startswith(b"HTTP/1.1 503")
        assert answer.endswith(b"\r\n\r\n")

    async def test_request_that_has_just_arrived_is_closed_and_logged(self, full_fleet):
        """Guards against a log that doesn't tell what was closed unread."""
        assert await answer_to(full_fleet, b"POST", 0.0) == b"reset"
        await answer_to(full_fleet, b"POST", WAITED_S)
        kernel = full_fleet.kernels[0]

        def logged() -> list[dict]:
            return [
                record["fields"]
                for record in kernel.events.records()
                if record["name"] == "ConnectionsTurnedAway"
            ]

        await wait_until(lambda: bool(logged()))
        (sums,) = logged()
        assert sums["cause"] == "connections-full"
        assert (sums["closed"], sums["closed_with_input"], sums["refused"]) == (1, 1, 1)
        assert sums["longest_closed_s"] < WAITED_S <= sums["longest_refused_s"] + 0.01

    async def test_entry_that_is_far_beyond_its_bound_closes_all(self, full_fleet):
        """Guards against refusals that use up the descriptors of requests in progress."""
        listener = full_fleet.kernels[0].get("callers", CallerListener)
        listener._acceptor.open_connections = 12
        assert await answer_to(full_fleet, b"POST", WAITED_S) == b"reset"


class TestOverloadedEntry:
    """An entry that refuses what has waited, of callers that don't close their connections."""

    async def test_refusals_keep_to_the_bound_of_connections(self, small_fleet, monkeypatch):
        """Guards against refusals of a crowd that use up the descriptors of requests in progress:
        each takes one until its caller has closed the connection."""
        kernel = small_fleet.kernels[0]
        listener = kernel.get("callers", CallerListener)
        listener._connections.most = 8
        overload = kernel.get("overload", OverloadMonitor)
        monkeypatch.setattr(overload, "refuses_connections", lambda: True)
        address = small_fleet.entry_settings(1).callers_address
        callers = [socket.create_connection(address) for _ in range(40)]
        for caller in callers:
            caller.sendall(REQUEST % b"POST")
        time.sleep(WAITED_S)
        open_connections = []
        for _ in range(30):
            await trio.sleep(0.01)
            open_connections.append(listener.open_connections)
        for caller in callers:
            caller.close()
        assert max(open_connections) == 9

    async def test_unexpected_error_ends_no_other_connection(self, small_fleet, monkeypatch):
        """Guards against an entry that ends, with the requests of all others, by an error in its
        decision on one new connection or in a refusal."""
        small_fleet.expects_errors = True
        overload = small_fleet.kernels[0].get("overload", OverloadMonitor)
        monkeypatch.setattr(overload, "refuses_connections", lambda: 1 / 0)
        assert (await small_fleet.call("/look/x")).status == 200
        monkeypatch.setattr(overload, "refuses_connections", lambda: True)
        monkeypatch.setattr(connection_gate, "refusal_body", lambda *_: 1 / 0)
        assert await answer_to(small_fleet, b"POST", WAITED_S) in (b"", b"reset")
        monkeypatch.undo()
        assert (await small_fleet.call("/look/x")).status == 200

    async def test_failed_accept_between_steps_stays_alone(self, small_fleet, monkeypatch):
        """Guards against a second error at the end of an overload: the event loop removes an
        instrument that has failed, which then can't be removed again."""
        kernel = small_fleet.kernels[0]
        listener = kernel.get("callers", CallerListener)
        on_change = kernel.get("overload", OverloadMonitor).on_change
        monkeypatch.setattr(listener._acceptor, "accept_now", lambda: 1 / 0)
        on_change(True)
        await trio.sleep(0.05)
        on_change(False)
        monkeypatch.undo()
        assert (await small_fleet.call("/look/x")).status == 200
