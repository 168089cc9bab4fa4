"""Tests of streams and of isolation from faulty or dead peers."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.wire import (
    MAX_CHUNK_BYTES,
    MAX_FRAME_BYTES,
    BadFrame,
    Cancel,
    Chunk,
    Credit,
    End,
    FlowViolation,
    LinkCut,
    LoadReport,
    Ping,
    Pong,
    Query,
    QueryReply,
    Reserve,
    StreamClosed,
    TooManyStreams,
)
from sassafrastally.wire.framing import LENGTH_BYTES
from sassafrastally.wire.mux import (
    CONTROL_STREAM_ID,
    MAX_QUEUED_NOTICES,
    MAX_READ_FRAMES,
    MuxLink,
)
from sassafrastally.wire.settings import MIN_WINDOW_BYTES


async def hold(stream, message):
    """Handle a stream without ever reading it."""
    await trio.sleep_forever()


class FramesPerStep(trio.abc.Instrument):
    """Counts link messages handled in one step of a task, at most."""

    def __init__(self) -> None:
        self.most = self.total = 0
        self._frames = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._frames = 0

    def count(self) -> None:
        self.total += 1
        self._frames += 1
        self.most = max(self.most, self._frames)


class TestFlow:
    async def test_slow_reader_does_not_block_other_streams(self, pair, autojump_clock):
        """Guards against head-of-line blocking by a caller that stops reading.

        The chunks of a long response fill the caller's window. If the link's reader waited for
        space there, it would not read the frames of the other streams.
        """

        async def answer(stream, reserve):
            for number in range(200):
                await stream.send(Chunk("r1", 1, number, 0, b"x" * 10_000))
            await stream.send(End("r1", chunks=200))

        pair.sidecar.on_stream(Reserve, answer)
        link = await pair.link()
        async with link.open_stream() as slow:
            await slow.send(Reserve("r1"))
            await trio.sleep(10)
            with trio.fail_after(0.1):
                assert await link.call(Query("r2"))
            received = [await slow.receive() for _ in range(201)]
        assert [chunk.sequence for chunk in received[:-1]] == list(range(200))
        assert received[-1] == End("r1", chunks=200)

    async def test_other_tasks_run_between_small_frames(self, pair, monkeypatch, autojump_clock):
        """Guards against a peer whose small frames of one read hold all other links."""
        steps, on_message = FramesPerStep(), MuxLink._on_link_message

        def count(link, message):
            steps.count()
            on_message(link, message)

        link = await pair.link()
        monkeypatch.setattr(MuxLink, "_on_link_message", count)
        trio.lowlevel.add_instrument(steps)
        for number in range(2000):
            link.put(CONTROL_STREAM_ID, Pong(number))
        await trio.sleep(1.0)
        trio.lowlevel.remove_instrument(steps)
        assert steps.total >= 2000
        assert steps.most <= MAX_READ_FRAMES

    async def test_longest_chunks_fit_the_smallest_window(self, fleet, autojump_clock):
        """A sender must never wait for credit that the reader holds back."""
        entry = await fleet.start("entry-1", window_bytes=MIN_WINDOW_BYTES)
        sidecar = await fleet.start("sidecar-1", window_bytes=4 * MIN_WINDOW_BYTES)

        async def echo(stream, reserve):
            for _ in range(20):
                await stream.send(await stream.receive())

        sidecar.on_stream(Reserve, echo)
        link = await entry.link_to("sidecar-1", sidecar.bound_address)
        chunk = Chunk("r1", data=b"x" * MAX_CHUNK_BYTES)
        async with link.open_stream() as stream:
            await stream.send(Reserve("r1"))
            for size in (1, 9, 3, 7):
                with trio.fail_after(1):
                    for _ in range(size):
                        await stream.send(chunk)
                    for _ in range(size):
                        assert await stream.receive() == chunk

    async def test_chunk_over_the_limit_is_not_sent(self, pair, autojump_clock):
        async with (await pair.link()).open_stream() as stream:
            with pytest.raises(BadFrame):
                await stream.send(Chunk(data=bytes(MAX_CHUNK_BYTES + 1)))

    @pytest.mark.parametrize(
        "message, count",
        [
            (Chunk("r1", data=bytes(1000)), 400),
            (Chunk("r1"), 3000),
            (Cancel("r1"), 100),
            (End(detail="x" * 200_000), 10),
        ],
        ids=["chunks", "empty chunks", "messages", "long messages"],
    )
    async def test_flood(self, pair, events_of, message, count, autojump_clock):
        """Guards against memory exhaustion or a blocked link when a peer ignores flow control.

        The peer sends without credit while the handler doesn't read. Only that stream is closed,
        with an error code; another stream on the same link still gets its response.
        """
        pair.sidecar.on_stream(Reserve, hold)
        peer = await pair.fleet.raw_peer(pair.sidecar)
        await peer.send((1, Reserve("r1")))
        await peer.send(*[(1, message)] * count)
        await peer.send((3, Query("r2")))
        assert (await peer.read_until(StreamClosed)).code == FlowViolation.code
        assert await peer.read_until(QueryReply) == QueryReply("r2", state="committed")
        assert events_of(pair.sidecar).count("StreamFailed") == 1

    async def test_flood_of_notices_keeps_the_newest(self, pair, events_of, autojump_clock):
        seen = []

        async def slow(peer, report):
            await trio.sleep(1)
            seen.append(report.running)

        pair.sidecar.on_notice(LoadReport, slow)
        link = await pair.link()
        for number in range(2 * MAX_QUEUED_NOTICES):
            await link.notify(LoadReport(running=number))
        await trio.sleep(2 * MAX_QUEUED_NOTICES)
        assert seen[-1] == 2 * MAX_QUEUED_NOTICES - 1
        assert len(seen) <= MAX_QUEUED_NOTICES + 1
        assert "NoticeDropped" in events_of(pair.sidecar)

    async def test_peer_that_never_reads_is_cut(self, pair, events_of, autojump_clock):
        """A peer sends pings without reading the responses, which would be queued without bound."""
        peer = await pair.fleet.raw_peer(pair.sidecar)
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(200):
                await peer.send(*[(0, Ping(1))] * 100)
        await trio.testing.wait_all_tasks_blocked()
        assert "LinkDown" in events_of(pair.sidecar)


class TestStreams:
    async def test_late_message_of_a_closed_stream(self, pair, autojump_clock):
        """Late messages of a cancelled stream must not reach another stream."""
        peer = await pair.fleet.raw_peer(pair.sidecar)
        await peer.send((1, Query("r1")))
        await peer.read_until(StreamClosed)
        await peer.send((1, Query("late")), (2, Query("never opened")), (3, Query("r3")))
        assert await peer.read_until(QueryReply) == QueryReply("r3", state="committed")
        with trio.move_on_after(1):
            assert not await peer.read_until(QueryReply)

    async def test_stream_ids_follow_the_first_sends(self, pair, autojump_clock):
        """Streams used in a different order than opened must not be treated as late."""
        link = await pair.link()
        async with link.open_stream() as first, link.open_stream() as second:
            await second.send(Query("r2"))
            await first.send(Query("r1"))
            with trio.fail_after(1):
                assert (await second.receive()).request_id == "r2"
                assert (await first.receive()).request_id == "r1"

    async def test_too_many_streams(self, pair, autojump_clock):
        pair.sidecar.on_stream(Reserve, hold)
        link = await pair.link()
        streams = [link.open_stream() for _ in range(256)]
        for stream in streams:
            await stream.send(Reserve("r1"))
        with pytest.raises(TooManyStreams):
            await link.call(Query("r2"))
        streams[0].close()
        peer = await pair.fleet.raw_peer(pair.sidecar)
        await peer.send(*((2 * n + 1, Reserve("r1")) for n in range(257)))
        assert (await peer.read_until(StreamClosed)).code == TooManyStreams.code

    async def test_stamps_keep_the_causal_order(self, pair, autojump_clock):
        pair.entry.kernel.clock.wall_offset_s = 30
        await (await pair.link()).call(Query("r1"))
        sent = pair.entry.kernel.events.hybrid.tick()
        assert pair.sidecar.kernel.events.hybrid.tick() > sent - (1000 << 16)


class TestCut:
    async def test_cut_in_the_middle_of_a_response(self, pair, autojump_clock):
        """Guards against a partial response being treated as complete.

        The connection breaks in the middle of a response. The caller reads the received chunks and
        then gets `LinkCut`, never an end; the sidecar's handler gets it too, so that it can keep
        or free its resources.
        """
        seen = []

        async def answer(stream, reserve):
            await stream.send(Chunk("r1", sequence=0))
            await stream.send(Chunk("r1", sequence=1))
            with pytest.raises(LinkCut) as cut:
                await stream.receive()
            seen.append(cut.value)

        pair.sidecar.on_stream(Reserve, answer)
        link = await pair.link()
        async with link.open_stream() as stream, link.open_stream() as unused:
            await stream.send(Reserve("r1"))
            await trio.sleep(0.1)
            pair.fleet.network.cut("entry-1", "sidecar-1")
            cut_s = trio.current_time()
            assert [(await stream.receive()).sequence for _ in range(2)] == [0, 1]
            for broken in (stream, unused):
                with pytest.raises(LinkCut), trio.fail_after(1):
                    await broken.receive()
                with pytest.raises(LinkCut):
                    await broken.send(Cancel("r1"))
        await trio.testing.wait_all_tasks_blocked()
        assert len(seen) == 1
        assert trio.current_time() == cut_s
        assert not link.is_up and pair.entry.links() == []
        assert (await pair.link()) is not link

    async def test_frozen_peer_is_detected_in_time(self, pair, autojump_clock):
        """Guards against callers that wait for their whole time limit on a frozen sidecar.

        The sidecar hangs with its connections open. Ping interval and ping time limit bound the
        detection.
        """
        pair.sidecar.on_stream(Reserve, hold)
        link = await pair.link()
        async with link.open_stream() as stream:
            await stream.send(Reserve("r1"))
            await trio.sleep(60)
            assert link.is_up
            frozen_s = trio.current_time()
            pair.fleet.network.freeze(pair.sidecar.bound_address)
            with pytest.raises(LinkCut, match="no sign of life"), trio.fail_after(60):
                await stream.receive()
        assert trio.current_time() - frozen_s <= 5.0
        pair.fleet.network.thaw(pair.sidecar.bound_address)
        assert await (await pair.link()).call(Query("r2"))

    async def test_blocked_writer_to_a_frozen_peer_is_cut(self, pair, autojump_clock):
        """The peer freezes during uploads: the link is cut although its writer is blocked."""
        pair.sidecar.on_stream(Reserve, hold)
        link = await pair.link()
        pair.fleet.network.freeze(pair.sidecar.bound_address)

        async def upload():
            async with link.open_stream() as stream:
                await stream.send(Reserve("r1"))
                while True:
                    await stream.send(Chunk("r1", data=bytes(MAX_CHUNK_BYTES)))

        async def expect_cut():
            with pytest.raises(LinkCut):
                await upload()

        with trio.fail_after(5.1):
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(expect_cut)

    async def test_own_pause_does_not_cut_a_healthy_link(self, pair, autojump_clock):
        """Guards against a paused process cutting all its links when it resumes.

        After a minute's pause all timers are due at once, while the peer's response to the ping is
        still unread in the socket. A cut would fail every request on the link.
        """
        pair.fleet.network.latency_s = 0.1
        link = await pair.link()
        await trio.sleep(0.15)
        for _ in range(20):
            autojump_clock.jump(60)
            await trio.sleep(0.15)
            assert link.is_up

    @pytest.mark.parametrize(
        "data",
        [
            (MAX_FRAME_BYTES + 1).to_bytes(LENGTH_BYTES, "big"),
            b"\xff" * 4,
            b"\0\0\0\0",
            b"\0\0\0\x08 garbage",
        ],
        ids=["oversize", "huge", "empty", "garbage"],
    )
    async def test_bad_frame_cuts_the_link(self, pair, data, autojump_clock):
        """The length is checked first: the body of an oversize frame is never awaited."""
        peer = await pair.fleet.raw_peer(pair.sidecar)
        await peer.stream.send_all(data)
        with pytest.raises(LinkCut), trio.fail_after(1):
            await peer.read_until(End)
        assert pair.sidecar.links() == []

    @pytest.mark.parametrize("message", [Credit(1), StreamClosed()])
    async def test_second_window_or_close_cuts_the_link(self, pair, message, autojump_clock):
        peer = await pair.fleet.raw_peer(pair.sidecar)
        await peer.send((0, Credit(1)), (0, message))
        with pytest.raises(LinkCut), trio.fail_after(1):
            await peer.read_until(End)
