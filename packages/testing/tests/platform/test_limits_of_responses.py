"""Responses around the time limit of their request, beyond those in `test_time_limits`."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress

import h11
import pytest
import trio
import trio.testing

from sassafrastally.core.late_limits import LAST_READ_S, MAX_LAST_READS
from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.connection_pool import ConnectionPool
from sassafrastally.proxy.crash_detector import CrashDetector
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream
from sassafrastally.proxy.model import BackendServer
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.reply import LAST_WRITE_S, CallerBlocked, Reply
from sassafrastally.proxy.time_limit import TimeLimit
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.documents import make_configuration, make_route

LIMIT_S = 2.0
"""Time that callers wait."""

ROUTES = [
    make_route("look", "idempotent", "desk", timeoutMs=15_000),
    make_route("book", "non_idempotent", "desk", maxAttempts=1, timeoutMs=15_000),
    make_route("note", "streaming", "engines", gapGoalMs=5000, goalMs=8000, timeoutMs=15_000),
]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 11


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry, an engine and a plain server."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    await seeded_fleet.add_replica("engine-1")
    await seeded_fleet.add_replica("desk-1", "desk")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


async def served(stream: trio.abc.Stream, limit: TimeLimit | None = None) -> Reply:
    """Return the reply to a request on a connection."""
    connection = HttpStream(stream, h11.SERVER)
    connection.http.receive_data(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    await connection.receive()
    await connection.receive()
    reply = Reply(connection, lambda: False)
    reply.limit = limit or TimeLimit()
    return reply


def unread_stream() -> trio.StapledStream:
    """Return a caller's connection that takes no bytes."""
    ours, _ = trio.testing.memory_stream_pair()
    ours.send_stream.send_all_hook = trio.sleep_forever
    return ours


def event_counts(fleet) -> Counter:
    """Return the numbers of the entry's log events by name."""
    return Counter(record["name"] for record in fleet.kernels[0].events.records())


class TestSending:
    """What is sent to servers around the limit."""

    @pytest.mark.parametrize(("path", "prompt"), [("/book/x", None), ("/note/x", "1000,34")])
    async def test_ends_with_the_limit(self, autojump_clock, fleet, monkeypatch, path, prompt):
        """Guards against a request that is sent to a server after its limit: the entry doesn't run
        while the connection is opened, and sends in the time in which ready answers are read."""
        open_connection = ConnectionPool.open

        async def open_late(pool: ConnectionPool, server: BackendServer) -> HttpStream:
            connection = await open_connection(pool, server)
            autojump_clock.jump(LIMIT_S + 0.1)
            await trio.lowlevel.checkpoint()
            return connection

        caller = await fleet.connect()
        monkeypatch.setattr(ConnectionPool, "open", open_late)
        fields = request_fields(prompt=prompt, time_left_s=LIMIT_S)
        answer = await exchange_on(caller, "POST", path, fields, b"{}")
        await caller.close()
        await trio.sleep(0.1)
        assert not fleet.received_requests()
        assert answer.status == 503
        assert b"not-sent-in-time" in answer.body


class TestAccounting:
    """What an entry records about responses around the limit."""

    async def test_of_retries_counts_only_those_that_are_made(self, autojump_clock, fleet):
        """Guards against a retry that is charged to the budget of all entries and never made: the
        failure of a server is read in the time in which ready answers are delivered."""
        await fleet.add_replica("desk-2", "desk")
        await trio.sleep(1.5)
        for number in (1, 2):
            fleet.replicas[f"desk-{number}"].work_s = 0.5
            fleet.replicas[f"desk-{number}"].response_status = 500
        caller = await fleet.connect()

        async def stall() -> None:
            await trio.sleep(0.49)
            autojump_clock.jump(LIMIT_S)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stall)
            fields = request_fields(time_left_s=LIMIT_S)
            answer = await exchange_on(caller, "POST", "/look/x", fields, b"{}")
        await caller.close()
        assert answer.status == 500
        assert len(fleet.received_requests()) == 1
        budget = fleet.kernels[0].get("path", RequestPath).services.budget
        assert budget.retry_count("desk", trio.current_time()) == 0

    @pytest.mark.parametrize("framing", list(BodyFraming))
    async def test_of_a_whole_stream_knows_no_broken_one(
        self, autojump_clock, fleet, monkeypatch, framing
    ):
        """Guards against a whole stream that is logged as broken, and whose server counts as one
        that hasn't answered: the limit acts during the last write, and the connection to the server
        is closed afterwards."""
        send_end = Reply.end
        missing: list[BackendServer] = []

        async def end_late(reply: Reply) -> None:
            await send_end(reply)
            with trio.CancelScope(shield=True):
                await trio.sleep_until(reply.limit.due_s + LAST_WRITE_S / 2)

        monkeypatch.setattr(Reply, "end", end_late)
        monkeypatch.setattr(
            CrashDetector, "record_missing_answer", lambda _, server, *rest: missing.append(server)
        )
        fleet.replicas["engine-1"].framing = framing
        caller = await fleet.connect()
        fields = request_fields(prompt="1000,34", time_left_s=LIMIT_S)
        answer = await exchange_on(caller, "POST", "/note/x", fields, b"{}")
        assert (answer.status, answer.is_whole) == (200, True)
        await trio.sleep(2 * LIMIT_S)
        counts = event_counts(fleet)
        assert (counts["RequestAnswered"], counts["StreamBroken"], missing) == (1, 0, [])

    async def test_of_a_kept_answer_names_the_caller_that_does_not_read_it(
        self, autojump_clock, fleet, monkeypatch
    ):
        """Guards against a request that ends without a line in the log: its server's answer is sent
        after the limit, and the caller doesn't read it."""

        async def block(_reply: Reply, *_: object) -> None:
            raise CallerBlocked("it hadn't read everything when its time was over")

        server = fleet.replicas["desk-1"]
        server.framing = BodyFraming.CLOSE
        close = HttpStream.close

        async def close_late(connection: HttpStream) -> None:
            if connection.http.our_role is h11.CLIENT:
                await trio.sleep_until(begin_s + LIMIT_S + 0.1)
            await close(connection)

        caller = await fleet.connect()
        begin_s = trio.current_time()
        monkeypatch.setattr(Reply, "send_complete", block)
        monkeypatch.setattr(HttpStream, "close", close_late)
        fields = request_fields(time_left_s=LIMIT_S)
        answer = await exchange_on(caller, "POST", "/look/x", fields, b"{}")
        assert not answer.is_whole
        counts = event_counts(fleet)
        assert counts["CallerDisconnected"] == 1


