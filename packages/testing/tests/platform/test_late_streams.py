"""Event streams whose last event is ready when the time limit of their request passes."""

from __future__ import annotations

import h11
import pytest
import trio

from sassafrastally.proxy.event_stream import EventSplitter
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.path import READ_PAUSE_S
from sassafrastally.proxy.reply import LAST_WRITE_S
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until

LIMIT_S = 2.0
"""Time that callers wait."""

PIECE_S = 0.2
"""A caller that reads slowly takes some bytes in this time."""

EVENTS = 10

ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=1000, maxAttempts=1),
    make_route("look", "idempotent", "desk"),
]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 11


@pytest.fixture
async def fleet(autojump_clock, seeded_fleet):
    """One entry with an engine and a plain server that sends an event stream."""
    seeded_fleet.configure(make_configuration(2, routes=ROUTES))
    await seeded_fleet.add_replica("engine-1")
    await seeded_fleet.add_replica("desk-1", "desk")
    await seeded_fleet.add_entry()
    await trio.sleep(1.5)
    return seeded_fleet


def read_slowly(monkeypatch, piece_bytes, until_s=float("inf")) -> None:
    """Let callers read slowly, and nothing from some time on."""
    send_some = HttpStream.send_some

    async def send_slowly(connection: HttpStream, data: bytes) -> int:
        if connection.http.our_role is h11.CLIENT:
            return await send_some(connection, data)
        if trio.current_time() + PIECE_S > until_s:
            await trio.sleep_forever()
        await trio.sleep(PIECE_S)
        with trio.CancelScope(shield=True):
            return await send_some(connection, data[:piece_bytes])

    monkeypatch.setattr(HttpStream, "send_some", send_slowly)


async def call(fleet, path="/note/x", prompt=f"1000,{34 * EVENTS}"):
    """Make a request; return its answer and the time that it took."""
    begin_s = trio.current_time()
    headers = {"Deadline-Ms": str(int(LIMIT_S * 1000))}
    answer = await fleet.call(path, prompt=prompt, headers=headers)
    return answer, trio.current_time() - begin_s


def event_ids(answer):
    """Return the ids of a stream's events, in order."""
    lines = answer.body.splitlines()
    return [int(line.partition(b":")[2]) for line in lines if line.startswith(b"id:")]


class TestWholeStream:
    """A stream that has arrived as a whole when the limit passes."""

    @pytest.mark.parametrize("event_bytes", [20, 600])
    async def test_is_delivered_to_a_caller_that_reads_slowly(
        self, autojump_clock, fleet, monkeypatch, event_bytes
    ):
        """Guards against a stream that is cut 0.15 s after the limit although its engine was done
        and its caller still reads it."""
        fleet.replicas["engine-1"].event_bytes = event_bytes
        read_slowly(monkeypatch, event_bytes // 2 + 40)
        answer, took_s = await call(fleet)
        assert took_s > LIMIT_S + 2 * LAST_WRITE_S
        assert (answer.status, answer.is_whole) == (200, True)
        assert event_ids(answer) == list(range(EVENTS))

    async def test_is_cut_once_the_caller_reads_no_more(self, autojump_clock, fleet, monkeypatch):
        """Guards against an entry that a caller which has stopped reading holds for ever."""
        read_slowly(monkeypatch, 50, until_s=trio.current_time() + LIMIT_S + 0.3)
        answer, took_s = await call(fleet)
        assert not answer.is_whole
        assert took_s <= LIMIT_S + 0.3 + READ_PAUSE_S + 2 * LAST_WRITE_S

    async def test_is_cut_if_the_engine_was_not_done(self, autojump_clock, fleet, monkeypatch):
        """Guards against a request that goes on after its limit for an engine that is still at
        work."""
        read_slowly(monkeypatch, 1000)
        answer, took_s = await call(fleet, prompt="1000,6800")
        assert not answer.is_whole
        assert took_s <= LIMIT_S + 2 * LAST_WRITE_S + PIECE_S


class TestLargeStream:
    """Streams of more than 4 KB, the size that is split and checked at once, ready at the limit."""

    @pytest.mark.parametrize("stalled_ms", [-3, -1, 2, 20])
    async def test_on_a_stream_route_is_delivered(self, autojump_clock, fleet, stalled_ms):
        """Guards against a stream of which only a part is forwarded, although all of it lay in the
        socket when the limit passed: each part takes turns of the event loop."""
        engine = fleet.replicas["engine-1"]
        engine.event_bytes = 20_000
        begin_s = trio.current_time()

        async def stall() -> None:
            await trio.sleep_until(begin_s + 0.05)
            await wait_until(lambda: engine.received_requests[0].finished_s is not None)
            left_s = begin_s + LIMIT_S - trio.current_time()
            autojump_clock.jump(left_s + stalled_ms / 1000)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stall)
            answer, _ = await call(fleet)
        assert (answer.status, answer.is_whole) == (200, True)
        assert event_ids(answer) == list(range(EVENTS))

    @pytest.mark.parametrize("body_bytes", [5_000, 400_000])
    async def test_on_a_plain_route_is_delivered(
        self, autojump_clock, fleet, monkeypatch, body_bytes
    ):
        """Guards against 504 for a whole event stream that a plain server has sent: it is checked
        in steps, and the limit passes meanwhile."""
        server, feed = fleet.replicas["desk-1"], EventSplitter.feed
        body = b"id: 0\ndata: x\n\n" * (body_bytes // 15)

        async def respond(received, connection):
            await trio.sleep(LIMIT_S - 0.02)
            headers = server._headers(received.request_id)
            await connection.respond(200, body, {**headers, "Content-Type": "text/event-stream"})

        def feed_late(splitter, data):
            if trio.current_time() < begin_s + LIMIT_S:
                autojump_clock.jump(0.022)
            return feed(splitter, data)

        monkeypatch.setattr(server, "_plain", respond)
        monkeypatch.setattr(EventSplitter, "feed", feed_late)
        begin_s = trio.current_time()
        answer, _ = await call(fleet, "/look/x", None)
        assert (answer.status, answer.is_whole, answer.body) == (200, True, body)