class TestFailures:
    """Failures of engines that are read after the limit."""

    async def test_are_forwarded(self, autojump_clock, fleet, monkeypatch):
        """Guards against 504 in place of an engine's failure that lies in the socket when the limit
        passes: the request waits for room for another attempt, and the limit ends that."""
        low = make_route("low", "streaming", "engines", priority=2, timeoutMs=15_000)
        fleet.configure(make_configuration(3, routes=[*ROUTES, low]))
        await fleet.add_replica("engine-2")
        await trio.sleep(1.5)
        for number in (1, 2):
            engine = fleet.replicas[f"engine-{number}"]
            engine.work_s, engine.response_status = 0.5, 500
            monkeypatch.setattr(engine, "_stream", engine._plain)
        caller = await fleet.connect()

        async def stall() -> None:
            await trio.sleep(0.49)
            autojump_clock.jump(LIMIT_S)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stall)
            fields = request_fields(prompt="1000,340", time_left_s=LIMIT_S)
            answer = await exchange_on(caller, "POST", "/note/x", fields, b"{}")
        await caller.close()
        assert answer.status == 500
        assert len(fleet.received_requests()) == 1


class TestWrites:
    """How long a write waits for a caller that doesn't read."""

    async def test_end_soon_after_the_limit(self, autojump_clock):
        """Guards against a write that is cut at the limit, or that goes on long after it."""
        limit = TimeLimit(trio.current_time() + 1.0)
        reply = await served(unread_stream(), limit)
        begin_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(limit.watch)
            with limit.scope:
                await reply.send_complete(200, [], b"x")
        assert limit.has_acted
        assert trio.current_time() - begin_s == pytest.approx(1.0 + LAST_WRITE_S)

    async def test_that_begin_after_the_caller_left_end_at_once(self, autojump_clock):
        """Guards against a write that waits for the limit of a request whose caller has left: the
        caller leaves in the turn in which the response is ready."""
        reply = await served(unread_stream(), TimeLimit(trio.current_time() + 15.0))
        begin_s = trio.current_time()
        with trio.CancelScope() as answer, suppress(ConnectionLost):
            answer.cancel()
            await reply.send_complete(200, [], b"x")
        assert trio.current_time() - begin_s <= LAST_WRITE_S

    async def test_do_not_outlive_a_process_that_fails(self, autojump_clock):
        """Guards against a process that goes on after an error that ends it, for a caller that
        doesn't read: without a drain, nothing moves the limit of the write."""
        limit = TimeLimit(trio.current_time() + 15.0)
        begin_s = trio.current_time()
        with trio.move_on_after(1.0), suppress(ConnectionLost):
            reply = await served(unread_stream(), limit)
            await reply.send_complete(200, [], b"x")
        assert trio.current_time() - begin_s <= 1.0 + LAST_WRITE_S

    async def test_of_many_events_share_one_bound(self, autojump_clock):
        """Guards against a request that is held long past its limit by a caller that reads slowly:
        each event that was received together gets the time of a last write."""

        async def read_slowly() -> None:
            await trio.sleep(0.2)

        ours, _ = trio.testing.memory_stream_pair()
        limit = TimeLimit(trio.current_time() + 1.0)
        reply = await served(ours, limit)
        begin_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(limit.watch)
            with limit.scope:
                await reply.begin(200, [])
                ours.send_stream.send_all_hook = read_slowly
                with suppress(ConnectionLost):
                    for _ in range(200):
                        await reply.send(b"data: x\n\n")
            limit.end()
        assert (
            trio.current_time() - begin_s <= 1.0 + MAX_LAST_READS * LAST_READ_S + 2 * LAST_WRITE_S
        )
